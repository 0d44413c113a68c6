#include "lovagebeam/base/random_source.h"

#include "cell_fixture.h"
#include "snapshot.h"
#include "support/seed.h"

#include <map>

namespace {

using lovagebeam::base::error_code;
using lovagebeam::base::has_code;
using lovagebeam::base::operation_id;
using lovagebeam::base::random_source;
using lovagebeam::base::task_id;
using lovagebeam::base::worker_id;
using lovagebeam::state::apply_result;
using lovagebeam::state::cell_state;
using lovagebeam::state::command;
using lovagebeam::state::state_limits;
using lovagebeam::state::task;
namespace pb = lovagebeam::proto::state;

class random_test : public lovagebeam::test::cell_fixture {
    CPPUNIT_TEST_SUITE(random_test);
    CPPUNIT_TEST(apply_random_commands_replicas_agree_and_invariants_hold);
    CPPUNIT_TEST(decode_damaged_snapshot_is_corrupt);
    CPPUNIT_TEST(decode_snapshot_of_other_content_is_corrupt);
    CPPUNIT_TEST_SUITE_END();

    static state_limits small_limits()
    {
        state_limits limits;
        limits.max_audit_entries = 8;
        limits.operation_retention = std::chrono::seconds{40};
        return limits;
    }

    /// One seed: two replicas get the same commands; one of them is replaced by its snapshot now
    /// and then.
    class run {
    public:
        run(random_test& test, std::uint64_t seed) : m_test{test}, m_seed{seed}, m_random{seed}
        {
            m_test.m_index = 0;
            m_test.m_cell = cell_state{small_limits()};
        }

        void execute()
        {
            for (int i = 0; i < 300; ++i) {
                m_test.m_now += std::chrono::milliseconds{m_random.below(2000)};
                send(make_bytes());
                check_capacity();
                if (m_random.chance(0.03)) {
                    restore();
                }
            }
            check_operations();
        }

    private:
        void require(bool condition, const std::string& text) const
        {
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(m_seed) + " index " +
                                       std::to_string(m_test.m_index) + ": " + text,
                                   condition);
        }

        std::string name(const char* prefix, std::uint64_t count)
        {
            return prefix + std::to_string(m_random.below(count));
        }

        std::uint64_t random_version()
        {
            const std::uint64_t version = m_test.m_cell.version().value();
            return m_random.chance(0.8) ? version : m_random.below(version + 2);
        }

        void send(const std::string& bytes)
        {
            const std::uint64_t index = ++m_test.m_index;
            const auto version = m_test.m_cell.version();
            const auto epoch = m_test.m_cell.epoch();
            const std::uint64_t digest = m_test.m_cell.digest();
            command sent;
            const std::string id = operation_in(bytes, sent);
            const bool is_repeat = m_test.m_cell.find_operation(operation_id{id}).has_value();
            const apply_result first = m_test.m_cell.apply(index, bytes);
            const apply_result second = m_replica.apply(index, bytes);
            require(lovagebeam::state::encode_result(first) ==
                        lovagebeam::state::encode_result(second),
                    "the replicas' results differ");
            require(m_test.m_cell.digest() == m_replica.digest(), "the replicas' digests differ");
            require(m_test.m_cell.version() >= version, "the version went down");
            require(m_test.m_cell.epoch() >= epoch, "the epoch went down");
            require(!has_code(first.status, error_code::state_diverged), "a handler threw");
            check_operation(bytes, first, is_repeat);
            // The record of a refused operation is a change that the result doesn't report.
            const bool is_refusal_recorded =
                !is_repeat && !first.changed &&
                m_test.m_cell.find_operation(operation_id{id}).has_value();
            const bool is_same = m_test.m_cell.digest() == digest;
            require(is_same == !(first.changed || is_refusal_recorded),
                    is_same ? "changed without another digest" : "changed unnoticed");
        }

        /// The id of the operation in `bytes`, empty for other commands.
        static std::string operation_in(const std::string& bytes, command& sent)
        {
            return sent.ParseFromString(bytes) ? sent.operator_call().operation_id() : "";
        }

        /// Remembers the first answer that is on record. The same command gets it again; another
        /// one with the same id, such as one with a changed byte, changes nothing.
        void check_operation(const std::string& bytes, const apply_result& result, bool is_repeat)
        {
            command sent;
            const std::string id = operation_in(bytes, sent);
            if (!m_test.m_cell.find_operation(operation_id{id}).has_value()) {
                return;
            }
            sent.clear_time_ms();
            apply_result answer = result;
            answer.changed = false;
            const std::string encoded = lovagebeam::state::encode_result(answer);
            if (!is_repeat) {
                m_operations.push_back(sent);
                m_answers[id] = {sent.SerializeAsString(), encoded};
                return;
            }
            require(!result.changed, "operation " + id + " was applied twice");
            const auto& [content, first] = m_answers[id];
            if (content == sent.SerializeAsString()) {
                require(first == encoded, "operation " + id + " got another answer: " +
                                              std::string{result.status.message()});
            }
        }

