#include "lovagebeam/base/random_source.h"

#include "bench.h"

#include <cstdlib>
#include <functional>
#include <iostream>
#include <malloc.h>
#include <vector>

namespace lovagebeam::bench {
namespace {

namespace pb = proto::state;

constexpr std::uint64_t apply_count = 20'000;
constexpr std::uint64_t worker_count = 200;
constexpr base::wall_time start{std::chrono::milliseconds{1'800'000'000'000}};

void fill_operator_call(state::command& command, std::uint64_t number)
{
    pb::OperatorCall& call = *command.mutable_operator_call();
    call.set_operation_id("operation-" + std::to_string(number));
    call.set_who("operator");
    call.set_why("measurement");
}

state::command make_configuration(std::uint64_t number)
{
    state::command command;
    fill_operator_call(command, number);
    pb::Configuration& document = *command.mutable_change_configuration()->mutable_configuration();
    document.mutable_defaults()->set_share(1);
    for (int i = 0; i < 48; ++i) {
        pb::ConfigException& exception = *document.add_exceptions();
        exception.set_scope("team:team-" + std::to_string(i));
        exception.set_reason("share of the season");
        exception.mutable_set()->set_share(1 + static_cast<std::int64_t>((number + i) % 9));
    }
    return command;
}

state::command make_worker(std::uint64_t number)
{
    state::command command;
    pb::Worker& body = *command.mutable_put_worker()->mutable_worker();
    body.set_worker("worker-" + std::to_string(number));
    body.set_address("10.0.0.1");
    body.set_port(9000);
    body.set_failure_domain("domain-" + std::to_string(number % 4));
    body.set_rack("rack-" + std::to_string(number % 9));
    body.set_millicores(64'000'000);
    body.set_memory_bytes(std::int64_t{1} << 42U);
    return command;
}

std::string task_name(std::uint64_t number)
{
    return "job-" + std::to_string(number) + "/0";
}

state::command make_placements(std::uint64_t first, std::uint64_t count)
{
    state::command command;
    for (std::uint64_t i = 0; i < count; ++i) {
        pb::Placement& placement = *command.mutable_place_tasks()->add_groups()->add_placements();
        placement.set_task(task_name(first + i));
        placement.set_worker("worker-" + std::to_string((first + i) % worker_count));
        placement.set_lease_ms(5000);
        placement.set_fence(1);
    }
    return command;
}

state::command make_task_started(std::uint64_t number)
{
    state::command command;
    command.mutable_task_started()->set_task(task_name(number));
    command.mutable_task_started()->set_fence(1);
    return command;
}

state::command make_task_ended(std::uint64_t number)
{
    state::command command;
    command.mutable_task_ended()->set_task(task_name(number));
    command.mutable_task_ended()->set_fence(1);
    command.mutable_task_ended()->set_outcome(pb::TASK_OUTCOME_SUCCEEDED);
    command.mutable_task_ended()->set_output("done");
    return command;
}

state::command make_intent(std::uint64_t number)
{
    state::command command;
    pb::CommitIntent& body = *command.mutable_commit_intent();
    body.set_team("trust");
    body.set_idempotency_key("request-" + std::to_string(number));
    body.set_attempt("attempt-" + std::to_string(number));
    body.set_target("target-1");
    return command;
}

state::command make_resolution(std::uint64_t number)
{
    state::command command;
    pb::ResolveIntent& body = *command.mutable_resolve_intent();
    body.set_team("trust");
    body.set_idempotency_key("request-" + std::to_string(number));
    body.set_attempt("attempt-" + std::to_string(number));
    body.set_outcome(pb::WORK_OUTCOME_COMPLETED);
    return command;
}

/// Prints the mean time to apply a command. The commands are encoded before the measurement starts.
void measure(state_driver& driver, std::uint64_t& index, const std::string& kind,
             std::uint64_t count, const std::function<state::command(std::uint64_t)>& make)
{
    std::vector<std::string> commands;
    commands.reserve(count);
    for (std::uint64_t i = 0; i < count; ++i) {
        commands.push_back(driver.encode(make(i)));
    }
    const stopwatch watch;
    for (const std::string& bytes : commands) {
        exit_on_error(driver.cell.apply(++index, bytes).status);
    }
    std::cout << "bench=apply kind=" << kind << " count=" << count
              << " us_per_command=" << watch.microseconds() / static_cast<double>(count) << '\n';
}

} // namespace

void exit_on_error(const absl::Status& status)
{
    if (!status.ok()) {
        std::cerr << "bench failed: " << status << '\n';
        std::exit(1);
    }
}

std::uint64_t allocated_bytes()
{
    const struct mallinfo2 info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

state_driver::state_driver(std::uint64_t seed) : m_seed{seed} {}

std::string state_driver::encode(const state::command& command) const
{
    return state::encode_command(command, start);
}

void state_driver::apply(const state::command& command)
{
    exit_on_error(cell.apply(++m_index, encode(command)).status);
}

state::command state_driver::make_job(std::uint64_t number) const
{
    base::random_source random{m_seed + number};
    state::command command;
    command.mutable_accept_job()->set_key_id("key-1");
    pb::JobSpec& spec = *command.mutable_accept_job()->mutable_spec();
    spec.set_job("job-" + std::to_string(number));
    spec.set_team("trust");
    spec.set_idempotency_key("submission-" + std::to_string(number));
    spec.set_name("season tally");
    spec.set_command(std::string(random.between(20, 120), 'c'));
    spec.set_kind(pb::JOB_KIND_BATCH);
    spec.set_tasks(1);
    spec.set_millicores(static_cast<std::int64_t>(random.between(100, 8000)));
    spec.set_memory_bytes(static_cast<std::int64_t>(random.between(1, 64)) << 20U);
    spec.set_run_time_ms(60'000);
    spec.set_deadline_ms(3'600'000);
    spec.set_repeatable(true);
    return command;
}

void apply_initial_state(state_driver& driver)
{
    state::command key;
    fill_operator_call(key, 1'000'000'000);
    key.mutable_give_key()->set_team("trust");
    key.mutable_give_key()->set_key_id("key-1");
    key.mutable_give_key()->set_salt(std::string(32, 's'));
    key.mutable_give_key()->set_hash(std::string(32, 'h'));
    driver.apply(key);
    for (std::uint64_t i = 0; i < worker_count; ++i) {
        driver.apply(make_worker(i));
    }
}

void measure_apply(const bench_options& options)
{
    state_driver driver{options.seed};
    apply_initial_state(driver);
    std::cout << "bench=options seed=" << options.seed << " rounds=" << options.rounds << '\n';
    std::uint64_t index = driver.cell.applied_index();
    const auto make_job = [&driver](std::uint64_t i) { return driver.make_job(i); };
    measure(driver, index, "accept_job", apply_count, make_job);
    constexpr std::uint64_t batch = 64;
    constexpr std::uint64_t batches = apply_count / batch;
    measure(driver, index, "place_tasks_64", batches,
            [](std::uint64_t i) { return make_placements(i * batch, batch); });
    constexpr std::uint64_t placed = batches * batch;
    measure(driver, index, "task_started", placed, make_task_started);
    measure(driver, index, "task_ended", placed, make_task_ended);
    measure(driver, index, "commit_intent", apply_count, make_intent);
    measure(driver, index, "resolve_intent", apply_count, make_resolution);
    measure(driver, index, "put_worker", worker_count, [](std::uint64_t i) {
        state::command command = make_worker(i);
        command.mutable_put_worker()->mutable_worker()->set_leaving(true);
        return command;
    });
    const std::uint64_t version = driver.cell.version().value();
    measure(driver, index, "change_configuration_48_exceptions", 1000, [version](std::uint64_t i) {
        state::command command = make_configuration(i);
        command.mutable_operator_call()->set_expected_version(version + i);
        return command;
    });
    const stopwatch watch;
    std::uint64_t sum = 0;
    for (std::uint64_t i = 0; i < apply_count; ++i) {
        sum += driver.cell.digest();
    }
    std::cout << "bench=digest us=" << watch.microseconds() / apply_count << " sum=" << sum % 2
              << '\n';
}

void measure_snapshot(const bench_options& options, std::uint64_t jobs)
{
    const std::uint64_t before = allocated_bytes();
    state_driver driver{options.seed};
    apply_initial_state(driver);
    for (std::uint64_t i = 0; i < jobs; ++i) {
        driver.apply(driver.make_job(i));
    }
    const std::uint64_t memory = allocated_bytes() - before;
    const stopwatch encoding;
    const std::string bytes = driver.cell.encode_snapshot();
    const double encode_us = encoding.microseconds();
    const stopwatch decoding;
    const auto restored = state::cell_state::decode_snapshot(bytes);
    const double decode_us = decoding.microseconds();
    exit_on_error(restored.status());
    std::cout << "bench=snapshot seed=" << options.seed << " jobs=" << jobs
              << " bytes=" << bytes.size() << " encode_ms=" << encode_us / 1000
              << " decode_ms=" << decode_us / 1000 << " state_memory_bytes=" << memory << '\n';
}

} // namespace lovagebeam::bench
