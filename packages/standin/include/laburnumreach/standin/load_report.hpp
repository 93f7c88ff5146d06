#ifndef LABURNUMREACH_STANDIN_LOAD_REPORT_HPP
#define LABURNUMREACH_STANDIN_LOAD_REPORT_HPP

#include "laburnumreach/standin/load_attempt.hpp"
#include "laburnumreach/standin/load_scenario.hpp"
#include "laburnumreach/standin/run_judgement.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace laburnumreach::standin
{

/// Counts, latencies and time series of a run.
class load_report
{
public:
    /// Counts of the requests of one tenant, priority, kind or phase.
    struct group
    {
        std::string by{}; ///< all, tenant, priority, kind, phase or duplicates
        std::string name{};
        std::uint64_t requests = 0;
        std::uint64_t attempts = 0;
        std::uint64_t whole = 0;                         ///< Requests with a whole answer.
        std::map<std::string, std::uint64_t> endings{};  ///< Attempts by their end.
        std::map<std::string, std::uint64_t> reasons{};  ///< Refused attempts by Laburnum-Reason.
        std::map<std::string, std::uint64_t> verdicts{}; ///< Answered attempts by Laburnum-Verdict.
        /// From the intended time of the first attempt to the whole answer. Kept one by one, since a
        /// streaming estimate of quantiles assumes that the distribution stays the same.
        std::vector<core::duration> latencies{};

        /// Returns a quantile of the latencies; zero without any.
        core::duration quantile(double share) const;
    };

    /// Counts within one interval of time.
    struct bucket
    {
        std::uint64_t sent = 0;     ///< Requests by the intended time of their first attempt.
        std::uint64_t attempts = 0; ///< By the time at which they were due.
        std::uint64_t whole = 0;    ///< Requests by the time of their whole answer.
        std::uint64_t refused = 0;  ///< Attempts by the time of the refusal.
        std::map<std::string, std::uint64_t> whole_by_priority{};
        std::map<std::string, std::uint64_t> whole_by_tenant{};
    };

    static constexpr std::chrono::milliseconds bucket_length{100};

    /// @param attempts in any order
    load_report(const load_scenario& scenario, std::span<const load_attempt> attempts, run_judgement judged);

    /// Returns the groups, "all" first.
    const std::vector<group>& groups() const { return this->rows; }

    /// Returns the time series from the start of the run.
    const std::vector<bucket>& series() const { return this->buckets; }

    /// Returns a table for people.
    std::string to_table() const;

    /// Returns everything as JSON.
    std::string to_json() const;

private:
    group& find_group(const std::string& by, const std::string& name);
    bucket& bucket_at(core::duration time);
    void add(const load_scenario& scenario, const load_attempt& attempt);

    std::uint64_t seed;
    std::vector<group> rows;
    std::vector<bucket> buckets;
    run_judgement judgement;
};

} // namespace laburnumreach::standin

#endif
