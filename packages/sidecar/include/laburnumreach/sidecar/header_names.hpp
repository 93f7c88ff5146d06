#ifndef LABURNUMREACH_SIDECAR_HEADER_NAMES_HPP
#define LABURNUMREACH_SIDECAR_HEADER_NAMES_HPP

#include <string>

namespace laburnumreach::sidecar
{

/// Names of the HTTP header fields that the sidecar reads or writes. The platform adapter supplies them.
struct header_names
{
    std::string attempt_id;        ///< Id of one attempt of a caller; upstreams echo it.
    std::string deadline_ms;       ///< Milliseconds for which the caller, or the sidecar, will wait.
    std::string credential;        ///< The caller's key; never forwarded.
    std::string customer;          ///< Customer that holds the key, set for the upstream.
    std::string caller_service;    ///< Service of the VM on which the request began, set for the upstream.
    std::string expected_instance; ///< Id of the only instance that may run the request.
    std::string instance_id;       ///< Id of the instance that answered.
    std::string load;              ///< Running, waiting and slots, as reported by the upstream.
    std::string not_executed;      ///< Present when the upstream states that it did not run the request.
    std::string signature;         ///< Present on every response that an upstream made.
};

} // namespace laburnumreach::sidecar

#endif
