#include <limpet/base/hash.hpp>
#include <limpet/origins/keys.hpp>

namespace limpet::origins
{

stream_key make_stream_key(const request_id& begun_by)
{
    return stream_key(stable_hash(begun_by.get()));
}

service_key make_service_key(std::string_view service)
{
    return service_key(stable_hash(service));
}

version_key make_version_key(std::string_view service, std::string_view version)
{
    return version_key(
        combine_hashes(stable_hash(service), stable_hash(version)));
}

} // namespace limpet::origins
