#include "housekeeping.h"

#include <chrono>

namespace lovagebeam::daemon {
namespace {

constexpr std::chrono::seconds check_interval{1};
constexpr std::chrono::seconds commit_timeout{5};

} // namespace

void housekeeping::tick(base::time_point now)
{
    if (now < m_next_check || m_is_commit_pending || !m_log.is_established_leader(now)) {
        return;
    }
    m_next_check = now + check_interval;
    const auto expiry = m_log.state().next_expiry();
    if (!expiry || *expiry > std::chrono::system_clock::now()) {
        return;
    }
    m_is_commit_pending = true;
    state::command command;
    command.mutable_expire_entries();
    m_log.propose(now, std::move(command), now + commit_timeout,
                  [this](const absl::StatusOr<state::apply_result>& result) {
                      m_is_commit_pending = false;
                      // Each command removes a bounded number of records to keep commits short.
                      if (result.ok() && result->more) {
                          m_next_check = {};
                      }
                  });
}

} // namespace lovagebeam::daemon
