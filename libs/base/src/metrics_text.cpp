#include <limpet/base/metrics_text.hpp>

#include <cmath>

namespace limpet
{

void write_histogram(std::ostream& out,
                     std::string_view name,
                     std::string_view labels,
                     const histogram& values)
{
    std::uint64_t below = 0;
    for (std::size_t i = 0; i < histogram::bucket_count; ++i)
    {
        const std::uint64_t inside = values.bucket(i);
        const double bound = histogram::upper_bound_seconds(i);
        below += inside;
        // Empty buckets are left out; the last one is always needed.
        if (inside == 0 && !std::isinf(bound))
        {
            continue;
        }
        out << name << "_bucket{" << labels << ",le=\"";
        std::isinf(bound) ? out << "+Inf" : out << bound;
        out << "\"} " << below << "\n";
    }
    out << name << "_sum{" << labels << "} " << values.sum_seconds() << "\n";
    out << name << "_count{" << labels << "} " << values.count() << "\n";
}

} // namespace limpet
