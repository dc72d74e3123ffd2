#include "run.hpp"

#include <functional>

namespace limpet::bench
{

namespace
{

constexpr duration drain_time = seconds(120);
/// Time that an engine stays after it announced that it leaves.
constexpr duration leave_time = seconds(30);

/// Feeds one placement and changes the fleet under it.
template <class Placement>
class runner
{
public:
    runner(const run_settings& settings,
           event_queue& events,
           fleet& engines,
           Placement& placement)
        : m_settings(settings),
          m_events(events),
          m_fleet(engines),
          m_placement(placement),
          m_random(settings.seed * 977 + 5)
    {
    }

    void run(const std::vector<turn>& workload)
    {
        m_workload = &workload;
        repeat(m_settings.churn,
               [this]
               {
                   churn();
               });
        repeat(m_settings.flap,
               [this]
               {
                   flap();
               });
        repeat(m_settings.colds,
               [this]
               {
                   m_fleet.turn_cold(pick());
               });
        feed(0);
        m_events.run_until(time_point{} + m_settings.length + drain_time);
    }

private:
    void feed(std::size_t at)
    {
        if (at == m_workload->size())
        {
            return;
        }
        m_events.at((*m_workload)[at].at,
                    [this, at]
                    {
                        m_placement.arrive((*m_workload)[at]);
                        feed(at + 1);
                    });
    }

    void repeat(std::optional<duration> interval, std::function<void()> act)
    {
        if (!interval)
        {
            return;
        }
        m_events.after(*interval,
                       [this, interval, act = std::move(act)]
                       {
                           if (m_events.now() >=
                               time_point{} + m_settings.length)
                           {
                               return;
                           }
                           act();
                           repeat(interval, act);
                       });
    }

    /// Returns an engine in service, but not the flapping one.
    std::uint32_t pick()
    {
        while (true)
        {
            const auto at = static_cast<std::uint32_t>(
                m_random.below(m_fleet.engines().size()));
            if (at != 0 && m_fleet.engines()[at].eligible())
            {
                return at;
            }
        }
    }

    void churn()
    {
        m_joining = !m_joining;
        if (m_joining)
        {
            m_fleet.add_engine(static_cast<std::uint32_t>(
                                   m_random.below(m_settings.data_centres)),
                               false);
        }
        else
        {
            // Announced: what runs is finished, nothing new starts.
            const std::uint32_t leaving = pick();
            m_fleet.set_in_service(leaving, false);
            m_events.after(leave_time,
                           [this, leaving]
                           {
                               m_fleet.remove_engine(leaving);
                           });
        }
        m_placement.engines_changed();
    }

    void flap()
    {
        m_fleet.set_in_service(0, !m_fleet.engines()[0].view.in_service);
        m_placement.engines_changed();
    }

    run_settings m_settings;
    event_queue& m_events;
    fleet& m_fleet;
    Placement& m_placement;
    random_source m_random;
    const std::vector<turn>* m_workload = nullptr;
    bool m_joining = false;
};

} // namespace

measurements run_placement(const run_settings& settings,
                           const placement_choice& choice,
                           const std::vector<turn>& workload)
{
    event_queue events;
    fleet engines(events,
                  settings.model,
                  time_point{} + settings.warm_up,
                  settings.measure_until);
    for (std::uint32_t at = 0; at < settings.engines; ++at)
    {
        engines.add_engine(at % settings.data_centres, true);
    }
    if (const auto* kind = std::get_if<direct_kind>(&choice))
    {
        direct_placement placement(*kind, engines, 9, settings.seed);
        runner(settings, events, engines, placement).run(workload);
        return std::move(engines.measured());
    }
    routed_placement placement(
        std::get<routed_settings>(choice), engines, settings.seed);
    if (settings.out_at)
    {
        events.at(*settings.out_at,
                  [&placement]
                  {
                      placement.set_data_centre(0, false);
                  });
    }
    if (settings.back_at)
    {
        events.at(*settings.back_at,
                  [&placement]
                  {
                      placement.set_data_centre(0, true);
                  });
    }
    runner(settings, events, engines, placement).run(workload);
    return std::move(engines.measured());
}

} // namespace limpet::bench
