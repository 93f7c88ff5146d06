#ifndef LABURNUMREACH_STANDIN_RUN_JUDGEMENT_HPP
#define LABURNUMREACH_STANDIN_RUN_JUDGEMENT_HPP

#include "laburnumreach/standin/load_attempt.hpp"
#include "laburnumreach/standin/load_scenario.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace laburnumreach::standin
{

/// What the records of the upstreams prove about a run.
struct run_judgement
{
    std::size_t records_missing = 0;   ///< Upstreams whose record could not be read.
    std::uint64_t dropped_entries = 0; ///< Record entries beyond the bound of a record.
    std::size_t duplicates_run = 0;    ///< Idempotency keys with more than one start.
    std::size_t wrong_verdicts = 0;    ///< Answers "not_run" to requests that an upstream started.
    std::size_t wrong_tenants = 0;     ///< Requests that ran for another tenant than the sender.
    std::size_t keys_seen = 0;         ///< Places where an upstream saw a caller's key.
    std::uint64_t damaged_dependency_answers = 0;
    double work_ms = 0.0;                ///< Time for which requests of this run held slots.
    double wasted_work_ms = 0.0;         ///< The part of it for attempts without a whole answer.
    std::vector<std::string> examples{}; ///< A few findings, in words.

    /// Returns whether the records are complete and show no violation.
    bool clean() const;
};

/// Compares the attempts of a run with the records of the upstreams.
/// @param records texts of /control/record; no value where it could not be read
run_judgement judge_run(const load_scenario& scenario, std::span<const load_attempt> attempts,
                        std::span<const std::optional<std::string>> records);

} // namespace laburnumreach::standin

#endif
