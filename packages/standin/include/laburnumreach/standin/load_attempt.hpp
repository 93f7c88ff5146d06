#ifndef LABURNUMREACH_STANDIN_LOAD_ATTEMPT_HPP
#define LABURNUMREACH_STANDIN_LOAD_ATTEMPT_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/standin/local_client.hpp"

#include <cstddef>
#include <cstdint>
#include <httplib.h>
#include <span>
#include <string>
#include <string_view>

namespace laburnumreach::standin
{

/// One attempt of a caller to get an answer, and what came of it.
struct load_attempt
{
    /// How the attempt ended for the caller.
    enum class ending : std::uint8_t
    {
        whole,         ///< The whole answer to this request.
        damaged,       ///< Status 200 with something else than the whole answer to this request.
        refused,       ///< Another status.
        broken,        ///< The connection ended or the answer could not be read.
        timed_out,     ///< The caller's timeout passed.
        not_connected, ///< No connection, so nothing was sent.
        not_sent,      ///< The load tool had no free thread before the caller's timeout passed.
    };

    std::size_t request = 0; ///< Number of the request; its retries have the same number.
    std::size_t attempt = 0; ///< Zero for the first attempt.
    bool duplicate = false;  ///< A deliberate second copy of a request, with a number of its own.
    std::size_t phase = 0;   ///< These are indices into the scenario.
    std::size_t tenant = 0;
    std::size_t kind = 0;
    std::string nonce{};           ///< Unique for each attempt.
    std::string idempotency_key{}; ///< The same for retries and duplicates.
    core::duration intended{0};    ///< When the request was to be sent first, since the start of the run.
    core::duration due{0};         ///< When this attempt was to be sent.
    core::duration done{0};        ///< When it ended.
    ending ended = ending::not_sent;
    int status = 0;
    std::string verdict{};         ///< Laburnum-Verdict
    std::string reason{};          ///< Laburnum-Reason, or status_<n> for a refusal without it.
    std::string request_id{};      ///< Laburnum-Request-Id
    core::duration retry_after{0}; ///< Zero when no retry was advised.
};

/// Returns the name used in reports, for example "timed_out".
std::string_view to_string(load_attempt::ending value);

/// Fills in what the answer to an attempt says.
/// @param nonces of all attempts with the same idempotency key: a recorded answer belongs to any of them
void judge_answer(load_attempt& attempt, local_client::failure failure, const httplib::Response& response,
                  std::span<const std::string> nonces, std::string_view request_body);

} // namespace laburnumreach::standin

#endif
