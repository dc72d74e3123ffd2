#include <limpet/base/random.hpp>
#include <limpet/directory/text_delta.hpp>

#include <boost/test/unit_test.hpp>

#include <string>

using namespace limpet;
using namespace limpet::directory;

namespace
{

std::string entry(std::uint64_t number)
{
    return R"({"name":"route-)" + std::to_string(number) +
           R"(","services":[{"service":"s"}]})";
}

std::string list_of(const std::vector<std::uint64_t>& numbers)
{
    std::string text =
        R"({"version":)" + std::to_string(numbers.size()) + R"(,"routes":[)";
    for (const std::uint64_t each : numbers)
    {
        text += (text.back() == '[' ? "" : ",") + entry(each);
    }
    return text + "]}";
}

std::size_t size_of(const text_delta& delta)
{
    std::size_t bytes = 0;
    for (const delta_piece& each : delta.pieces)
    {
        bytes += sizeof(each.begin) + sizeof(each.length) + each.added.size();
    }
    return bytes;
}

std::string applied(const text_delta& delta, std::string_view base_text)
{
    const auto result = apply_delta(delta, base_text);
    BOOST_REQUIRE(is_ok(result));
    return value_of(result);
}

} // namespace

BOOST_AUTO_TEST_SUITE(text_deltas)

BOOST_AUTO_TEST_CASE(one_new_entry_of_many_costs_its_own_size)
{
    std::vector<std::uint64_t> numbers;
    for (std::uint64_t i = 0; i < 500; ++i)
    {
        numbers.push_back(i);
    }
    const std::string base_text = list_of(numbers);
    numbers.insert(numbers.begin() + 200, 1000);
    const std::string text = list_of(numbers);
    const text_delta delta = make_delta(base_text, text);
    BOOST_TEST(applied(delta, base_text) == text);
    // The first entry contains the version, so it is new as well.
    BOOST_TEST(size_of(delta) < 4 * entry(0).size());
}

BOOST_AUTO_TEST_CASE(random_changes_of_a_list_are_reproduced)
{
    random_source random(1);
    std::vector<std::uint64_t> numbers = {1, 2, 3, 4, 5};
    std::string base_text = list_of(numbers);
    for (int round = 0; round < 500; ++round)
    {
        const auto place =
            static_cast<std::ptrdiff_t>(random.below(numbers.size() + 1));
        const std::uint64_t operation = random.below(4);
        if (operation == 0 && !numbers.empty())
        {
            numbers.erase(numbers.begin() + place % std::ssize(numbers));
        }
        else if (operation == 1 && numbers.size() > 1)
        {
            std::swap(numbers.front(), numbers[random.below(numbers.size())]);
        }
        else
        {
            numbers.insert(numbers.begin() + place, random.below(20));
        }
        const std::string text = list_of(numbers);
        BOOST_TEST(applied(make_delta(base_text, text), base_text) == text);
        base_text = text;
    }
}

BOOST_AUTO_TEST_CASE(texts_without_entries_are_sent_in_full)
{
    BOOST_TEST(applied(make_delta("", "abc"), "") == "abc");
    BOOST_TEST(applied(make_delta("abc", ""), "abc").empty());
    BOOST_TEST(applied(make_delta("abc", "abc"), "abc") == "abc");
}

BOOST_AUTO_TEST_CASE(delta_for_another_base_text_is_rejected)
{
    const std::string base_text = list_of({1, 2, 3});
    const text_delta delta = make_delta(base_text, list_of({1, 2, 3, 4}));
    BOOST_TEST(!is_ok(apply_delta(delta, list_of({1, 2, 9}))));
    BOOST_TEST(!is_ok(apply_delta(delta, "")));
}

BOOST_AUTO_TEST_SUITE_END()
