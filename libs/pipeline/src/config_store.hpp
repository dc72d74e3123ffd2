/// \file
/// The configuration in force at this router.

#pragma once

#include <limpet/config/config_view.hpp>

#include <mutex>

namespace limpet::pipeline
{

/// Holds the configuration in force, which never reverts. Thread-safe.
class config_store
{
public:
    /// Returns the configuration, or null before there is one.
    config::view_ptr get() const;

    /// Puts a configuration in force unless it is not newer. Returns whether
    /// it did.
    bool adopt(config::view_ptr received);

private:
    mutable std::mutex m_mutex;
    config::view_ptr m_view;
};

} // namespace limpet::pipeline
