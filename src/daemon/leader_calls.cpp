#include "leader_calls.h"

#include "lovagebeam/base/errors.h"

#include <utility>
#include <vector>

namespace lovagebeam::daemon {
namespace {

using base::error_code;
using base::make_error;

constexpr std::chrono::seconds call_timeout{1};

} // namespace

leader_calls::leader_calls(base::node_id self, peer_sender& sender, const replication& log,
                           handler serve)
    : m_self{std::move(self)}, m_sender{sender}, m_log{log}, m_handler{std::move(serve)}
{
}

leader_calls::answer leader_calls::serve(base::time_point now, proto::LeaderMethod method,
                                         const base::node_id& from,
                                         const std::string& argument) const
{
    if (!m_log.is_established_leader(now)) {
        return make_error(error_code::not_leader, m_self.str() + " isn't the leader");
    }
    return m_handler(now, method, from, argument);
}

void leader_calls::call(base::time_point now, proto::LeaderMethod method, std::string argument,
                        completion on_done)
{
    const base::node_id leader = m_log.replica().leader();
    if (leader == m_self) {
        on_done(serve(now, method, m_self, argument));
        return;
    }
    if (leader.empty()) {
        on_done(make_error(error_code::no_quorum, "no leader is known"));
        return;
    }
    proto::ClusterMessage message;
    auto& body = *message.mutable_leader_call();
    body.set_tag(++m_last_tag);
    body.set_method(method);
    body.set_argument(std::move(argument));
    m_pending.emplace(m_last_tag, pending{now + call_timeout, std::move(on_done)});
    m_sender.send(leader, peers::channel::consensus, message.SerializeAsString());
}

void leader_calls::on_call(base::time_point now, const base::node_id& from,
                           const proto::LeaderCall& message)
{
    const answer result = serve(now, message.method(), from, message.argument());
    proto::ClusterMessage out;
    auto& body = *out.mutable_leader_answer();
    body.set_tag(message.tag());
    if (result.ok()) {
        body.set_body(*result);
    }
    else {
        const auto code = base::code_of(result.status()).value_or(error_code::internal_error);
        body.set_error_code(std::string{base::name_of(code)});
        body.set_message(std::string{result.status().message()});
    }
    m_sender.send(from, peers::channel::consensus, out.SerializeAsString());
}

void leader_calls::on_answer(const proto::LeaderAnswer& message)
{
    const auto found = m_pending.find(message.tag());
    if (found == m_pending.end()) {
        return;
    }
    const completion on_done = std::move(found->second.on_done);
    m_pending.erase(found);
    if (message.error_code().empty()) {
        on_done(message.body());
        return;
    }
    const auto code = base::error_code_from_name(message.error_code());
    on_done(make_error(code.value_or(error_code::internal_error), message.message()));
}

void leader_calls::tick(base::time_point now)
{
    std::vector<completion> expired;
    std::erase_if(m_pending, [&](auto& entry) {
        if (entry.second.deadline > now) {
            return false;
        }
        expired.push_back(std::move(entry.second.on_done));
        return true;
    });
    for (const auto& on_done : expired) {
        on_done(make_error(error_code::timed_out, "the leader didn't answer in time"));
    }
}

} // namespace lovagebeam::daemon
