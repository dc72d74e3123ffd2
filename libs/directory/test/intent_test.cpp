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
    order.document = std::make_shared<const stored_document>(std::string(text));
    return order;
}

command change(std::uint64_t version,
               std::uint64_t base,
               std::string_view former,
               std::string_view text)
{
    command order;
    order.version = document_version(version);
    order.change =
        change_of_version{document_version(base), make_delta(former, text)};
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
    return state.document->text();
}

} // namespace

BOOST_AUTO_TEST_SUITE(orders)

BOOST_AUTO_TEST_CASE(highest_version_stays_in_force)
{
    intent state;
    BOOST_TEST((state.apply(1, put(5, "five")) == order_result::changed));
    BOOST_TEST((state.apply(2, put(4, "four")) == order_result::unchanged));
    BOOST_TEST(
        (state.apply(3, put(5, "other five")) == order_result::unchanged));
    BOOST_TEST(text_of(state) == "five");
    BOOST_TEST(state.index == 1U);
    BOOST_TEST((state.apply(4, put(9, "nine")) == order_result::changed));
    BOOST_TEST(text_of(state) == "nine");
    BOOST_TEST(state.index == 4U);
}

BOOST_AUTO_TEST_CASE(first_document_may_have_version_zero)
{
    intent state;
    BOOST_TEST((state.apply(1, put(0, "zero")) == order_result::changed));
    BOOST_TEST((state.apply(2, put(0, "again")) == order_result::unchanged));
    BOOST_TEST(text_of(state) == "zero");
}

BOOST_AUTO_TEST_CASE(change_of_the_document_in_force_makes_the_next)
{
    intent state;
    state.apply(1, put(5, "[{1},{2}]"));
    const auto order =
        decode_command(encode(change(9, 5, "[{1},{2}]", "[{1},{3},{2}]")));
    BOOST_REQUIRE(is_ok(order));
    BOOST_TEST((state.apply(2, value_of(order)) == order_result::changed));
    BOOST_TEST(text_of(state) == "[{1},{3},{2}]");
    BOOST_TEST(state.version.get() == 9U);
    BOOST_TEST(state.index == 2U);
}

BOOST_AUTO_TEST_CASE(change_of_another_document_is_not_taken)
{
    intent state;
    const command order = change(9, 5, "[{1}]", "[{1},{2}]");
    BOOST_TEST((state.apply(1, order) == order_result::other_base));
    state.apply(2, put(6, "[{1}]"));
    BOOST_TEST((state.apply(3, order) == order_result::other_base));
    BOOST_TEST(text_of(state) == "[{1}]");
    BOOST_TEST(state.index == 2U);
    // A higher version came first: nothing is left to do.
    state.apply(4, put(10, "ten"));
    BOOST_TEST((state.apply(5, order) == order_result::unchanged));
}

BOOST_AUTO_TEST_CASE(change_of_a_large_document_is_a_small_entry)
{
    std::string former = "[";
    for (int i = 0; i < 1000; ++i)
    {
        former += R"({"name":")" + std::to_string(i * 7919) + R"("},)";
    }
    const std::string text = former + R"({"name":"new"}])";
    const std::string entry = encode(change(9, 5, former, text));
    BOOST_TEST(entry.size() < 300U);
    BOOST_TEST(encode(put(9, text)).size() > 3000U);
}

BOOST_AUTO_TEST_CASE(repeated_order_for_a_data_centre_changes_nothing)
{
    intent state;
    BOOST_TEST((state.apply(1, move(command_kind::take_out, "z")) ==
                order_result::changed));
    BOOST_TEST((state.apply(2, move(command_kind::take_out, "z")) ==
                order_result::unchanged));
    BOOST_TEST(state.taken_out.contains("z"));
    BOOST_TEST((state.apply(3, move(command_kind::bring_back, "z")) ==
                order_result::changed));
    BOOST_TEST((state.apply(4, move(command_kind::bring_back, "z")) ==
                order_result::unchanged));
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
    BOOST_TEST(value_of(order).document->text() == "six");
}

BOOST_AUTO_TEST_CASE(damaged_bytes_are_refused)
{
    const std::string whole = encode(put(6, "six"));
    for (std::size_t length = 0; length < whole.size(); ++length)
    {
        const auto cut = decode_command(whole.substr(0, length));
        BOOST_TEST((!is_ok(cut) || !value_of(cut).document ||
                    value_of(cut).document->text() == "six"));
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
