/// \file
/// Short names of streams and software versions, equal at all routers.

#pragma once

#include <limpet/base/ids.hpp>
#include <limpet/base/strong_type.hpp>

#include <cstdint>
#include <string_view>

namespace limpet::origins
{

/// Hash of the id of the request that brought a stream's first event.
using stream_key = strong_type<struct stream_key_tag, std::uint64_t>;

/// Hash of a service's name.
using service_key = strong_type<struct service_key_tag, std::uint64_t>;

/// Hash of a service and a version of its servers' software. Servers with the
/// same key can continue each other's streams.
using version_key = strong_type<struct version_key_tag, std::uint64_t>;

stream_key make_stream_key(const request_id& begun_by);

service_key make_service_key(std::string_view service);

version_key make_version_key(std::string_view service,
                             std::string_view version);

} // namespace limpet::origins
