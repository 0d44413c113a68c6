// Measures the processor time of a proposal on the leader, a follower and a learner, and the
// network traffic of an idle learner and an idle leader. All replicas run in memory on one thread.

#include "lovagebeam/consensus/replica.h"

#include <boost/program_options.hpp>

#include <cstdint>
#include <ctime>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace lovagebeam;
using namespace lovagebeam::consensus;

struct options {
    std::uint64_t seed = 1;
    std::size_t proposals = 2000;
    std::size_t batch = 1;
    std::size_t payload = 256;
};

struct traffic {
    std::uint64_t sent_bytes = 0;
    std::uint64_t sent_messages = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t received_messages = 0;
};

/// Returns the processor time of this thread, which other load on the machine doesn't affect.
base::duration processor_time()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec};
}

/// A consensus group whose messages and disk writes complete without delay.
class simulated_group {
public:
    simulated_group(std::size_t voters, std::size_t learners, std::uint64_t seed)
    {
        snapshot_meta first;
        for (std::size_t i = 0; i < voters + learners; ++i) {
            const member self{base::node_id{"host-" + std::to_string(i)}, incarnation{i + 1}};
            (i < voters ? first.config.voters : first.config.learners).push_back(self);
            m_ids.push_back(self);
            m_index[self.id] = i;
        }
        for (std::size_t i = 0; i < m_ids.size(); ++i) {
            hard_state state;
            state.group = group_id{1};
            m_replicas.push_back(*replica_builder{m_ids[i]}
                                      .durable(i < voters)
                                      .state(state)
                                      .snapshot(first)
                                      .random(base::random_source{seed + i})
                                      .build(m_now));
        }
        m_traffic.resize(m_ids.size());
        m_cpu_time.resize(m_ids.size());
        while (leader() == m_ids.size()) {
            advance(std::chrono::milliseconds{10});
        }
        advance_for(std::chrono::seconds{1});
    }

    [[nodiscard]] std::size_t leader() const
    {
        std::size_t i = 0;
        while (i < m_replicas.size() && m_replicas[i]->role() != replica_role::leader) {
            ++i;
        }
        return i;
    }

    void deliver(std::size_t index, event input)
    {
        m_queue.emplace_back(index, std::move(input));
        for (std::size_t next = 0; next < m_queue.size(); ++next) {
            const std::size_t at = m_queue[next].first;
            event next_input = std::move(m_queue[next].second);
            const base::duration start = processor_time();
            effects out = m_replicas[at]->step(m_now, std::move(next_input));
            m_cpu_time[at] += processor_time() - start;
            queue_effects(at, out);
        }
        m_queue.clear();
    }

    void advance(base::duration time)
    {
        m_now += time;
        for (std::size_t i = 0; i < m_replicas.size(); ++i) {
            deliver(i, tick{});
        }
    }

    void advance_for(base::duration time)
    {
        const base::time_point end = m_now + time;
        while (m_now < end) {
            advance(std::chrono::milliseconds{10});
        }
    }

    void reset_measurements()
    {
        m_traffic.assign(m_ids.size(), traffic{});
        m_cpu_time.assign(m_ids.size(), base::duration{});
    }

    [[nodiscard]] const traffic& traffic_of(std::size_t index) const { return m_traffic[index]; }
    [[nodiscard]] base::duration cpu_time_of(std::size_t index) const { return m_cpu_time[index]; }
    [[nodiscard]] log_index committed(std::size_t index) const
    {
        return m_replicas[index]->commit_index();
    }

private:
    void queue_effects(std::size_t from, effects& out)
    {
        for (outgoing_message& message : out.messages) {
            const std::size_t to = m_index.at(message.to);
            const std::uint64_t size = message.message.ByteSizeLong();
            m_traffic[from].sent_bytes += size;
            ++m_traffic[from].sent_messages;
            m_traffic[to].received_bytes += size;
            ++m_traffic[to].received_messages;
            m_queue.emplace_back(to, message_received{std::move(message.message)});
        }
        if (out.persist) {
            m_queue.emplace_back(from, storage_done{out.persist->sequence});
        }
    }

    base::time_point m_now{std::chrono::hours{1}};
    std::vector<member> m_ids;
    std::map<base::node_id, std::size_t> m_index;
    std::vector<std::unique_ptr<replica>> m_replicas;
    std::vector<traffic> m_traffic;
    std::vector<base::duration> m_cpu_time;
    std::vector<std::pair<std::size_t, event>> m_queue;
};

double quotient(std::uint64_t amount, std::size_t count)
{
    return static_cast<double>(amount) / static_cast<double>(count);
}

void measure(std::size_t voters, std::size_t learners, const options& settings)
{
    simulated_group group{voters, learners, settings.seed};
    const std::size_t leader = group.leader();
    const std::size_t follower = leader == 0 ? 1 : 0;
    const std::size_t learner = voters;
    constexpr std::size_t idle_seconds = 10;
    group.reset_measurements();
    group.advance_for(std::chrono::seconds{idle_seconds});
    const traffic idle_learner = group.traffic_of(learner);
    const traffic idle_leader = group.traffic_of(leader);

    group.reset_measurements();
    const log_index before = group.committed(leader);
    for (std::size_t done = 0; done < settings.proposals; done += settings.batch) {
        propose input;
        for (std::size_t i = 0; i < settings.batch; ++i) {
            input.proposals.push_back({request_tag{i}, std::string(settings.payload, 'x')});
        }
        group.deliver(leader, std::move(input));
    }
    const std::size_t committed = group.committed(leader).value() - before.value();
    const auto nanoseconds = [&](std::size_t index) {
        return quotient(static_cast<std::uint64_t>(group.cpu_time_of(index).count()), committed);
    };
    std::cout << "seed=" << settings.seed << " voters=" << voters << " learners=" << learners
              << " batch=" << settings.batch << " payload_bytes=" << settings.payload
              << " committed=" << committed << " leader_ns_per_proposal=" << nanoseconds(leader)
              << " follower_ns_per_proposal=" << nanoseconds(follower)
              << " learner_ns_per_proposal=" << nanoseconds(learner)
              << " idle_member_received_bytes_per_s="
              << quotient(idle_learner.received_bytes, idle_seconds)
              << " idle_member_sent_bytes_per_s=" << quotient(idle_learner.sent_bytes, idle_seconds)
              << " idle_member_messages_per_s="
              << quotient(idle_learner.received_messages + idle_learner.sent_messages, idle_seconds)
              << " idle_leader_sent_bytes_per_s=" << quotient(idle_leader.sent_bytes, idle_seconds)
              << " idle_leader_messages_per_s="
              << quotient(idle_leader.received_messages + idle_leader.sent_messages, idle_seconds)
              << '\n';
}

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    options settings;
    po::options_description description{"Options"};
    description.add_options()("help", "show this text")(
        "seed", po::value(&settings.seed)->default_value(settings.seed),
        "seed of the election timeouts")(
        "proposals", po::value(&settings.proposals)->default_value(settings.proposals),
        "proposals in each measurement")("batch",
                                         po::value(&settings.batch)->default_value(settings.batch),
                                         "proposals in one batch")(
        "payload", po::value(&settings.payload)->default_value(settings.payload),
        "payload size of a proposal in bytes");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
    if (values.count("help") != 0 || settings.batch == 0) {
        std::cout << description;
        return settings.batch == 0 ? 2 : 0;
    }
    for (const std::size_t voters : {3U, 5U}) {
        for (const std::size_t learners : {7U, 50U, 500U}) {
            measure(voters, learners, settings);
        }
    }
    return 0;
}
