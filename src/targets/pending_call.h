#pragma once

#include "lovagebeam/targets/http_client.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <utility>

namespace lovagebeam::targets {

class connection;

/// A call between `send` and its callback: either queued for its endpoint or on a connection.
struct pending_call {
    pending_call(boost::asio::io_context& io, http_call request, http_callback on_done)
        : call{std::move(request)}, callback{std::move(on_done)}, deadline{io}
    {
    }

    http_call call;
    http_callback callback;
    boost::asio::steady_timer deadline;
    connection* active_connection = nullptr; ///< Carries the call; null while it is queued.
};

using call_ptr = std::shared_ptr<pending_call>;

} // namespace lovagebeam::targets
