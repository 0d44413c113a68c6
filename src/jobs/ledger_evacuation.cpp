#include "lovagebeam/base/errors.h"
#include "lovagebeam/jobs/evacuation.h"
#include "lovagebeam/jobs/ledger.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

// Evacuations of failure domains in the replicated records.

namespace lovagebeam::jobs {

namespace pb = proto::jobs;

using base::error_code;
using base::make_error;

absl::Status check_domain_name(std::string_view name)
{
    if (name.empty()) {
        return make_error(error_code::invalid_request, "the name of the failure domain is empty");
    }
    if (name.size() > max_domain_name_bytes) {
        return make_error(error_code::invalid_request,
                          absl::StrCat("the name of the failure domain has ", name.size(),
                                       " bytes; the limit is ", max_domain_name_bytes));
    }
    const auto is_allowed = [](char c) {
        return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' ||
               c == '.';
    };
    if (!std::ranges::all_of(name, is_allowed)) {
        return make_error(
            error_code::invalid_request,
            "the name of a failure domain may have letters, digits, '-', '_' and '.' only");
    }
    return absl::OkStatus();
}

bool ledger::is_evacuated(const base::failure_domain& domain) const
{
    return !m_evacuated.empty() && m_evacuated.contains(domain);
}

bool ledger::is_evacuated(const base::worker_id& worker) const
{
    if (m_evacuated.empty()) {
        return false;
    }
    const auto found = m_workers.find(worker);
    return found != m_workers.end() && is_evacuated(found->second.domain);
}

bool ledger::names_evacuated_worker(const pb::PlaceTasks& operation) const
{
    return !m_evacuated.empty() &&
           std::ranges::any_of(operation.placements(), [this](const pb::Placement& placement) {
               return is_evacuated(base::worker_id{placement.worker()});
           });
}

void ledger::apply(const pb::PutEvacuation& operation, base::wall_time now)
{
    const base::failure_domain domain{operation.domain()};
    const auto found = m_evacuations.find(domain);
    const auto revision = found == m_evacuations.end() ? 0 : found->second.revision;
    const bool is_as_ordered = is_evacuated(domain) == operation.evacuated();
    const bool is_expected =
        operation.expected_revision() == 0 || operation.expected_revision() == revision;
    const bool is_over_limit = operation.evacuated() && m_evacuated.size() >= max_evacuated_domains;
    if (is_as_ordered || !is_expected || is_over_limit) {
        return;
    }
    m_evacuations.insert_or_assign(domain,
                                   evacuation_record{operation.evacuated(), revision + 1, now,
                                                     operation.who(), operation.why()});
    if (operation.evacuated()) {
        m_evacuated.insert(domain);
    }
    else {
        m_evacuated.erase(domain);
        drop_oldest_withdrawn_evacuation(domain);
    }
}

void ledger::drop_oldest_withdrawn_evacuation(const base::failure_domain& latest)
{
    if (m_evacuations.size() - m_evacuated.size() <= max_withdrawn_evacuations) {
        return;
    }
    auto oldest = m_evacuations.end();
    for (auto entry = m_evacuations.begin(); entry != m_evacuations.end(); ++entry) {
        if (!entry->second.is_in_force && entry->first != latest &&
            (oldest == m_evacuations.end() || entry->second.changed < oldest->second.changed)) {
            oldest = entry;
        }
    }
    m_evacuations.erase(oldest);
}

void ledger::write_evacuations(pb::Snapshot& out) const
{
    for (const auto& [domain, record] : m_evacuations) {
        auto& message = *out.add_evacuations();
        message.set_domain(domain.str());
        message.set_evacuated(record.is_in_force);
        message.set_revision(record.revision);
        message.set_changed_ms(record.changed.time_since_epoch().count());
        message.set_who(record.who);
        message.set_why(record.why);
    }
}

void ledger::read_evacuations(const pb::Snapshot& message)
{
    for (const auto& record : message.evacuations()) {
        base::failure_domain domain{record.domain()};
        if (record.evacuated()) {
            m_evacuated.insert(domain);
        }
        m_evacuations.insert_or_assign(
            std::move(domain), evacuation_record{record.evacuated(), record.revision(),
                                                 base::wall_time{milliseconds{record.changed_ms()}},
                                                 record.who(), record.why()});
    }
}

} // namespace lovagebeam::jobs
