#include "packed_rows.hpp"

namespace limpet::membership
{

namespace
{

constexpr unsigned bits_per_byte = 7;
constexpr std::uint8_t continuation_bit = 0x80;
constexpr std::size_t key_bytes = sizeof(model_key);

void append_number(std::vector<std::uint8_t>& out, std::uint64_t value)
{
    while (value >= continuation_bit)
    {
        out.push_back(static_cast<std::uint8_t>(value) | continuation_bit);
        value >>= bits_per_byte;
    }
    out.push_back(static_cast<std::uint8_t>(value));
}

/// Reads integers from packed rows. After the first malformed one, failed()
/// stays true.
class row_reader
{
public:
    row_reader(const std::uint8_t* data, std::size_t size)
        : m_data(data),
          m_remaining(size)
    {
    }

    bool at_end() const
    {
        return m_remaining == 0;
    }

    bool failed() const
    {
        return m_failed;
    }

    std::uint8_t byte()
    {
        if (m_remaining == 0)
        {
            m_failed = true;
            return 0;
        }
        --m_remaining;
        return *m_data++;
    }

    model_key read_key()
    {
        model_key value = 0;
        for (std::size_t i = 0; i < key_bytes; ++i)
        {
            value |= static_cast<model_key>(byte()) << (8 * i);
        }
        return value;
    }

    std::uint64_t read_number(unsigned max_bits)
    {
        std::uint64_t value = 0;
        for (unsigned shift = 0; shift < max_bits; shift += bits_per_byte)
        {
            const auto next = byte();
            value |= static_cast<std::uint64_t>(next & (continuation_bit - 1))
                     << shift;
            if ((next & continuation_bit) == 0)
            {
                return value;
            }
        }
        m_failed = true;
        return 0;
    }

private:
    const std::uint8_t* m_data;
    std::size_t m_remaining;
    bool m_failed = false;
};

} // namespace

std::vector<std::uint8_t> pack(const load_rows& rows)
{
    std::vector<std::uint8_t> out;
    for (const auto& [model, row] : rows)
    {
        for (std::size_t i = 0; i < key_bytes; ++i)
        {
            out.push_back(static_cast<std::uint8_t>(model >> (8 * i)));
        }
        append_number(out, row.in_flight);
        append_number(out, row.eligible);
    }
    return out;
}

std::optional<load_rows> unpack(const std::uint8_t* data, std::size_t size)
{
    constexpr unsigned in_flight_bits = 42;
    constexpr unsigned eligible_bits = 28;
    load_rows rows;
    row_reader reader(data, size);
    while (!reader.at_end())
    {
        const auto model = reader.read_key();
        load_row row;
        row.in_flight = reader.read_number(in_flight_bits);
        row.eligible =
            static_cast<std::uint32_t>(reader.read_number(eligible_bits));
        if (reader.failed())
        {
            return std::nullopt;
        }
        rows[model] = row;
    }
    return rows;
}

} // namespace limpet::membership
