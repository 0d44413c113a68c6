#include "lovagebeam/operators/log_explanation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace {

using namespace lovagebeam::operators;

log_line line(const std::string& text)
{
    log_line out;
    CPPUNIT_ASSERT_MESSAGE(text, parse_log_line(text, out));
    return out;
}

std::string event_of(const std::vector<log_line>& lines, std::size_t index)
{
    return std::string{lines.at(index).field("event")};
}

class log_explanation_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(log_explanation_test);
    CPPUNIT_TEST(parse_quoted_value_keeps_spaces);
    CPPUNIT_TEST(parse_text_without_time_is_rejected);
    CPPUNIT_TEST(explain_other_jobs_are_left_out);
    CPPUNIT_TEST(explain_clock_behind_answer_comes_after_submission);
    CPPUNIT_TEST_SUITE_END();

public:
    void parse_quoted_value_keeps_spaces()
    {
        const auto found =
            line(R"(  1.5 host time=2026-02-24T12:04:45.007Z level=info detail="a \"b\" c" x=1)");
        CPPUNIT_ASSERT_EQUAL(std::string{"a \"b\" c"}, std::string{found.field("detail")});
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, std::string{found.field("x")});
    }

    void parse_text_without_time_is_rejected()
    {
        log_line out;
        CPPUNIT_ASSERT(!parse_log_line("worth 0.936 = whole day", out));
        CPPUNIT_ASSERT(!parse_log_line("time=soon event=x", out));
    }

    void explain_other_jobs_are_left_out()
    {
        const auto found = explain("00000000000000aa", {submitted("00000000000000aa", "045.100"),
                                                        submitted("00000000000000bb", "045.200")});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found.size());
    }

    // Guards against a wrong order of lines because of a host with a wrong clock.
    void explain_clock_behind_answer_comes_after_submission()
    {
        const std::string job = "00000000000000aa";
        const auto answered =
            line("time=2026-02-24T12:04:40.120Z level=info node=e1 event=request_answered "
                 "method=POST path=/q/" +
                 job + " status=200 took_us=20000");
        const auto placed = line("time=2026-02-24T12:04:45.130Z level=info node=c1 "
                                 "event=tasks_placed job=" +
                                 job);
        // The entry host's clock is 5 s behind the leader's.
        const auto found = explain(job, {answered, placed, submitted(job, "045.110")});
        CPPUNIT_ASSERT_EQUAL(std::string{"job_submitted"}, event_of(found, 0));
        CPPUNIT_ASSERT_EQUAL(std::string{"request_answered"}, event_of(found, 1));
        CPPUNIT_ASSERT_EQUAL(std::string{"tasks_placed"}, event_of(found, 2));
    }

private:
    static log_line submitted(const std::string& job, const std::string& second)
    {
        return line("time=2026-02-24T12:04:" + second.substr(1) +
                    "Z level=info node=c1 event=job_submitted job=" + job);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_explanation_test);

} // namespace
