#include "relay_messages.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace {

using namespace lovagebeam;
using namespace lovagebeam::controlplane;

/// Answers of workers that a core process passes on to the leader.
class relay_messages_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(relay_messages_test);
    CPPUNIT_TEST(hold_answer_relayed_is_the_same);
    CPPUNIT_TEST(hold_answer_with_incomplete_ends_relayed_stays_incomplete);
    CPPUNIT_TEST_SUITE_END();

public:
    void hold_answer_relayed_is_the_same()
    {
        const jobs::run_key run{{jobs::job_number{7}, 1, 2, 3}, 4};
        jobs::hold_answer answer;
        answer.clock = jobs::worker_time{482'113};
        answer.started_at = base::wall_time{jobs::milliseconds{77}};
        answer.running.push_back({run, "checkpoint", 41, 9});
        answer.finished.push_back({58, run, jobs::end_kind::broken, "end"});
        const auto relayed = relay(answer);
        CPPUNIT_ASSERT(answer.clock == relayed.clock && answer.started_at == relayed.started_at);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, relayed.running.size());
        CPPUNIT_ASSERT(run == relayed.running[0].run);
        CPPUNIT_ASSERT_EQUAL(std::string{"checkpoint"}, relayed.running[0].checkpoint);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{41}, relayed.running[0].percent);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{9}, relayed.running[0].figure.value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, relayed.finished.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{58}, relayed.finished[0].number);
        CPPUNIT_ASSERT(run == relayed.finished[0].run);
        CPPUNIT_ASSERT(jobs::end_kind::broken == relayed.finished[0].how);
        CPPUNIT_ASSERT_EQUAL(std::string{"end"}, relayed.finished[0].checkpoint);
        CPPUNIT_ASSERT(!relayed.may_lack_ends);
    }

    // Guards against a list that a worker cut off and that looks complete once it was relayed, so
    // that runs that ended are started again.
    void hold_answer_with_incomplete_ends_relayed_stays_incomplete()
    {
        jobs::hold_answer answer;
        answer.may_lack_ends = true;
        CPPUNIT_ASSERT(relay(answer).may_lack_ends);
    }

private:
    static jobs::hold_answer relay(const jobs::hold_answer& answer)
    {
        proto::controlplane::RelayOutcome message;
        write(answer, message);
        proto::controlplane::RelayOutcome received;
        CPPUNIT_ASSERT(received.ParseFromString(message.SerializeAsString()));
        return hold_answer_from(received);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_messages_test);

} // namespace
