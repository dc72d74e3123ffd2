/// \file
/// Identifiers used across the libraries.

#pragma once

#include <limpet/base/strong_type.hpp>

#include <cstdint>
#include <string>

namespace limpet
{

using vm_id = strong_type<struct vm_id_tag, std::string>;
using region_id = strong_type<struct region_id_tag, std::string>;
using data_centre_id = strong_type<struct data_centre_id_tag, std::string>;
using partner_id = strong_type<struct partner_id_tag, std::string>;
using team_id = strong_type<struct team_id_tag, std::string>;
using template_id = strong_type<struct template_id_tag, std::string>;
using engine_id = strong_type<struct engine_id_tag, std::string>;
using model_id = strong_type<struct model_id_tag, std::string>;
using chat_id = strong_type<struct chat_id_tag, std::string>;
using request_id = strong_type<struct request_id_tag, std::string>;
using operation_id = strong_type<struct operation_id_tag, std::string>;
using idempotency_key = strong_type<struct idempotency_key_tag, std::string>;

/// Number that a process or server draws at each start. A higher number is a
/// later start.
using incarnation = strong_type<struct incarnation_tag, std::uint64_t>;

/// Number of a configuration as a whole or of one object in it. Revisions
/// only rise.
using revision = strong_type<struct revision_tag, std::uint64_t>;

/// Number that rises with each change of an engine's owner.
using fencing_number = strong_type<struct fencing_number_tag, std::uint64_t>;

} // namespace limpet
