#include "lovagebeam/jobs/step_order.h"

#include <algorithm>
#include <utility>

namespace lovagebeam::jobs {
namespace {

/// An account with steps that don't fit, such as a wide gang, still gets this many looks in a pass
/// when many accounts have steps.
constexpr std::uint32_t min_unplaceable_per_account = 4;
/// So many steps of an account are looked at on each pass. One could be a step that fits nowhere.
constexpr std::uint32_t first_steps_of_account = 4;
constexpr milliseconds report_interval{1'000};

std::map<std::string, double> weights_of(const catalog& configured)
{
    std::map<std::string, double> out;
    for (const auto& [name, account] : configured.accounts) {
        out.emplace(name, account.weight);
    }
    return out;
}

} // namespace

bool step_order::has_weights_of(const catalog& configured) const
{
    return m_weights == weights_of(configured);
}

void step_order::set_weights(const catalog& configured, const ledger& records)
{
    m_weights = weights_of(configured);
    m_shares.set_weights(*m_weights);
    m_jobs.clear();
    std::vector<std::pair<base::wall_time, const job_record*>> accepted;
    for (const auto& [id, job] : records.jobs()) {
        accepted.emplace_back(job.accepted, &job);
    }
    std::ranges::stable_sort(accepted, {}, [](const auto& each) { return each.first; });
    for (const auto& [when, job] : accepted) {
        const bool is_owed = m_shares.count_job(job->spec.account, when);
        if (!is_final(job->state)) {
            m_jobs.emplace(job->spec.id, !is_owed);
        }
    }
}

void step_order::clear()
{
    m_accounts.clear();
}

std::uint64_t step_order::on_accepted(const job_record& job)
{
    if (is_final(job.state) || m_jobs.contains(job.spec.id)) {
        return 0;
    }
    const bool is_beyond = !m_shares.count_job(job.spec.account, job.accepted);
    m_jobs.emplace(job.spec.id, is_beyond);
    if (!is_beyond) {
        return 0;
    }
    auto& count = m_beyond_rate[job.spec.account];
    ++count.jobs;
    if (count.reported_at &&
        std::chrono::abs(job.accepted - *count.reported_at) < report_interval) {
        return 0;
    }
    count.reported_at = job.accepted;
    return count.jobs - std::exchange(count.reported, count.jobs);
}

void step_order::forget(job_number id)
{
    m_jobs.erase(id);
}

std::set<step_order::step_rank>& step_order::steps_of(const std::string& account, job_number job)
{
    const auto found = m_jobs.find(job);
    auto& steps = m_accounts[account];
    return found != m_jobs.end() && found->second ? steps.beyond_rate : steps.owed;
}

void step_order::insert(const std::string& account, const step_rank& rank)
{
    steps_of(account, std::get<step_key>(rank).job).insert(rank);
}

void step_order::erase(const std::string& account, const step_rank& rank)
{
    // The entry of the account stays, since a planning pass may refer to it.
    steps_of(account, std::get<step_key>(rank).job).erase(rank);
}

void step_order::add_reserved(const std::string& account, const size& more)
{
    m_reserved[account] += scheduling::counted_millicores(more.millicores, more.accelerators);
}

void step_order::remove_reserved(const std::string& account, const size& less)
{
    m_reserved[account] -= scheduling::counted_millicores(less.millicores, less.accelerators);
}

std::int64_t step_order::reserved_millicores(const std::string& account) const
{
    const auto found = m_reserved.find(account);
    return found == m_reserved.end() ? 0 : found->second;
}

std::map<std::string, step_order::account_counts> step_order::counts() const
{
    std::map<std::string, account_counts> out;
    for (const auto& [account, steps] : m_accounts) {
        out[account].waiting_steps = steps.owed.size() + steps.beyond_rate.size();
    }
    for (const auto& [account, count] : m_beyond_rate) {
        out[account].jobs_beyond_rate = count.jobs;
    }
    return out;
}

planning_order::planning_order(const step_order& order, pass_input input)
    : m_input{std::move(input)}, m_shares{order.m_shares}
{
    m_division.capacity = m_input.capacity;
    for (const auto& [name, steps] : order.m_accounts) {
        if (steps.owed.empty() && steps.beyond_rate.empty()) {
            continue;
        }
        m_division.total_weight += m_shares.weight(name);
        for (const auto* const each : {&steps.owed, &steps.beyond_rate}) {
            m_streams.push_back(
                {each, each->begin(), m_accounts.size(), each == &steps.beyond_rate});
        }
        m_accounts.push_back({&name, 0, 0, std::nullopt});
    }
    for (std::size_t i = 0; i < m_streams.size(); ++i) {
        push(i);
    }
}

// Half of the next task counts as used. Without it accounts with small shares get more than their
// part, since each is above its share by half a task on average. An account that uses nothing comes
// first even if its share is less than a task, or it would never get one.
std::int64_t planning_order::share_rank(account_state& account, const step_key& next) const
{
    if (!m_input.is_full || !is_shared()) {
        return 0;
    }
    if (!account.used) {
        account.used = m_input.used(*account.name);
    }
    if (*account.used <= 0) {
        return 0;
    }
    const auto more = m_input.task_use ? m_input.task_use(next) / 2 : 0;
    return m_shares.rank(*account.name, *account.used + more, m_division);
}

planning_order::entry planning_order::entry_of(std::size_t index)
{
    const auto& from = m_streams[index];
    const auto& [is_expired, priority, is_no_restart, is_late, due_by, key] = *from.next;
    return {{is_expired, priority},
            is_no_restart,
            is_shared() && from.is_beyond_rate,
            is_late,
            share_rank(m_accounts[from.account], key),
            due_by,
            key,
            index};
}

void planning_order::push(std::size_t index)
{
    if (m_streams[index].next != m_streams[index].steps->end()) {
        m_heap.push_back(entry_of(index));
        std::ranges::push_heap(m_heap, std::greater{});
    }
}

bool planning_order::is_passed_over(const account_state& account) const
{
    return account.unplaceable >= m_unplaceable_limit ||
           account.at_limit >= m_input.limits.at_limit;
}

void planning_order::begin_level(const level& next)
{
    m_level = next;
    std::set<std::size_t> present;
    for (const auto& each : m_heap) {
        if (each.of == next) {
            present.insert(m_streams[each.stream].account);
        }
    }
    for (auto& account : m_accounts) {
        account.unplaceable = 0;
        account.at_limit = 0;
    }
    const auto accounts = static_cast<std::uint32_t>(present.size());
    m_unplaceable_limit =
        std::max(std::min(min_unplaceable_per_account, m_input.limits.unplaceable),
                 (m_input.limits.unplaceable + accounts - 1) / accounts);
}

void planning_order::pass_over_front()
{
    const auto front = m_heap.front();
    std::ranges::pop_heap(m_heap, std::greater{});
    m_heap.pop_back();
    auto& from = m_streams[front.stream];
    const auto& account = m_accounts[from.account];
    m_passed_over.push_back({*account.name, front.of, account.unplaceable, account.at_limit});
    from.next =
        from.steps->lower_bound({front.of.first, front.of.second + 1, false, false, {}, {}});
    push(front.stream);
}

std::int64_t planning_order::budget_of(const entry& current)
{
    if (!m_input.is_full || !is_shared()) {
        return unlimited;
    }
    while (!m_heap.empty() && m_heap.front().of == current.of &&
           is_passed_over(m_accounts[m_streams[m_heap.front().stream].account])) {
        pass_over_front();
    }
    if (m_heap.empty()) {
        return unlimited;
    }
    const auto& other = m_heap.front();
    const auto class_of = [](const entry& one) {
        return std::tie(one.of, one.is_no_restart, one.is_beyond_rate, one.is_late);
    };
    if (class_of(other) != class_of(current)) {
        return unlimited;
    }
    const auto& name = *m_accounts[m_streams[current.stream].account].name;
    return m_shares.least_use_after(name, other.share_rank, m_division) - m_input.used(name);
}

// The use of shares only grows during a pass. An entry whose rank has changed since it was pushed
// is therefore at the front too early, and is put back then.
std::optional<planning_order::next_step> planning_order::next()
{
    if (m_planned) {
        push(*std::exchange(m_planned, std::nullopt));
    }
    while (!m_heap.empty()) {
        const auto front = m_heap.front();
        if (m_level != front.of) {
            begin_level(front.of);
        }
        auto& from = m_streams[front.stream];
        auto& account = m_accounts[from.account];
        if (is_passed_over(account)) {
            pass_over_front();
            continue;
        }
        std::ranges::pop_heap(m_heap, std::greater{});
        m_heap.pop_back();
        if (share_rank(account, front.key) != front.share_rank) {
            push(front.stream);
            continue;
        }
        m_planned = front.stream;
        m_planned_rank = *from.next++;
        const bool is_first = is_shared() && m_input.is_full &&
                              account.unplaceable + account.at_limit < first_steps_of_account;
        return next_step{front.key, is_first, budget_of(front)};
    }
    return std::nullopt;
}

void planning_order::on_planned(obstacle outcome)
{
    auto& from = m_streams[*m_planned];
    auto& account = m_accounts[from.account];
    account.unplaceable += outcome == obstacle::no_capacity ? 1 : 0;
    account.at_limit += outcome == obstacle::account_limit ? 1 : 0;
    account.used.reset();
    if (outcome == obstacle::share) {
        from.next = from.steps->lower_bound(m_planned_rank);
    }
}

} // namespace lovagebeam::jobs
