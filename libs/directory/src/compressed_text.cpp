#include <limpet/directory/compressed_text.hpp>

#include <array>
#include <utility>
#include <zlib.h>

namespace limpet::directory
{

namespace
{

/// Largest decompressed text, to bound memory use on corrupt bytes. Four times
/// the largest request body that the operators' interface accepts.
constexpr std::size_t max_text_bytes = 16UL * 1024 * 1024;
constexpr std::size_t chunk_bytes = 16UL * 1024;

/// Runs a zlib stream over the input to its end and returns the output.
template <class Step>
outcome<std::string>
run_zlib(z_stream& stream, std::string_view input, Step step)
{
    const error failure{error_code::corrupt, "damaged or oversized zlib data"};
    std::string output;
    std::array<unsigned char, chunk_bytes> chunk{};
    // zlib's API takes a pointer to non-const but does not write to its input.
    stream.next_in = const_cast<unsigned char*>(
        reinterpret_cast<const unsigned char*>(input.data()));
    stream.avail_in = static_cast<uInt>(input.size());
    for (;;)
    {
        stream.next_out = chunk.data();
        stream.avail_out = chunk.size();
        const int result = step(stream);
        output.append(reinterpret_cast<const char*>(chunk.data()),
                      chunk.size() - stream.avail_out);
        if (result == Z_STREAM_END)
        {
            return output;
        }
        const bool made_no_progress = stream.avail_out == chunk.size();
        if (result != Z_OK || made_no_progress ||
            output.size() > max_text_bytes)
        {
            return failure;
        }
    }
}

} // namespace

compressed_text::compressed_text(std::string bytes)
    : m_bytes(std::move(bytes))
{
}

compressed_text compressed_text::compress(std::string_view text)
{
    z_stream stream{};
    deflateInit(&stream, Z_BEST_SPEED);
    auto compressed = run_zlib(stream,
                               text,
                               [](z_stream& each)
                               {
                                   return deflate(&each, Z_FINISH);
                               });
    deflateEnd(&stream);
    return compressed_text(value_of(std::move(compressed)));
}

outcome<std::string> compressed_text::decompress() const
{
    z_stream stream{};
    inflateInit(&stream);
    auto text = run_zlib(stream,
                         m_bytes,
                         [](z_stream& each)
                         {
                             return inflate(&each, Z_NO_FLUSH);
                         });
    inflateEnd(&stream);
    return text;
}

} // namespace limpet::directory
