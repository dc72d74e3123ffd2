#include <limpet/membership/announcement.hpp>

namespace limpet::membership
{

namespace
{

constexpr std::size_t max_id_bytes = 128;
constexpr std::size_t max_address_bytes = 256;
constexpr std::size_t max_models = 32;
constexpr std::uint64_t max_slots = 65535;

std::string bounded_text(settings_reader& reader,
                         std::string_view key,
                         std::size_t max_bytes)
{
    auto text = reader.text(key);
    if (text.empty() || text.size() > max_bytes)
    {
        reader.fail(key,
                    "must have 1 to " + std::to_string(max_bytes) + " bytes");
    }
    return text;
}

std::vector<model_id> read_models(settings_reader& reader)
{
    std::vector<model_id> models;
    for (auto& text : reader.texts_or_empty("models"))
    {
        if (text.empty() || text.size() > max_id_bytes)
        {
            reader.fail("models", "has an empty or overlong name");
        }
        models.emplace_back(std::move(text));
    }
    if (models.empty() || models.size() > max_models)
    {
        reader.fail("models",
                    "must have 1 to " + std::to_string(max_models) + " names");
    }
    return models;
}

server_kind read_kind(settings_reader& reader)
{
    const auto text = reader.text_or("kind", "engine");
    if (text != "engine" && text != "service")
    {
        reader.fail("kind", "must be engine or service");
    }
    return text == "service" ? server_kind::service : server_kind::engine;
}

} // namespace

outcome<announcement> parse_announcement(const boost::json::value& object)
{
    settings_reader reader(object, "announcement");
    announcement result;
    result.engine = engine_id(bounded_text(reader, "engine", max_id_bytes));
    result.started = incarnation(reader.number("incarnation", 1, INT64_MAX));
    result.data_centre =
        data_centre_id(bounded_text(reader, "data_centre", max_id_bytes));
    result.address = bounded_text(reader, "address", max_address_bytes);
    result.models = read_models(reader);
    result.kind = read_kind(reader);
    result.slots =
        static_cast<std::uint32_t>(reader.number("slots", 1, max_slots));
    result.checks_fencing = reader.flag_or("checks_fencing", false);
    result.leaving = reader.flag_or("leaving", false);
    auto finished = reader.finish();
    if (!is_ok(finished))
    {
        return error_of(finished);
    }
    return result;
}

} // namespace limpet::membership
