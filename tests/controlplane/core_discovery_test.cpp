#include "lovagebeam/controlplane/core_host.h"

#include "controlplane.pb.h"
#include "internal_calls.h"
#include "support/net.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

// Core processes with and without a disk that all stop at the same moment and start again with
// other seeds.

namespace {

using namespace lovagebeam;
using namespace lovagebeam::controlplane;
using namespace std::chrono_literals;

namespace pb = proto::controlplane;

class unused_worker_port final : public worker_port {
public:
    void start(const jobs::start_order&, std::function<void(jobs::start_outcome)>) override {}
    void stop(const jobs::stop_order&, std::function<void(bool)>) override {}
    void hold(const jobs::hold_order&,
              std::function<void(jobs::hold_outcome, jobs::hold_answer)>) override
    {
    }
};

class unused_codec final : public document_codec {
public:
    [[nodiscard]] absl::StatusOr<jobs::job_spec> decode_job(std::string_view) const override
    {
        return absl::UnimplementedError("unused");
    }
    [[nodiscard]] absl::StatusOr<jobs::catalog> decode_catalog(std::string_view) const override
    {
        return absl::UnimplementedError("unused");
    }
    [[nodiscard]] std::string encode_state(jobs::job_state) const override { return {}; }
    [[nodiscard]] std::string encode_pending(std::uint64_t) const override { return {}; }
};

/// A host that runs a core process.
struct core_machine {
    std::string address;
    std::string data_folder; ///< empty without a disk
    std::vector<std::string> seeds;
    telemetry::metrics_registry metrics;
    std::unique_ptr<core_host> process;
};

/// Four hosts with a disk, of which the first three are the initial voters, and three without.
class core_discovery_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(core_discovery_test);
    CPPUNIT_TEST(first_start_seeds_without_disk_all_find_leader);
    CPPUNIT_TEST(restart_seeds_without_disk_all_find_leader);
    CPPUNIT_TEST(restart_seeds_include_lost_disk_all_find_leader);
    CPPUNIT_TEST(restart_disjoint_seeds_all_find_leader);
    CPPUNIT_TEST(lost_majority_no_leader_is_named);
    CPPUNIT_TEST(hello_without_address_is_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        // Each run takes a network of its own, so that runs side by side don't meet.
        const auto network = "127." + std::to_string(20 + ::getpid() % 200) + ".";
        m_folder = std::filesystem::temp_directory_path() /
                   ("core_discovery_test." + std::to_string(::getpid()));
        std::filesystem::remove_all(m_folder);
        std::filesystem::create_directories(m_folder);
        for (int i = 1; i <= 4; ++i) {
            const auto name = std::to_string(i);
            m_durable.push_back(std::make_unique<core_machine>());
            m_durable.back()->address = network + name + ".1";
            m_durable.back()->data_folder = m_folder / name;
        }
        for (int i = 1; i <= 3; ++i) {
            m_diskless.push_back(std::make_unique<core_machine>());
            m_diskless.back()->address = network + std::to_string(i) + ".2";
        }
        m_client.start();
        set_seeds({m_durable[0].get(), m_durable[1].get(), m_durable[2].get()});
        start_all(true);
        CPPUNIT_ASSERT(test::wait_until([this] { return all_know_leader(); }));
    }

    void tearDown() override
    {
        stop_all();
        m_client.stop();
        std::filesystem::remove_all(m_folder);
    }

    // Guards against a group that no process without a disk is told of at its first start.
    void first_start_seeds_without_disk_all_find_leader()
    {
        stop_all();
        for (const auto& machine : m_durable) {
            std::filesystem::remove_all(machine->data_folder);
        }
        set_seeds({m_diskless[0].get(), m_diskless[1].get(), m_diskless[2].get()});
        start_all(true);
        CPPUNIT_ASSERT(test::wait_until([this] { return all_know_leader(); }));
    }

    // Guards against processes that stay without a leader after a loss of power: their seeds have
    // no disk, so that none of them knows the processes with the state, and these look for nobody.
    void restart_seeds_without_disk_all_find_leader()
    {
        stop_all();
        set_seeds({m_diskless[0].get(), m_diskless[1].get(), m_diskless[2].get()});
        start_all(false);
        CPPUNIT_ASSERT(test::wait_until([this] { return all_know_leader(); }));
    }

    // The same with a seed that loses its disk, and with it the knowledge of the other processes.
    void restart_seeds_include_lost_disk_all_find_leader()
    {
        stop_all();
        std::filesystem::remove_all(m_durable[0]->data_folder);
        set_seeds({m_diskless[0].get(), m_diskless[1].get(), m_durable[0].get()});
        start_all(false);
        CPPUNIT_ASSERT(test::wait_until([this] { return all_know_leader(); }));
    }

    // The settings files were written at different times: no process with a disk has one without
    // as a seed, or the other way round. Guards against two parts that don't know each other.
    void restart_disjoint_seeds_all_find_leader()
    {
        CPPUNIT_ASSERT(test::wait_until([this] { return all_have_recorded_cores(); }));
        stop_all();
        set_seeds({m_diskless[0].get(), m_diskless[1].get(), m_diskless[2].get()});
        for (const auto& machine : m_durable) {
            machine->seeds = {m_durable[0]->address, m_durable[1]->address, m_durable[2]->address};
        }
        start_all(false);
        CPPUNIT_ASSERT(test::wait_until([this] { return all_know_leader(); }));
    }

