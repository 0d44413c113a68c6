#include "lovagebeam/base/errors.h"

#include "task_names.h"
#include "worker_messages.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace {

using namespace lovagebeam;
using namespace lovagebeam::platform;

class worker_messages_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(worker_messages_test);
    CPPUNIT_TEST(task_name_round_trip_gives_the_same_task);
    CPPUNIT_TEST(task_name_malformed_is_rejected);
    CPPUNIT_TEST(hold_answer_with_rows_is_read);
    CPPUNIT_TEST(hold_answer_with_full_list_of_ends_may_lack_some);
    CPPUNIT_TEST(hold_answer_with_malformed_row_is_rejected);
    CPPUNIT_TEST(heartbeat_valid_is_read);
    CPPUNIT_TEST(heartbeat_with_odd_cold_time_is_read);
    CPPUNIT_TEST(heartbeat_malformed_is_rejected);
    CPPUNIT_TEST(heartbeat_too_large_is_rejected);
    CPPUNIT_TEST(heartbeat_deeply_nested_is_rejected);
    CPPUNIT_TEST(heartbeat_number_too_large_is_rejected);
    CPPUNIT_TEST(heartbeat_address_unusable_is_rejected);
    CPPUNIT_TEST(start_without_checkpoint_omits_the_field);
    CPPUNIT_TEST_SUITE_END();

