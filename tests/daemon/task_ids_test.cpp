#include "task_ids.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace lovagebeam;
using daemon::parse_worker_task_id;
using daemon::placement_ref;
using daemon::worker_task_id;

class task_ids_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(task_ids_test);
    CPPUNIT_TEST(parse_worker_task_id_any_job_name_gives_the_placement_back);
    CPPUNIT_TEST(parse_worker_task_id_foreign_text_is_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against misparsing job ids that contain dots, the separator of the id's parts.
    void parse_worker_task_id_any_job_name_gives_the_placement_back()
    {
        for (const char* job : {"j-1", "a.b.1", "1.2.3"}) {
            const placement_ref ref{base::job_id{job}, 4, (std::uint64_t{9} << 32U) | 77};
            const auto parsed = parse_worker_task_id(worker_task_id(ref));
            CPPUNIT_ASSERT(parsed.has_value());
            CPPUNIT_ASSERT(*parsed == ref);
        }
    }

    void parse_worker_task_id_foreign_text_is_refused()
    {
        for (const char* text : {"", "j", "j.1.2", "j.1.2.x", ".1.2.3", "j.1.2.99999999999"}) {
            CPPUNIT_ASSERT(!parse_worker_task_id(base::task_id{text}).has_value());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(task_ids_test);

} // namespace
