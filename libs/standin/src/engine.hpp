/// \file
/// Fake model engine.

#pragma once

#include "answer_text.hpp"
#include "backend.hpp"
#include "engine_load.hpp"
#include "run_control.hpp"

#include <limpet/standin/settings.hpp>

#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace limpet::standin
{

/// Answers chat completions with a text that follows from the messages, at a
/// pace set by its load, and keeps a prefix cache.
class engine : public backend
{
public:
    engine(const engine_settings& settings, bool checks_fencing);

    load_sample load() const override;
    cache_changes take_cache_changes() override;

protected:
    boost::asio::awaitable<void> serve(http::exchange& call) override;
    void go_cold() override;

private:
    /// One request in progress.
    struct run
    {
        std::shared_ptr<run_control> control;
        chat_call call;
        answer_names names;
        chat_id chat;
        idempotency_key key;
        std::optional<fault> failure;
        std::uint64_t sequence = 0;
        std::uint64_t fencing = 0;
        std::uint64_t resume_after = 0;
        std::uint64_t length = 0;
        std::uint64_t events = 0;
        std::uint64_t falls = 0;
        token_usage usage;
    };

    boost::asio::awaitable<void> complete_chat(http::exchange& call);
    boost::asio::awaitable<run_outcome> answer(http::exchange& call, run& item);
    boost::asio::awaitable<run_outcome> stream(http::exchange& call, run& item);
    boost::asio::awaitable<run_outcome> whole(http::exchange& call, run& item);
    http::response cancel(std::string_view id);
    http::response move_cache(const http::request& call, bool import);
    bool take_fencing(std::uint64_t number);
    bool begin(run& item);
    void end(const run& item, run_outcome outcome);
    bool has_fallen(const run& item) const;
    duration token_time() const;
    run make_run(const http::request& message, chat_call call) const;

    const engine_settings m_settings;
    const bool m_checks_fencing;
    mutable std::mutex m_mutex;
    engine_load m_load;
    prefix_cache m_cache;
    std::uint64_t m_highest_fencing = 0;
    std::unordered_multimap<request_id, std::shared_ptr<run_control>> m_runs;
};

} // namespace limpet::standin
