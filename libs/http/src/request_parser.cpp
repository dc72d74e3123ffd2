#include "request_parser.hpp"

#include "framing.hpp"

#include <limpet/base/text_growth.hpp>

#include <boost/beast/core/string.hpp>

#include <string_view>
#include <vector>

namespace limpet::http
{

namespace
{

using boost::beast::iequals;

std::string_view to_view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

std::size_t request_parser::memory_bytes() const noexcept
{
    // What a string holds within itself is part of the parser.
    static const std::size_t free_bytes = std::string().capacity();
    const auto bytes_of = [](const std::string& text)
    {
        return text.capacity() > free_bytes ? text.capacity() : 0;
    };
    return bytes_of(m_request.target) + m_request.headers.memory_bytes() +
           bytes_of(m_request.body);
}

bool request_parser::expects_continue() const
{
    return iequals(m_request.headers.value_or_empty("Expect"), "100-continue");
}

unsigned request_parser::framing_status() const
{
    constexpr int version_with_codings = 11;
    std::vector<std::string_view> codings;
    for (const header each : m_request.headers)
    {
        if (iequals(each.name, "Transfer-Encoding"))
        {
            codings.push_back(each.value);
        }
    }
    const transfer_coding coding = transfer_coding_of(codings);
    if (coding == transfer_coding::undelimited ||
        (coding != transfer_coding::none && m_version < version_with_codings))
    {
        return 400;
    }
    return m_is_tunnel || coding == transfer_coding::unsupported ? 501 : 0;
}

void request_parser::on_request_impl(boost::beast::http::verb method,
                                     text_view method_text,
                                     text_view target,
                                     int version,
                                     error_code& failure)
{
    m_request.method = to_view(method_text);
    m_request.target = to_view(target);
    m_version = version;
    m_is_tunnel = method == boost::beast::http::verb::connect;
    failure = {};
}

void request_parser::on_response_impl(int /*status*/,
                                      text_view /*reason*/,
                                      int /*version*/,
                                      error_code& failure)
{
    failure = {};
}

void request_parser::on_field_impl(boost::beast::http::field /*known*/,
                                   text_view name,
                                   text_view value,
                                   error_code& failure)
{
    if (!m_has_header)
    {
        m_request.headers.add(to_view(name), to_view(value));
    }
    failure = {};
}

void request_parser::on_header_impl(error_code& failure)
{
    m_has_header = true;
    m_request.headers.shrink_to_fit();
    failure = {};
}

void request_parser::on_body_init_impl(
    const boost::optional<std::uint64_t>& /*length*/, error_code& failure)
{
    failure = {};
}

std::size_t request_parser::on_body_impl(text_view body, error_code& failure)
{
    failure = {};
    return append_body(body);
}

void request_parser::on_chunk_header_impl(std::uint64_t /*size*/,
                                          text_view /*extensions*/,
                                          error_code& failure)
{
    failure = {};
}

std::size_t request_parser::on_chunk_body_impl(std::uint64_t /*remaining*/,
                                               text_view body,
                                               error_code& failure)
{
    failure = {};
    return append_body(body);
}

void request_parser::on_finish_impl(error_code& failure)
{
    failure = {};
}

std::size_t request_parser::append_body(text_view bytes)
{
    append_tightly(m_request.body, to_view(bytes));
    return bytes.size();
}

} // namespace limpet::http
