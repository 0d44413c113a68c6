#pragma once

#include "lovagebeam/jobs/orders.h"

#include "controlplane.pb.h"

namespace lovagebeam::controlplane {

/// Convert between orders, their answers and the messages in which core processes relay them.
proto::controlplane::RelayRun to_proto(const jobs::run_key& run);
jobs::run_key from_proto(const proto::controlplane::RelayRun& message);
jobs::worker_address from_proto(const proto::controlplane::RelayTarget& message);

/// Adds the lists of an answer to `out`.
void write(const jobs::hold_answer& answer, proto::controlplane::RelayOutcome& out);
jobs::hold_answer hold_answer_from(const proto::controlplane::RelayOutcome& message);

} // namespace lovagebeam::controlplane
