#include <limpet/base/hash.hpp>
#include <limpet/consensus/testing/invariant_checker.hpp>
#include <limpet/storage/bytes.hpp>

namespace limpet::consensus::testing
{

namespace
{

std::uint64_t command_number(const std::string& command)
{
    storage::byte_reader in(command);
    return in.get<std::uint64_t>();
}

} // namespace

std::string make_command(std::uint64_t number, std::size_t bytes)
{
    std::string command;
    storage::put(command, number);
    command.resize(std::max(bytes, command.size()), 'c');
    return command;
}

void chain_state::apply(const storage::log_entry& entry)
{
    const auto content =
        combine_hashes(stable_hash(entry.data), entry.term.get());
    hash = combine_hashes(hash, content);
    applied = entry.index;
}

std::string chain_state::save(std::size_t padding) const
{
    std::string data;
    storage::put(data, applied.get());
    storage::put(data, hash);
    data.append(padding, 'p');
    return data;
}

chain_state chain_state::restore(const std::string& data)
{
    storage::byte_reader in(data);
    chain_state state;
    state.applied = log_index{in.get<std::uint64_t>()};
    state.hash = in.get<std::uint64_t>();
    return state;
}

void invariant_checker::fail(const std::string& violation)
{
    if (m_violation.empty())
    {
        m_violation = violation;
    }
}

void invariant_checker::saw_view(const node_view& view)
{
    if (view.role == node_role::leader)
    {
        const auto [entry, added] = m_leaders.emplace(view.term, view.self);
        if (entry->second != view.self)
        {
            fail("two leaders in term " + std::to_string(view.term.get()));
        }
    }
    if (view.applied > view.committed || view.committed > view.last)
    {
        fail("positions out of order at " + view.self.vm.get());
    }
}

void invariant_checker::applied(const storage::log_entry& entry,
                                const chain_state& after)
{
    const auto [known, added] = m_chain.emplace(entry.index, after.hash);
    if (known->second != after.hash)
    {
        fail("other entry applied at " + std::to_string(entry.index.get()));
    }
    if (entry.kind != storage::entry_kind::command)
    {
        return;
    }
    const auto number = command_number(entry.data);
    const auto [first, is_new] = m_commands.emplace(number, entry.index);
    if (first->second != entry.index)
    {
        fail("command applied twice: " + std::to_string(number));
    }
    if (m_refused.contains(number))
    {
        fail("refused command applied: " + std::to_string(number));
    }
}

void invariant_checker::restored(const chain_state& state)
{
    const auto known = m_chain.find(state.applied);
    if (known == m_chain.end() || known->second != state.hash)
    {
        fail("unknown state restored at " +
             std::to_string(state.applied.get()));
    }
}

void invariant_checker::acknowledged(std::uint64_t command, log_index index)
{
    const auto known = m_commands.find(command);
    if (known == m_commands.end() || known->second != index)
    {
        fail("acknowledged but not applied: " + std::to_string(command));
    }
    m_last_acknowledged = std::max(m_last_acknowledged, index);
    ++m_acknowledgements;
}

void invariant_checker::refused(std::uint64_t command)
{
    m_refused.insert(command);
    if (m_commands.contains(command))
    {
        fail("applied command refused: " + std::to_string(command));
    }
}

void invariant_checker::read_done(log_index begun, const chain_state& state)
{
    ++m_reads;
    if (state.applied < begun)
    {
        fail("stale read at " + std::to_string(state.applied.get()) +
             ", acknowledged " + std::to_string(begun.get()));
    }
}

} // namespace limpet::consensus::testing
