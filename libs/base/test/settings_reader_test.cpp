#include <limpet/base/settings_reader.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace limpet;

namespace
{

struct bad_document
{
    const char* text;
    const char* message;
};

std::ostream& operator<<(std::ostream& out, const bad_document& item)
{
    return out << item.text;
}

const bad_document bad_documents[] = {
    {R"({"port": 70000})", "router.port: must be between 1 and 65535"},
    {R"({"port": "x"})",
     "router.port: must be a whole number that is not negative"},
    {R"({})", "router.port: is required"},
    {R"({"port": 1, "other": 2})", "router.other: is not a known setting"},
    {R"([])", "router: must be an object"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(settings_reader_suite)

BOOST_DATA_TEST_CASE(reader_bad_document_names_path_and_reason,
                     boost::unit_test::data::make(bad_documents))
{
    const auto document = parse_json(sample.text);
    BOOST_REQUIRE(is_ok(document));
    settings_reader reader(value_of(document), "router");
    reader.number("port", 1, 65535);
    const status result = reader.finish();
    BOOST_REQUIRE(!is_ok(result));
    BOOST_TEST(error_of(result).message == sample.message);
}

BOOST_AUTO_TEST_CASE(json_malformed_names_line_and_column)
{
    const auto document = parse_json("{\n \"a\": ?}");
    BOOST_REQUIRE(!is_ok(document));
    BOOST_TEST(error_of(document).message.find("line 2") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(json_too_deep_is_refused)
{
    BOOST_TEST(!is_ok(parse_json(std::string(1000, '['))));
}

BOOST_AUTO_TEST_CASE(sent_document_of_small_values_is_refused)
{
    std::string text = "[1";
    while (text.size() < 100'000)
    {
        text += ",1";
    }
    BOOST_TEST(!is_ok(parse_sent_json(text + "]")));
    BOOST_TEST(is_ok(parse_json(text + "]")));
}

BOOST_AUTO_TEST_CASE(sent_document_of_names_is_parsed)
{
    std::string text = R"([{"name":"a","on":true,"rank":1})";
    while (text.size() < 100'000)
    {
        text += R"(,{"name":"r\"[,{","on":true,"rank":1})";
    }
    BOOST_TEST(is_ok(parse_sent_json(text + "]")));
    BOOST_TEST(is_ok(parse_sent_json("[1,2,3]")));
    BOOST_TEST(!is_ok(parse_sent_json("[1,")));
}

BOOST_AUTO_TEST_SUITE_END()
