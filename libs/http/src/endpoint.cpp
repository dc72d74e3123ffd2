#include <limpet/http/endpoint.hpp>

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <cstdint>
#include <sstream>

namespace limpet::http
{

namespace
{

error bad_endpoint(std::string_view text)
{
    return {error_code::invalid_argument,
            "\"" + std::string(text) + "\" is not an IP number and a port"};
}

std::string_view without_brackets(std::string_view host)
{
    const bool bracketed =
        host.size() > 2 && host.front() == '[' && host.back() == ']';
    return bracketed ? host.substr(1, host.size() - 2) : host;
}

} // namespace

outcome<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return bad_endpoint(text);
    }
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const char* end = digits.data() + digits.size();
    const auto read = std::from_chars(digits.data(), end, port);
    if (digits.empty() || read.ec != std::errc() || read.ptr != end)
    {
        return bad_endpoint(text);
    }
    boost::system::error_code failure;
    const std::string host(without_brackets(text.substr(0, colon)));
    const auto address = boost::asio::ip::make_address(host, failure);
    if (failure)
    {
        return bad_endpoint(text);
    }
    return boost::asio::ip::tcp::endpoint(address, port);
}

std::string to_string(const boost::asio::ip::tcp::endpoint& endpoint)
{
    std::ostringstream text;
    text << endpoint;
    return text.str();
}

} // namespace limpet::http
