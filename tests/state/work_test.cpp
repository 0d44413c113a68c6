#include "cell_fixture.h"

namespace {

using lovagebeam::base::attempt_id;
using lovagebeam::base::error_code;
using lovagebeam::base::idempotency_key;
using lovagebeam::base::job_id;
using lovagebeam::base::task_id;
using lovagebeam::base::team_id;
using lovagebeam::base::worker_id;
using lovagebeam::state::apply_result;
using lovagebeam::state::command;
using lovagebeam::state::task_outcome;
using lovagebeam::state::task_state;
namespace pb = lovagebeam::proto::state;

class work_test : public lovagebeam::test::cell_fixture {
    CPPUNIT_TEST_SUITE(work_test);
    CPPUNIT_TEST(accept_job_resent_gives_first_job);
    CPPUNIT_TEST(accept_job_same_key_other_content_is_refused);
    CPPUNIT_TEST(accept_job_without_valid_key_is_refused);
    CPPUNIT_TEST(accept_job_open_queue_needs_no_key);
    CPPUNIT_TEST(place_past_capacity_is_refused);
    CPPUNIT_TEST(place_gang_that_does_not_fit_places_none);
    CPPUNIT_TEST(place_task_twice_is_refused_and_resend_is_accepted);
    CPPUNIT_TEST(place_older_fence_is_refused);
    CPPUNIT_TEST(task_events_of_older_fence_are_refused);
    CPPUNIT_TEST(lease_expired_repeatable_task_is_pending_again);
    CPPUNIT_TEST(lease_expired_other_task_ends_as_unknown_until_late_answer);
    CPPUNIT_TEST(cancel_job_ends_pending_and_waits_for_placed);
    CPPUNIT_TEST(remove_worker_with_placements_is_refused);
    CPPUNIT_TEST(put_worker_without_change_reports_no_change);
    CPPUNIT_TEST(expire_removes_ended_job_with_tasks);
    CPPUNIT_TEST(intent_of_older_epoch_is_refused);
    CPPUNIT_TEST(intent_second_attempt_only_after_not_run);
    CPPUNIT_TEST(result_first_one_wins_and_blocks_intent);
    CPPUNIT_TEST(result_codec_round_trip_keeps_items);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { add_team_and_worker(); }

    // Guards against a job that runs twice because its acceptance was resent.
    void accept_job_resent_gives_first_job()
    {
        assert_ok(apply(job("j1", "idem", 2)).status);
        const apply_result repeat = apply(job("j2", "idem", 2));
        assert_ok(repeat.status);
        CPPUNIT_ASSERT_EQUAL(std::string{"j1"}, repeat.job.str());
        CPPUNIT_ASSERT(!repeat.changed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_cell.job_count());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_cell.task_count());
    }

    void accept_job_same_key_other_content_is_refused()
    {
        assert_ok(apply(job("j1", "idem", 2)).status);
        const apply_result other = apply(job("j2", "idem", 3));
        assert_code(error_code::already_exists, other.status);
        CPPUNIT_ASSERT_EQUAL(std::string{"j1"}, other.job.str());
        assert_code(error_code::already_exists, apply(job("j1", "other", 2)).status);
    }

    // Guards P3 when a key is withdrawn between the entry host's check and the commit.
    void accept_job_without_valid_key_is_refused()
    {
        command withdraw = operation("op-w", 1);
        withdraw.mutable_withdraw_key()->set_key_id("k1");
        command foreign = job("j1", "a", 1);
        foreign.mutable_accept_job()->mutable_spec()->set_team("guild");
        assert_code(error_code::unauthenticated, apply(foreign).status);
        command no_key = job("j1", "a", 1);
        no_key.mutable_accept_job()->clear_key_id();
        assert_code(error_code::unauthenticated, apply(no_key).status);
        assert_ok(apply(withdraw).status);
        assert_code(error_code::unauthenticated, apply(job("j1", "a", 1)).status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_cell.job_count());
    }

