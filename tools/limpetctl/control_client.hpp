/// \file
/// Requests to the operators' endpoints.

#pragma once

#include <limpet/base/outcome.hpp>
#include <limpet/base/units.hpp>

#include <boost/json.hpp>

#include <string>
#include <vector>

namespace limpet::ctl
{

/// Where and as whom requests are sent.
struct client_settings
{
    /// Addresses tried in turn, IP:PORT.
    std::vector<std::string> servers;
    std::string token;
    /// Time for a request with all its retries.
    duration timeout = seconds(10);
};

/// An answer with its JSON body.
struct answer
{
    unsigned status = 0;
    boost::json::value body;

    bool ok() const noexcept
    {
        return status < 300;
    }
};

/// Sends requests one at a time. A request without an answer, or with one
/// that says that the server cannot answer now, is sent to the next server.
/// Commands may be sent again in this way, since their operation id keeps
/// them from taking effect twice.
class control_client
{
public:
    explicit control_client(client_settings settings);

    /// Sends a GET request to each server once and returns the answers with
    /// status 200. Servers that do not answer are left out.
    std::vector<boost::json::value> get_from_each(const std::string& target);

    /// Returns the answer of the first server that gives one within the
    /// timeout.
    outcome<answer> get(const std::string& target);

    /// \copydoc get
    outcome<answer> post(const std::string& target,
                         const boost::json::value& body);

private:
    outcome<answer> send(const std::string& method,
                         const std::string& target,
                         const std::string& body);
    outcome<answer> send_once(const std::string& server,
                              const std::string& method,
                              const std::string& target,
                              const std::string& body,
                              duration timeout);

    client_settings m_settings;
    /// The server that answered last.
    std::size_t m_current = 0;
};

} // namespace limpet::ctl
