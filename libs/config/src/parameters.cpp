#include <limpet/config/parameters.hpp>

#include <algorithm>

namespace limpet::config
{

namespace
{

template <class T>
const T& choose(const std::optional<T>& override, const T& base)
{
    return override ? *override : base;
}

} // namespace

std::uint32_t team_parameters::priority() const
{
    return choose(m_overrides->priority, m_base->priority);
}

std::uint32_t team_parameters::share() const
{
    return choose(m_overrides->share, m_base->share);
}

const std::vector<model_id>& team_parameters::models() const
{
    return choose(m_overrides->models, m_base->models);
}

token_count team_parameters::max_output_tokens() const
{
    return choose(m_overrides->max_output_tokens, m_base->max_output_tokens);
}

duration team_parameters::deadline() const
{
    return choose(m_overrides->deadline, m_base->deadline);
}

duration team_parameters::queue_time() const
{
    return choose(m_overrides->queue_time, m_base->queue_time);
}

std::uint32_t team_parameters::max_open_requests() const
{
    return choose(m_overrides->max_open_requests, m_base->max_open_requests);
}

duration team_parameters::chat_retention() const
{
    return choose(m_overrides->chat_retention, m_base->chat_retention);
}

const std::vector<route_rule>& team_parameters::routes() const
{
    return choose(m_overrides->routes, m_base->routes);
}

bool team_parameters::repeatable(std::string_view kind) const
{
    return std::any_of(routes().begin(),
                       routes().end(),
                       [kind](const route_rule& rule)
                       {
                           return rule.kind == kind && rule.repeatable;
                       });
}

bool team_parameters::allows_model(std::string_view model) const
{
    return std::any_of(models().begin(),
                       models().end(),
                       [model](const model_id& id)
                       {
                           return id.get() == model;
                       });
}

} // namespace limpet::config
