#include "hello.hpp"

#include "hello_generated.h"

namespace limpet::wire
{

namespace
{

constexpr std::uint16_t protocol_version = 1;

} // namespace

std::string encode_hello(const link_identity& self)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(fbs::CreatehelloDirect(builder,
                                          protocol_version,
                                          self.vm.get().c_str(),
                                          self.data_centre.get().c_str(),
                                          self.start.get(),
                                          self.address.c_str()));
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
            builder.GetSize()};
}

outcome<link_identity> decode_hello(std::string_view payload)
{
    const auto* bytes = reinterpret_cast<const std::uint8_t*>(payload.data());
    flatbuffers::Verifier verifier(bytes, payload.size());
    if (!fbs::VerifyhelloBuffer(verifier))
    {
        return error{error_code::malformed, "malformed hello frame"};
    }
    const fbs::hello* hello = fbs::Gethello(bytes);
    if (hello->version() != protocol_version)
    {
        return error{error_code::malformed,
                     "unsupported protocol version " +
                         std::to_string(hello->version())};
    }
    return link_identity{vm_id(hello->vm()->str()),
                         data_centre_id(hello->data_centre()->str()),
                         incarnation(hello->incarnation()),
                         hello->address()->str()};
}

} // namespace limpet::wire
