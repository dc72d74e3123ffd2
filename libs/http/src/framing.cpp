#include "framing.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <string_view>
#include <vector>

namespace limpet::http
{

namespace
{

using boost::beast::http::opt_token_list;
using boost::beast::http::validate_list;

bool is_chunked(std::string_view coding)
{
    return boost::beast::iequals(coding, "chunked");
}

} // namespace

transfer_coding transfer_coding_of(const boost::beast::http::fields& fields)
{
    const auto [begin, end] =
        fields.equal_range(boost::beast::http::field::transfer_encoding);
    std::vector<std::string_view> values;
    for (auto field = begin; field != end; ++field)
    {
        const auto value = field->value();
        values.emplace_back(value.data(), value.size());
    }
    return transfer_coding_of(values);
}

transfer_coding transfer_coding_of(const std::vector<std::string_view>& values)
{
    if (values.empty())
    {
        return transfer_coding::none;
    }
    std::vector<std::string_view> codings;
    for (const std::string_view value : values)
    {
        // Codings with parameters are not valid in this list, and none of
        // them is supported.
        const opt_token_list list(value);
        if (!validate_list(list))
        {
            return transfer_coding::undelimited;
        }
        for (const auto token : list)
        {
            codings.emplace_back(token.data(), token.size());
        }
    }
    const auto chunked =
        std::count_if(codings.begin(), codings.end(), is_chunked);
    if (chunked != 1 || !is_chunked(codings.back()))
    {
        return transfer_coding::undelimited;
    }
    return codings.size() == 1 ? transfer_coding::chunked
                               : transfer_coding::unsupported;
}

} // namespace limpet::http
