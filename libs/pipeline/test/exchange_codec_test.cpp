#include <limpet/base/random.hpp>
#include <limpet/pipeline/exchange_message.hpp>

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace limpet;
using namespace limpet::pipeline;

namespace
{

open_message make_open()
{
    open_message open;
    open.request = request_id("r~1~2");
    open.engine = engine_id("e1");
    open.partner = partner_id("bureau");
    open.team = team_id("clinics");
    open.chat = chat_id("c1");
    open.model = model_id("forecast");
    open.cost_tokens = 100;
    open.deadline = seconds(3);
    open.resume_after = 7;
    open.call.method = "POST";
    open.call.target = "/v1/chat/completions";
    open.call.headers.add("A", "1");
    open.call.headers.add("A", "2");
    open.call.body = std::string("a\0b", 3);
    return open;
}

std::vector<exchange_content> make_contents()
{
    http::response_head head;
    head.status = 201;
    head.headers.add("B", "2");
    finish_message finish;
    finish.result = finish_result::not_run;
    finish.reason = {error_code::overloaded, "full"};
    finish.holders = {{engine_id("e2"), incarnation(3), token_count(9)}};
    const prefix_holder holder{engine_id("e3"), incarnation(4), token_count(5)};
    return {make_open(),
            head_message{1, head, true},
            part_message{2, 5, "data: x\n\n"},
            finish,
            credit_message{1000},
            cancel_message{},
            query_message{incarnation(8)},
            state_message{exchange_state::unknown},
            placed_message{team_id("t"), chat_id("c"), holder},
            load_message{engine_id("e4"), incarnation(5), 6, token_count(7)},
            hand_over_message{milliseconds(1500), make_open().call}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(exchange_codec_suite)

BOOST_AUTO_TEST_CASE(message_of_each_kind_round_trips)
{
    const auto contents = make_contents();
    BOOST_REQUIRE(contents.size() == std::variant_size_v<exchange_content>);
    for (std::size_t kind = 0; kind < contents.size(); ++kind)
    {
        const std::string bytes = encode({exchange_id(42), contents[kind]});
        const auto read = decode_exchange_message(bytes);
        BOOST_REQUIRE(is_ok(read));
        BOOST_TEST(value_of(read).exchange.get() == 42U);
        BOOST_TEST(value_of(read).content.index() == kind);
        // Equal messages have equal encodings.
        BOOST_TEST(encode(value_of(read)) == bytes);
    }
}

BOOST_AUTO_TEST_CASE(request_keeps_repeated_header_fields)
{
    const auto read =
        decode_exchange_message(encode({exchange_id(1), make_open()}));
    BOOST_REQUIRE(is_ok(read));
    const auto& open = std::get<open_message>(value_of(read).content);
    BOOST_TEST(open.call.headers.size() == 2U);
    BOOST_TEST(open.call.body.size() == 3U);
    BOOST_TEST(open.resume_after == 7U);
}

BOOST_AUTO_TEST_CASE(corrupted_message_is_rejected_or_decoded)
{
    random_source random(3);
    int refused = 0;
    for (const exchange_content& content : make_contents())
    {
        const std::string good = encode({exchange_id(1), content});
        for (int round = 0; round < 500; ++round)
        {
            std::string bad = good.substr(0, random.below(good.size() + 1));
            for (char& byte : bad)
            {
                byte = random.chance(0.05) ? static_cast<char>(random.next())
                                           : byte;
            }
            refused += is_ok(decode_exchange_message(bad)) ? 0 : 1;
        }
    }
    BOOST_TEST(refused > 0);
}

BOOST_AUTO_TEST_SUITE_END()