    void accept_job_open_queue_needs_no_key()
    {
        command by_queue = job("j1", "a", 1);
        by_queue.mutable_accept_job()->clear_key_id();
        by_queue.mutable_accept_job()->mutable_spec()->set_team("queue:shed");
        assert_code(error_code::unauthenticated, apply(by_queue).status);
        command change = operation("op-open", 1);
        pb::ConfigException& open =
            *change.mutable_change_configuration()->mutable_configuration()->add_exceptions();
        open.set_scope("queue:shed");
        open.set_reason("shared device");
        open.mutable_set()->set_open(true);
        assert_ok(apply(change).status);
        assert_ok(apply(by_queue).status);
    }

    // Guards P1 when two leaders' placements follow each other in the log.
    void place_past_capacity_is_refused()
    {
        assert_ok(apply(job("j1", "a", 5)).status);
        command batch;
        for (int i = 0; i < 5; ++i) {
            add_placement(*batch.mutable_place_tasks()->add_groups(), "j1/" + std::to_string(i),
                          "w1", 1);
        }
        const apply_result result = apply(batch);
        assert_ok(result.status);
        assert_ok(result.items[3]);
        assert_code(error_code::capacity_exceeded, result.items[4]);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{4000}, m_cell.usage_of(worker_id{"w1"}).cores.value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, m_cell.placements_on(worker_id{"w1"}).size());
        assert_ok(apply(ended("j1/0", 1, pb::TASK_OUTCOME_SUCCEEDED)).status);
        assert_ok(apply(place("j1/4", "w1", 1)).items[0]);
    }

    void place_gang_that_does_not_fit_places_none()
    {
        assert_ok(apply(job("j1", "a", 5)).status);
        command gang;
        pb::PlacementGroup& group = *gang.mutable_place_tasks()->add_groups();
        for (int i = 0; i < 5; ++i) {
            add_placement(group, "j1/" + std::to_string(i), "w1", 1);
        }
        const apply_result result = apply(gang);
        assert_code(error_code::cancelled, result.items[0]);
        assert_code(error_code::capacity_exceeded, result.items[4]);
        CPPUNIT_ASSERT(!result.changed);
        CPPUNIT_ASSERT(m_cell.placements_on(worker_id{"w1"}).empty());
    }

    // Guards P2 for tasks: one placement at a time.
    void place_task_twice_is_refused_and_resend_is_accepted()
    {
        assert_ok(apply(worker("w2", 4000)).status);
        assert_ok(apply(job("j1", "a", 1)).status);
        assert_ok(apply(place("j1/0", "w1", 1)).items[0]);
        assert_code(error_code::already_exists, apply(place("j1/0", "w2", 2)).items[0]);
        const apply_result resend = apply(place("j1/0", "w1", 1));
        assert_ok(resend.items[0]);
        CPPUNIT_ASSERT(!resend.changed);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, m_cell.find_task(task_id{"j1/0"})->attempts);
    }

    void place_older_fence_is_refused()
    {
        assert_ok(apply(job("j1", "a", 1)).status);
        assert_ok(apply(place("j1/0", "w1", 5)).items[0]);
        assert_ok(apply(expired("j1/0", 5)).status);
        assert_code(error_code::stale_fence, apply(place("j1/0", "w1", 5)).items[0]);
        assert_ok(apply(place("j1/0", "w1", 6)).items[0]);
    }

    // Guards against a late report from an expired lease that ends the next run of the task.
    void task_events_of_older_fence_are_refused()
    {
        assert_ok(apply(job("j1", "a", 1)).status);
        assert_ok(apply(place("j1/0", "w1", 1)).items[0]);
        assert_ok(apply(expired("j1/0", 1)).status);
        assert_code(error_code::stale_fence,
                    apply(ended("j1/0", 1, pb::TASK_OUTCOME_SUCCEEDED)).status);
        assert_ok(apply(place("j1/0", "w1", 2)).items[0]);
        command started;
        started.mutable_task_started()->set_task("j1/0");
        started.mutable_task_started()->set_fence(1);
        assert_code(error_code::stale_fence, apply(started).status);
        assert_code(error_code::stale_fence, apply(expired("j1/0", 1)).status);
        CPPUNIT_ASSERT(m_cell.find_task(task_id{"j1/0"})->state == task_state::placed);
    }

    void lease_expired_repeatable_task_is_pending_again()
    {
        assert_ok(apply(job("j1", "a", 1)).status);
        assert_ok(apply(place("j1/0", "w1", 1)).items[0]);
        assert_ok(apply(expired("j1/0", 1)).status);
        CPPUNIT_ASSERT(m_cell.find_task(task_id{"j1/0"})->state == task_state::pending);
        CPPUNIT_ASSERT(m_cell.placements_on(worker_id{"w1"}).empty());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, m_cell.usage_of(worker_id{"w1"}).cores.value());
    }

    // Guards P7: a task that must not be repeated isn't placed again after its lease expired.
    void lease_expired_other_task_ends_as_unknown_until_late_answer()
    {
        assert_ok(apply(job("j1", "a", 1, false)).status);
        assert_ok(apply(place("j1/0", "w1", 1)).items[0]);
        assert_ok(apply(expired("j1/0", 1)).status);
        CPPUNIT_ASSERT(m_cell.find_task(task_id{"j1/0"})->outcome == task_outcome::unknown);
        assert_code(error_code::already_exists, apply(place("j1/0", "w1", 2)).items[0]);
        assert_ok(apply(ended("j1/0", 1, pb::TASK_OUTCOME_SUCCEEDED)).status);
        CPPUNIT_ASSERT(m_cell.find_task(task_id{"j1/0"})->outcome == task_outcome::succeeded);
        assert_code(error_code::already_exists,
                    apply(ended("j1/0", 1, pb::TASK_OUTCOME_FAILED)).status);
    }

    void cancel_job_ends_pending_and_waits_for_placed()
    {
        assert_ok(apply(job("j1", "a", 2)).status);
        assert_ok(apply(place("j1/0", "w1", 1)).items[0]);
        command cancel;
        cancel.mutable_cancel_job()->set_job("j1");
        cancel.mutable_cancel_job()->set_team("guild");
        assert_code(error_code::not_found, apply(cancel).status);
        cancel.mutable_cancel_job()->set_team("trust");
        assert_ok(apply(cancel).status);
        CPPUNIT_ASSERT(!apply(cancel).changed);
        CPPUNIT_ASSERT(m_cell.find_task(task_id{"j1/1"})->outcome == task_outcome::cancelled);
        CPPUNIT_ASSERT(m_cell.find_task(task_id{"j1/0"})->state == task_state::placed);
        CPPUNIT_ASSERT(!m_cell.find_job(job_id{"j1"})->ended.has_value());
        assert_ok(apply(expired("j1/0", 1)).status);
        CPPUNIT_ASSERT(m_cell.find_task(task_id{"j1/0"})->outcome == task_outcome::cancelled);
        CPPUNIT_ASSERT(m_cell.find_job(job_id{"j1"})->ended.has_value());
    }

    void remove_worker_with_placements_is_refused()
    {
        assert_ok(apply(job("j1", "a", 1)).status);
        assert_ok(apply(place("j1/0", "w1", 1)).items[0]);
        command remove;
        remove.mutable_remove_worker()->set_worker("w1");
        assert_code(error_code::in_use, apply(remove).status);
        assert_ok(apply(ended("j1/0", 1, pb::TASK_OUTCOME_FAILED)).status);
        assert_ok(apply(remove).status);
        assert_code(error_code::not_found, apply(remove).status);
    }

    void put_worker_without_change_reports_no_change()
    {
        const std::uint64_t digest = m_cell.digest();
        CPPUNIT_ASSERT(!apply(worker("w1", 4000)).changed);
        CPPUNIT_ASSERT_EQUAL(digest, m_cell.digest());
        CPPUNIT_ASSERT(apply(worker("w1", 8000)).changed);
    }

    void expire_removes_ended_job_with_tasks()
    {
        assert_ok(apply(job("j1", "a", 1)).status);
        assert_ok(apply(place("j1/0", "w1", 1)).items[0]);
        m_now += std::chrono::hours{1};
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, apply(expire(0)).expired);
        assert_ok(apply(ended("j1/0", 1, pb::TASK_OUTCOME_SUCCEEDED)).status);
        m_now += std::chrono::minutes{10};
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, apply(expire(0)).expired);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_cell.task_count());
        CPPUNIT_ASSERT(m_cell.find_job(team_id{"trust"}, idempotency_key{"a"}) == nullptr);
    }

    // Guards P7: the former owner of a team must not start work after the team has moved.
    void intent_of_older_epoch_is_refused()
    {
        assert_ok(apply(epoch(0, "n2")).status);
        assert_ok(apply(epoch(1, "n3")).status);
        assert_code(error_code::stale_epoch, apply(intent("a", "a1", 1)).status);
        CPPUNIT_ASSERT(m_cell.open_intents().empty());
    }

    // Guards P7: a second attempt of a request is refused while the first may have run.
    void intent_second_attempt_only_after_not_run()
    {
        assert_ok(apply(intent("a", "a1", 0)).status);
        assert_ok(apply(intent("a", "a1", 0)).status);
        const apply_result second = apply(intent("a", "a2", 0));
        assert_code(error_code::already_exists, second.status);
        CPPUNIT_ASSERT_EQUAL(std::string{"a1"}, second.attempt.str());
        assert_ok(apply(resolve("a", "a1", pb::WORK_OUTCOME_NOT_RUN)).status);
        assert_code(error_code::already_exists, apply(intent("a", "a1", 0)).status);
        assert_ok(apply(intent("a", "a2", 0)).status);
        assert_code(error_code::not_found,
                    apply(resolve("a", "a1", pb::WORK_OUTCOME_COMPLETED)).status);
        assert_ok(apply(resolve("a", "a2", pb::WORK_OUTCOME_UNKNOWN)).status);
        assert_code(error_code::already_exists, apply(intent("a", "a3", 0)).status);
        assert_ok(apply(resolve("a", "a2", pb::WORK_OUTCOME_COMPLETED)).status);
        assert_code(error_code::already_exists,
                    apply(resolve("a", "a2", pb::WORK_OUTCOME_NOT_RUN)).status);
        CPPUNIT_ASSERT(m_cell.open_intents().empty());
    }

    void result_first_one_wins_and_blocks_intent()
    {
        command record;
        pb::RecordResult& body = *record.mutable_record_result();
        body.set_team("trust");
        body.set_idempotency_key("a");
        body.set_attempt("a1");
        body.set_outcome(pb::WORK_OUTCOME_COMPLETED);
        body.set_answer_hash("hash");
        assert_ok(apply(record).status);
        CPPUNIT_ASSERT(!apply(record).changed);
        body.set_answer_hash("other");
        assert_code(error_code::already_exists, apply(record).status);
        assert_code(error_code::already_exists, apply(intent("a", "a2", 0)).status);
        const auto* const found = m_cell.find_result(team_id{"trust"}, idempotency_key{"a"});
        CPPUNIT_ASSERT(found != nullptr && found->answer_hash == "hash");
        m_now += std::chrono::minutes{10};
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, apply(expire(0)).expired);
        CPPUNIT_ASSERT(m_cell.find_result(team_id{"trust"}, idempotency_key{"a"}) == nullptr);
    }

    void result_codec_round_trip_keeps_items()
    {
        const apply_result result = apply(place("none/0", "w1", 1));
        const auto decoded =
            lovagebeam::state::decode_result(lovagebeam::state::encode_result(result));
        assert_ok(decoded.status());
        assert_ok(decoded->status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decoded->items.size());
        assert_code(error_code::not_found, decoded->items[0]);
        assert_code(error_code::invalid_request,
                    lovagebeam::state::decode_result("\xff\xff").status());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(work_test);

} // namespace
