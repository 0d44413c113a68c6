#pragma once

#include "lovagebeam/routing/events.h"

#include "context.h"
#include "timer_queue.h"

#include <unordered_map>

namespace lovagebeam::routing {

/// The component of a router on the host that holds the callers' connections. It submits each
/// request to the owner of its team, polls the owner until the request ends, and answers each
/// caller exactly once.
class entry_table {
public:
    explicit entry_table(context& shared) : m_shared{shared} {}

    void on_request(caller_request&& request);
    void on_caller_disconnected(caller_id caller);
    void on_query(const result_query& query);
    void on_epoch_installed();
    void on_peer_lost(const base::node_id& peer);
    void on_tick();

    void on_accepted(const proto::SubmitAccepted& message);
    void on_ended(const base::node_id& from, proto::SubmitEnded&& message);
    void on_lookup_answer(proto::LookupAnswer&& message);

    [[nodiscard]] std::size_t size() const { return m_entries.size(); }

private:
    enum class phase : std::uint8_t {
        idle,       ///< No submission that could be accepted is in flight; will be submitted.
        submitting, ///< Sent to the owner, not confirmed.
        accepted,   ///< Accepted by the owner.
        attaching,  ///< The owner was lost: the current owner is polled for the key.
    };

    struct entry {
        caller_id caller;
        bool has_caller = true;
        caller_request request;
        bool has_caller_key = true;
        base::time_point deadline;
        phase state = phase::idle;
        proto::RoutingId id;
        base::node_id owner;
        base::epoch epoch; ///< Of the submission.
        base::time_point owner_lost_at = base::time_point::max();
        base::time_point next_at; ///< Timers that fire earlier are ignored.
        std::uint32_t submissions = 0;
    };

    struct open_lookup {
        result_query query;
        base::time_point deadline;
    };

    using entries = std::unordered_map<std::uint64_t, entry>;

    [[nodiscard]] std::optional<base::error_code>
    admission_error(const caller_request& request) const;
    void advance(std::uint64_t serial);
    void advance_lookup(std::uint64_t caller);
    void schedule(entry& item, std::uint64_t serial, base::duration delay);
    void submit(entry& item, std::uint64_t serial);
    void send_submit(entry& item);
    void send_poll(const entry& item, const base::node_id& to);
    void expire(entries::iterator found);
    void finish(entries::iterator found, outcome result, std::optional<base::error_code> code,
                std::string&& body, std::uint32_t status);

    context& m_shared;
    entries m_entries; ///< By serial number.
    std::unordered_map<std::string, std::uint64_t> m_by_submission;
    std::unordered_map<std::uint64_t, std::uint64_t> m_by_caller;
    std::unordered_map<std::uint64_t, open_lookup> m_lookups; ///< By caller.
    timer_queue<std::uint64_t> m_timers;
    timer_queue<std::uint64_t> m_lookup_timers;
    std::uint64_t m_next_serial = 1;
};

} // namespace lovagebeam::routing
