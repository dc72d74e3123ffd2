/// \file
/// Operators' orders: the configuration document in force and the data centres
/// taken out of service; and the software versions that servers have had.
/// Replicated through the control group's log.

#pragma once

#include <limpet/directory/departures.hpp>
#include <limpet/directory/plan.hpp>
#include <limpet/directory/stored_document.hpp>
#include <limpet/directory/text_delta.hpp>
#include <limpet/rollout/record.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace limpet::directory
{

/// Kind of an operator's order.
enum class command_kind : std::uint8_t
{
    put_document = 1,
    take_out = 2,    ///< Send no new requests to a data centre's servers.
    bring_back = 3,  ///< Send requests to the data centre's servers again.
    add_version = 4, ///< A server of the software version has registered.
    /// Begin a rollout. Releases without rollouts skip this and the next one.
    start_rollout = 5,
    advance_rollout = 6, ///< Move a rollout to its next phase.
};

/// A new document as a delta against the document of the version `base`.
struct change_of_version
{
    document_version base;
    text_delta delta;
};

/// One operator's order, validated before it is proposed to the log.
struct command
{
    command_kind kind = command_kind::put_document;
    document_version version;
    /// The document in full, or else as a delta, which takes a fraction of the
    /// bytes in the log and on the links between replicas.
    std::shared_ptr<const stored_document> document;
    std::optional<change_of_version> change;
    std::string data_centre;
    /// Of add_version.
    std::string service;
    std::string software_version;
    /// Of start_rollout.
    std::optional<rollout::start_order> start;
    /// Of advance_rollout.
    std::optional<rollout::advance> step;
};

/// Software versions by service. Survives a restart of all replicas, so that
/// routers then still know which services have had one version only.
using version_map = std::map<std::string, std::set<std::string>>;

/// Result of applying an order.
enum class order_result
{
    changed,    ///< The order is in force.
    unchanged,  ///< The state already includes the order or a newer document.
    other_base, ///< Rejected: the delta's base is not the document in force.
    conflict,   ///< Rejected: the service has another rollout.
};

/// Encodes an order as an entry of the log.
std::string encode(const command& order);

/// Decodes an entry of the log. Errors: malformed, or corrupt if a full
/// document cannot be decompressed.
outcome<command> decode_command(std::string_view bytes);

/// Replicated state of the orders in force. The shared document is immutable; a
/// new one replaces it.
struct intent
{
    /// Log index of the last order that changed the state.
    std::uint64_t index = 0;
    document_version version;
    std::shared_ptr<const stored_document> document;
    std::set<std::string> taken_out;
    version_map versions;
    rollout::record_map rollouts;

    /// Returns whether add_version of these would change the state. The number
    /// of versions is bounded, as anybody may register.
    bool lacks_version(const std::string& service,
                       const std::string& software_version) const;

    /// Applies the order at log index `at`. A document whose version is not
    /// higher than the one in force changes nothing. A step that only commits
    /// a rollout's elapsed time counts as no change, as routers need not know.
    order_result apply(std::uint64_t at, const command& order);

private:
    order_result put_document(const command& order);
    order_result begin_rollout(std::uint64_t at, const command& order);
    order_result advance_rollout(const command& order);
};

/// Encodes the state and the departures as a snapshot.
std::string encode(const intent& state, const departure_table& departures = {});

/// Decodes the state of a snapshot. Errors: malformed, corrupt.
outcome<intent> decode_intent(std::string_view bytes);

/// Decodes the departures of a snapshot; none if a former release wrote it.
/// Errors: malformed.
outcome<departure_table> decode_departures(std::string_view bytes);

} // namespace limpet::directory
