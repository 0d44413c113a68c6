#include "lovagebeam/telemetry/log.h"
#include "lovagebeam/telemetry/metrics.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace {

using lovagebeam::telemetry::duration_histogram;
using lovagebeam::telemetry::log_event;
using lovagebeam::telemetry::metrics_registry;
using lovagebeam::telemetry::severity;

class telemetry_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(telemetry_test);
    CPPUNIT_TEST(log_event_value_with_newline_stays_on_one_line);
    CPPUNIT_TEST(quantile_known_values_is_within_one_bucket);
    CPPUNIT_TEST(quantile_values_outside_range_are_counted);
    CPPUNIT_TEST(render_histogram_with_labels_keeps_them);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against log injection: a caller's text must not forge a second line or field.
    void log_event_value_with_newline_stays_on_one_line()
    {
        log_event event{severity::info, "refused"};
        event.with("reason", "a\nlevel=error \"b\"").with("count", 3);
        CPPUNIT_ASSERT_EQUAL(
            std::string{R"(event=refused reason="a\x0alevel=error \"b\"" count=3)"}, event.text());
    }

    void quantile_known_values_is_within_one_bucket()
    {
        duration_histogram histogram;
        for (int i = 1; i <= 1000; ++i) {
            histogram.record(i / 1000.0);
        }
        const double median = histogram.quantile(0.5);
        CPPUNIT_ASSERT(median >= 0.5 && median <= 0.5 * 1.34);
        const double tail = histogram.quantile(0.99);
        CPPUNIT_ASSERT(tail >= 0.99 && tail <= 0.99 * 1.34);
    }

    void quantile_values_outside_range_are_counted()
    {
        duration_histogram histogram;
        histogram.record(1e-9);
        histogram.record(1e6);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1e-5, histogram.quantile(0.5), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1e3, histogram.quantile(1.0), 1e-9);
    }

    void render_histogram_with_labels_keeps_them()
    {
        metrics_registry registry;
        registry.histogram_named(R"(waiting_seconds{class="urgent"})").record(0.5);
        registry.counter_named("requests_total").add(2);
        const std::string page = registry.render();
        CPPUNIT_ASSERT(page.find("requests_total 2\n") != std::string::npos);
        CPPUNIT_ASSERT(page.find("waiting_seconds_bucket{class=\"urgent\",le=\"+Inf\"} 1\n") !=
                       std::string::npos);
        CPPUNIT_ASSERT(page.find("waiting_seconds_count{class=\"urgent\"} 1\n") !=
                       std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(telemetry_test);

} // namespace
