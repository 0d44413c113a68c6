#include "lovagebeam/base/errors.h"

#include "documents.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace {

using namespace lovagebeam;
using lovagebeam::platform::documents;

/// Returns a valid configuration in which `old` is replaced by `changed`.
std::string configuration(const std::string& old = "", const std::string& changed = "")
{
    std::string text = R"({"version":7,"routes":[
        {"name":"r1","host":"h.example","pathPrefix":"/a/","timeoutMs":3000,"service":"s1",
         "priority":2,"maxAttempts":4,"slackFactor":4.0,"targetLatencyMs":3000,
         "placementAdvisor":{"decisionMs":66.0,"periodMs":0.94,"validityMs":2500}},
        {"name":"r2","host":"h.example","pathPrefix":"/a/b/","timeoutMs":3000,"service":"s1",
         "public":true}],
        "services":[{"name":"s1","enforceCapacity":false}],
        "tenants":[{"name":"t1","apiKeys":["k1","k2"],"weight":26,"maxCount":{"cpu":1000}},
                   {"name":"t2","apiKeys":["k3"],"weight":1}]})";
    if (!old.empty()) {
        text.replace(text.find(old), old.size(), changed);
    }
    return text;
}

class documents_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(documents_test);
    CPPUNIT_TEST(catalog_valid_document_is_read_in_full);
    CPPUNIT_TEST(catalog_longest_prefix_selects_queue);
    CPPUNIT_TEST(catalog_invalid_document_is_rejected);
    CPPUNIT_TEST(catalog_weight_missing_is_1);
    CPPUNIT_TEST(job_omitted_fields_have_their_zero_value);
    CPPUNIT_TEST(job_every_field_is_read);
    CPPUNIT_TEST(job_malformed_document_is_rejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void catalog_valid_document_is_read_in_full()
    {
        const auto found = m_codec.decode_catalog(configuration());
        CPPUNIT_ASSERT_EQUAL(std::string{}, std::string{found.status().message()});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, found->version);
        const auto& queue = *found->queue_named("r1");
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{4}, queue.max_attempts);
        CPPUNIT_ASSERT(queue.advice->per_worker == std::chrono::microseconds{940});
        CPPUNIT_ASSERT(found->queue_named("r2")->open);
        CPPUNIT_ASSERT_EQUAL(std::string{"t1"}, found->account_by_key.at("k2"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1000}, found->accounts.at("t1").limit.millicores);
    }

    void catalog_longest_prefix_selects_queue()
    {
        const auto found = m_codec.decode_catalog(configuration());
        CPPUNIT_ASSERT_EQUAL(std::string{"r2"}, found->find_queue("h.example", "/a/b/1")->name);
        CPPUNIT_ASSERT_EQUAL(std::string{"r1"}, found->find_queue("h.example", "/a/c")->name);
        CPPUNIT_ASSERT(found->find_queue("other.example", "/a/c") == nullptr);
    }

    // Guards against an invalid configuration that is acknowledged and takes effect.
    void catalog_invalid_document_is_rejected()
    {
        const std::pair<std::string, std::string> changes[] = {
            {R"("services":[{"name":"s1")", R"("services":[{"name":"s2")"}, // unknown service
            {R"("pathPrefix":"/a/b/")", R"("pathPrefix":"/a/")"},           // same host and prefix
            {R"("timeoutMs":3000)", R"("timeoutMs":0)"},                    // no timeout
            {R"(["k3"])", R"(["k1"])"},                                     // shared key
            {R"("version":7,)", ""},                                        // no version
            {R"("weight":1}]})", R"("weight":1)"},                          // truncated
            {R"("maxAttempts":4)", R"("maxAttempts":"4")"},                 // wrong type
        };
        for (const auto& [old, changed] : changes) {
            const auto found = m_codec.decode_catalog(configuration(old, changed));
            CPPUNIT_ASSERT_MESSAGE(
                changed, base::has_code(found.status(), base::error_code::invalid_settings));
        }
    }

    // Guards against an account that gets hardly any share because its weight wasn't sent.
    void catalog_weight_missing_is_1()
    {
        const auto found = m_codec.decode_catalog(configuration(R"("weight":26,)", ""));
        CPPUNIT_ASSERT(found.ok());
        CPPUNIT_ASSERT_EQUAL(1.0, found->accounts.at("t1").weight);
    }

    void job_omitted_fields_have_their_zero_value()
    {
        const auto job = m_codec.decode_job(R"({"spec":"x","phases":[{"count":2,"cpu":500}]})");
        CPPUNIT_ASSERT(job.ok());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, job->steps.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, job->steps[0].size.memory_mb);
        CPPUNIT_ASSERT(!job->steps[0].gang);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, job->runs());
    }

    void job_every_field_is_read()
    {
        const auto job = m_codec.decode_job(
            R"({"spec":"x","repeatCount":3,"startAtMs":5,"intervalMs":7,"phases":[{"count":1},
                {"count":2,"dependsOn":[0],"gang":true,"rackSensitive":true,"requirements":"b",
                 "affinity":"r1","antiAffinity":2,"speculative":true,"longRunning":true,
                 "image":"i","targetMs":9,"fills":true,"missAllowed":1,"checkpointing":true}]})");
        CPPUNIT_ASSERT(job.ok());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, job->runs());
        const auto& step = job->steps[1];
        CPPUNIT_ASSERT(step.gang && step.rack_sensitive && step.speculative && step.long_running);
        CPPUNIT_ASSERT(step.fills && step.checkpoints);
        CPPUNIT_ASSERT_EQUAL(std::string{"b"}, step.required_label);
        CPPUNIT_ASSERT_EQUAL(std::string{"r1"}, step.preferred_rack);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, step.max_per_worker);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, step.depends_on.at(0));
    }

    void job_malformed_document_is_rejected()
    {
        for (const auto* const text :
             {"", "{", "[]", R"({"phases":[]})", R"({"phases":[{"count":0}]})",
              R"({"phases":[{"count":1,"dependsOn":[0]}]})", R"({"phases":[{"count":"1"}]})",
              R"({"spec":5,"phases":[{"count":1}]})", R"({"phases":[{"count":99999999}]})"}) {
            CPPUNIT_ASSERT_MESSAGE(text, base::has_code(m_codec.decode_job(text).status(),
                                                        base::error_code::invalid_request));
        }
    }

private:
    documents m_codec;
};

CPPUNIT_TEST_SUITE_REGISTRATION(documents_test);

} // namespace
