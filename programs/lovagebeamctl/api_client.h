#pragma once

#include "lovagebeam/targets/http_client.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <boost/json/object.hpp>

#include <string>

namespace lovagebeam::ctl {

/// A blocking client of the operators' HTTP interface of one host. Without a credential, as on the
/// internal port of a core process, it follows redirects to the leader.
class api_client {
public:
    api_client(targets::endpoint host, std::string credential);

    /// Returns the answer's JSON object. Fails with the error code in the host's answer, or with
    /// `timed_out` or `not_connected` when there was no answer.
    absl::StatusOr<boost::json::object> call(const std::string& method, const std::string& path,
                                             const std::string& body = "");

    /// Returns the answer's body unparsed. Fails as `call` does.
    absl::StatusOr<std::string> call_text(const std::string& method, const std::string& path,
                                          const std::string& body = "");

private:
    targets::http_result send(const targets::endpoint& to, const std::string& method,
                              const std::string& path, const std::string& body);

    targets::endpoint m_host;
    std::string m_credential;
    targets::http_client m_client;
};

} // namespace lovagebeam::ctl
