/// \file
/// Frames between control replicas and routers.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/directory/intent.hpp>
#include <limpet/directory/registration.hpp>
#include <limpet/directory/text_delta.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpet::directory
{

/// A document as what changed since the one of the orders at the index.
struct document_change
{
    std::uint64_t base_index = 0;
    /// An encoded text_delta; one serves for many receivers.
    std::string delta;
};

/// What one process tells another. Every part may be missing.
struct update
{
    /// The sender asks to be told of changes.
    bool subscribes = false;
    bool is_router = false;
    /// Index of the intent that is in force at the sender.
    std::uint64_t intent_index = 0;
    /// Index of the intent whose document the sender keeps; the one in force
    /// or one that is not confirmed yet.
    std::uint64_t document_index = 0;
    std::optional<intent> orders;
    /// Whether the sender is sure that no newer orders were acknowledged.
    /// Others than that are committed as well.
    bool is_sure = false;
    /// Takes the place of the document of the orders.
    std::optional<document_change> change;
    /// Replicas that the sender knows of.
    std::vector<vm_id> replicas;
    /// Routers that the sender heard of lately.
    std::uint32_t routers = 0;
    /// Whether the registrations are all that the sender knows.
    bool is_complete = false;
    std::vector<registration> registrations;
};

/// Times travel as spans, so that clocks need not agree.
std::string encode(const update& from, time_point now);
outcome<update> decode_update(std::string_view bytes, time_point now);

} // namespace limpet::directory
