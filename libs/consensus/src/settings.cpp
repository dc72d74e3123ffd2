#include <limpet/consensus/settings.hpp>

namespace limpet::consensus
{

duration settings::lease() const
{
    const double part = (1.0 - clock_drift) / (1.0 + clock_drift);
    return from_seconds(to_seconds(election_timeout) * part);
}

} // namespace limpet::consensus
