// The state machine, the snapshots and the clients of sim_cluster.

#include "sim_cluster.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <functional>
#include <sstream>

namespace lovagebeam::consensus::test {

namespace {

constexpr std::uint64_t key_count = 3;
constexpr sim_time operation_timeout = 150'000;
/// The first clients only read, and stay with a node that responds, so that reads reach former
/// leaders.
constexpr std::size_t readers = 2;

std::string encode_lists(const lists& state)
{
    std::ostringstream out;
    for (const auto& [key, values] : state) {
        out << key << ' ' << values.size();
        for (const std::uint64_t value : values) {
            out << ' ' << value;
        }
        out << '\n';
    }
    return out.str();
}

void append_command(lists& state, const log_entry& entry)
{
    if (entry.kind == entry_kind::command) {
        std::istringstream in{entry.payload};
        std::uint64_t key = 0;
        std::uint64_t value = 0;
        in >> key >> value;
        state[key].push_back(value);
    }
}

} // namespace

lists decode_lists(const std::string& text)
{
    lists state;
    std::istringstream in{text};
    std::uint64_t key = 0;
    std::size_t count = 0;
    while (in >> key >> count) {
        auto& values = state[key];
        values.resize(count);
        for (std::uint64_t& value : values) {
            in >> value;
        }
    }
    return state;
}

void sim_cluster::apply(std::size_t index, const log_entry& entry)
{
    sim_node& node = m_nodes[index];
    if (entry.index != node.applied.next()) {
        throw violation(absl::StrCat("apply order: ", entry.index.value(), " after ",
                                     node.applied.value(), " on ", node.self.id.str()));
    }
    node.applied = entry.index;
    append_command(node.state, entry);
    const auto it = node.proposals.find(entry.index);
    if (it != node.proposals.end()) {
        finish(it->second.second,
               it->second.first == entry.term ? operation_state::done : operation_state::failed);
        node.proposals.erase(it);
    }
}

void sim_cluster::handle_proposal_result(std::size_t index, const proposal_result& result)
{
    if (const auto* accepted = std::get_if<proposal_accepted>(&result)) {
        if (accepted->tag.value() != 0) {
            auto& slot = m_nodes[index].proposals[accepted->index];
            if (slot.first != term{}) {
                finish(slot.second, operation_state::unknown);
            }
            slot = {accepted->term, accepted->tag.value() - 1};
        }
        return;
    }
    const auto& rejected = std::get<proposal_rejected>(result);
    if (rejected.tag.value() != 0) {
        finish(rejected.tag.value() - 1, operation_state::failed);
    }
}

void sim_cluster::handle_read_result(std::size_t index, const read_result& result)
{
    const sim_node& node = m_nodes[index];
    if (const auto* rejected = std::get_if<read_rejected>(&result)) {
        finish(rejected->tag.value() - 1, operation_state::failed);
        return;
    }
    const auto& ready = std::get<read_ready>(result);
    if (ready.index > node.applied) {
        throw violation("read order: a read is ready before its index is applied");
    }
    operation& operation = m_operations[ready.tag.value() - 1];
    const auto it = node.state.find(operation.key);
    operation.result = it == node.state.end() ? std::vector<std::uint64_t>{} : it->second;
    operation.by_lease = ready.by_lease;
    finish(ready.tag.value() - 1, operation_state::done);
}

void sim_cluster::finish(std::size_t operation_index, operation_state state)
{
    operation& operation = m_operations[operation_index];
    if (operation.state != operation_state::running) {
        return;
    }
    operation.state = state;
    if (state == operation_state::done) {
        operation.returned = m_now;
        ++m_completed;
    }
    for (client& caller : m_clients) {
        if (caller.running == operation_index) {
            caller.running.reset();
        }
    }
}

void sim_cluster::run_client(std::size_t client_index)
{
    const bool reader = client_index < readers;
    const auto pause = static_cast<std::uint64_t>(reader ? 10'000 : m_max_writer_pause);
    at(m_now + 4'000 + static_cast<sim_time>(m_random.below(pause)),
       [this, client_index] { run_client(client_index); });
    client& caller = m_clients[client_index];
    if (caller.running && m_now - m_operations[*caller.running].invoked < operation_timeout) {
        return;
    }
    if (caller.running) {
        finish(*caller.running, operation_state::unknown);
        caller.node = m_random.below(m_nodes.size());
    }
    if (!m_clients_run) {
        return;
    }
    const sim_node& current = m_nodes[caller.node];
    const bool leads = current.up && current.raft->role() == replica_role::leader;
    if (!leads || m_random.chance(reader ? 0.01 : 0.05)) {
        caller.node = m_random.below(m_nodes.size());
    }
    if (!m_nodes[caller.node].up) {
        return;
    }
    operation next_operation;
    next_operation.is_read = reader || m_random.chance(0.2);
    next_operation.key = m_random.below(key_count);
    next_operation.value = m_operations.size() + 1;
    next_operation.invoked = m_now;
    m_operations.push_back(next_operation);
    caller.running = m_operations.size() - 1;
    const request_tag tag{m_operations.size()};
    if (next_operation.is_read) {
        submit(caller.node, read{{tag}});
    }
    else {
        submit(caller.node,
               propose{{{tag, absl::StrCat(next_operation.key, " ", next_operation.value)}}});
    }
}

void sim_cluster::save_snapshot(std::size_t index)
{
    sim_node& node = m_nodes[index];
    if (!node.up || node.paused_until > m_now) {
        return;
    }
    auto meta = node.raft->describe_snapshot(node.applied);
    if (!meta) {
        return;
    }
    std::string data = encode_lists(node.state);
    meta->size = base::bytes{static_cast<std::int64_t>(data.size())};
    meta->checksum = std::hash<std::string>{}(data);
    schedule_for(index, 3'000, [this, index, saved = *meta, bytes = std::move(data)] {
        sim_disk& disk = m_nodes[index].disk;
        if (saved.index > disk.snapshot.index) {
            disk.save_snapshot(saved, bytes);
            submit(index, snapshot_saved{saved});
        }
    });
}

void sim_cluster::handle_snapshot_effect(std::size_t index, const snapshot_effect& effect)
{
    sim_node& node = m_nodes[index];
    if (const auto* chunk_request = std::get_if<read_snapshot_chunk>(&effect)) {
        std::string data;
        if (node.disk.snapshot == chunk_request->meta) {
            data = node.disk.snapshot_data.substr(chunk_request->offset, chunk_request->max_bytes);
        }
        schedule_for(index, 300, [this, index, request = *chunk_request, bytes = std::move(data)] {
            submit(index,
                   snapshot_chunk_read{request.to, request.meta.index, request.offset, bytes});
        });
        return;
    }
    const auto& chunk = std::get<store_snapshot_chunk>(effect);
    node.incoming_snapshot.resize(chunk.offset);
    node.incoming_snapshot += chunk.data;
    const std::uint64_t next = node.incoming_snapshot.size();
    schedule_for(index, 500, [this, index, meta = chunk.meta, next, last = chunk.last] {
        if (last) {
            install(index, meta);
        }
        else {
            submit(index, snapshot_chunk_stored{meta.index, next});
        }
    });
}

void sim_cluster::install(std::size_t index, const snapshot_meta& meta)
{
    sim_node& node = m_nodes[index];
    if (std::hash<std::string>{}(node.incoming_snapshot) != meta.checksum) {
        throw violation("snapshot transfer: the received bytes differ from the sent ones");
    }
    node.disk.install_snapshot(meta, std::exchange(node.incoming_snapshot, {}));
    node.state = decode_lists(node.disk.snapshot_data);
    node.applied = meta.index;
    node.log.reset(meta.index, {});
    for (auto it = node.proposals.begin(); it != node.proposals.end();) {
        const bool covered = it->first <= meta.index;
        if (covered) {
            finish(it->second.second, operation_state::unknown);
        }
        it = covered ? node.proposals.erase(it) : std::next(it);
    }
    submit(index, snapshot_installed{meta});
}

void sim_cluster::check_history() const
{
    lists final_lists;
    for (std::size_t i = 0; i < m_invariants.last_committed().value(); ++i) {
        append_command(final_lists, m_invariants.committed(i));
    }
    check_linearizable(m_operations, final_lists);
    const std::string expected = encode_lists(final_lists);
    for (const sim_node& node : m_nodes) {
        if (node.up && node.applied == m_invariants.last_committed() &&
            encode_lists(node.state) != expected) {
            throw violation(absl::StrCat("state machine safety: ", node.self.id.str(),
                                         " has another state at index ", node.applied.value()));
        }
    }
}

} // namespace lovagebeam::consensus::test
