#include "lovagebeam/base/errors.h"
#include "lovagebeam/state/command.h"

#include "job_convert.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace {

using namespace lovagebeam;
using base::error_code;

constexpr const char* valid_job =
    R"({"name":"roster","command":"roster","kind":"gang","tasks":4,"millicores":2000,)"
    R"("memory_bytes":1000,"idempotency_key":"k"})";

class job_convert_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(job_convert_test);
    CPPUNIT_TEST(decode_job_valid_document_gives_the_spec);
    CPPUNIT_TEST(decode_job_several_mistakes_reports_all);
    CPPUNIT_TEST(to_placement_deadline_counts_from_acceptance);
    CPPUNIT_TEST(check_job_without_workers_refuses_nothing);
    CPPUNIT_TEST(check_job_larger_than_every_host_is_refused);
    CPPUNIT_TEST(check_job_gang_larger_than_fleet_is_refused);
    CPPUNIT_TEST(check_job_above_team_limit_is_refused);
    CPPUNIT_TEST_SUITE_END();

    state::cell_state m_cell;
    std::uint64_t m_index = 0;

    void put_worker(std::int64_t millicores)
    {
        state::command command;
        state::worker worker;
        worker.id = base::worker_id{"w" + std::to_string(++m_index)};
        worker.address = "127.0.0.1";
        worker.port = 1;
        worker.domain = base::failure_domain{"d1"};
        worker.rack = "r1";
        worker.cores = base::millicores{millicores};
        worker.memory = base::bytes{1'000'000};
        *command.mutable_put_worker()->mutable_worker() = state::to_proto(worker);
        const auto result = m_cell.apply(
            m_index, state::encode_command(command, base::wall_time{std::chrono::hours{24}}));
        CPPUNIT_ASSERT_MESSAGE(std::string{result.status.message()}, result.status.ok());
    }

    static state::job_spec spec(state::job_kind kind, std::uint32_t tasks, std::int64_t millicores)
    {
        state::job_spec result;
        result.team = base::team_id{"desk"};
        result.kind = kind;
        result.tasks = tasks;
        result.cores = base::millicores{millicores};
        result.memory = base::bytes{1000};
        return result;
    }

    void assert_refused(const state::job_spec& wanted, const std::string& reason) const
    {
        const auto status = daemon::check_job_can_run(m_cell, wanted);
        CPPUNIT_ASSERT(base::has_code(status, error_code::job_can_never_run));
        const std::string message{status.message()};
        CPPUNIT_ASSERT_MESSAGE(message, message.find(reason) != std::string::npos);
    }

public:
    void decode_job_valid_document_gives_the_spec()
    {
        const auto job = daemon::decode_job(valid_job);
        CPPUNIT_ASSERT_MESSAGE(std::string{job.status().message()}, job.ok());
        CPPUNIT_ASSERT(job->kind == state::job_kind::gang);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{4}, job->tasks);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2000}, job->cores.value());
        // Jobs are not repeatable unless declared so.
        CPPUNIT_ASSERT(!job->repeatable);
    }

    void decode_job_several_mistakes_reports_all()
    {
        const auto job = daemon::decode_job(
            R"({"name":"","command":"c","kind":"fast","millicores":0,"memory_byte":1})");
        const std::string message{job.status().message()};
        for (const char* part :
             {"name", "kind", "millicores", "memory_bytes", "idempotency_key", "did you mean"}) {
            CPPUNIT_ASSERT_MESSAGE(message, message.find(part) != std::string::npos);
        }
    }

    // Guards against a new leader restarting the deadline of a job.
    void to_placement_deadline_counts_from_acceptance()
    {
        state::job job;
        job.accepted = base::wall_time{std::chrono::hours{24}};
        job.spec.deadline = std::chrono::seconds{60};
        const base::time_point now{std::chrono::hours{1}};
        const auto spec = daemon::to_placement(job, now, job.accepted + std::chrono::seconds{20});
        CPPUNIT_ASSERT(spec.deadline == now + std::chrono::seconds{40});
        job.spec.deadline = {};
        CPPUNIT_ASSERT(!daemon::to_placement(job, now, job.accepted).deadline.has_value());
    }

    // Right after startup no worker has announced itself yet.
    void check_job_without_workers_refuses_nothing()
    {
        CPPUNIT_ASSERT(
            daemon::check_job_can_run(m_cell, spec(state::job_kind::batch, 1, 64'000)).ok());
    }

    void check_job_larger_than_every_host_is_refused()
    {
        put_worker(4000);
        assert_refused(spec(state::job_kind::batch, 1, 4001), "no host has 4001 millicores");
        CPPUNIT_ASSERT(
            daemon::check_job_can_run(m_cell, spec(state::job_kind::batch, 9, 4000)).ok());
    }

    void check_job_gang_larger_than_fleet_is_refused()
    {
        put_worker(4000);
        put_worker(4000);
        assert_refused(spec(state::job_kind::gang, 5, 2000), "the whole fleet has room for 4");
        CPPUNIT_ASSERT(
            daemon::check_job_can_run(m_cell, spec(state::job_kind::gang, 4, 2000)).ok());
    }

    void check_job_above_team_limit_is_refused()
    {
        for (int i = 0; i < 40; ++i) {
            put_worker(4000);
        }
        assert_refused(spec(state::job_kind::gang, 33, 2000), "upper limit of team desk");
        CPPUNIT_ASSERT(
            daemon::check_job_can_run(m_cell, spec(state::job_kind::gang, 32, 2000)).ok());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(job_convert_test);

} // namespace
