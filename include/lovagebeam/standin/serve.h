#pragma once

#include "lovagebeam/base/types.h"
#include "lovagebeam/callers/http_server.h"
#include "lovagebeam/targets/http_client.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace lovagebeam::standin {

struct serve_settings {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::vector<targets::endpoint> entry_hosts;
    std::string announce_path;
};

/// What a stand-in does with requests and announcements.
struct serve_handlers {
    std::function<void(callers::http_request, callers::reply)> handle;
    /// Returns the announcement's body, given where the stand-in listens.
    std::function<std::string(const targets::endpoint&)> announcement;
    /// Receives an answer to an announcement, with the time at which the announcement was made.
    std::function<void(const std::string&, base::time_point)> on_announcement_answer;
    /// Receives the number of open connections, several times a second.
    std::function<void(std::uint64_t)> on_connection_count;
};

/// Serves and announces until the process gets SIGTERM or SIGINT. Returns the process's exit code.
int serve(const serve_settings& settings, const serve_handlers& handlers);

} // namespace lovagebeam::standin
