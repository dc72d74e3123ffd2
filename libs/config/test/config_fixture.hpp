/// \file
/// Test fixture: a state machine with two partners and their operators.

#pragma once

#include <limpet/base/settings_reader.hpp>
#include <limpet/config/state_machine.hpp>

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <string>

namespace limpet::config
{

/// Returns the error message, or an empty string if the result is a value.
template <class T>
std::string error_message(const outcome<T>& result)
{
    return is_ok(result) ? std::string() : error_of(result).message;
}

/// Returns the number of seeds for a randomized test: the value of the
/// environment variable LIMPET_INTERLEAVINGS, or the fallback if it is not set.
inline std::uint64_t interleavings(std::uint64_t fallback)
{
    const char* text = std::getenv("LIMPET_INTERLEAVINGS");
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

struct config_fixture
{
    config_fixture()
    {
        put("root",
            R"({"kind": "operator", "id": "root", "token_sha256": ")" +
                to_hex(sha256("root-token")) + "\"}");
        for (const std::string name : {"bureau", "utility"})
        {
            put_partner(name);
        }
        put("op-bureau",
            R"({"kind": "service_route", "id": "bureau/alerts",
                "service": "alerts", "repeatable_methods": ["GET"]})");
    }

    /// Returns the text with each dollar sign replaced by the name.
    static std::string substitute(std::string text, const std::string& name)
    {
        for (std::size_t at = text.find('$'); at != std::string::npos;
             at = text.find('$'))
        {
            text.replace(at, 1, name);
        }
        return text;
    }

    /// Adds a partner with an operator, data centre, template and team.
    void put_partner(const std::string& name)
    {
        const std::string author = "op-" + name;
        const std::string token = to_hex(sha256(name + "-token"));
        const std::string key = to_hex(sha256(name + "-key"));
        put("root",
            substitute(
                R"({"kind": "partner", "id": "$", "guaranteed_percent": 40})",
                name));
        put("root",
            substitute(R"({"kind": "operator", "id": "op-$", "partner": "$",
                     "token_sha256": ")",
                       name)
                .append(token)
                .append("\"}"));
        put("root",
            substitute(R"({"kind": "data_centre", "id": "dc-$", "region": "r1",
                     "partner": "$"})",
                       name));
        put(author,
            substitute(R"({"kind": "template", "id": "chat-$", "partner": "$",
                     "parameters": {"models": ["m1"], "routes":
                     [{"kind": "chat", "repeatable": true}]}})",
                       name));
        put(author,
            substitute(R"({"kind": "team", "id": "team-$", "partner": "$",
                     "template": "chat-$", "overrides": {"priority": 7},
                     "keys_sha256": [")",
                       name)
                .append(key)
                .append("\"]}"));
    }

    /// Parses the command document and sets the author.
    static command make_command(const std::string& author,
                                const std::string& document)
    {
        const auto json = parse_json(document);
        BOOST_REQUIRE_MESSAGE(is_ok(json), document);
        outcome<command> order = parse_command(value_of(json));
        BOOST_REQUIRE_MESSAGE(is_ok(order), error_message(order));
        value_of(order).author = operator_id(author);
        return value_of(order);
    }

    static std::string document(const std::string& operation,
                                std::uint64_t expected,
                                const std::string& what)
    {
        return R"({"operation": ")" + operation +
               R"(", "expected_revision": )" + std::to_string(expected) + "," +
               what + "}";
    }

    command_result submit(const std::string& author,
                          const std::string& command_document)
    {
        return machine.apply(++index, make_command(author, command_document));
    }

    /// Creates or replaces an object, using its current revision as the
    /// expected one. Fails the test if the command is rejected.
    void put(const std::string& author, const std::string& value)
    {
        const auto json = parse_json(value);
        BOOST_REQUIRE_MESSAGE(is_ok(json), value);
        const object_key key{
            *parse_object_kind(value_of(json).at("kind").as_string()),
            std::string(value_of(json).at("id").as_string())};
        const auto mark = machine.view()->mark_of(key);
        const command_result result =
            submit(author,
                   document("setup-" + std::to_string(index),
                            mark ? mark->changed_at.get() : 0,
                            "\"put\":" + value));
        BOOST_REQUIRE_MESSAGE(std::holds_alternative<accepted>(result),
                              boost::json::serialize(to_json(result)));
    }

    std::uint64_t revision_of(object_kind kind, const std::string& id) const
    {
        const auto mark = machine.view()->mark_of({kind, id});
        return mark ? mark->changed_at.get() : 0;
    }

    state_machine machine{77, {64, 64}};
    std::uint64_t index = 0;
};

} // namespace limpet::config
