#include "laburnumreach/policy_bench/policies.hpp"
#include "laburnumreach/policy_bench/report.hpp"
#include "laburnumreach/policy_bench/simulation.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>
#include <string>
#include <vector>

namespace laburnumreach::policy_bench
{

/// Runs the cases of the bench in virtual time with fixed seeds.
class targets_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(targets_test);
    CPPUNIT_TEST(targets_are_met);
    CPPUNIT_TEST(baseline_stays_overloaded);
    CPPUNIT_TEST(no_overload_is_like_the_baseline);
    CPPUNIT_TEST(routes_without_the_slow_service_stay_open);
    CPPUNIT_TEST(same_seed_gives_same_run);
    CPPUNIT_TEST_SUITE_END();

    static scenario find(const std::string& name)
    {
        const std::vector<scenario> cases = all_scenarios();
        return *std::ranges::find(cases, name, &scenario::name);
    }

public:
    /// Guards against a change of the decisions that misses a target of the design page. The bounds are the
    /// targets themselves.
    void targets_are_met()
    {
        for (const scenario& run : all_scenarios())
        {
            for (const std::uint64_t seed : {1, 2})
            {
                std::cout << " " << run.name << " seed " << seed;
                const run_summary summary = simulation<overload_policy>{run, seed}.run();
                CPPUNIT_ASSERT_MESSAGE(run.name, invariants_hold(run, summary));
                for (const target_check& check : check_targets(run, summary))
                {
                    CPPUNIT_ASSERT_MESSAGE(run.name + ", seed " + std::to_string(seed) + ": " + check.name +
                                               " " + std::to_string(check.value),
                                           !check.applies || check.met());
                }
            }
        }
    }

    /// Guards against a bench that is too easy: the baseline must stay in the metastable state, in which
    /// retries keep the load high after the trigger ended.
    void baseline_stays_overloaded()
    {
        const scenario run = find("hard client retries");
        const run_summary summary = simulation<naive_policy>{run, 1}.run();
        CPPUNIT_ASSERT(summary.recovery_seconds >= 5.0);
    }

    /// Guards against refusals and lost goodput where nothing is overloaded.
    void no_overload_is_like_the_baseline()
    {
        scenario run = find("surge 3x");
        run.surge = {1.0, 1.0, 1.0, 1.0};
        const run_summary ours = simulation<overload_policy>{run, 3}.run();
        const run_summary naive = simulation<naive_policy>{run, 3}.run();
        for (const run_summary& summary : {ours, naive})
        {
            CPPUNIT_ASSERT_EQUAL(summary.requests, summary.failures[0]);
            CPPUNIT_ASSERT_EQUAL(1U, summary.max_attempts);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(naive.goodput_share, ours.goodput_share, 0.01);
    }

    /// Guards against one level for a whole service, which would close routes that do not call the slow one.
    void routes_without_the_slow_service_stay_open()
    {
        scenario run = find("deep service slowed");
        run.shallow_share = 0.5;
        const run_summary mixed = simulation<overload_policy>{run, 4}.run();
        run.shallow_share = 0.0;
        const run_summary deep_only = simulation<overload_policy>{run, 4}.run();
        // Half of the requests does not touch the bottleneck of 500 per second and completes beside it.
        CPPUNIT_ASSERT(mixed.goodput_share >= 1.9 * deep_only.goodput_share);
    }

    /// Guards against a decision that depends on measured time or on anything but its arguments.
    void same_seed_gives_same_run()
    {
        const scenario run = find("surge 3x");
        const run_summary first = simulation<overload_policy>{run, 5}.run();
        const run_summary second = simulation<overload_policy>{run, 5}.run();
        CPPUNIT_ASSERT_EQUAL(first.requests, second.requests);
        CPPUNIT_ASSERT(first.failures == second.failures);
        CPPUNIT_ASSERT_EQUAL(first.alert_p99_ms, second.alert_p99_ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(targets_test);

} // namespace laburnumreach::policy_bench
