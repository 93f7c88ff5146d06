#ifndef LABURNUMREACH_POLICY_BENCH_REPORT_HPP
#define LABURNUMREACH_POLICY_BENCH_REPORT_HPP

#include "laburnumreach/policy_bench/run_metrics.hpp"
#include "laburnumreach/policy_bench/scenario.hpp"

#include <iosfwd>
#include <string>
#include <vector>

namespace laburnumreach::policy_bench
{

/// A target of the design page, applied to one run.
struct target_check
{
    std::string name;
    double value = 0.0;
    double bound = 0.0;
    bool at_least = true;
    /// False where the target does not hold for the case, for example when the important load does not fit.
    bool applies = true;

    bool met() const { return this->at_least ? this->value >= this->bound : this->value <= this->bound; }
};

/// Runs of one case.
struct case_result
{
    scenario run;
    std::vector<run_summary> summaries;
};

/// Compares a run with the targets.
std::vector<target_check> check_targets(const scenario& run, const run_summary& summary);

/// Returns whether the bounds on attempts and slots held.
bool invariants_hold(const scenario& run, const run_summary& summary);

/// Prints the table of all cases.
void print_table(std::ostream& out, const std::vector<case_result>& results);

/// Returns the results with time series as JSON text.
std::string to_json(const std::vector<case_result>& results, std::uint64_t seed);

} // namespace laburnumreach::policy_bench

#endif
