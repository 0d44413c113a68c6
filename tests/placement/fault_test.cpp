#include "harness.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace {

using namespace lovagebeam;
using namespace lovagebeam::placement;
using namespace lovagebeam::placement::test;

class fault_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(fault_test);
    CPPUNIT_TEST(submit_infeasible_job_is_refused_with_reason);
    CPPUNIT_TEST(job_infeasible_later_waits_and_blocks_no_other_job);
    CPPUNIT_TEST(cancel_before_start_is_not_run);
    CPPUNIT_TEST(cancel_repeated_has_one_answer);
    CPPUNIT_TEST(lost_unrepeatable_task_is_unknown_and_not_placed_again);
    CPPUNIT_TEST(worker_failing_distinct_jobs_is_quarantined);
    CPPUNIT_TEST(job_failing_everywhere_fails_without_quarantine);
    CPPUNIT_TEST(lost_rack_replacement_is_paced);
    CPPUNIT_TEST_SUITE_END();

    static std::string refusal(harness& cell, const job_spec& spec)
    {
        cell.updates.clear();
        cell.submit(spec);
        return cell.updates.empty() ? "accepted" : std::string{name_of(cell.updates.at(0).why)};
    }

    static void end_all(harness& cell, const std::string& id, task_outcome outcome)
    {
        for (const worker_command& task : cell.tasks_of(id)) {
            cell.end(task.task, outcome);
        }
    }

public:
    void submit_infeasible_job_is_refused_with_reason()
    {
        harness cell;
        cell.add_worker("w0", 1000);
        cell.add_worker("w1", 1000);
        team_settings settings;
        settings.limit_cpu = base::millicores{500};
        cell.process(team_changed{base::team_id{"small"}, settings});
        cell.advance(11s);
        CPPUNIT_ASSERT_EQUAL(std::string{"refused_no_host_of_shape"},
                             refusal(cell, job("a", job_kind::batch, 1001)));
        CPPUNIT_ASSERT_EQUAL(std::string{"refused_gang_larger_than_fleet"},
                             refusal(cell, job("b", job_kind::gang, 600, 3)));
        CPPUNIT_ASSERT_EQUAL(std::string{"refused_above_team_limit"},
                             refusal(cell, job("c", job_kind::batch, 600, 1, "small")));
        CPPUNIT_ASSERT_EQUAL(std::string{"refused_invalid"},
                             refusal(cell, job("d", job_kind::batch, 0)));
    }

    void job_infeasible_later_waits_and_blocks_no_other_job()
    {
        harness cell;
        cell.add_worker("big", 4000);
        cell.add_worker("small", 1000);
        cell.submit(job("fill", job_kind::batch, 3900));
        cell.submit(job("large", job_kind::batch, 3000));
        cell.silent["big"] = true;
        cell.process(worker_lost{base::worker_id{"big"}});
        cell.advance(2s);
        CPPUNIT_ASSERT_EQUAL(std::string{"waiting_no_such_host_now"}, cell.why("large"));
        cell.submit(job("other", job_kind::batch, 900));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cell.tasks_of("other").size());
    }

    void cancel_before_start_is_not_run()
    {
        harness cell;
        cell.add_worker("w0", 1000);
        cell.auto_commit = false;
        cell.submit(job("a", job_kind::batch, 700));
        cell.process(cancel_job{base::job_id{"a"}});
        cell.process(decision_committed{cell.uncommitted.at(0).id});
        CPPUNIT_ASSERT_EQUAL(std::string{"not_run"}, cell.state("a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cell.sent.size());
    }

    void cancel_repeated_has_one_answer()
    {
        harness cell;
        cell.add_worker("w0", 1000);
        cell.submit(job("a", job_kind::batch, 700));
        cell.process(cancel_job{base::job_id{"a"}});
        cell.process(cancel_job{base::job_id{"a"}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cell.commands(command_kind::stop, "a"));
        end_all(cell, "a", task_outcome::stopped);
        cell.process(cancel_job{base::job_id{"a"}});
        CPPUNIT_ASSERT_EQUAL(std::string{"cancelled"}, cell.state("a"));
    }

    void lost_unrepeatable_task_is_unknown_and_not_placed_again()
    {
        harness cell;
        cell.add_worker("w0", 1000);
        cell.add_worker("w1", 1000);
        job_spec once = job("once", job_kind::batch, 700);
        once.repeatable = false;
        cell.submit(once);
        const std::string lost = cell.tasks_of("once").at(0).worker.str();
        cell.silent[lost] = true;
        cell.process(worker_lost{base::worker_id{lost}});
        cell.advance(15s);
        CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, cell.state("once"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cell.commands(command_kind::start, "once"));
    }

    void worker_failing_distinct_jobs_is_quarantined()
    {
        harness cell;
        for (int i = 0; i < 5; ++i) {
            cell.add_worker("w" + std::to_string(i), 1000);
        }
        for (int i = 0; i < 20 && cell.worker_updates.empty(); ++i) {
            const std::string id = "j" + std::to_string(i);
            cell.submit(job(id, job_kind::batch, 900));
            const bool bad = cell.tasks_of(id).at(0).worker.str() == "w0";
            if (bad) {
                end_all(cell, id, task_outcome::failed);
            }
            else if (i % 4 == 3) {
                for (int k = 0; k < i; ++k) {
                    end_all(cell, "j" + std::to_string(k), task_outcome::completed);
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cell.worker_updates.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"w0"}, cell.worker_updates.at(0).worker.str());
        CPPUNIT_ASSERT(!cell.target().worker(base::worker_id{"w0"})->usable);
    }

    void job_failing_everywhere_fails_without_quarantine()
    {
        harness cell;
        for (int i = 0; i < 5; ++i) {
            cell.add_worker("w" + std::to_string(i), 1000);
        }
        cell.submit(job("bad", job_kind::batch, 900));
        for (int i = 0; i < 5; ++i) {
            end_all(cell, "bad", task_outcome::failed);
            cell.advance(5s);
        }
        CPPUNIT_ASSERT_EQUAL(std::string{"failed"}, cell.state("bad"));
        CPPUNIT_ASSERT_EQUAL(std::string{"ended_fails_everywhere"}, cell.why("bad"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cell.worker_updates.size());
    }

    // Guards against restarting all tasks of a lost rack at the same time.
    void lost_rack_replacement_is_paced()
    {
        scheduler_settings settings;
        settings.replacements_per_second = 2;
        harness cell{settings};
        for (int i = 0; i < 4; ++i) {
            cell.add_worker("a" + std::to_string(i), 5000, "d0", "ra");
        }
        cell.submit(job("s", job_kind::batch, 900, 20));
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, cell.tasks_of("s").size());
        for (int i = 0; i < 4; ++i) {
            cell.add_worker("b" + std::to_string(i), 5000, "d1", "rb");
        }
        for (int i = 0; i < 4; ++i) {
            cell.silent["a" + std::to_string(i)] = true;
            cell.process(worker_lost{base::worker_id{"a" + std::to_string(i)}});
        }
        cell.held_tasks.clear();
        cell.advance(14s);
        const std::size_t started = cell.tasks_of("s").size();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(started), started > 0 && started < 10);
        cell.advance(12s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, cell.tasks_of("s").size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fault_test);

} // namespace
