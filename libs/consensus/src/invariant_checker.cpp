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

void invariant_checker::on_view(const node_view& view)
{
    if (view.role == node_role::leader)
    {
        const auto [entry, added] = m_leaders.emplace(view.term, view.self);
        if (entry->second != view.self)
        {
            fail("more than one leader in term " +
                 std::to_string(view.term.get()));
        }
    }
    if (view.applied > view.committed || view.committed > view.last)
    {
        fail("log positions are not applied <= committed <= last at " +
             view.self.vm.get());
    }
}

void invariant_checker::on_applied(const storage::log_entry& entry,
                                   const chain_state& after)
{
    const auto [known, added] = m_state_hashes.emplace(entry.index, after.hash);
    if (known->second != after.hash)
    {
        fail("replicas applied different entries at index " +
             std::to_string(entry.index.get()));
    }
    if (entry.kind != storage::entry_kind::command)
    {
        return;
    }
    const auto number = command_number(entry.data);
    const auto [first, is_new] = m_command_indexes.emplace(number, entry.index);
    if (first->second != entry.index)
    {
        fail("command applied twice: " + std::to_string(number));
    }
    if (m_refused_commands.contains(number))
    {
        fail("command applied after its refusal: " + std::to_string(number));
    }
}

void invariant_checker::on_restored(const chain_state& state)
{
    const auto known = m_state_hashes.find(state.applied);
    if (known == m_state_hashes.end() || known->second != state.hash)
    {
        fail("restored state differs from the applied log at index " +
             std::to_string(state.applied.get()));
    }
}

void invariant_checker::on_acknowledged(std::uint64_t command, log_index index)
{
    const auto known = m_command_indexes.find(command);
    if (known == m_command_indexes.end() || known->second != index)
    {
        fail("command acknowledged but not applied at its index: " +
             std::to_string(command));
    }
    m_last_acknowledged = std::max(m_last_acknowledged, index);
    ++m_acknowledgements;
}

void invariant_checker::on_refused(std::uint64_t command)
{
    m_refused_commands.insert(command);
    if (m_command_indexes.contains(command))
    {
        fail("command refused but applied: " + std::to_string(command));
    }
}

void invariant_checker::finish_read(log_index begun, const chain_state& state)
{
    ++m_reads;
    if (state.applied < begun)
    {
        fail("stale read: state at index " +
             std::to_string(state.applied.get()) +
             ", acknowledged before the read: index " +
             std::to_string(begun.get()));
    }
}

} // namespace limpet::consensus::testing
