/// \file
/// What operators ordered: the document in force and the data centres taken
/// out. Replicated through the control group's log.

#pragma once

#include <limpet/directory/plan.hpp>
#include <limpet/directory/stored_document.hpp>
#include <limpet/directory/text_delta.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace limpet::directory
{

/// Kind of an order.
enum class command_kind : std::uint8_t
{
    put_document = 1,
    take_out = 2, ///< No new requests to a data centre's servers.
    bring_back = 3,
};

/// What changes the document of a version.
struct change_of_version
{
    document_version base;
    text_delta delta;
};

/// One order, checked before it is proposed.
struct command
{
    command_kind kind = command_kind::put_document;
    document_version version;
    /// The whole document, or else its change. A change takes a fraction of
    /// the bytes in the log and on the links between replicas.
    std::shared_ptr<const stored_document> document;
    std::optional<change_of_version> change;
    std::string data_centre;
};

/// What became of an order.
enum class order_result
{
    changed,    ///< It is in force.
    unchanged,  ///< What is in force covers it.
    other_base, ///< Not taken: it changes a document that is not in force.
};

std::string encode(const command& order);
outcome<command> decode_command(std::string_view bytes);

/// Orders in force. The shared document is replaced, never changed.
struct intent
{
    /// Index in the log of the last order that changed anything.
    std::uint64_t index = 0;
    document_version version;
    std::shared_ptr<const stored_document> document;
    std::set<std::string> taken_out;

    /// Applies an order of the log. A document that is not higher than the
    /// one in force changes nothing.
    order_result apply(std::uint64_t at, const command& order);

private:
    order_result put_document(const command& order);
};

std::string encode(const intent& state);
outcome<intent> decode_intent(std::string_view bytes);

} // namespace limpet::directory
