#ifndef LABURNUMREACH_STANDIN_DEPENDENCY_CALLS_HPP
#define LABURNUMREACH_STANDIN_DEPENDENCY_CALLS_HPP

#include "laburnumreach/core/error.hpp"
#include "laburnumreach/core/time.hpp"
#include "laburnumreach/standin/client_pool.hpp"
#include "laburnumreach/standin/connection.hpp"
#include "laburnumreach/standin/loopback_address.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace laburnumreach::standin
{

/// The calls that an upstream makes for a request whose path starts with a prefix.
struct dependency_rule
{
    /// One call.
    struct target
    {
        std::string method{};
        std::string path{}; ///< "/<service>/<path>"
    };

    std::string path_prefix{};
    std::vector<target> targets{};
};

/// Parses "<path prefix>=[METHOD:]<service>/<path>,...". Without a method the call is a GET.
core::result<dependency_rule> parse_dependency_rule(std::string_view text);

/// Makes the calls of an upstream through the local listener of its daemon. Thread safe.
class dependency_calls
{
public:
    /// What the calls take over from the request.
    struct context
    {
        std::string handle{};          ///< Value of Laburnum-Call.
        std::string nonce{};           ///< Each call sends "<nonce>/<number>" as its Test-Nonce.
        std::string idempotency_key{}; ///< Calls other than GET send "<key>/<number>".
        core::duration timeout{0};     ///< For all calls together.
    };

    /// How the calls ended.
    enum class outcome : std::uint8_t
    {
        done,
        failed,
        damaged, ///< An answer was not whole or not the one to the call.
        cancelled,
    };

    /// The first call that failed, or done.
    struct result
    {
        outcome ended = outcome::done;
        std::string path{};
        int status = 0;             ///< Zero without an answer.
        httplib::Headers verdict{}; ///< Laburnum-Verdict, Laburnum-Reason and Retry-After, as received.
    };

    /// @param rules the longest matching prefix applies
    dependency_calls(const loopback_address& daemon, std::vector<dependency_rule> rules);

    /// Makes the calls for a request one after the other until one fails.
    /// @param path of the request
    /// @param caller the calls are given up when it closes its connection
    result run(std::string_view path, const context& request, const connection& caller);

private:
    result run_one(const dependency_rule::target& target, const std::string& number, const context& request,
                   core::time_point deadline, const connection& caller);

    const std::vector<dependency_rule> rules;
    client_pool clients;
};

} // namespace laburnumreach::standin

#endif
