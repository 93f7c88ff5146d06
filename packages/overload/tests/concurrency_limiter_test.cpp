#include "laburnumreach/overload/concurrency_limiter.hpp"

#include "laburnumreach/core/random_source.hpp"
#include "test_time.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <limits>

namespace laburnumreach::overload
{

class concurrency_limiter_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(concurrency_limiter_test);
    CPPUNIT_TEST(grows_from_a_low_limit_to_the_slots);
    CPPUNIT_TEST(settles_where_latency_rises);
    CPPUNIT_TEST(cold_start_does_not_distort_the_baseline);
    CPPUNIT_TEST(slower_instance_is_not_throttled);
    CPPUNIT_TEST(wrong_load_report_lowers_the_limit_temporarily);
    CPPUNIT_TEST(failures_lower_the_limit);
    CPPUNIT_TEST(calls_in_flight_never_exceed_the_slots);
    CPPUNIT_TEST_SUITE_END();

    /// Latency in ms by the number of calls in flight.
    using latency_model = std::function<double(double)>;

    /// Keeps the limiter saturated for a time; each step finishes as many calls as end in 10 ms.
    static void saturate(concurrency_limiter& limiter, std::int64_t begin_ms, std::int64_t end_ms,
                         const latency_model& latency)
    {
        double due = 0.0;
        for (std::int64_t ms = begin_ms; ms < end_ms; ms += 10)
        {
            while (limiter.try_start())
            {
            }
            const double latency_ms = latency(limiter.in_flight());
            for (due += limiter.in_flight() * 10.0 / latency_ms; due >= 1.0 && limiter.in_flight() > 0;
                 due -= 1.0)
            {
                limiter.finish(at(ms),
                               std::chrono::duration_cast<core::duration>(
                                   std::chrono::duration<double, std::milli>(latency_ms)),
                               upstream_result::success);
            }
        }
    }

    /// Latency of an instance whose calls share ten processors.
    static latency_model processor_sharing(double base)
    {
        return [=](double n) { return base * std::max(1.0, n / 10.0); };
    }

public:
    /// Guards against full load on a new instance at once, and against a limit that never reaches the slots.
    void grows_from_a_low_limit_to_the_slots()
    {
        concurrency_limiter limiter{200};
        CPPUNIT_ASSERT(limiter.limit() <= 10);
        saturate(limiter, 0, 5000, [](double) { return 20.0; });
        CPPUNIT_ASSERT_EQUAL(200U, limiter.limit());
    }

    /// Guards against a limit so high that calls queue inside the upstream, and one so low that it is partly
    /// idle.
    void settles_where_latency_rises()
    {
        concurrency_limiter limiter{200};
        saturate(limiter, 0, 20000, processor_sharing(20.0));
        CPPUNIT_ASSERT(limiter.limit() >= 10);
        CPPUNIT_ASSERT(limiter.limit() <= 40);
    }

    /// Guards against a baseline latency from a cold start, with which a later overload would not be
    /// detected.
    void cold_start_does_not_distort_the_baseline()
    {
        concurrency_limiter limiter{200};
        saturate(limiter, 0, 2000, processor_sharing(200.0));
        saturate(limiter, 2000, 30000, processor_sharing(20.0));
        CPPUNIT_ASSERT(limiter.baseline_latency() <= milliseconds{40});
        CPPUNIT_ASSERT(limiter.limit() <= 60);
    }

    /// Guards against a limit that falls to its minimum because every call became slower, regardless of the
    /// load.
    void slower_instance_is_not_throttled()
    {
        concurrency_limiter limiter{25};
        saturate(limiter, 0, 3000, [](double) { return 20.0; });
        saturate(limiter, 3000, 13000, [](double) { return 100.0; });
        CPPUNIT_ASSERT(limiter.limit() >= 20);
    }

    /// Guards against an instance that gets no calls, or too many, because of the load value that it reports.
    void wrong_load_report_lowers_the_limit_temporarily()
    {
        for (const double load : {1.0, 5.0, std::numeric_limits<double>::infinity()})
        {
            concurrency_limiter limiter{100};
            saturate(limiter, 0, 5000, [](double) { return 20.0; });
            for (int i = 0; i < 20; ++i)
            {
                limiter.report_load(at(5000), load);
            }
            CPPUNIT_ASSERT(limiter.limit() >= 70);
            CPPUNIT_ASSERT(limiter.limit() < 100);
            saturate(limiter, 5000, 7000, [](double) { return 20.0; });
            limiter.report_load(at(7000), load);
            CPPUNIT_ASSERT_EQUAL(100U, limiter.limit());
        }
        for (const double load : {0.0, -1.0, std::numeric_limits<double>::quiet_NaN()})
        {
            concurrency_limiter limiter{100};
            const std::uint32_t before = limiter.limit();
            limiter.report_load(at(0), load);
            CPPUNIT_ASSERT_EQUAL(before, limiter.limit());
        }
    }

    /// Guards against full load on an instance whose calls time out.
    void failures_lower_the_limit()
    {
        concurrency_limiter limiter{100};
        saturate(limiter, 0, 5000, [](double) { return 20.0; });
        for (int i = 0; i < 40; ++i)
        {
            CPPUNIT_ASSERT(limiter.try_start());
            limiter.finish(at(5000 + i * 10), milliseconds{1000}, upstream_result::failure);
        }
        CPPUNIT_ASSERT(limiter.limit() < 100);
    }

    /// Guards against more calls in flight than the upstream announced, in any order of events.
    void calls_in_flight_never_exceed_the_slots()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed)
        {
            std::cout << " seed " << seed;
            core::random_source random{seed};
            concurrency_limiter limiter{static_cast<std::uint32_t>(1 + random.below(50))};
            std::uint32_t nested = 0;
            for (std::int64_t step = 0; step < 20000; ++step)
            {
                const std::uint64_t event = random.below(100);
                if (event < 45)
                {
                    const bool room = limiter.in_flight() < limiter.slots();
                    CPPUNIT_ASSERT(room || !limiter.try_start());
                    if (room)
                    {
                        limiter.try_start();
                    }
                }
                else if (event < 85 && limiter.in_flight() > nested)
                {
                    limiter.finish(at(step), milliseconds{1 + random.below(100)},
                                   static_cast<upstream_result>(random.below(3)));
                }
                else if (event < 90 && limiter.in_flight() > nested)
                {
                    limiter.begin_nested_wait();
                    ++nested;
                }
                else if (event < 95 && nested > 0)
                {
                    limiter.end_nested_wait();
                    --nested;
                }
                else if (event == 95 && limiter.in_flight() == 0)
                {
                    limiter.set_slots(static_cast<std::uint32_t>(1 + random.below(50)));
                }
                else if (event == 96)
                {
                    limiter.report_load(at(step), random.uniform() * 2.0);
                }
                CPPUNIT_ASSERT(limiter.in_flight() <= limiter.slots());
                CPPUNIT_ASSERT(limiter.limit() >= 1 && limiter.limit() <= limiter.slots());
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(concurrency_limiter_test);

} // namespace laburnumreach::overload
