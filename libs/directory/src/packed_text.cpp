#include <limpet/directory/packed_text.hpp>

#include <array>
#include <utility>
#include <zlib.h>

namespace limpet::directory
{

namespace
{

/// Largest text that is unpacked; guards memory against corrupt bytes. Four
/// times the largest body that the operators' interface takes.
constexpr std::size_t max_text_bytes = 16UL * 1024 * 1024;
constexpr std::size_t chunk_bytes = 16UL * 1024;

/// Runs a zlib stream over the bytes until its end and returns its output.
template <class Step>
outcome<std::string> run(z_stream& stream, std::string_view from, Step step)
{
    const error broken{error_code::corrupt, "packed text cannot be read"};
    std::string out;
    std::array<unsigned char, chunk_bytes> chunk{};
    // zlib does not write to its input.
    stream.next_in = const_cast<unsigned char*>(
        reinterpret_cast<const unsigned char*>(from.data()));
    stream.avail_in = static_cast<uInt>(from.size());
    for (;;)
    {
        stream.next_out = chunk.data();
        stream.avail_out = chunk.size();
        const int result = step(stream);
        out.append(reinterpret_cast<const char*>(chunk.data()),
                   chunk.size() - stream.avail_out);
        if (result == Z_STREAM_END)
        {
            return out;
        }
        const bool is_stuck = stream.avail_out == chunk.size();
        if (result != Z_OK || is_stuck || out.size() > max_text_bytes)
        {
            return broken;
        }
    }
}

} // namespace

packed_text::packed_text(std::string bytes)
    : m_bytes(std::move(bytes))
{
}

packed_text packed_text::pack(std::string_view text)
{
    z_stream stream{};
    deflateInit(&stream, Z_BEST_SPEED);
    auto packed = run(stream,
                      text,
                      [](z_stream& each)
                      {
                          return deflate(&each, Z_FINISH);
                      });
    deflateEnd(&stream);
    return packed_text(value_of(std::move(packed)));
}

outcome<std::string> packed_text::unpack() const
{
    z_stream stream{};
    inflateInit(&stream);
    auto text = run(stream,
                    m_bytes,
                    [](z_stream& each)
                    {
                        return inflate(&each, Z_NO_FLUSH);
                    });
    inflateEnd(&stream);
    return text;
}

} // namespace limpet::directory
