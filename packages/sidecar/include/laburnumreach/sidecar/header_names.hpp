#ifndef LABURNUMREACH_SIDECAR_HEADER_NAMES_HPP
#define LABURNUMREACH_SIDECAR_HEADER_NAMES_HPP

#include <string>

namespace laburnumreach::sidecar
{

/// Names of the HTTP header fields that the sidecar reads or writes. The platform adapter supplies them.
struct header_names
{
    std::string attempt_id;  ///< Id of one attempt of a request; upstreams echo it.
    std::string deadline_ms; ///< Remaining time, in milliseconds, for which the caller or the sidecar waits.
    std::string credential;  ///< API key of the caller; never forwarded.
    std::string customer;    ///< Name of the key's customer, set for the upstream.
    std::string caller_service;    ///< Service of the VM whose sidecar got the request, set for the upstream.
    std::string expected_instance; ///< Id of the only instance that may run the request.
    std::string instance_id;       ///< Id of the instance that answered.
    std::string load;              ///< Load of the upstream, as "running,waiting,slots".
    std::string not_executed;      ///< Present when the upstream states that it did not run the request.
    std::string signature;         ///< Present on every response made by an upstream itself.
};

} // namespace laburnumreach::sidecar

#endif
