#include <limpet/claims/outcome_archive.hpp>

#include <algorithm>
#include <iterator>

namespace limpet::claims
{

namespace
{

constexpr std::uint64_t slices_per_period = 24;
constexpr std::size_t initial_slots = 16;

static_assert(sizeof(archived_outcome) == 32);

/// Returns the slot of the key, or the free slot to insert it into. The table
/// must have at least one free slot, and a power of two of slots.
std::size_t slot_of(const std::vector<archived_outcome>& slots,
                    const claim_key& key)
{
    const std::size_t mask = slots.size() - 1;
    std::size_t slot = key.high & mask;
    while (slots[slot].is_occupied && slots[slot].key != key)
    {
        slot = (slot + 1) & mask;
    }
    return slot;
}

} // namespace

void outcome_archive::slice::add(const archived_outcome& value)
{
    // Keeps the load factor at three quarters at most.
    if (4 * (count + 1) > 3 * slots.size())
    {
        grow();
    }
    archived_outcome& slot = slots[slot_of(slots, value.key)];
    count += slot.is_occupied ? 0 : 1;
    slot = value;
    slot.is_occupied = true;
}

void outcome_archive::slice::grow()
{
    std::vector<archived_outcome> larger(
        std::max(initial_slots, 2 * slots.size()));
    for (const archived_outcome& each : slots)
    {
        if (each.is_occupied)
        {
            larger[slot_of(larger, each.key)] = each;
        }
    }
    slots = std::move(larger);
}

const archived_outcome* outcome_archive::slice::find(const claim_key& key) const
{
    const archived_outcome& slot = slots[slot_of(slots, key)];
    return slot.is_occupied ? &slot : nullptr;
}

std::vector<archived_outcome> outcome_archive::slice::sorted() const
{
    std::vector<archived_outcome> out;
    out.reserve(count);
    std::copy_if(slots.begin(),
                 slots.end(),
                 std::back_inserter(out),
                 [](const archived_outcome& each)
                 {
                     return each.is_occupied;
                 });
    std::sort(out.begin(),
              out.end(),
              [](const archived_outcome& left, const archived_outcome& right)
              {
                  return left.key < right.key;
              });
    return out;
}

outcome_archive::outcome_archive(milliseconds period)
    : m_period_ms(static_cast<std::uint64_t>(period.count())),
      m_slice_ms(std::max<std::uint64_t>(1, m_period_ms / slices_per_period))
{
}

void outcome_archive::add(const archived_outcome& value, std::uint64_t from_ms)
{
    const std::uint64_t number = from_ms / m_slice_ms;
    if (m_slices.empty() || m_slices.back().number < number)
    {
        m_slices.push_back({number, 0, {}});
    }
    m_slices.back().add(value);
}

const archived_outcome* outcome_archive::find(const claim_key& key) const
{
    for (const slice& each : m_slices)
    {
        const archived_outcome* found = each.find(key);
        if (found != nullptr)
        {
            return found;
        }
    }
    return nullptr;
}

void outcome_archive::expire(std::uint64_t now_ms)
{
    const auto is_expired = [&](const slice& each)
    {
        return (each.number + 1) * m_slice_ms + m_period_ms <= now_ms;
    };
    while (!m_slices.empty() && is_expired(m_slices.front()))
    {
        m_slices.pop_front();
    }
}

std::uint64_t outcome_archive::bytes() const noexcept
{
    std::uint64_t total = 0;
    for (const slice& each : m_slices)
    {
        total += each.slots.size() * sizeof(archived_outcome);
    }
    return total;
}

std::size_t outcome_archive::size() const noexcept
{
    std::size_t total = 0;
    for (const slice& each : m_slices)
    {
        total += each.count;
    }
    return total;
}

} // namespace limpet::claims
