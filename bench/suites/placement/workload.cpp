#include "workload.hpp"

#include <algorithm>
#include <iterator>

namespace limpet::bench
{

namespace
{

constexpr double long_pause_factor = 10;
constexpr std::uint32_t surging_teams = 3;

bool is_earlier(const turn& left, const turn& right)
{
    return left.at != right.at ? left.at < right.at : left.chat < right.chat;
}

class generator
{
public:
    generator(const workload_settings& settings, random_source& random)
        : m_settings(settings),
          m_random(random),
          m_next_chat(settings.first_chat)
    {
    }

    std::vector<turn> run()
    {
        // Chats begin before the start, so that the load is steady from it on.
        const duration lead = lead_time();
        const double chats =
            m_settings.requests_per_second / m_settings.mean_turns;
        add_chats(chats, time_point{} - lead, end(), m_settings.teams);
        if (m_settings.surge > 1)
        {
            const double part =
                static_cast<double>(surging_teams) / m_settings.teams;
            const double more =
                m_settings.requests_per_second * part * (m_settings.surge - 1);
            add_surge(more);
        }
        std::sort(m_turns.begin(), m_turns.end(), is_earlier);
        return std::move(m_turns);
    }

private:
    time_point end() const
    {
        return time_point{} + m_settings.length;
    }

    duration lead_time() const
    {
        return std::min<duration>(
            from_seconds(to_seconds(m_settings.mean_pause) *
                         m_settings.mean_turns * 4),
            seconds(3600));
    }

    void add_chats(double rate,
                   time_point from,
                   time_point until,
                   std::uint32_t teams)
    {
        time_point at = from;
        while (true)
        {
            at += from_seconds(m_random.exponential(1 / rate));
            if (at >= until)
            {
                return;
            }
            add_chat(at, until, teams, m_settings.mean_turns);
        }
    }

    /// The surge is of new short chats, which no cache holds.
    void add_surge(double rate)
    {
        time_point at = m_settings.surge_from;
        while (at < m_settings.surge_until)
        {
            at += from_seconds(m_random.exponential(1 / rate));
            add_chat(at, at + seconds(1), surging_teams, 1);
        }
    }

    void add_chat(time_point at,
                  time_point until,
                  std::uint32_t teams,
                  double mean_turns)
    {
        turn next;
        next.chat = m_next_chat++;
        next.partner = m_settings.partner;
        next.team = static_cast<std::uint32_t>(m_random.below(teams));
        next.prompt_tokens =
            300 + static_cast<std::uint32_t>(m_random.below(900));
        const double more = 1 - 1 / mean_turns;
        while (at < until)
        {
            next.at = at;
            next.output_tokens =
                8 + static_cast<std::uint32_t>(m_random.exponential(
                        m_settings.mean_output_tokens - 8));
            if (at >= time_point{})
            {
                m_turns.push_back(next);
            }
            if (!m_random.chance(more))
            {
                return;
            }
            next.returning = true;
            next.prompt_tokens +=
                next.output_tokens + 30 +
                static_cast<std::uint32_t>(m_random.below(170));
            at += next.output_tokens * token_interval + pause();
        }
    }

    duration pause()
    {
        const double mean = to_seconds(m_settings.mean_pause);
        const bool is_long = m_random.chance(m_settings.long_pauses);
        return seconds(3) + from_seconds(m_random.exponential(
                                is_long ? mean * long_pause_factor : mean));
    }

    workload_settings m_settings;
    random_source& m_random;
    std::uint64_t m_next_chat;
    std::vector<turn> m_turns;
};

} // namespace

std::vector<turn> make_workload(const workload_settings& settings,
                                random_source& random)
{
    return generator(settings, random).run();
}

std::vector<turn> merge_workloads(const std::vector<turn>& first,
                                  const std::vector<turn>& second)
{
    std::vector<turn> merged;
    merged.reserve(first.size() + second.size());
    std::merge(first.begin(),
               first.end(),
               second.begin(),
               second.end(),
               std::back_inserter(merged),
               is_earlier);
    return merged;
}

} // namespace limpet::bench
