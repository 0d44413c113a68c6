#include "lovagebeam/base/errors.h"

#include "replication.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace lovagebeam;
using namespace std::chrono_literals;

const consensus::member self{base::node_id{"a"}, consensus::incarnation{1}};

/// Records messages instead of sending them.
class recording_sender : public daemon::peer_sender {
public:
    void send(const base::node_id& to, peers::channel, std::string bytes) override
    {
        proto::ClusterMessage message;
        CPPUNIT_ASSERT(message.ParseFromString(bytes));
        m_sent.emplace_back(to, std::move(message));
    }
    [[nodiscard]] bool is_connected(const base::node_id&) const override { return true; }

    [[nodiscard]] std::size_t proposals() const
    {
        std::size_t count = 0;
        for (const auto& [to, message] : m_sent) {
            count += message.has_propose() ? 1 : 0;
        }
        return count;
    }

private:
    std::vector<std::pair<base::node_id, proto::ClusterMessage>> m_sent;
};

/// Completes writes only when the test calls `finish_all`.
class manual_writer : public daemon::log_writer {
public:
    void persist(consensus::persist_request, done when_durable) override
    {
        m_waiting.push_back(std::move(when_durable));
    }
    void save_snapshot(consensus::snapshot_meta, std::shared_ptr<const std::string>,
                       done when_durable, done) override
    {
        m_waiting.push_back(std::move(when_durable));
    }
    void install_snapshot(consensus::snapshot_meta, std::shared_ptr<const std::string>,
                          done when_durable) override
    {
        m_waiting.push_back(std::move(when_durable));
    }
    void compact_to(consensus::log_index) override {}

    void finish_all(base::time_point now)
    {
        while (!m_waiting.empty()) {
            const done next = std::move(m_waiting.front());
            m_waiting.pop_front();
            next(now);
        }
    }

private:
    std::deque<done> m_waiting;
};

class null_listener : public daemon::state_listener {
public:
    void on_applied(base::time_point, const state::command&, const state::apply_result&) override {}
    void on_state_replaced(base::time_point) override {}
    void on_role_changed(base::time_point, const consensus::role_change&) override {}
};

state::command any_command()
{
    state::command command;
    state::target target;
    target.id = base::target_id{"t"};
    target.address = "127.0.0.1";
    target.port = 1;
    target.domain = base::failure_domain{"d"};
    target.rack = "r";
    target.slots = 8;
    target.connections = 64;
    *command.mutable_put_target()->mutable_target() = state::to_proto(target);
    return command;
}

class replication_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(replication_test);
    CPPUNIT_TEST(propose_on_leader_is_done_only_once_durable);
    CPPUNIT_TEST(propose_without_leader_times_out);
    CPPUNIT_TEST(propose_timed_out_on_slow_disk_is_undecided_until_applied);
    CPPUNIT_TEST(read_on_leader_sees_the_applied_command);
    CPPUNIT_TEST(read_without_leader_fails_as_no_quorum);
    CPPUNIT_TEST_SUITE_END();

    base::time_point m_now{1h};
    recording_sender m_sender;
    manual_writer m_writer;
    null_listener m_listener;

    std::unique_ptr<daemon::replication> make(std::vector<consensus::member> voters)
    {
        consensus::snapshot_meta start;
        start.config.voters = std::move(voters);
        consensus::hard_state hard;
        hard.group = consensus::group_id{7};
        auto replica = consensus::replica_builder{self}.state(hard).snapshot(start).build(m_now);
        CPPUNIT_ASSERT(replica.ok());
        daemon::replication::dependencies dependencies;
        dependencies.self = self.id;
        dependencies.replica = *std::move(replica);
        dependencies.snapshot = start;
        dependencies.sender = &m_sender;
        dependencies.writer = &m_writer;
        dependencies.listener = &m_listener;
        return std::make_unique<daemon::replication>(std::move(dependencies));
    }

    void advance(daemon::replication& log, std::chrono::milliseconds time, bool is_disk_working)
    {
        for (const auto end = m_now + time; m_now < end; m_now += 10ms) {
            log.tick(m_now);
            log.flush(m_now);
            if (is_disk_working) {
                m_writer.finish_all(m_now);
            }
        }
    }

public:
    // Guards against an acknowledgement before the entry is on disk.
    void propose_on_leader_is_done_only_once_durable()
    {
        const auto log = make({self});
        advance(*log, 2s, true);
        CPPUNIT_ASSERT(log->is_leader());
        bool is_done = false;
        log->propose(m_now, any_command(), m_now + 10s, [&is_done](const auto& result) {
            CPPUNIT_ASSERT(result.ok());
            is_done = result->status.ok();
        });
        advance(*log, 500ms, false);
        CPPUNIT_ASSERT(!is_done);
        advance(*log, 100ms, true);
        CPPUNIT_ASSERT(is_done);
    }

    void propose_without_leader_times_out()
    {
        const auto log = make({self, {base::node_id{"b"}, consensus::incarnation{1}}});
        absl::Status status;
        log->propose(m_now, any_command(), m_now + 1s,
                     [&status](const auto& result) { status = result.status(); });
        advance(*log, 1500ms, true);
        CPPUNIT_ASSERT(base::has_code(status, base::error_code::timed_out));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_sender.proposals());
    }

    // Guards against decisions that are made again while those of before may still be committed, so
    // that workers get more than they have room for (soak.py --seed 804).
    void propose_timed_out_on_slow_disk_is_undecided_until_applied()
    {
        const auto log = make({self});
        advance(*log, 2s, true);
        absl::Status status;
        log->propose_as_leader(m_now, any_command(), m_now + 1s,
                               [&status](const auto& result) { status = result.status(); });
        advance(*log, 500ms, false);
        CPPUNIT_ASSERT(!log->has_undecided_proposals());
        advance(*log, 1s, false);
        CPPUNIT_ASSERT(base::has_code(status, base::error_code::timed_out));
        CPPUNIT_ASSERT(log->is_established_leader(m_now));
        CPPUNIT_ASSERT(log->has_undecided_proposals());
        advance(*log, 100ms, true);
        CPPUNIT_ASSERT(log->state().find_target(base::target_id{"t"}) != nullptr);
        CPPUNIT_ASSERT(!log->has_undecided_proposals());
    }

    void read_on_leader_sees_the_applied_command()
    {
        const auto log = make({self});
        advance(*log, 2s, true);
        bool is_visible = false;
        log->propose(m_now, any_command(), m_now + 10s, [](const auto&) {});
        advance(*log, 200ms, true);
        log->read(m_now, m_now + 10s, [&](const absl::Status& status) {
            is_visible = status.ok() && log->state().find_target(base::target_id{"t"}) != nullptr;
        });
        advance(*log, 200ms, true);
        CPPUNIT_ASSERT(is_visible);
    }

    // Guards against a partitioned host answering reads from stale state.
    void read_without_leader_fails_as_no_quorum()
    {
        const auto log = make({self, {base::node_id{"b"}, consensus::incarnation{1}}});
        absl::Status status;
        log->read(m_now, m_now + 1s, [&status](const absl::Status& result) { status = result; });
        advance(*log, 1500ms, true);
        CPPUNIT_ASSERT(base::has_code(status, base::error_code::no_quorum));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replication_test);

} // namespace
