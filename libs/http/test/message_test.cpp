#include <limpet/http/message.hpp>

#include <boost/test/unit_test.hpp>

using namespace limpet;
using namespace limpet::http;

namespace
{

/// A list with two fields of one name.
struct three_fields
{
    header_list headers;

    three_fields()
    {
        headers.add("A", "1");
        headers.add("B", "2");
        headers.add("a", "3");
    }

    std::string text() const
    {
        std::string result;
        for (const header each : headers)
        {
            result.append(each.name).append("=").append(each.value).append(";");
        }
        return result;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(header_lists, three_fields)

BOOST_AUTO_TEST_CASE(fields_are_listed_in_the_order_received)
{
    BOOST_TEST(text() == "A=1;B=2;a=3;");
    BOOST_TEST(headers.size() == 3U);
}

BOOST_AUTO_TEST_CASE(find_returns_the_first_value_without_regard_to_case)
{
    BOOST_TEST(headers.find("a").value() == "1");
    BOOST_TEST(!headers.find("C"));
    BOOST_TEST(headers.value_or_empty("C").empty());
}

BOOST_AUTO_TEST_CASE(set_replaces_all_fields_of_the_name)
{
    headers.set("a", "4");
    BOOST_TEST(text() == "B=2;a=4;");
    headers.erase("B");
    headers.erase("C");
    BOOST_TEST(text() == "a=4;");
}

BOOST_AUTO_TEST_CASE(set_takes_a_value_of_the_list_itself)
{
    headers.set("B", headers.value_or_empty("A"));
    BOOST_TEST(text() == "A=1;a=3;B=1;");
}

BOOST_AUTO_TEST_CASE(many_small_fields_take_a_few_times_their_text)
{
    header_list many;
    constexpr std::size_t count = 1800;
    for (std::size_t i = 0; i < count; ++i)
    {
        many.add("ab", "c");
    }
    many.shrink_to_fit();
    BOOST_TEST(many.memory_bytes() <= count * 16);
}

BOOST_AUTO_TEST_SUITE_END()
