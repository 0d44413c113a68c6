#pragma once

#include <cstddef>

namespace lovagebeam::bench {

/// Measures messages/s, processor time and round-trip time between two networks, for messages of
/// `size` bytes.
void bench_messages(std::size_t size, std::size_t count);

/// Measures bytes/s and processor time of a connection that carries only PINGs.
void bench_idle_connection();

/// Measures the processor time to make and check a hello, and the wall and processor time to start,
/// connect and stop two networks.
void bench_handshake();

} // namespace lovagebeam::bench
