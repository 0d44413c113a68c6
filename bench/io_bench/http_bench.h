#pragma once

#include <cstddef>

namespace lovagebeam::bench {

/// Measures requests/s, processor time and latency between `http_client` and `http_server`, with
/// `concurrency` concurrent calls and bodies of `size` bytes in both directions.
void bench_http(std::size_t concurrency, std::size_t size, std::size_t count);

} // namespace lovagebeam::bench
