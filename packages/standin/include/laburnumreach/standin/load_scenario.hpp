#ifndef LABURNUMREACH_STANDIN_LOAD_SCENARIO_HPP
#define LABURNUMREACH_STANDIN_LOAD_SCENARIO_HPP

#include "laburnumreach/core/error.hpp"
#include "laburnumreach/standin/loopback_address.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumreach::standin
{

/// What the load tool sends, to whom and for how long.
struct load_scenario
{
    using milliseconds = std::chrono::milliseconds;

    /// A part of the run; the phases follow each other.
    struct phase
    {
        std::string name{};
        milliseconds duration{0};
        double multiplier = 1.0; ///< Of the rate, or of the number of closed-loop callers.
    };

    /// A time in which a tenant sends more (or less) than its share.
    struct surge
    {
        milliseconds from{0}; ///< Since the start of the run.
        milliseconds to{0};
        double factor = 1.0;
    };

    /// Where a caller puts its key.
    enum class key_place : std::uint8_t
    {
        bearer,  ///< Authorization: Bearer <key>
        api_key, ///< X-Api-Key: <key>
        query,   ///< ?api_key=<key>
    };

    /// A tenant whose callers send.
    struct tenant
    {
        std::string name{};
        std::string key{};
        key_place place = key_place::bearer;
        double share = 1.0; ///< Of the whole rate, relative to the other tenants.
        std::vector<surge> surges{};
    };

    /// A kind of request.
    struct request_kind
    {
        std::string name{};
        std::string service{};
        std::string method{};
        std::string path{}; ///< After the service name; may have a query.
        std::string priority{};
        double share = 1.0; ///< Relative to the other kinds.
        std::size_t body_bytes = 0;
        bool idempotent = true; ///< Otherwise each request has an Idempotency-Key of its own.
        milliseconds timeout{0};
    };

    /// What a caller does after a refusal or a failure.
    enum class retry_mode : std::uint8_t
    {
        none,
        retry_after, ///< Retries when told to, after the time that it was told.
        hard,        ///< Retries at once.
    };

    std::uint64_t seed = 1;
    bool closed_loop = false;
    double rate = 100.0;       ///< Open loop: requests per second at multiplier 1.
    std::size_t callers = 10;  ///< Closed loop: callers at multiplier 1.
    milliseconds think{0};     ///< Closed loop: pause between the end of a request and the next.
    std::size_t workers = 200; ///< Threads; each holds at most one connection at a time.
    std::size_t most_requests = 1'000'000;
    milliseconds drain{5000}; ///< Longest wait for open requests after the last phase.
    std::vector<loopback_address> daemons{};
    std::vector<loopback_address> upstreams{}; ///< Their records are reset before and read after the run.
    std::vector<phase> phases{};
    std::vector<tenant> tenants{};
    std::vector<request_kind> kinds{};
    retry_mode retry = retry_mode::none;
    std::size_t most_retries = 3;
    double duplicate_share = 0.0;      ///< Of the requests with an Idempotency-Key.
    milliseconds duplicate_delay{100}; ///< A duplicate follows after a random time below this.

    /// Returns the length of all phases.
    milliseconds duration() const;
};

/// Greatest number of worker threads.
inline constexpr std::size_t most_load_workers = 400;

/// Parses a scenario, see docs of the load tool in its --help and the example in tests.
/// @returns invalid_argument with a message that names the faulty member
core::result<load_scenario> parse_load_scenario(std::string_view toml_text);

} // namespace laburnumreach::standin

#endif
