/// \file
/// Parser of a request that keeps each byte once.

#pragma once

#include <limpet/http/message.hpp>

#include <boost/beast/http/basic_parser.hpp>

#include <cstddef>
#include <cstdint>

namespace limpet::http
{

/// Parses a request into plain values. Unlike Beast's own parser it allocates
/// nothing for each field, and nothing for an announced length. Fields of a
/// trailer are dropped.
class request_parser : public boost::beast::http::basic_parser<true>
{
public:
    /// Returns what has arrived of the request.
    const request& get() const noexcept
    {
        return m_request;
    }

    request take()
    {
        return std::move(m_request);
    }

    /// Returns the memory that the request takes, in bytes.
    std::size_t memory_bytes() const noexcept;

    /// Returns 11 for HTTP/1.1. Valid once the header is done, as all below.
    int version() const noexcept
    {
        return m_version;
    }

    bool expects_continue() const;

    /// Returns the status that refuses a request whose end would not be
    /// certain to all that read it, or 0. The base class ends a request with
    /// another coding than chunked after its head, so that its body would be
    /// read as a request.
    unsigned framing_status() const;

private:
    using error_code = boost::system::error_code;
    using text_view = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb method,
                         text_view method_text,
                         text_view target,
                         int version,
                         error_code& failure) override;
    void on_response_impl(int status,
                          text_view reason,
                          int version,
                          error_code& failure) override;
    void on_field_impl(boost::beast::http::field known,
                       text_view name,
                       text_view value,
                       error_code& failure) override;
    void on_header_impl(error_code& failure) override;
    void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                           error_code& failure) override;
    std::size_t on_body_impl(text_view body, error_code& failure) override;
    void on_chunk_header_impl(std::uint64_t size,
                              text_view extensions,
                              error_code& failure) override;
    std::size_t on_chunk_body_impl(std::uint64_t remaining,
                                   text_view body,
                                   error_code& failure) override;
    void on_finish_impl(error_code& failure) override;

    std::size_t append_body(text_view bytes);

    request m_request;
    int m_version = 0;
    bool m_is_tunnel = false;
    /// Whether the fields that follow belong to a trailer.
    bool m_has_header = false;
};

} // namespace limpet::http
