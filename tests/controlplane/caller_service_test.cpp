#include "caller_service.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace lovagebeam;
using namespace lovagebeam::controlplane;
using namespace std::chrono_literals;

class one_step_codec final : public document_codec {
public:
    [[nodiscard]] absl::StatusOr<jobs::job_spec> decode_job(std::string_view) const override
    {
        jobs::job_spec job;
        job.steps.emplace_back();
        return job;
    }
    [[nodiscard]] absl::StatusOr<jobs::catalog> decode_catalog(std::string_view) const override
    {
        return jobs::catalog{};
    }
    [[nodiscard]] std::string encode_state(jobs::job_state state) const override
    {
        return std::string{jobs::name_of(state)};
    }
    [[nodiscard]] std::string encode_pending(std::uint64_t pending) const override
    {
        return std::to_string(pending);
    }
};

/// Submissions while the forecast refuses new jobs.
class caller_service_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(caller_service_test);
    CPPUNIT_TEST(forecast_refuses_job_is_not_proposed);
    CPPUNIT_TEST(forecast_admits_job_is_proposed);
    CPPUNIT_TEST(job_accepted_is_acknowledged_again);
    CPPUNIT_TEST(commit_pending_job_is_not_judged);
    CPPUNIT_TEST(commit_unconfirmed_job_is_not_refused);
    CPPUNIT_TEST(commit_without_effect_job_is_judged_again);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        jobs::queue_settings queue;
        queue.name = "queue";
        queue.path_prefix = "/queue/";
        queue.open = true;
        m_catalog.queues.push_back(queue);
    }

    // The answer says that the job doesn't run, so nothing may be proposed.
    void forecast_refuses_job_is_not_proposed()
    {
        m_verdict.is_admitted = false;
        m_verdict.retry_after = 2'500ms;
        submit();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_answers.size());
        CPPUNIT_ASSERT_EQUAL(429U, m_answers[0].status());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2'500}, std::int64_t{m_answers[0].retry_after_ms()});
        CPPUNIT_ASSERT(m_commits.empty());
        CPPUNIT_ASSERT_EQUAL(0, m_submitted);
    }

    void forecast_admits_job_is_proposed()
    {
        submit();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_commits.size());
        finish_commit(caller_service::commit_outcome::committed);
        CPPUNIT_ASSERT_EQUAL(200U, m_answers.at(0).status());
    }

    void job_accepted_is_acknowledged_again()
    {
        submit();
        finish_commit(caller_service::commit_outcome::committed);
        m_verdict.is_admitted = false;
        submit();
        CPPUNIT_ASSERT_EQUAL(200U, m_answers.at(1).status());
        CPPUNIT_ASSERT_EQUAL(1, m_judged);
    }

    void commit_pending_job_is_not_judged()
    {
        submit();
        m_verdict.is_admitted = false;
        submit();
        CPPUNIT_ASSERT(m_answers.empty());
        CPPUNIT_ASSERT_EQUAL(1, m_judged);
        finish_commit(caller_service::commit_outcome::committed);
        CPPUNIT_ASSERT_EQUAL(200U, m_answers.at(0).status());
        CPPUNIT_ASSERT_EQUAL(200U, m_answers.at(1).status());
    }

    // The first proposal may still be committed, so a refusal would not be true.
    void commit_unconfirmed_job_is_not_refused()
    {
        submit();
        finish_commit(caller_service::commit_outcome::unconfirmed);
        CPPUNIT_ASSERT(m_answers.at(0).in_doubt());
        m_verdict.is_admitted = false;
        submit();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_commits.size());
        finish_commit(caller_service::commit_outcome::committed);
        CPPUNIT_ASSERT_EQUAL(200U, m_answers.at(1).status());
    }

    void commit_without_effect_job_is_judged_again()
    {
        submit();
        finish_commit(caller_service::commit_outcome::refused);
        m_verdict.is_admitted = false;
        submit();
        CPPUNIT_ASSERT_EQUAL(429U, m_answers.at(1).status());
    }

private:
    using commit_done = std::function<void(caller_service::commit_outcome)>;

    void submit()
    {
        proto::controlplane::CallerCall call;
        call.set_method("POST");
        call.set_path("/queue/00000000000000aa");
        m_service.handle(
            base::time_point{1h}, 0ms, &m_catalog, call,
            [this](const caller_service::answer& answer) { m_answers.push_back(answer); });
    }

    void finish_commit(caller_service::commit_outcome outcome)
    {
        auto [operation, done] = std::move(m_commits.back());
        m_commits.pop_back();
        if (outcome == caller_service::commit_outcome::committed) {
            proto::jobs::Batch batch;
            *batch.add_operations() = operation;
            CPPUNIT_ASSERT(m_records.apply(batch.SerializeAsString()).ok());
        }
        done(outcome);
    }

    one_step_codec m_codec;
    jobs::ledger m_records;
    jobs::catalog m_catalog;
    scheduling::admission_forecast::verdict m_verdict;
    std::vector<std::pair<proto::jobs::Operation, commit_done>> m_commits;
    std::vector<caller_service::answer> m_answers;
    int m_judged = 0;
    int m_submitted = 0;
    caller_service m_service{
        {&m_codec, [this]() -> const jobs::ledger& { return m_records; },
         [this](base::time_point, proto::jobs::Operation operation, commit_done done) {
             m_commits.emplace_back(std::move(operation), std::move(done));
         },
         [this](base::time_point, const jobs::job_spec&) { ++m_submitted; },
         [](base::time_point) { return base::wall_time{std::chrono::hours{400'000}}; },
         [this](base::time_point, const jobs::job_spec&) {
             ++m_judged;
             return m_verdict;
         }}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_service_test);

} // namespace
