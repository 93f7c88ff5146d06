#include "laburnumreach/core/posix_thread.hpp"
#include "laburnumreach/fleet/fleet_model.hpp"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <mutex>
#include <string>
#include <vector>

namespace laburnumreach::fleet
{

using namespace std::chrono_literals;

namespace
{

/// Schedules in every test run; FLEET_SCHEDULES sets another number.
constexpr std::uint64_t short_schedules = 2000;
constexpr std::size_t schedule_threads = 3;

std::uint64_t from_environment(const char* name, std::uint64_t otherwise)
{
    const char* text = std::getenv(name); // NOLINT(concurrency-mt-unsafe): the test has one thread
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

quota::quota_revision random_quotas(core::random_source& random)
{
    const auto tokens = [&random](std::uint64_t most)
    { return static_cast<std::int64_t>(1 + random.below(most)) * quota::micro_tokens_per_token; };
    quota::quota_revision quotas;
    quotas.tenants["small"] = {.rate = tokens(10), .burst = tokens(4)};
    quotas.tenants["large"] = {.rate = tokens(100), .burst = tokens(60)};
    return quotas;
}

fleet_options random_options(std::uint64_t seed, core::random_source& random)
{
    fleet_options options;
    options.seed = seed;
    options.zones = 1 + static_cast<int>(random.below(3));
    options.daemons_per_zone = options.zones == 1 ? 4 : 2 + static_cast<int>(random.below(2));
    options.tick = 40ms;
    options.rate_margin_ppm = 10'000;
    options.faults = {.loss = random.uniform() * 0.2,
                      .repetition = random.uniform() * 0.3,
                      .late = random.uniform() * 0.2,
                      .longest_late = 1ms + random.below(4000) * 1ms,
                      .clock_ppm = 9'900};
    if (random.chance(0.3))
    {
        options.authority.orphan_limit = 5s;
    }
    options.quotas = random_quotas(random);
    return options;
}

/// One random fault, or the end of one.
void disturb(fleet_model& fleet, core::random_source& random)
{
    const std::size_t node = random.below(fleet.node_count());
    const int group = static_cast<int>(random.below(3));
    switch (random.below(12))
    {
    case 0:
        fleet.crash(node);
        break;
    case 1:
    case 2:
        fleet.restart(node);
        break;
    case 3:
        fleet.pause(node, random.below(9000) * 1ms);
        break;
    case 4:
        fleet.stop(node);
        break;
    case 5:
        fleet.set_group(node, group);
        break;
    case 6:
        for (std::size_t each = 0; each < fleet.node_count(); ++each)
        {
            fleet.set_group(each, fleet.node(each).zone == fleet.node(node).zone ? group : 0);
        }
        break;
    case 7:
        for (std::size_t each = 0; each < fleet.node_count(); ++each)
        {
            fleet.set_group(each, 0);
        }
        break;
    case 8:
        fleet.set_platform_reachable(group, random.chance(0.6));
        break;
    case 9:
    {
        quota::quota_revision quotas = random_quotas(random);
        quotas.zones = fleet.zone_names();
        if (random.chance(0.4))
        {
            quotas.zones.erase(quotas.zones.begin() +
                               static_cast<std::ptrdiff_t>(random.below(quotas.zones.size())));
        }
        fleet.configure(std::move(quotas), 3s, 0.2);
        break;
    }
    default:
        if (fleet.tenant_count() > 0)
        {
            fleet.set_traffic(node, random.below(fleet.tenant_count()), random.uniform() * 80.0);
        }
    }
}

std::string run_schedule(std::uint64_t seed)
{
    core::random_source random{seed * 2 + 1};
    fleet_model fleet{random_options(seed, random)};
    for (std::size_t node = 0; node < fleet.node_count(); ++node)
    {
        fleet.set_traffic(node, 0, random.uniform() * 6.0);
        fleet.set_traffic(node, 1, random.uniform() * 30.0);
    }
    for (int fault = 0; fault < 20 && fleet.violation().empty(); ++fault)
    {
        fleet.run_for(random.below(1600) * 1ms);
        disturb(fleet, random);
    }
    fleet.run_for(1s);
    return fleet.violation();
}

/// Only the role of the lender, in one zone, with worse faults and for longer.
std::string run_role_schedule(std::uint64_t seed)
{
    core::random_source random{seed * 2};
    fleet_options options = random_options(seed, random);
    options.quotas.tenants.clear();
    options.zones = 1;
    options.daemons_per_zone = 3 + static_cast<int>(random.below(2));
    options.tick = 100ms;
    options.faults.loss = random.uniform() * 0.4;
    options.faults.longest_late = 1ms + random.below(9000) * 1ms;
    fleet_model fleet{options};
    for (int fault = 0; fault < 40 && fleet.violation().empty(); ++fault)
    {
        fleet.run_for(random.below(3000) * 1ms);
        disturb(fleet, random);
    }
    return fleet.violation();
}

/// Runs schedules on some threads.
/// @returns the failing seeds with what they violate
std::string run_all(std::string (*run)(std::uint64_t), std::uint64_t otherwise)
{
    const bool one =
        std::getenv("FLEET_SEED") != nullptr; // NOLINT(concurrency-mt-unsafe): no thread runs yet
    const std::uint64_t first = from_environment("FLEET_SEED", 1);
    const std::uint64_t end = first + from_environment("FLEET_SCHEDULES", one ? 1 : otherwise);
    std::atomic<std::uint64_t> next{first};
    std::mutex mutex;
    std::string failures;
    const auto work = [&]
    {
        for (std::uint64_t seed = next++; seed < end; seed = next++)
        {
            const std::string violation = run(seed);
            const std::lock_guard lock{mutex};
            if (!violation.empty())
            {
                failures += "FLEET_SEED=" + std::to_string(seed) + ": " + violation + "\n";
            }
        }
    };
    std::vector<core::posix_thread> threads;
    for (std::size_t thread = 0; thread < schedule_threads; ++thread)
    {
        threads.emplace_back(core::posix_thread_options{.name = "schedules"}, work);
    }
    for (core::posix_thread& thread : threads)
    {
        thread.join();
    }
    return failures;
}

} // namespace

/// Guards against any order of faults in which more than a tenant's rate and burst is admitted over all
/// daemons, two lenders of a zone have authority, or parts are created. FLEET_SEED repeats one schedule.
class schedule_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(schedule_test);
    CPPUNIT_TEST(no_schedule_breaks_an_invariant);
    CPPUNIT_TEST(no_schedule_makes_two_lenders);
    CPPUNIT_TEST_SUITE_END();

public:
    void no_schedule_breaks_an_invariant()
    {
        const std::string failures = run_all(run_schedule, short_schedules);
        CPPUNIT_ASSERT_MESSAGE(failures, failures.empty());
    }

    void no_schedule_makes_two_lenders()
    {
        const std::string failures = run_all(run_role_schedule, short_schedules);
        CPPUNIT_ASSERT_MESSAGE(failures, failures.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(schedule_test);

} // namespace laburnumreach::fleet