    // Guards against a learner, which has no election timeout, that names its last leader for good
    // and spreads the name.
    void lost_majority_no_leader_is_named()
    {
        const auto leader = sync_with(m_durable[3]->address)->leader();
        const auto is_voter_left = [&](const auto& machine) {
            return machine->address != leader && machine != m_durable[3];
        };
        const auto stopped = std::ranges::find_if(m_durable, is_voter_left);
        const auto leading = std::ranges::find(m_durable, leader, &core_machine::address);
        CPPUNIT_ASSERT(stopped != m_durable.end() && leading != m_durable.end());
        stop({stopped->get(), leading->get()});
        CPPUNIT_ASSERT(test::wait_until([this] {
            return std::ranges::all_of(all(), [this](const core_machine* machine) {
                return !machine->process || sync_with(machine->address)->leader().empty();
            });
        }));
    }

    // Guards against a text that isn't an address in the list that processes and the state keep.
    void hello_without_address_is_refused()
    {
        for (const std::string core : {"", "nonsense", "127.0.0.1:7420"}) {
            pb::CoreHello hello;
            hello.set_core(core);
            CPPUNIT_ASSERT(!call<pb::CoreHelloAnswer>(m_durable[0]->address, hello_path, hello));
        }
        pb::CoreHello hello;
        hello.set_core(m_diskless[0]->address);
        hello.add_cores("nonsense");
        CPPUNIT_ASSERT(call<pb::CoreHelloAnswer>(m_durable[0]->address, hello_path, hello));
        const auto cores = sync_with(m_durable[0]->address)->cores();
        CPPUNIT_ASSERT(std::ranges::find(cores, "nonsense") == cores.end());
    }

private:
    [[nodiscard]] std::vector<core_machine*> all() const
    {
        std::vector<core_machine*> out;
        for (const auto* list : {&m_durable, &m_diskless}) {
            for (const auto& machine : *list) {
                out.push_back(machine.get());
            }
        }
        return out;
    }

    void set_seeds(const std::vector<core_machine*>& seeds)
    {
        for (auto* machine : all()) {
            machine->seeds.clear();
            for (const auto* seed : seeds) {
                machine->seeds.push_back(seed->address);
            }
        }
    }

    void start(core_machine& machine, bool is_first_start)
    {
        settings::process_settings settings;
        settings.node = base::node_id{machine.address};
        settings.address = machine.address;
        settings.domain = base::failure_domain{machine.address};
        settings.data_folder = machine.data_folder;
        settings.first_internal_port = first_port;
        settings.last_internal_port = first_port + 3;
        settings.is_first_start = is_first_start;
        for (const auto& seed : machine.seeds) {
            settings.seeds.push_back({seed, first_port});
        }
        auto created = core_host::create({settings, &m_workers, &m_codec, &machine.metrics});
        CPPUNIT_ASSERT_MESSAGE(std::string{created.status().message()}, created.ok());
        machine.process = *std::move(created);
        CPPUNIT_ASSERT(machine.process->start().ok());
    }

    // At a first start a process with a disk waits for the answers of the seeds.
    void start_all(bool is_first_start)
    {
        std::vector<std::future<void>> started;
        for (auto* machine : all()) {
            started.push_back(std::async(std::launch::async, [this, machine, is_first_start] {
                start(*machine, is_first_start);
            }));
        }
        for (auto& each : started) {
            each.get();
        }
    }

    void stop_all() { stop(all()); }

    // At the same moment, so that the group doesn't replace one of them meanwhile.
    static void stop(const std::vector<core_machine*>& machines)
    {
        std::vector<std::future<void>> stopped;
        for (auto* machine : machines) {
            stopped.push_back(
                std::async(std::launch::async, [machine] { machine->process.reset(); }));
        }
        for (auto& each : stopped) {
            each.get();
        }
    }

    template <class Answer>
    std::optional<Answer> call(const std::string& address, std::string_view path,
                               const google::protobuf::MessageLite& request)
    {
        settings::process_settings ports;
        ports.first_internal_port = first_port;
        std::promise<std::optional<Answer>> answered;
        post_message<Answer>(
            m_client, address, core_port(ports), path, request, 1s,
            [&](auto answer, call_failure) { answered.set_value(std::move(answer)); });
        return answered.get_future().get();
    }

    std::optional<pb::SyncAnswer> sync_with(const std::string& address)
    {
        pb::SyncRequest request;
        request.set_entry("127.0.0.1");
        return call<pb::SyncAnswer>(address, sync_path, request);
    }

    // Whether every process names the process that leads.
    bool all_know_leader()
    {
        return std::ranges::all_of(all(), [this](const core_machine* machine) {
            const auto told = sync_with(machine->address);
            if (!told || told->leader().empty()) {
                return false;
            }
            const auto leader = sync_with(told->leader());
            return leader && leader->is_leader();
        });
    }

    // Whether every process with a disk has all core processes in its copy of the state.
    [[nodiscard]] bool all_have_recorded_cores() const
    {
        return std::ranges::all_of(m_durable, [](const auto& machine) {
            return machine->metrics.render().find("lovagebeam_core_addresses 7\n") !=
                   std::string::npos;
        });
    }

    static constexpr std::uint16_t first_port = 7420;

    unused_worker_port m_workers;
    unused_codec m_codec;
    std::filesystem::path m_folder;
    targets::http_client m_client;
    std::vector<std::unique_ptr<core_machine>> m_durable;
    std::vector<std::unique_ptr<core_machine>> m_diskless;
};

CPPUNIT_TEST_SUITE_REGISTRATION(core_discovery_test);

} // namespace
