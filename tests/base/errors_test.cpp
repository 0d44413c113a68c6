#include "lovagebeam/base/errors.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using lovagebeam::base::code_of;
using lovagebeam::base::error_code;
using lovagebeam::base::error_code_from_name;
using lovagebeam::base::make_error;
using lovagebeam::base::name_of;

class errors_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(errors_test);
    CPPUNIT_TEST(make_error_any_code_code_of_returns_it);
    CPPUNIT_TEST(code_of_status_without_code_is_empty);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a code that is missing from the table and would be reported as internal_error.
    void make_error_any_code_code_of_returns_it()
    {
        for (int i = 0; i <= static_cast<int>(error_code::internal_error); ++i) {
            const auto code = static_cast<error_code>(i);
            const absl::Status status = make_error(code, "text");
            CPPUNIT_ASSERT(!status.ok());
            CPPUNIT_ASSERT(code_of(status) == code);
            CPPUNIT_ASSERT(error_code_from_name(name_of(code)) == code);
        }
    }

    void code_of_status_without_code_is_empty()
    {
        CPPUNIT_ASSERT(!code_of(absl::OkStatus()).has_value());
        CPPUNIT_ASSERT(!code_of(absl::InternalError("text")).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(errors_test);

} // namespace
