#include "lovagebeam/placement/reasons.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace {

using lovagebeam::placement::name_of;
using lovagebeam::placement::reason;
using lovagebeam::placement::reason_from_name;

class names_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(names_test);
    CPPUNIT_TEST(name_of_every_reason_maps_back_to_reason);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a reason that is missing from the name table, which would be reported as
    // "unnamed".
    void name_of_every_reason_maps_back_to_reason()
    {
        for (int i = 0; i <= static_cast<int>(reason::host_restored); ++i) {
            const auto why = static_cast<reason>(i);
            CPPUNIT_ASSERT_MESSAGE(std::string{name_of(why)},
                                   reason_from_name(name_of(why)) == why);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(names_test);

} // namespace
