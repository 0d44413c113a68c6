#include "state_watch.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace {

using namespace lovagebeam;
using namespace lovagebeam::controlplane;
using namespace std::chrono_literals;

/// A running job of two steps; the second depends on the first.
jobs::job_record job_of_two_steps()
{
    jobs::job_record job;
    job.state = jobs::job_state::running;
    jobs::step_spec step;
    step.tasks = 2;
    job.spec.steps = {step, step};
    job.spec.steps[1].depends_on = {0};
    jobs::step_record record;
    record.tasks.resize(2);
    record.undone = 2;
    job.steps = {record, record};
    return job;
}

void finish_tasks(jobs::step_record& step)
{
    step.undone = 0;
    for (auto& task : step.tasks) {
        task.done = true;
    }
}

void place_tasks(jobs::step_record& step)
{
    for (auto& task : step.tasks) {
        task.placed = true;
    }
}

/// Callers that wait for short jobs query the state as soon as the last task has ended, some
/// milliseconds before its end is committed.
class state_watch_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(state_watch_test);
    CPPUNIT_TEST(job_last_tasks_running_is_ending);
    CPPUNIT_TEST(job_task_without_worker_is_not_ending);
    CPPUNIT_TEST(job_long_running_is_not_ending);
    CPPUNIT_TEST(job_ends_during_wait_request_wakes_at_once);
    CPPUNIT_TEST(job_continues_request_wakes_after_max_wait);
    CPPUNIT_TEST(too_many_waiting_request_is_not_taken);
    CPPUNIT_TEST(leadership_ends_all_requests_wake);
    CPPUNIT_TEST_SUITE_END();

public:
    void job_last_tasks_running_is_ending()
    {
        auto job = job_of_two_steps();
        finish_tasks(job.steps[0]);
        place_tasks(job.steps[1]);
        CPPUNIT_ASSERT(state_watch::is_ending(job));
        job.steps[1].tasks[0].placed = false;
        job.steps[1].tasks[0].done = true;
        job.steps[1].undone = 1;
        CPPUNIT_ASSERT(state_watch::is_ending(job));
    }

    // Guards against delaying the answer for a job that can't end soon.
    void job_task_without_worker_is_not_ending()
    {
        auto job = job_of_two_steps();
        CPPUNIT_ASSERT(!state_watch::is_ending(job));
        place_tasks(job.steps[0]);
        CPPUNIT_ASSERT(!state_watch::is_ending(job));
        finish_tasks(job.steps[0]);
        job.steps[1].tasks[0].placed = true;
        CPPUNIT_ASSERT(!state_watch::is_ending(job));
    }

    void job_long_running_is_not_ending()
    {
        auto job = job_of_two_steps();
        finish_tasks(job.steps[0]);
        place_tasks(job.steps[1]);
        job.spec.steps[1].long_running = true;
        CPPUNIT_ASSERT(!state_watch::is_ending(job));
    }

    // Guards against an answer of `running` some milliseconds before the job is complete.
    void job_ends_during_wait_request_wakes_at_once()
    {
        state_watch watch;
        int woken = 0;
        CPPUNIT_ASSERT(watch.wait(m_begin, jobs::job_number{1}, [&](auto) { ++woken; }));
        CPPUNIT_ASSERT(watch.wait(m_begin, jobs::job_number{2}, [&](auto) { woken += 10; }));
        watch.tick(m_begin + 20ms);
        CPPUNIT_ASSERT_EQUAL(0, woken);
        watch.on_ended(jobs::job_number{1});
        CPPUNIT_ASSERT_EQUAL(1, woken);
        watch.on_ended(jobs::job_number{1});
        CPPUNIT_ASSERT_EQUAL(1, woken);
    }

    // Guards against requests that are delayed for as long as a task runs.
    void job_continues_request_wakes_after_max_wait()
    {
        state_watch watch;
        int woken = 0;
        watch.wait(m_begin, jobs::job_number{1}, [&](auto) { ++woken; });
        watch.wait(m_begin + 50ms, jobs::job_number{1}, [&](auto) { ++woken; });
        watch.tick(m_begin + state_watch::max_wait);
        CPPUNIT_ASSERT_EQUAL(1, woken);
        watch.tick(m_begin + 50ms + state_watch::max_wait);
        CPPUNIT_ASSERT_EQUAL(2, woken);
    }

    void too_many_waiting_request_is_not_taken()
    {
        state_watch watch;
        int woken = 0;
        for (std::size_t i = 0; i < state_watch::max_waiting; ++i) {
            CPPUNIT_ASSERT(watch.wait(m_begin, jobs::job_number{i}, [&](auto) { ++woken; }));
        }
        CPPUNIT_ASSERT(!watch.wait(m_begin, jobs::job_number{1}, [&](auto) { ++woken; }));
        watch.tick(m_begin + 1s);
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(state_watch::max_waiting), woken);
        CPPUNIT_ASSERT(watch.wait(m_begin, jobs::job_number{1}, [](auto) {}));
    }

    // Guards against requests that a former leader never answers.
    void leadership_ends_all_requests_wake()
    {
        state_watch watch;
        int woken = 0;
        const auto wake = [&](state_watch::reason why) {
            CPPUNIT_ASSERT(why == state_watch::reason::not_leading);
            ++woken;
        };
        watch.wait(m_begin, jobs::job_number{1}, wake);
        watch.wait(m_begin, jobs::job_number{2}, wake);
        watch.stop_leading();
        CPPUNIT_ASSERT_EQUAL(2, woken);
        watch.on_ended(jobs::job_number{1});
        CPPUNIT_ASSERT_EQUAL(2, woken);
    }

private:
    base::time_point m_begin{std::chrono::hours{1}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(state_watch_test);

} // namespace
