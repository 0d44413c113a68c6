#pragma once

#include "lovagebeam/base/bounded_ring.h"
#include "lovagebeam/storage/log_store.h"

#include "decision_loop.h"
#include "ports.h"

#include <absl/status/status.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <variant>
#include <vector>

namespace lovagebeam::daemon {

/// The log writer of a voter: a thread that owns the store. Requests in one batch share a single
/// sync. When the disk is full, writes are retried until there is space, except those of this
/// host's own snapshots, which are abandoned: they take space that the log needs. Any other failure
/// aborts the process, since the contents of the disk are unknown after it.
class storage_thread : public log_writer {
public:
    storage_thread(std::unique_ptr<storage::log_store> store, decision_loop& loop);
    /// Writes all queued requests, then stops the thread.
    ~storage_thread() override;

    void persist(consensus::persist_request request, done when_durable) override;
    void save_snapshot(consensus::snapshot_meta meta, std::shared_ptr<const std::string> bytes,
                       done when_durable, done when_abandoned) override;
    void install_snapshot(consensus::snapshot_meta meta, std::shared_ptr<const std::string> bytes,
                          done when_durable) override;
    void compact_to(consensus::log_index index) override;

private:
    struct persist_work {
        consensus::persist_request request;
        done when_durable;
    };
    struct snapshot_work {
        consensus::snapshot_meta meta;
        std::shared_ptr<const std::string> bytes;
        done when_durable;
        done when_abandoned; ///< null for a snapshot that replaces the log
        std::unique_ptr<storage::snapshot_writer> writer;
    };
    struct compact_work {
        consensus::log_index index;
    };
    using work = std::variant<persist_work, snapshot_work, compact_work>;

    void push(work next);
    void run();
    void handle(work next);
    void sync_pending();
    void begin_snapshot(snapshot_work snapshot);
    void continue_snapshot();
    void finish_snapshot();
    /// Abandons the unfinished snapshot.
    void abandon_snapshot(std::string_view why);
    /// Writes a part of the unfinished snapshot. Returns false if that was abandoned because the
    /// disk is full.
    bool write_snapshot(const std::function<absl::Status()>& write);
    void retry_while_full(const std::function<absl::Status()>& write);

    base::bounded_ring<work> m_queue;
    std::unique_ptr<storage::log_store> m_store;
    decision_loop& m_loop;
    std::vector<done> m_unsynced;
    std::optional<snapshot_work> m_snapshot;
    std::thread m_thread;
};

} // namespace lovagebeam::daemon
