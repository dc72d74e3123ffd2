/// \file
/// What operators ordered: the document in force and the data centres taken
/// out. Replicated through the control group's log.

#pragma once

#include <limpet/directory/packed_text.hpp>
#include <limpet/directory/plan.hpp>

#include <cstdint>
#include <memory>
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

/// One order, checked before it is proposed.
struct command
{
    command_kind kind = command_kind::put_document;
    document_version version;
    packed_text document;
    std::string data_centre;
};

std::string encode(const command& order);
outcome<command> decode_command(std::string_view bytes);

/// Orders in force. The shared document is replaced, never changed.
struct intent
{
    /// Index in the log of the last order that changed anything.
    std::uint64_t index = 0;
    document_version version;
    std::shared_ptr<const packed_text> document;
    std::set<std::string> taken_out;

    /// Applies an order of the log. A document that is not higher than the
    /// one in force changes nothing. Returns whether anything changed.
    bool apply(std::uint64_t at, const command& order);
};

std::string encode(const intent& state);
outcome<intent> decode_intent(std::string_view bytes);

} // namespace limpet::directory
