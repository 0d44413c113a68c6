#pragma once

#include "decision_loop.h"
#include "ports.h"

#include <utility>

namespace lovagebeam::daemon {

/// The log writer of a learner, which stores nothing on disk and completes every call immediately.
class null_log_writer : public log_writer {
public:
    explicit null_log_writer(decision_loop& loop) : m_loop{loop} {}

    void persist(consensus::persist_request, done when_durable) override
    {
        m_loop.post_completion(std::move(when_durable));
    }
    void save_snapshot(consensus::snapshot_meta, std::shared_ptr<const std::string>,
                       done when_durable, done) override
    {
        m_loop.post_completion(std::move(when_durable));
    }
    void install_snapshot(consensus::snapshot_meta, std::shared_ptr<const std::string>,
                          done when_durable) override
    {
        m_loop.post_completion(std::move(when_durable));
    }
    void compact_to(consensus::log_index) override {}

private:
    decision_loop& m_loop;
};

} // namespace lovagebeam::daemon
