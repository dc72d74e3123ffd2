/// \file
/// A configuration of the target's size with plausible objects.

#pragma once

#include <limpet/config/state_machine.hpp>

#include <cstddef>
#include <cstdint>

namespace limpet::bench
{

/// Returns a state with two partners, 20 templates each and the given number
/// of teams, of which one in four has overrides.
config::state_machine make_sample_state(std::size_t teams);

/// Returns a command that changes one of the teams, which must exist. The
/// number makes its operation id unique.
config::command make_team_change(const config::state_machine& state,
                                 std::size_t team,
                                 std::uint64_t number);

/// Returns the key of a team of the sample.
std::string sample_key(std::size_t team);

/// Returns the bytes that the process has allocated on its heap.
std::uint64_t heap_bytes();

} // namespace limpet::bench
