#pragma once

#include "lovagebeam/targets/http_client.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <boost/json/object.hpp>

#include <string>

namespace lovagebeam::ctl {

/// Calls the operators' interface of one host and waits for the answer.
class api_client {
public:
    api_client(targets::endpoint host, std::string credential);

    /// Returns the answer's JSON object. A refusal by the system gives its error code; no answer
    /// gives `timed_out` or `not_connected`.
    absl::StatusOr<boost::json::object> call(const std::string& method, const std::string& path,
                                             const std::string& body = "");

    /// Returns the answer's body as it is.
    absl::StatusOr<std::string> call_text(const std::string& method, const std::string& path,
                                          const std::string& body = "");

private:
    targets::endpoint m_host;
    std::string m_credential;
    targets::http_client m_client;
};

} // namespace lovagebeam::ctl