public:
    void task_name_round_trip_gives_the_same_task()
    {
        const jobs::task_key task{jobs::job_number{0x0c0e7a21d94b36f8}, 3, 1, 17};
        CPPUNIT_ASSERT_EQUAL(std::string{"0c0e7a21d94b36f8.3.1.17"}, task_name(task));
        CPPUNIT_ASSERT(task == parse_task_name(task_name(task)));
    }

    void task_name_malformed_is_rejected()
    {
        for (const auto* const name : {"", "0c0e7a21d94b36f8", "0c0e7a21d94b36f8.0.1", "1.0.0.0",
                                       "0c0e7a21d94b36f8.0.0.x", "0c0e7a21d94b36f8.0.0.0.0"}) {
            CPPUNIT_ASSERT_MESSAGE(name, !parse_task_name(name));
        }
    }

    void hold_answer_with_rows_is_read()
    {
        const auto answer = decode_hold(
            R"({"clockMs":482113,"born":77,"running":[["5c0e7a21d94b36f8.0.1.17",2,"cp",41,9]],
                "finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})",
            base::wall_time{});
        CPPUNIT_ASSERT(answer.ok());
        CPPUNIT_ASSERT(jobs::worker_time{482113} == answer->clock);
        CPPUNIT_ASSERT(base::wall_time{std::chrono::milliseconds{77}} == answer->started_at);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{41}, answer->running.at(0).percent);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{9}, *answer->running.at(0).figure);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{58}, answer->finished.at(0).number);
        CPPUNIT_ASSERT(jobs::end_kind::done == answer->finished.at(0).how);
    }

    // Guards against taking a list that is cut off at its greatest length for a complete one.
    void hold_answer_with_full_list_of_ends_may_lack_some()
    {
        for (const auto& [ends, may_lack_ends] : {std::pair{499, false}, std::pair{500, true}}) {
            std::string rows;
            for (int number = 1; number <= ends; ++number) {
                rows.append(number == 1 ? "[" : ",[")
                    .append(std::to_string(number))
                    .append(R"(,"5c0e7a21d94b36f8.0.1.9",1,"done",""])");
            }
            const auto answer =
                decode_hold(R"({"clockMs":1,"finished":[)" + rows + "]}", base::wall_time{});
            CPPUNIT_ASSERT(answer.ok());
            CPPUNIT_ASSERT_EQUAL(may_lack_ends, answer->may_lack_ends);
        }
    }

    // Guards against a process that ends, or a fleet whose sums overflow, because of one odd entry
    // among the registrations of the workers.
    void heartbeat_deeply_nested_is_rejected()
    {
        for (const std::size_t depth : {33U, 1'000U, 1'000'000U}) {
            const auto nested = std::string(depth, '[') + std::string(depth, ']');
            CPPUNIT_ASSERT(!decode_heartbeat("i-1", nested).ok());
            CPPUNIT_ASSERT(!decode_heartbeat("i-1", heartbeat_with("labels", nested)).ok());
            CPPUNIT_ASSERT(!decode_heartbeat("i-1", std::string(depth, '[')).ok());
        }
        CPPUNIT_ASSERT(decode_heartbeat("i-1", heartbeat_with("odd", "[[[[]]]]")).ok());
    }

    // Guards against labels that fill the memory of all core processes, which keep the heartbeat.
    void heartbeat_too_large_is_rejected()
    {
        const std::string label(20'000, 'x');
        CPPUNIT_ASSERT(
            !decode_heartbeat("i-1", heartbeat_with("labels", "[\"" + label + "\"]")).ok());
        CPPUNIT_ASSERT(!decode_heartbeat(label, heartbeat_with("labels", "[]")).ok());
    }

    void heartbeat_number_too_large_is_rejected()
    {
        for (const auto* const number : {"1e300", "9223372036854775807", "18446744073709551616",
                                         "99999999999999999999999999"}) {
            for (const auto* const field : {"clockMs", "sequence", "born"}) {
                CPPUNIT_ASSERT_MESSAGE(
                    number, !decode_heartbeat("i-1", heartbeat_with(field, number)).ok());
            }
            for (const auto* const field : {"cpu", "memoryRequestMb", "gpu"}) {
                const auto capacity = std::string{R"({")"} + field + R"(":)" + number + "}";
                CPPUNIT_ASSERT_MESSAGE(
                    capacity, !decode_heartbeat("i-1", heartbeat_with("capacity", capacity)).ok());
            }
        }
    }

    // Guards against tasks that are placed on a worker that can't be called.
    void heartbeat_address_unusable_is_rejected()
    {
        for (const auto* const address :
             {R"("10.0.0.1:65536")", R"("10.0.0.1:99999999999")", R"("10.0.0.1:0")",
              R"("10.0.0.1:-1")", R"("10.0.0.1")", R"("10.0.0.1:")", R"("host.example:80")",
              R"("10.0.0.999:80")", R"(":80")", R"("")", "80"}) {
            CPPUNIT_ASSERT_MESSAGE(
                address, !decode_heartbeat("i-1", heartbeat_with("address", address)).ok());
        }
    }

    // Guards against treating a run as lost because its row is malformed.
    void hold_answer_with_malformed_row_is_rejected()
    {
        for (const auto* const text :
             {R"({"running":[],"finished":[]})", R"({"clockMs":1,"running":[["x",1,"",0]]})",
              R"({"clockMs":1,"finished":[[1,"5c0e7a21d94b36f8.0.1.9",1,"vanished",""]]})",
              R"({"clockMs":1,"running":{}})", R"({"clockMs":9223372036854775807})",
              R"({"clockMs":1,"running":[["5c0e7a21d94b36f8.0.1.9",4294967297,"",0]]})"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !decode_hold(text, base::wall_time{}).ok());
        }
    }

    void heartbeat_valid_is_read()
    {
        const auto report = decode_heartbeat(
            "i-1", R"({"service":"s","address":"10.128.0.9:8080","zone":"z","version":"v1",
                       "slots":8,"state":"draining","coldRemainingMs":0,
                       "capacity":{"cpu":16000,"memoryRequestMb":32768,"gpu":0},
                       "labels":["a","r1-3"],"clockMs":482113,"sequence":4,"born":9})");
        CPPUNIT_ASSERT(report.ok());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{8080}, report->info.port);
        CPPUNIT_ASSERT_EQUAL(std::string{"r1-3"}, report->info.rack);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{16000}, report->info.capacity.millicores);
        CPPUNIT_ASSERT(report->info.draining);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, report->sequence);
    }

    // Guards against a worker that gets no tasks because this one field is odd.
    void heartbeat_with_odd_cold_time_is_read()
    {
        for (const auto& [text, expected] :
             std::vector<std::pair<std::string, std::int64_t>>{{"1500", 1'500},
                                                               {"-1", 0},
                                                               {"\"long\"", 0},
                                                               {"null", 0},
                                                               {"9223372036854775807", 600'000}}) {
            const auto report = decode_heartbeat("i-1", heartbeat_with("coldRemainingMs", text));
            CPPUNIT_ASSERT_MESSAGE(text, report.ok());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, expected, report->cold_remaining.count());
        }
    }

    // Guards against registering a worker from a document that isn't a heartbeat.
    void heartbeat_malformed_is_rejected()
    {
        for (const auto* const text :
             {"", "\xff\xfe", "{}", R"({"service":"s","address":"nowhere","state":"ready"})",
              R"({"service":"s","address":"10.0.0.1:80","state":"asleep","capacity":{}})",
              R"({"service":5,"address":"10.0.0.1:80","state":"ready","capacity":{}})",
              R"({"service":"s","address":"10.0.0.1:80","state":"ready","capacity":[]})"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !decode_heartbeat("i-1", text).ok());
        }
    }

    /// A heartbeat with the JSON text `value` in place of the value of `field`.
    static std::string heartbeat_with(std::string_view field, std::string_view value)
    {
        std::map<std::string, std::string, std::less<>> fields{{"service", R"("s")"},
                                                               {"address", R"("10.0.0.1:80")"},
                                                               {"zone", R"("z")"},
                                                               {"state", R"("ready")"},
                                                               {"capacity", R"({"cpu":1})"},
                                                               {"labels", "[]"},
                                                               {"clockMs", "1"},
                                                               {"sequence", "1"},
                                                               {"born", "1"}};
        fields[std::string{field}] = value;
        std::string out;
        for (const auto& [name, text] : fields) {
            out.append(out.empty() ? "{\"" : ",\"").append(name).append("\":").append(text);
        }
        return out + "}";
    }

    void start_without_checkpoint_omits_the_field()
    {
        jobs::start_order order;
        order.run = {{jobs::job_number{1}, 0, 0, 2}, 3};
        order.payload = "p";
        order.deadline = jobs::worker_time{5};
        order.token = jobs::fencing_token{7};
        CPPUNIT_ASSERT_EQUAL(
            std::string{R"({"task":"0000000000000001.0.0.2","attempt":3,"spec":"p",)"
                        R"("deadlineMs":5,"fencingToken":7})"},
            encode_start(order));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_messages_test);

} // namespace
