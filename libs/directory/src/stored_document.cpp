#include <limpet/directory/stored_document.hpp>

#include <utility>

namespace limpet::directory
{

stored_document::stored_document(std::string text)
    : m_text(std::move(text))
{
}

outcome<std::shared_ptr<const stored_document>>
stored_document::unpack(packed_text packed)
{
    auto text = packed.unpack();
    if (!is_ok(text))
    {
        return error_of(text);
    }
    auto made = std::make_shared<stored_document>(std::move(value_of(text)));
    made->m_packed = std::move(packed);
    return std::shared_ptr<const stored_document>(std::move(made));
}

const packed_text& stored_document::packed() const
{
    if (!m_packed)
    {
        m_packed = packed_text::pack(m_text);
    }
    return *m_packed;
}

} // namespace limpet::directory
