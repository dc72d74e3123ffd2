#include <limpet/directory/stored_document.hpp>

#include <utility>

namespace limpet::directory
{

stored_document::stored_document(std::string text)
    : m_text(std::move(text))
{
}

outcome<std::shared_ptr<const stored_document>>
stored_document::decompress(compressed_text compressed)
{
    auto text = compressed.decompress();
    if (!is_ok(text))
    {
        return error_of(text);
    }
    auto document =
        std::make_shared<stored_document>(std::move(value_of(text)));
    document->m_compressed = std::move(compressed);
    return std::shared_ptr<const stored_document>(std::move(document));
}

const compressed_text& stored_document::packed() const
{
    if (!m_compressed)
    {
        m_compressed = compressed_text::compress(m_text);
    }
    return *m_compressed;
}

} // namespace limpet::directory
