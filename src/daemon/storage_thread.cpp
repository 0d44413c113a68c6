#include "storage_thread.h"

#include "lovagebeam/base/errors.h"
#include "lovagebeam/telemetry/log.h"

#include <chrono>
#include <cstdlib>
#include <utility>

namespace lovagebeam::daemon {
namespace {

using telemetry::log_event;
using telemetry::severity;

/// Less than the half of the decision loop's queue that is reserved for completions, so that the
/// two threads can't deadlock.
constexpr std::size_t queue_capacity = 8'192;
constexpr std::size_t max_batch_size = 256;
constexpr std::size_t snapshot_chunk_bytes = std::size_t{256} * 1024;
constexpr std::chrono::milliseconds full_disk_retry_interval{200};
constexpr std::chrono::seconds idle_timeout{1};

[[noreturn]] void abort_process(const absl::Status& status)
{
    log_event{severity::error, "storage_failed"}
        .with("detail", std::string{status.message()})
        .write();
    telemetry::stop_logging();
    std::abort();
}

} // namespace

storage_thread::storage_thread(std::unique_ptr<storage::log_store> store, decision_loop& loop)
    : m_queue{queue_capacity}, m_store{std::move(store)}, m_loop{loop}, m_thread{[this] { run(); }}
{
}

storage_thread::~storage_thread()
{
    m_queue.close();
    m_thread.join();
}

void storage_thread::persist(consensus::persist_request request, done when_durable)
{
    push(persist_work{std::move(request), std::move(when_durable)});
}

void storage_thread::save_snapshot(consensus::snapshot_meta meta,
                                   std::shared_ptr<const std::string> bytes, done when_durable,
                                   done when_abandoned)
{
    push(snapshot_work{std::move(meta), std::move(bytes), std::move(when_durable),
                       std::move(when_abandoned), nullptr});
}

void storage_thread::install_snapshot(consensus::snapshot_meta meta,
                                      std::shared_ptr<const std::string> bytes, done when_durable)
{
    push(snapshot_work{std::move(meta), std::move(bytes), std::move(when_durable), nullptr,
                       nullptr});
}

void storage_thread::compact_to(consensus::log_index index)
{
    push(compact_work{index});
}

void storage_thread::push(work next)
{
    // try_push moves from the item only on success.
    while (!m_queue.try_push(std::move(next))) { // NOLINT(bugprone-use-after-move)
        std::this_thread::sleep_for(std::chrono::microseconds{100});
    }
}

void storage_thread::run()
{
    for (;;) {
        const auto wait = m_snapshot ? std::chrono::seconds{0} : idle_timeout;
        auto next = m_queue.pop_until(std::chrono::steady_clock::now() + wait);
        if (!next && !m_snapshot && m_queue.is_closed()) {
            return;
        }
        for (std::size_t count = 0; next && count < max_batch_size; ++count) {
            handle(*std::move(next));
            next = count + 1 < max_batch_size ? m_queue.try_pop() : std::nullopt;
        }
        sync_pending();
        if (m_snapshot) {
            continue_snapshot();
        }
    }
}

void storage_thread::handle(work next)
{
    if (auto* persist = std::get_if<persist_work>(&next)) {
        retry_while_full([&] { return m_store->persist(persist->request); });
        m_unsynced.push_back(std::move(persist->when_durable));
        return;
    }
    if (const auto* compact = std::get_if<compact_work>(&next)) {
        // Skip unless the stored snapshot covers these entries; it may have been replaced
        // meanwhile.
        if (compact->index <= m_store->snapshot().index) {
            retry_while_full([&] { return m_store->compact_to(compact->index); });
        }
        return;
    }
    begin_snapshot(std::get<snapshot_work>(std::move(next)));
}

void storage_thread::begin_snapshot(snapshot_work snapshot)
{
    if (snapshot.meta.index <= m_store->snapshot().index) {
        m_loop.post_completion(std::move(snapshot.when_durable));
        return;
    }
    if (m_snapshot) {
        abandon_snapshot("a newer snapshot");
    }
    m_snapshot = std::move(snapshot);
    const bool has_begun = write_snapshot([this] {
        auto writer = m_store->begin_snapshot(m_snapshot->meta);
        auto status = writer.status();
        if (status.ok()) {
            m_snapshot->writer = *std::move(writer);
        }
        return status;
    });
    // The log continues after an installed snapshot, so no other request may be handled before it
    // is complete.
    while (has_begun && m_snapshot && !m_snapshot->when_abandoned) {
        continue_snapshot();
    }
}

void storage_thread::abandon_snapshot(std::string_view why)
{
    log_event{severity::warning, "snapshot_abandoned"}
        .with("index", m_snapshot->meta.index.value())
        .with("why", why)
        .write();
    auto when_abandoned = std::move(m_snapshot->when_abandoned);
    m_snapshot.reset();
    m_loop.post_completion(std::move(when_abandoned));
}

bool storage_thread::write_snapshot(const std::function<absl::Status()>& write)
{
    if (!m_snapshot->when_abandoned) {
        retry_while_full(write);
        return true;
    }
    const auto status = write();
    if (base::has_code(status, base::error_code::storage_full)) {
        abandon_snapshot("disk full");
        return false;
    }
    if (!status.ok()) {
        abort_process(status);
    }
    return true;
}

void storage_thread::sync_pending()
{
    if (m_unsynced.empty()) {
        return;
    }
    retry_while_full([this] { return m_store->sync(); });
    for (auto& finished : m_unsynced) {
        m_loop.post_completion(std::move(finished));
    }
    m_unsynced.clear();
}

void storage_thread::continue_snapshot()
{
    const std::string_view bytes = *m_snapshot->bytes;
    const auto written = m_snapshot->writer->size();
    if (written < bytes.size()) {
        write_snapshot([&] {
            return m_snapshot->writer->append(bytes.substr(written, snapshot_chunk_bytes));
        });
        return;
    }
    finish_snapshot();
}

void storage_thread::finish_snapshot()
{
    if (!write_snapshot([this] { return m_snapshot->writer->finish(); })) {
        return;
    }
    if (!m_snapshot->when_abandoned) {
        retry_while_full([this] { return m_store->reset_log(); });
        retry_while_full([this] { return m_store->sync(); });
    }
    m_loop.post_completion(std::move(m_snapshot->when_durable));
    m_snapshot.reset();
}

void storage_thread::retry_while_full(const std::function<absl::Status()>& write)
{
    absl::Status status = write();
    while (base::has_code(status, base::error_code::storage_full)) {
        log_event{severity::error, "disk_full"}
            .with("detail", std::string{status.message()})
            .write();
        std::this_thread::sleep_for(full_disk_retry_interval);
        status = write();
    }
    if (!status.ok()) {
        abort_process(status);
    }
}

} // namespace lovagebeam::daemon
