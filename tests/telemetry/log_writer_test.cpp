#include "lovagebeam/telemetry/log.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <chrono>
#include <iostream>
#include <string>
#include <thread>
#include <unistd.h>

namespace {

using namespace lovagebeam::telemetry;

/// Redirects the standard output to a pipe.
class captured_output {
public:
    captured_output() : m_saved{dup(STDOUT_FILENO)}
    {
        std::cout.flush();
        CPPUNIT_ASSERT_EQUAL(0, pipe(m_ends.data()));
        dup2(m_ends[1], STDOUT_FILENO);
    }

    captured_output(const captured_output&) = delete;
    captured_output& operator=(const captured_output&) = delete;

    ~captured_output() { restore(); }

    /// Reads until the write end is closed.
    void read_all()
    {
        std::array<char, 65'536> buffer{};
        for (ssize_t count = read(m_ends[0], buffer.data(), buffer.size()); count > 0;
             count = read(m_ends[0], buffer.data(), buffer.size())) {
            m_text.append(buffer.data(), static_cast<std::size_t>(count));
        }
    }

    void restore()
    {
        if (m_saved >= 0) {
            std::cout.flush();
            dup2(m_saved, STDOUT_FILENO);
            close(m_saved);
            close(m_ends[1]);
            m_saved = -1;
        }
    }

    [[nodiscard]] const std::string& text() const { return m_text; }

private:
    int m_saved;
    std::array<int, 2> m_ends{};
    std::string m_text;
};

class log_writer_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(log_writer_test);
    CPPUNIT_TEST(write_reader_stopped_writer_does_not_block);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a process that blocks because nobody reads its log. With the fault the test
    // hangs.
    void write_reader_stopped_writer_does_not_block()
    {
        captured_output output;
        start_logging(severity::info, "n1", log_stream::output);
        const std::string filler(300, 'x');
        for (int i = 0; i < 20'000; ++i) {
            log_event{severity::info, "flood"}.with("filler", filler).write();
        }
        std::thread reader{[&output] { output.read_all(); }};
        // After a second the budget is refilled, and the next line reports the dropped ones.
        std::this_thread::sleep_for(std::chrono::milliseconds{1'200});
        log_event{severity::info, "after"}.write();
        stop_logging();
        output.restore();
        reader.join();
        CPPUNIT_ASSERT(output.text().find("event=log_lines_left_out count=") != std::string::npos);
        CPPUNIT_ASSERT(output.text().find("event=after") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_writer_test);

} // namespace
