#include "housekeeping.h"

#include <chrono>

namespace lovagebeam::daemon {
namespace {

constexpr std::chrono::seconds interval{1};
constexpr std::chrono::seconds commit_time{5};

} // namespace

void housekeeping::tick(base::time_point now)
{
    if (now < m_next || m_is_pending || !m_log.is_established_leader(now)) {
        return;
    }
    m_next = now + interval;
    const auto expiry = m_log.state().next_expiry();
    if (!expiry || *expiry > std::chrono::system_clock::now()) {
        return;
    }
    m_is_pending = true;
    state::command command;
    command.mutable_expire_entries();
    m_log.propose(now, std::move(command), now + commit_time,
                  [this](const absl::StatusOr<state::apply_result>& result) {
                      m_is_pending = false;
                      // One command removes a bounded number, so that no commit takes long.
                      if (result.ok() && result->more) {
                          m_next = {};
                      }
                  });
}

} // namespace lovagebeam::daemon
