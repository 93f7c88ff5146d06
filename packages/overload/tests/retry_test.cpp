#include "laburnumreach/overload/retry_policy.hpp"

#include "test_time.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>
#include <string>
#include <vector>

namespace laburnumreach::overload
{

using core::outcome;
using core::reason;

class retry_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(retry_test);
    CPPUNIT_TEST(decisions);
    CPPUNIT_TEST(retries_of_a_call_chain_are_bounded);
    CPPUNIT_TEST(budget_bounds_the_retry_ratio);
    CPPUNIT_TEST(retry_after_rises_and_is_spread);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against running a request twice that is not idempotent, retries by several hops for one
    /// failure, and retries that only add load.
    void decisions()
    {
        struct table_case
        {
            std::string name;
            failed_attempt failed;
            std::uint32_t attempts_left;
            bool retry;
            reason why_not;
        };
        const auto failed = [](outcome result, reason why, bool idempotent, bool failed_at_this_hop = true)
        {
            return failed_attempt{.result = {result, why},
                                  .failed_at_this_hop = failed_at_this_hop,
                                  .idempotent = idempotent,
                                  .remaining = std::chrono::seconds{1}};
        };
        failed_attempt late = failed(outcome::not_run, reason::connect_failed, false);
        late.remaining = milliseconds{1};
        const std::vector<table_case> cases{
            {"not run", failed(outcome::not_run, reason::connect_failed, false), 2, true, reason::none},
            {"full queue", failed(outcome::not_run, reason::queue_full, false), 2, true, reason::none},
            {"may have run", failed(outcome::may_have_run, reason::connection_lost, false), 2, false,
             reason::none},
            {"idempotent", failed(outcome::may_have_run, reason::connection_lost, true), 2, true,
             reason::none},
            {"reported by another hop", failed(outcome::not_run, reason::connect_failed, true, false), 2,
             false, reason::none},
            {"overload", failed(outcome::not_run, reason::overloaded, true), 2, false, reason::none},
            {"overload further down", failed(outcome::not_run, reason::downstream_overloaded, true), 2, false,
             reason::none},
            {"no attempts left", failed(outcome::not_run, reason::connect_failed, true), 0, false,
             reason::attempts_exhausted},
            {"no time left", late, 2, false, reason::none},
        };
        for (const table_case& test_case : cases)
        {
            attempt_counter attempts{test_case.attempts_left};
            retry_budget budget;
            core::random_source random{1};
            const retry_decision decision =
                retry_policy{}.decide(at(0), test_case.failed, attempts, budget, random);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(test_case.name, test_case.retry, decision.retry);
            CPPUNIT_ASSERT_MESSAGE(test_case.name, decision.why_not == test_case.why_not);
            CPPUNIT_ASSERT_EQUAL(test_case.attempts_left - (test_case.retry ? 1 : 0), attempts.remaining());
            CPPUNIT_ASSERT(decision.backoff < test_case.failed.remaining);
        }
    }

    /// Guards against a number of attempts that grows with the depth of the call chain, also with parallel
    /// calls.
    void retries_of_a_call_chain_are_bounded()
    {
        for (std::uint64_t seed = 1; seed <= 500; ++seed)
        {
            core::random_source random{seed};
            const auto retries = static_cast<std::uint32_t>(random.below(5));
            attempt_counter entry{retries};
            std::uint32_t used = 0;
            call_and_retry(entry, 0, random, used);
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), used + entry.remaining() <= retries);
        }
    }

    /// Guards against a retry storm, and against a destination with little traffic that gets no retry at all.
    void budget_bounds_the_retry_ratio()
    {
        retry_budget budget;
        std::uint32_t taken = 0;
        for (std::int64_t ms = 0; ms < 10000; ++ms)
        {
            budget.record_success();
            taken += budget.try_take(at(ms)) ? 1 : 0;
        }
        CPPUNIT_ASSERT(taken >= 1000);
        CPPUNIT_ASSERT(taken <= 1000 + 11);

        retry_budget without_successes;
        taken = 0;
        for (std::int64_t ms = 0; ms < 10000; ++ms)
        {
            taken += without_successes.try_take(at(ms)) ? 1 : 0;
        }
        CPPUNIT_ASSERT(taken >= 9 && taken <= 11);
    }

    /// Guards against refused callers that return together or too early.
    void retry_after_rises_and_is_spread()
    {
        core::random_source random{1};
        double previous = 0.0;
        for (const admission_level level : {0, 128, 256, 512})
        {
            double sum = 0.0;
            auto least = std::chrono::milliseconds::max();
            auto most = std::chrono::milliseconds::min();
            for (int i = 0; i < 1000; ++i)
            {
                const auto advised = retry_policy{}.retry_after(level, random);
                sum += static_cast<double>(advised.count());
                least = std::min(least, advised);
                most = std::max(most, advised);
            }
            CPPUNIT_ASSERT(sum > previous);
            CPPUNIT_ASSERT(most > 2 * least);
            previous = sum;
        }
    }

private:
    /// Lets a hop call the next one, at random in parallel and with lost responses, and retry while it may.
    static void call_and_retry(attempt_counter& held, std::uint32_t depth, core::random_source& random,
                               std::uint32_t& used)
    {
        for (int parallel = random.chance(0.3) ? 2 : 1; parallel > 0; --parallel)
        {
            while (true)
            {
                attempt_counter delegated{held.delegate(depth < 4, depth)};
                if (depth < 4)
                {
                    call_and_retry(delegated, depth + 1, random, used);
                }
                if (!random.chance(0.2))
                {
                    held.reclaim(delegated.remaining());
                }
                if (held.remaining() == 0 || random.chance(0.3))
                {
                    break;
                }
                held.consume();
                ++used;
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_test);

} // namespace laburnumreach::overload
