/// \file
/// Turns operators' documents into commands and differences.

#pragma once

#include <limpet/base/outcome.hpp>
#include <limpet/config/command.hpp>

#include <boost/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace limpet::config
{

/// An object in force as the operators' interface gives it.
struct object_in_force
{
    revision changed_at;
    object value;
};

/// A field that differs between two objects.
struct field_difference
{
    /// Path of the field, such as "parameters.priority".
    std::string field;
    /// JSON text of the value; empty if the field is absent.
    std::string before;
    std::string after;

    friend bool operator==(const field_difference&,
                           const field_difference&) = default;
};

/// An entry of an operator's file: a command document, which names its
/// operation, or an object's document, which has a kind.
struct document_entry
{
    object_key key;
    /// The command document; absent for an object's document.
    std::optional<command> order;
    /// The object's document; absent for a command.
    std::optional<object> wanted;
    /// The revision that the object's document was made from, if it says so
    /// in a field "revision".
    std::optional<revision> based_on;
};

/// Parses one entry of an operator's file.
outcome<document_entry> parse_entry(const boost::json::value& document);

/// Parses an object with its revision from the operators' interface.
outcome<object_in_force> parse_in_force(const boost::json::value& document);

/// Returns the command that brings the object in force to the entry, or
/// nothing if it is so already. Entries with a command are returned as they
/// are. The operation id is used for objects' documents.
std::optional<command>
command_for(const document_entry& entry,
            const std::optional<object_in_force>& in_force,
            const operation_id& operation);

/// Returns the fields that differ, in the order of their paths.
std::vector<field_difference> differences(const std::optional<object>& before,
                                          const std::optional<object>& after);

} // namespace limpet::config
