#pragma once

#include "lovagebeam/targets/http_client.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <utility>

namespace lovagebeam::targets {

class connection;

/// A call from `send` to its callback. It is in its endpoint's queue or on one connection.
struct pending_call {
    pending_call(boost::asio::io_context& io, http_call what, http_callback whom)
        : call{std::move(what)}, callback{std::move(whom)}, deadline{io}
    {
    }

    http_call call;
    http_callback callback;
    boost::asio::steady_timer deadline;
    connection* carrier = nullptr; ///< The connection that it is on, if any.
};

using call_ptr = std::shared_ptr<pending_call>;

} // namespace lovagebeam::targets
