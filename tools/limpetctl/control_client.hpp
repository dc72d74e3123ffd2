/// \file
/// Client of the endpoints for operators.

#pragma once

#include <limpet/base/outcome.hpp>
#include <limpet/base/units.hpp>

#include <boost/json.hpp>

#include <string>
#include <vector>

namespace limpet::ctl
{

/// Servers, token and timeout of a client.
struct client_settings
{
    /// Addresses tried in turn, IP:PORT.
    std::vector<std::string> servers;
    std::string token;
    /// Deadline for a request including all its retries.
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

/// Sends requests one at a time. A request that fails or gets status 503 is
/// retried on the next server. Commands can be retried safely, since the
/// control group deduplicates them by operation id.
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
    /// Index of the server that is tried first.
    std::size_t m_current = 0;
};

} // namespace limpet::ctl
