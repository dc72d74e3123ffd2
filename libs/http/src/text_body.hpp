/// \file
/// Message body that grows only with the bytes that have arrived.

#pragma once

#include <limpet/base/text_growth.hpp>

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <cstdint>
#include <string>

namespace limpet::http
{

/// Beast body kept in a string. Unlike Beast's own, it reserves nothing for an
/// announced length, which a peer may set without sending the bytes.
struct text_body
{
    using value_type = std::string;

    class reader
    {
    public:
        template <bool IsRequest, class Fields>
        reader(boost::beast::http::header<IsRequest, Fields>&, value_type& body)
            : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t>&,
                  boost::system::error_code& failure)
        {
            failure = {};
        }

        template <class Buffers>
        std::size_t put(const Buffers& buffers,
                        boost::system::error_code& failure)
        {
            failure = {};
            std::size_t count = 0;
            for (auto part : boost::beast::buffers_range_ref(buffers))
            {
                append_tightly(
                    m_body,
                    {static_cast<const char*>(part.data()), part.size()});
                count += part.size();
            }
            return count;
        }

        void finish(boost::system::error_code& failure)
        {
            failure = {};
        }

    private:
        value_type& m_body;
    };
};

} // namespace limpet::http