        std::string make_bytes()
        {
            if (m_random.chance(0.03)) {
                std::string bytes(m_random.below(40), '\0');
                for (char& c : bytes) {
                    c = static_cast<char>(m_random.below(256));
                }
                return bytes;
            }
            std::string bytes = lovagebeam::state::encode_command(make_command(), m_test.m_now);
            if (m_random.chance(0.05)) {
                bytes[m_random.below(bytes.size())] ^= static_cast<char>(1 + m_random.below(255));
            }
            return bytes;
        }

        command make_command()
        {
            if (!m_operations.empty() && m_random.chance(0.1)) {
                return m_operations[m_random.below(m_operations.size())];
            }
            const std::uint64_t choice = m_random.below(100);
            if (choice < 18) {
                return make_operator_command();
            }
            if (choice < 30) {
                return make_cell_command();
            }
            return choice < 80 ? make_job_command() : make_request_command();
        }

        command make_operator_command()
        {
            const std::string id = "op-" + std::to_string(m_next_operation++);
            const std::uint64_t choice = m_random.below(4);
            if (choice == 0) {
                return give_key(id, random_version(), name("team", 3), "k" + id);
            }
            if (choice == 1 && !m_test.m_cell.keys().empty()) {
                command withdraw = operation(id, random_version());
                withdraw.mutable_withdraw_key()->set_key_id(m_test.m_cell.keys()[0].id.str());
                return withdraw;
            }
            command change =
                share_change(id, random_version(), static_cast<std::int64_t>(m_random.below(5)));
            pb::ConfigException& exception =
                *change.mutable_change_configuration()->mutable_configuration()->add_exceptions();
            exception.set_scope(m_random.chance(0.5) ? name("team:team", 3) : name("queue:q", 3));
            exception.set_reason(m_random.chance(0.9) ? "reason" : "");
            exception.mutable_set()->set_result_retention_ms(
                static_cast<std::int64_t>(1 + m_random.below(30'000)));
            return change;
        }

        command make_cell_command()
        {
            const std::uint64_t choice = m_random.below(5);
            command result;
            if (choice == 0) {
                return epoch(m_test.m_cell.epoch().value() - m_random.below(2), name("n", 4));
            }
            if (choice == 1) {
                result.mutable_remove_worker()->set_worker(name("w", 4));
                return result;
            }
            if (choice == 2) {
                pb::Target& body = *result.mutable_put_target()->mutable_target();
                body.set_target(name("t", 4));
                body.set_port(1 + static_cast<std::uint32_t>(m_random.below(3)));
                return result;
            }
            return worker(name("w", 4), static_cast<std::int64_t>(2000 + 1000 * m_random.below(4)));
        }

        command make_job_command()
        {
            const std::string job_name = name("j", 12);
            const std::string task = job_name + "/" + std::to_string(m_random.below(4));
            const std::uint64_t choice = m_random.below(7);
            const auto* const known = m_test.m_cell.find_task(task_id{task});
            const std::uint64_t fence = known == nullptr ? 1 : known->fence;
            if (choice == 0) {
                command accept =
                    job(job_name, name("key", 12),
                        static_cast<std::uint32_t>(1 + m_random.below(4)), m_random.chance(0.7));
                const auto keys = m_test.m_cell.keys();
                if (!keys.empty()) {
                    const auto& key = keys[m_random.below(keys.size())];
                    accept.mutable_accept_job()->set_key_id(key.id.str());
                    accept.mutable_accept_job()->mutable_spec()->set_team(key.team.str());
                }
                return accept;
            }
            if (choice <= 2) {
                command batch = place(task, name("w", 4), fence + m_random.below(3));
                for (std::uint64_t i = m_random.below(4); i > 0; --i) {
                    add_placement(*batch.mutable_place_tasks()->mutable_groups(0),
                                  job_name + "/" + std::to_string(i), name("w", 4), fence + 1);
                }
                return batch;
            }
            command result;
            if (choice == 3) {
                result.mutable_task_started()->set_task(task);
                result.mutable_task_started()->set_fence(fence);
                return result;
            }
            if (choice == 4) {
                return ended(task, fence - m_random.below(2),
                             static_cast<pb::TaskOutcome>(1 + m_random.below(5)));
            }
            if (choice == 5) {
                return expired(task, fence);
            }
            result.mutable_cancel_job()->set_job(job_name);
            return result;
        }

        command make_request_command()
        {
            const std::string key = name("r", 6);
            const std::uint64_t choice = m_random.below(4);
            const auto outcome = static_cast<pb::WorkOutcome>(1 + m_random.below(3));
            if (choice == 0) {
                return intent(key, name("a", 4), m_test.m_cell.epoch().value());
            }
            if (choice == 1) {
                return resolve(key, name("a", 4), outcome);
            }
            if (choice == 2) {
                return expire(static_cast<std::uint32_t>(m_random.below(5)));
            }
            command result;
            pb::RecordResult& body = *result.mutable_record_result();
            body.set_team("trust");
            body.set_idempotency_key(key);
            body.set_attempt(name("a", 4));
            body.set_outcome(outcome);
            body.set_retention_ms(static_cast<std::int64_t>(m_random.below(20'000)));
            return result;
        }

        // P1: what the placements hold is what the tasks say, and fits the worker unless the
        // worker itself has become smaller.
        void check_capacity()
        {
            m_test.m_cell.for_each_worker([this](const lovagebeam::state::worker& host) {
                std::int64_t held = 0;
                for (const task* const one : m_test.m_cell.placements_on(host.id)) {
                    held += m_test.m_cell.find_job(one->job)->spec.cores.value();
                }
                const std::int64_t used = m_test.m_cell.usage_of(host.id).cores.value();
                require(held == used, "worker " + host.id.str() + " has a wrong usage");
                std::int64_t& largest = m_max_cores[host.id.str()];
                largest = std::max(largest, host.cores.value());
                require(used <= largest, "worker " + host.id.str() + " is overloaded");
            });
        }

        void restore()
        {
            const std::string bytes = m_replica.encode_snapshot();
            require(bytes == m_test.m_cell.encode_snapshot(), "the replicas' snapshots differ");
            auto restored = cell_state::decode_snapshot(bytes, small_limits());
            require(restored.ok(),
                    "the snapshot can't be read: " + std::string{restored.status().message()});
            require(restored->digest() == m_replica.digest(), "the restored digest differs");
            require(restored->applied_index() == m_test.m_index, "the restored index differs");
            require(restored->encode_snapshot() == bytes, "the restored snapshot differs");
            require(restored->next_expiry() == m_replica.next_expiry(), "the expiry dates differ");
            m_replica = *std::move(restored);
        }

        void check_operations()
        {
            // A copy, since an operation whose record has expired is noted again.
            const std::vector<command> operations = m_operations;
            for (const command& sent : operations) {
                send(lovagebeam::state::encode_command(sent, m_test.m_now));
            }
        }

        random_test& m_test;
        std::uint64_t m_seed;
        random_source m_random;
        cell_state m_replica{small_limits()};
        std::uint64_t m_next_operation = 0;
        std::vector<command> m_operations;
        std::map<std::string, std::pair<std::string, std::string>> m_answers; // command and answer
        std::map<std::string, std::int64_t> m_max_cores;
    };

public:
    // Guards against replicas that diverge, also over a snapshot, and against a broken P1 or P10.
    void apply_random_commands_replicas_agree_and_invariants_hold()
    {
        const auto& seeds = lovagebeam::test::seeds();
        for (std::uint64_t i = 0; i < seeds.runs_or(100); ++i) {
            run{*this, seeds.first + i}.execute();
        }
    }

    // Guards against starting from a snapshot with any byte changed or missing.
    void decode_damaged_snapshot_is_corrupt()
    {
        run{*this, lovagebeam::test::seeds().first}.execute();
        const std::string bytes = m_cell.encode_snapshot();
        std::string damaged = bytes;
        for (std::size_t at = 0; at < bytes.size(); at += 1 + at / 100) {
            damaged[at] ^= 0x20;
            assert_code(error_code::snapshot_corrupt,
                        cell_state::decode_snapshot(damaged).status());
            damaged[at] = bytes[at];
            assert_code(error_code::snapshot_corrupt,
                        cell_state::decode_snapshot(bytes.substr(0, at)).status());
        }
        assert_ok(cell_state::decode_snapshot(damaged, small_limits()).status());
    }

    // Guards against a snapshot whose checksum is right but whose content isn't what was encoded,
    // such as one of a program with other rules.
    void decode_snapshot_of_other_content_is_corrupt()
    {
        run{*this, lovagebeam::test::seeds().first}.execute();
        const std::string bytes = m_cell.encode_snapshot();
        constexpr std::size_t header_size = 16;
        constexpr std::size_t checksum_size = 16;
        pb::Snapshot whole;
        CPPUNIT_ASSERT(whole.ParseFromString(
            bytes.substr(header_size, bytes.size() - header_size - checksum_size)));
        const auto status_of = [](const pb::Snapshot& message) {
            return cell_state::decode_snapshot(
                       lovagebeam::state::frame_snapshot(message.SerializeAsString()),
                       small_limits())
                .status();
        };
        assert_ok(status_of(whole));
        pb::Snapshot other = whole;
        other.mutable_audit()->RemoveLast();
        assert_code(error_code::snapshot_corrupt, status_of(other));
        other = whole;
        other.set_version(whole.version() + 1);
        assert_code(error_code::snapshot_corrupt, status_of(other));
        other = whole;
        other.set_format(2);
        assert_code(error_code::snapshot_corrupt, status_of(other));
        other = whole;
        other.add_tasks()->set_job("none");
        assert_code(error_code::snapshot_corrupt, status_of(other));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(random_test);

} // namespace
