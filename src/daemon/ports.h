#pragma once

#include "lovagebeam/base/types.h"
#include "lovagebeam/consensus/effects.h"
#include "lovagebeam/consensus/types.h"
#include "lovagebeam/peers/peer_network.h"

#include <functional>
#include <memory>
#include <string>

namespace lovagebeam::daemon {

/// The connections to other hosts. Messages may be lost.
class peer_sender {
public:
    peer_sender() = default;
    peer_sender(const peer_sender&) = delete;
    peer_sender& operator=(const peer_sender&) = delete;
    virtual ~peer_sender() = default;

    virtual void send(const base::node_id& to, peers::channel which, std::string bytes) = 0;
    [[nodiscard]] virtual bool is_connected(const base::node_id& peer) const = 0;
};

/// Makes the log and snapshots durable. Completion callbacks run on the decisions thread, in the
/// order of the calls.
class log_writer {
public:
    log_writer() = default;
    log_writer(const log_writer&) = delete;
    log_writer& operator=(const log_writer&) = delete;
    virtual ~log_writer() = default;

    using done = std::function<void(base::time_point)>;

    virtual void persist(consensus::persist_request request, done when_durable) = 0;

    /// Saves a snapshot of this host's state. Calls `when_abandoned` instead if the disk is full or
    /// a newer snapshot comes meanwhile: the log is complete without it.
    virtual void save_snapshot(consensus::snapshot_meta meta,
                               std::shared_ptr<const std::string> bytes, done when_durable,
                               done when_abandoned) = 0;

    /// Saves a snapshot from another host. The stored log doesn't continue it and is discarded.
    virtual void install_snapshot(consensus::snapshot_meta meta,
                                  std::shared_ptr<const std::string> bytes, done when_durable) = 0;

    /// Discards the stored log up to `index`, which is covered by a snapshot.
    virtual void compact_to(consensus::log_index index) = 0;
};

} // namespace lovagebeam::daemon
