#include "lovagebeam/jobs/step_order.h"

#include <algorithm>
#include <iterator>
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

std::uint32_t divide_up(std::uint32_t whole, std::uint32_t parts)
{
    return (whole + parts - 1) / parts;
}

/// How many of the looks go to the steps that come first. Freed capacity is offered to them on each
/// pass.
std::uint32_t first_looks(std::uint32_t limit)
{
    return divide_up(limit, 4);
}

step_level level_of(const step_order::step_rank& rank)
{
    return {std::get<0>(rank), std::get<1>(rank)};
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

step_order::ranked_steps& step_order::steps_of(const std::string& account, job_number job)
{
    const auto found = m_jobs.find(job);
    auto& steps = m_accounts[account];
    return found != m_jobs.end() && found->second ? steps.beyond_rate : steps.owed;
}

void step_order::insert(const std::string& account, const step_rank& rank, const size& task)
{
    steps_of(account, std::get<step_key>(rank).job).emplace(rank, task);
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

std::uint32_t step_order::lowest_unexpired_priority() const
{
    const step_rank first_expired{true, 0, false, false, {}, {}};
    std::uint32_t lowest = 0;
    for (const auto& [account, steps] : m_accounts) {
        for (const auto* const each : {&steps.owed, &steps.beyond_rate}) {
            const auto end = each->lower_bound(first_expired);
            if (end != each->begin()) {
                lowest = std::max(lowest, level_of(std::prev(end)->first).second);
            }
        }
    }
    return lowest;
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
        m_accounts.push_back({&name});
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
    const auto& [is_expired, priority, is_no_restart, is_late, due_by, key] = from.next->first;
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

void planning_order::begin_level(const step_level& next)
{
    end_level();
    m_level = next;
    std::vector<std::uint32_t> streams(m_accounts.size());
    for (const auto& each : m_heap) {
        streams[m_streams[each.stream].account] += each.level == next ? 1 : 0;
    }
    const auto& limits = m_input.limits;
    const auto accounts =
        static_cast<std::uint32_t>(std::ranges::count_if(streams, [](auto n) { return n > 0; }));
    const vain_looks of_account{std::max(std::min(min_unplaceable_per_account, limits.unplaceable),
                                         divide_up(limits.unplaceable, accounts)),
                                limits.at_limit, limits.too_large};
    for (auto& account : m_accounts) {
        account.vain = {};
    }
    for (auto& from : m_streams) {
        const auto parts = !from.is_beyond_rate && streams[from.account] > 1 ? 2U : 1U;
        from.vain = {};
        from.limits = {divide_up(of_account.unplaceable, parts),
                       divide_up(of_account.at_limit, parts),
                       divide_up(of_account.too_large, parts)};
        from.has_resumed = false;
        from.is_passed_over = false;
    }
}

void planning_order::end_level()
{
    if (!m_level || m_input.left_out == nullptr) {
        return;
    }
    for (const auto& from : m_streams) {
        if (from.has_resumed && !from.is_passed_over) {
            m_input.left_out->erase(key_of(from, *m_level));
        }
    }
}

left_out_steps::key_type planning_order::key_of(const step_stream& from,
                                                const step_level& level) const
{
    return {*m_accounts[from.account].name, from.is_beyond_rate, level};
}

bool planning_order::advance_front()
{
    const auto front = m_heap.front();
    auto& from = m_streams[front.stream];
    const auto before = from.next;
    const auto& limits = from.limits;
    const auto& spent = from.is_beyond_rate ? m_accounts[from.account].vain : from.vain;
    if (spent.unplaceable >= limits.unplaceable || spent.at_limit >= limits.at_limit ||
        spent.too_large >= limits.too_large) {
        pass_over(from, front.level);
    }
    else if (spent.unplaceable >= first_looks(limits.unplaceable) ||
             spent.at_limit >= first_looks(limits.at_limit)) {
        resume(from, front.level);
        leave_out_large(from, front.level);
    }
    if (from.next == before) {
        return false;
    }
    std::ranges::pop_heap(m_heap, std::greater{});
    m_heap.pop_back();
    push(front.stream);
    return true;
}

void planning_order::resume(step_stream& from, const step_level& level)
{
    if (std::exchange(from.has_resumed, true) || m_input.left_out == nullptr) {
        return;
    }
    const auto first = m_input.left_out->find(key_of(from, level));
    if (first != m_input.left_out->end() && first->second > from.next->first) {
        from.next = from.steps->lower_bound(first->second);
        m_has_left_out = true;
    }
}

void planning_order::leave_out_large(step_stream& from, const step_level& level)
{
    auto& account = m_accounts[from.account];
    const auto& spent = from.is_beyond_rate ? account.vain : from.vain;
    while (from.next != from.steps->end() && level_of(from.next->first) == level &&
           spent.too_large < from.limits.too_large &&
           is_too_large(account, level, from.next->second)) {
        ++from.next;
        ++from.vain.too_large;
        ++account.vain.too_large;
    }
}

// Urgent steps may get room by preemption.
bool planning_order::is_too_large(account_state& account, const step_level& level,
                                  const size& task) const
{
    if (m_input.limit_room && !account.limit_room) {
        account.limit_room = m_input.limit_room(*account.name);
    }
    const bool may_preempt = level == step_level{false, 0};
    return (account.limit_room && !task.fits_in(*account.limit_room)) ||
           (!may_preempt && !task.fits_in(m_input.largest_free));
}

void planning_order::pass_over(step_stream& from, const step_level& level)
{
    if (m_input.left_out != nullptr) {
        m_input.left_out->insert_or_assign(key_of(from, level), from.next->first);
    }
    from.is_passed_over = true;
    m_has_left_out = true;
    m_passed_over.push_back({*m_accounts[from.account].name, level, from.vain.unplaceable,
                             from.vain.at_limit, from.vain.too_large});
    from.next = from.steps->lower_bound({level.first, level.second + 1, false, false, {}, {}});
}

std::int64_t planning_order::budget_of(const entry& current)
{
    if (!m_input.is_full || !is_shared()) {
        return unlimited;
    }
    while (!m_heap.empty() && m_heap.front().level == current.level && advance_front()) {
    }
    if (m_heap.empty()) {
        return unlimited;
    }
    const auto& other = m_heap.front();
    const auto class_of = [](const entry& one) {
        return std::tie(one.level, one.is_no_restart, one.is_beyond_rate, one.is_late);
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
        if (m_level != front.level) {
            begin_level(front.level);
        }
        if (advance_front()) {
            continue;
        }
        auto& from = m_streams[front.stream];
        auto& account = m_accounts[from.account];
        std::ranges::pop_heap(m_heap, std::greater{});
        m_heap.pop_back();
        if (share_rank(account, front.key) != front.share_rank) {
            push(front.stream);
            continue;
        }
        m_planned = front.stream;
        m_planned_rank = (from.next++)->first;
        const bool is_first =
            is_shared() && m_input.is_full &&
            account.vain.unplaceable + account.vain.at_limit < first_steps_of_account;
        const bool is_resumed = from.has_resumed;
        return next_step{front.key, is_first, is_resumed, budget_of(front)};
    }
    end_level();
    return std::nullopt;
}

void planning_order::on_planned(obstacle outcome)
{
    auto& from = m_streams[*m_planned];
    auto& account = m_accounts[from.account];
    for (auto* const vain : {&from.vain, &account.vain}) {
        vain->unplaceable += outcome == obstacle::no_capacity ? 1 : 0;
        vain->at_limit += outcome == obstacle::account_limit ? 1 : 0;
    }
    account.used.reset();
    account.limit_room.reset();
    if (outcome == obstacle::share) {
        from.next = from.steps->lower_bound(m_planned_rank);
    }
}

} // namespace lovagebeam::jobs
