#include <limpet/directory/intent.hpp>
#include <limpet/directory/update.hpp>

#include <boost/test/unit_test.hpp>

using namespace limpet;
using namespace limpet::directory;

namespace
{

command put(std::uint64_t version, std::string_view text)
{
    command order;
    order.version = document_version(version);
    order.document = packed_text::pack(text);
    return order;
}

command move(command_kind kind, std::string data_centre)
{
    command order;
    order.kind = kind;
    order.data_centre = std::move(data_centre);
    return order;
}

std::string text_of(const intent& state)
{
    return value_of(state.document->unpack());
}

} // namespace

BOOST_AUTO_TEST_SUITE(orders)

BOOST_AUTO_TEST_CASE(highest_version_stays_in_force)
{
    intent state;
    BOOST_TEST(state.apply(1, put(5, "five")));
    BOOST_TEST(!state.apply(2, put(4, "four")));
    BOOST_TEST(!state.apply(3, put(5, "other five")));
    BOOST_TEST(text_of(state) == "five");
    BOOST_TEST(state.index == 1U);
    BOOST_TEST(state.apply(4, put(9, "nine")));
    BOOST_TEST(text_of(state) == "nine");
    BOOST_TEST(state.index == 4U);
}

BOOST_AUTO_TEST_CASE(first_document_may_have_version_zero)
{
    intent state;
    BOOST_TEST(state.apply(1, put(0, "zero")));
    BOOST_TEST(!state.apply(2, put(0, "again")));
    BOOST_TEST(text_of(state) == "zero");
}

BOOST_AUTO_TEST_CASE(repeated_order_for_a_data_centre_changes_nothing)
{
    intent state;
    BOOST_TEST(state.apply(1, move(command_kind::take_out, "z")));
    BOOST_TEST(!state.apply(2, move(command_kind::take_out, "z")));
    BOOST_TEST(state.taken_out.contains("z"));
    BOOST_TEST(state.apply(3, move(command_kind::bring_back, "z")));
    BOOST_TEST(!state.apply(4, move(command_kind::bring_back, "z")));
    BOOST_TEST(state.taken_out.empty());
}

BOOST_AUTO_TEST_CASE(state_and_orders_survive_encoding)
{
    intent state;
    state.apply(7, put(5, std::string("a\0b", 3)));
    state.apply(8, move(command_kind::take_out, "z"));
    const auto decoded = decode_intent(encode(state));
    BOOST_REQUIRE(is_ok(decoded));
    BOOST_TEST(text_of(value_of(decoded)) == std::string("a\0b", 3));
    BOOST_TEST(value_of(decoded).index == 8U);
    BOOST_TEST(value_of(decoded).taken_out.contains("z"));
    const auto order = decode_command(encode(put(6, "six")));
    BOOST_REQUIRE(is_ok(order));
    BOOST_TEST(value_of(value_of(order).document.unpack()) == "six");
}

BOOST_AUTO_TEST_CASE(damaged_bytes_are_refused)
{
    const std::string whole = encode(put(6, "six"));
    for (std::size_t length = 0; length < whole.size(); ++length)
    {
        const auto cut = decode_command(whole.substr(0, length));
        BOOST_TEST((!is_ok(cut) || value_of(cut).document.bytes().empty() ||
                    !is_ok(value_of(cut).document.unpack()) ||
                    value_of(value_of(cut).document.unpack()) == "six"));
    }
    BOOST_TEST(!is_ok(packed_text("no packed text").unpack()));
    BOOST_TEST(!is_ok(packed_text("").unpack()));
}

BOOST_AUTO_TEST_CASE(large_text_is_packed_and_back)
{
    const std::string text(3'000'000, 'x');
    const packed_text packed = packed_text::pack(text);
    BOOST_TEST(packed.bytes().size() < text.size() / 10);
    BOOST_TEST((value_of(packed.unpack()) == text));
}

BOOST_AUTO_TEST_CASE(sign_of_life_that_a_replica_relays_is_no_change)
{
    const time_point sent(seconds(50));
    registration row;
    row.id = engine_id("i-1");
    row.address = "10.0.0.9:80";
    row.heard_at = sent - milliseconds(300);
    registration_table table;
    for (int i = 0; i < 10; ++i)
    {
        update news;
        row.sequence = static_cast<std::uint64_t>(i);
        news.registrations = {row};
        const time_point received = sent + i * milliseconds(1200);
        const auto decoded = decode_update(encode(news, sent), received);
        const auto merged =
            table.merge(value_of(decoded).registrations.front());
        BOOST_TEST((merged == (i == 0 ? merge_result::changed
                                      : merge_result::refreshed)));
    }
}

BOOST_AUTO_TEST_CASE(update_survives_encoding_with_spans_of_time)
{
    const time_point sent(seconds(50));
    const time_point received(seconds(900));
    update news;
    news.subscribes = true;
    news.is_router = true;
    news.routers = 8;
    news.replicas = {vm_id("10.0.0.1"), vm_id("10.0.0.2")};
    news.is_complete = true;
    registration row;
    row.id = engine_id("i-1");
    row.service = "s";
    row.address = "10.0.0.9:80";
    row.state = server_state::draining;
    row.born_ms = 17;
    row.sequence = 4;
    row.slots = 64;
    row.cold_until = sent + seconds(3);
    row.heard_at = sent - seconds(1);
    news.registrations = {row};
    intent orders;
    orders.apply(12, put(3, "three"));
    news.orders = orders;
    news.intent_index = orders.index;
    const auto decoded = decode_update(encode(news, sent), received);
    BOOST_REQUIRE(is_ok(decoded));
    const update& got = value_of(decoded);
    BOOST_TEST(got.routers == 8U);
    BOOST_TEST(got.replicas.size() == 2U);
    BOOST_TEST(got.orders->index == 12U);
    BOOST_TEST(text_of(*got.orders) == "three");
    BOOST_REQUIRE(got.registrations.size() == 1U);
    BOOST_TEST((got.registrations[0].cold_until == received + seconds(3)));
    BOOST_TEST((got.registrations[0].heard_at == received - seconds(1)));
    BOOST_TEST((got.registrations[0].state == server_state::draining));
    BOOST_TEST(!is_ok(decode_update("not an update", received)));
}

BOOST_AUTO_TEST_SUITE_END()
