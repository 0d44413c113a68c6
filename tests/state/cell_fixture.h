#pragma once

#include "lovagebeam/base/errors.h"
#include "lovagebeam/state/cell_state.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace lovagebeam::test {

namespace pb = proto::state;

/// A cell state with helpers that build commands and apply them at consecutive indices.
class cell_fixture : public CppUnit::TestFixture {
protected:
    state::apply_result apply(const state::command& command)
    {
        return m_cell.apply(++m_index, state::encode_command(command, m_now));
    }

    static state::command operation(const std::string& id, std::uint64_t expected_version)
    {
        state::command command;
        pb::OperatorCall& call = *command.mutable_operator_call();
        call.set_operation_id(id);
        call.set_who("operator");
        call.set_why("test");
        call.set_expected_version(expected_version);
        return command;
    }

    static state::command share_change(const std::string& id, std::uint64_t expected_version,
                                       std::int64_t share)
    {
        state::command command = operation(id, expected_version);
        command.mutable_change_configuration()
            ->mutable_configuration()
            ->mutable_defaults()
            ->set_share(share);
        return command;
    }

    static state::command give_key(const std::string& id, std::uint64_t expected_version,
                                   const std::string& team, const std::string& key)
    {
        state::command command = operation(id, expected_version);
        pb::GiveKey& body = *command.mutable_give_key();
        body.set_team(team);
        body.set_key_id(key);
        body.set_salt(std::string(32, 's'));
        body.set_hash(std::string(32, 'h'));
        body.set_sealed_key("sealed " + key);
        return command;
    }

    static state::command worker(const std::string& id, std::int64_t millicores)
    {
        state::command command;
        pb::Worker& body = *command.mutable_put_worker()->mutable_worker();
        body.set_worker(id);
        body.set_address("127.0.0.1");
        body.set_port(9000);
        body.set_millicores(millicores);
        body.set_memory_bytes(std::int64_t{1} << 30U);
        return command;
    }

    static state::command job(const std::string& id, const std::string& idempotency_key,
                              std::uint32_t tasks, bool repeatable = true)
    {
        state::command command;
        command.mutable_accept_job()->set_key_id("k1");
        pb::JobSpec& spec = *command.mutable_accept_job()->mutable_spec();
        spec.set_job(id);
        spec.set_team("trust");
        spec.set_idempotency_key(idempotency_key);
        spec.set_kind(pb::JOB_KIND_BATCH);
        spec.set_tasks(tasks);
        spec.set_millicores(1000);
        spec.set_memory_bytes(1 << 20);
        spec.set_repeatable(repeatable);
        return command;
    }

    static void add_placement(pb::PlacementGroup& group, const std::string& task,
                              const std::string& worker, std::uint64_t fence)
    {
        pb::Placement& placement = *group.add_placements();
        placement.set_task(task);
        placement.set_worker(worker);
        placement.set_lease_ms(5000);
        placement.set_fence(fence);
    }

    static state::command place(const std::string& task, const std::string& worker,
                                std::uint64_t fence)
    {
        state::command command;
        add_placement(*command.mutable_place_tasks()->add_groups(), task, worker, fence);
        return command;
    }

    static state::command ended(const std::string& task, std::uint64_t fence,
                                pb::TaskOutcome outcome)
    {
        state::command command;
        command.mutable_task_ended()->set_task(task);
        command.mutable_task_ended()->set_fence(fence);
        command.mutable_task_ended()->set_outcome(outcome);
        command.mutable_task_ended()->set_output("output");
        return command;
    }

    static state::command expired(const std::string& task, std::uint64_t fence)
    {
        state::command command;
        command.mutable_lease_expired()->set_task(task);
        command.mutable_lease_expired()->set_fence(fence);
        return command;
    }

    static state::command intent(const std::string& key, const std::string& attempt,
                                 std::uint64_t epoch)
    {
        state::command command;
        pb::CommitIntent& body = *command.mutable_commit_intent();
        body.set_team("trust");
        body.set_idempotency_key(key);
        body.set_attempt(attempt);
        body.set_target("t1");
        body.set_epoch(epoch);
        return command;
    }

    static state::command resolve(const std::string& key, const std::string& attempt,
                                  pb::WorkOutcome outcome)
    {
        state::command command;
        pb::ResolveIntent& body = *command.mutable_resolve_intent();
        body.set_team("trust");
        body.set_idempotency_key(key);
        body.set_attempt(attempt);
        body.set_outcome(outcome);
        return command;
    }

    static state::command epoch(std::uint64_t expected, const std::string& node)
    {
        state::command command;
        pb::InstallEpoch& body = *command.mutable_install_epoch();
        body.set_expected_epoch(expected);
        body.set_reason(pb::MEMBERSHIP_REASON_JOIN);
        body.set_proposer("n1");
        body.add_members()->set_node("n1");
        if (node != "n1") {
            body.add_members()->set_node(node);
        }
        return command;
    }

    static state::command expire(std::uint32_t limit)
    {
        state::command command;
        command.mutable_expire_entries()->set_limit(limit);
        return command;
    }

    /// Adds the team "trust" with the key "k1" and the worker "w1" with 4 cores.
    void add_team_and_worker()
    {
        assert_ok(apply(give_key("op-key", m_cell.version().value(), "trust", "k1")).status);
        assert_ok(apply(worker("w1", 4000)).status);
    }

    static void assert_ok(const absl::Status& status)
    {
        CPPUNIT_ASSERT_EQUAL(std::string{"ok"}, status.ok() ? "ok" : std::string{status.message()});
    }

    static void assert_code(base::error_code expected, const absl::Status& status)
    {
        const auto code = base::code_of(status);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string{status.message()},
                                     std::string{base::name_of(expected)},
                                     code ? std::string{base::name_of(*code)} : "none");
    }

    state::cell_state m_cell;
    std::uint64_t m_index = 0;
    base::wall_time m_now{std::chrono::milliseconds{1'800'000'000'000}};
};

} // namespace lovagebeam::test
