#pragma once

#include <cstddef>

namespace lovagebeam::bench {

/// Requests/s, processor time and latency between `http_client` and `http_server`, with
/// `concurrency` calls under way at a time and bodies of `size` bytes in both directions.
void bench_http(std::size_t concurrency, std::size_t size, std::size_t count);

} // namespace lovagebeam::bench
