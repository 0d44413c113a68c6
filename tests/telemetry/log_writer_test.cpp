#include "lovagebeam/telemetry/log.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <chrono>
#include <fcntl.h>
#include <iostream>
#include <sstream>
#include <string>
#include <thread>
#include <unistd.h>

namespace {

using namespace lovagebeam::telemetry;
using namespace std::chrono_literals;

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

    /// Makes writes to the full pipe fail instead of waiting.
    void set_non_blocking() { fcntl(m_ends[1], F_SETFL, fcntl(m_ends[1], F_GETFL) | O_NONBLOCK); }

    [[nodiscard]] const std::string& text() const { return m_text; }

    /// Whether each line begins with a time and has no second one.
    [[nodiscard]] bool has_whole_lines_only() const
    {
        std::istringstream lines{m_text};
        for (std::string line; std::getline(lines, line);) {
            if (!line.starts_with("time=") || line.find("time=", 1) != std::string::npos) {
                return false;
            }
        }
        return true;
    }

private:
    int m_saved;
    std::array<int, 2> m_ends{};
    std::string m_text;
};

class log_writer_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(log_writer_test);
    CPPUNIT_TEST(write_reader_stopped_writer_does_not_block);
    CPPUNIT_TEST(write_non_blocking_output_full_for_a_while_later_lines_are_written);
    CPPUNIT_TEST(write_output_full_for_long_loss_is_reported_and_lines_stay_whole);
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

    // Guards against a log that ends for good with the first write that the reader's pipe refuses,
    // while the process works on.
    void write_non_blocking_output_full_for_a_while_later_lines_are_written()
    {
        captured_output output;
        output.set_non_blocking();
        start_logging(severity::info, "n1", log_stream::output);
        write_more_than_a_pipe_holds();
        std::this_thread::sleep_for(200ms);
        std::thread reader{[&output] { output.read_all(); }};
        std::this_thread::sleep_for(200ms);
        log_event{severity::info, "after"}.write();
        stop_logging();
        output.restore();
        reader.join();
        CPPUNIT_ASSERT(output.text().find("event=after") != std::string::npos);
        CPPUNIT_ASSERT(output.text().find("event=log_write_failed") == std::string::npos);
        CPPUNIT_ASSERT(output.has_whole_lines_only());
    }

    // Guards against lost log lines that nobody notices, and against one that runs into the next.
    void write_output_full_for_long_loss_is_reported_and_lines_stay_whole()
    {
        captured_output output;
        output.set_non_blocking();
        start_logging(severity::info, "n1", log_stream::output);
        write_more_than_a_pipe_holds();
        std::this_thread::sleep_for(1'500ms);
        std::thread reader{[&output] { output.read_all(); }};
        log_event{severity::info, "after"}.write();
        stop_logging();
        output.restore();
        reader.join();
        CPPUNIT_ASSERT(output.text().find("event=log_write_failed bytes=") != std::string::npos);
        CPPUNIT_ASSERT(output.text().find("event=after") != std::string::npos);
        CPPUNIT_ASSERT(output.has_whole_lines_only());
    }

private:
    static void write_more_than_a_pipe_holds()
    {
        const std::string filler(300, 'x');
        for (int i = 0; i < 500; ++i) {
            log_event{severity::info, "flood"}.with("filler", filler).write();
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_writer_test);

} // namespace
