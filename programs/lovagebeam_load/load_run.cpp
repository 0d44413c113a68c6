#include "load_run.h"

#include <boost/json.hpp>

#include <cmath>
#include <thread>
#include <utility>

namespace lovagebeam::load {
namespace {

constexpr std::chrono::milliseconds answer_grace_period{2'000};

targets::http_client_limits client_limits()
{
    targets::http_client_limits limits;
    limits.max_connections_per_endpoint = 1'000;
    limits.max_queued_calls_per_endpoint = 20'000;
    return limits;
}

std::string text_field(const boost::json::object& object, const char* name)
{
    const auto* const value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string{value->get_string()} : "";
}

boost::json::object parse_object(const std::string& text)
{
    boost::system::error_code error;
    const auto document = boost::json::parse(text, error);
    return !error && document.is_object() ? document.get_object() : boost::json::object{};
}

// Returns the outcome in the answer's header, or "no_answer" when there is no answer.
std::string outcome_of(const targets::http_result& answer)
{
    return answer.answered() ? std::string{answer.header("Lovagebeam-Outcome").value_or("")}
                             : "no_answer";
}

} // namespace

load_run::load_run(load_settings settings)
    : m_settings{std::move(settings)}, m_random{m_settings.seed}, m_client{client_limits()}
{
    if (!m_settings.history.empty()) {
        m_history.open(m_settings.history, std::ios::app);
    }
}

load_run::request load_run::make_request(std::uint64_t number)
{
    request result;
    result.number = number;
    result.team = &m_settings.teams[m_random.below(m_settings.teams.size())];
    const double class_sample = m_random.unit();
    if (class_sample < m_settings.urgent_fraction) {
        result.priority = routing::work_class::urgent;
    }
    else if (class_sample < m_settings.urgent_fraction + m_settings.batch_fraction) {
        result.priority = routing::work_class::batch;
    }
    result.repeatable = !m_random.chance(m_settings.unrepeatable_fraction);
    result.id = "s" + std::to_string(m_settings.seed) + "-" + std::to_string(number);
    if (m_settings.work_keys > 0) {
        result.work_key = "work-" + std::to_string(m_random.below(m_settings.work_keys));
    }
    result.body = "request " + result.id + " of " + result.team->team;
    return result;
}

load_result load_run::run()
{
    m_client.start();
    const auto start = std::chrono::steady_clock::now();
    const auto end = start + m_settings.duration;
    std::uint64_t number = 0;
    base::time_point next = start;
    while (next < end) {
        std::this_thread::sleep_until(next);
        const request item = make_request(number++);
        const auto host = m_random.below(m_settings.hosts.size());
        send(item, m_settings.hosts[host]);
        ++m_result.sent;
        if (m_random.chance(m_settings.resend_fraction)) {
            send(item, m_settings.hosts[(host + 1) % m_settings.hosts.size()]);
            ++m_result.resent;
        }
        // Exponential gaps model callers that are independent of each other.
        const double gap = -std::log(1 - m_random.unit()) / m_settings.requests_per_second;
        next += std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(gap));
    }
    while (m_open_requests > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    m_client.stop();
    return m_result;
}

void load_run::send(const request& item, const targets::endpoint& to)
{
    const auto now = std::chrono::steady_clock::now();
    targets::http_call call;
    call.to = to;
    call.method = "POST";
    call.path = "/v1/work";
    call.headers = {{"Authorization", "Bearer " + item.team->key},
                    {"Lovagebeam-Team", item.team->team},
                    {"Lovagebeam-Class", std::string{routing::name_of(item.priority)}},
                    {"Lovagebeam-Repeatable", item.repeatable ? "true" : "false"},
                    {"Lovagebeam-Deadline-Ms", std::to_string(m_settings.deadline.count())},
                    {"Idempotency-Key", item.id}};
    if (!item.work_key.empty()) {
        call.headers.push_back({"Lovagebeam-Work-Key", item.work_key});
    }
    call.body = item.body;
    call.deadline = now + m_settings.deadline + answer_grace_period;
    ++m_open_requests;
    m_client.send(std::move(call), [this, item, now](const targets::http_result& answer) {
        on_answer(item, now, answer);
        --m_open_requests;
    });
}

void load_run::on_answer(const request& item, base::time_point sent_at,
                         const targets::http_result& answer)
{
    const std::string outcome = outcome_of(answer);
    const std::lock_guard lock{m_mutex};
    if (outcome == "completed") {
        const std::chrono::duration<double> waited = std::chrono::steady_clock::now() - sent_at;
        m_latency[static_cast<std::size_t>(item.priority)].record(waited.count());
    }
    check_answer(item, answer);
    if (m_history.is_open()) {
        m_history << item.team->team << ' ' << item.id << ' '
                  << (item.repeatable ? "repeatable" : "once") << ' '
                  << (outcome.empty() ? "not_run" : outcome) << '\n';
    }
}

void load_run::check_answer(const request& item, const targets::http_result& answer)
{
    const std::string outcome = outcome_of(answer);
    const auto object = parse_object(answer.body);
    if (outcome == "completed") {
        const bool matches_request = text_field(object, "echo") == item.body &&
                                     text_field(object, "idempotency_key") == item.id;
        m_result.wrong_answers += matches_request ? 0 : 1;
        ++m_result.outcomes[outcome];
        return;
    }
    const auto* const error = object.if_contains("error");
    if (!answer.answered()) {
        ++m_result.outcomes["no_answer"];
        ++m_result.codes[std::string{targets::name_of(answer.outcome)}];
    }
    else if (error == nullptr || !error->is_object()) {
        ++m_result.malformed_answers;
    }
    else {
        ++m_result.outcomes[text_field(error->get_object(), "outcome")];
        ++m_result.codes[text_field(error->get_object(), "code")];
    }
}

double load_run::latency_seconds(routing::work_class priority, double quantile) const
{
    return m_latency[static_cast<std::size_t>(priority)].quantile(quantile);
}

} // namespace lovagebeam::load
