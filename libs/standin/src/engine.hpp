/// \file
/// Fake model engine.

#pragma once

#include "answer_text.hpp"
#include "backend_server.hpp"
#include "engine_load.hpp"
#include "run_control.hpp"

#include <limpet/standin/settings.hpp>

#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace limpet::standin
{

/// Serves chat completions. The text is a deterministic function of the
/// messages, the token rate depends on the load, and completed chats enter a
/// prefix cache. Thread-safe.
class engine : public backend_server
{
public:
    engine(const engine_settings& settings, bool checks_fencing);

    load_sample load() const override;
    cache_changes take_cache_changes() override;

protected:
    boost::asio::awaitable<void> serve(http::exchange& call) override;
    void reset_to_cold() override;

private:
    /// State of one request in progress.
    struct active_request
    {
        std::shared_ptr<run_control> control;
        chat_request_body call;
        answer_identity names;
        chat_id chat;
        idempotency_key key;
        std::optional<fault> failure;
        std::uint64_t sequence = 0;
        std::uint64_t fencing = 0;
        std::uint64_t resume_after = 0;
        std::uint64_t length = 0;
        std::uint64_t events = 0;
        std::uint64_t crash_count = 0;
        token_usage usage;
    };

    boost::asio::awaitable<void> complete_chat(http::exchange& call);
    boost::asio::awaitable<run_outcome> answer(http::exchange& call,
                                               active_request& active);
    boost::asio::awaitable<run_outcome> answer_stream(http::exchange& call,
                                                      active_request& active);
    boost::asio::awaitable<run_outcome> answer_complete(http::exchange& call,
                                                        active_request& active);
    http::response cancel(std::string_view id);
    http::response transfer_cache(const http::request& call, bool import);
    bool accept_fencing(std::uint64_t number);
    bool begin(active_request& active);
    void end(const active_request& active, run_outcome outcome);
    bool has_crashed(const active_request& active) const;
    duration token_time() const;
    active_request make_active_request(const http::request& message,
                                       chat_request_body call) const;

    const engine_settings m_settings;
    const bool m_checks_fencing;
    mutable std::mutex m_mutex;
    engine_load m_load;
    prefix_cache m_cache;
    std::uint64_t m_highest_fencing = 0;
    std::unordered_multimap<request_id, std::shared_ptr<run_control>>
        m_active_requests;
};

} // namespace limpet::standin
