#pragma once

#include <cstddef>

namespace lovagebeam::bench {

/// Messages/s, processor time and latency between two networks, for messages of `size` bytes.
void bench_messages(std::size_t size, std::size_t count);

/// Bytes/s on a connection that carries only PINGs.
void bench_idle_connection();

/// Processor time of making and checking a hello, and wall time of a connect with handshake.
void bench_handshake();

} // namespace lovagebeam::bench
