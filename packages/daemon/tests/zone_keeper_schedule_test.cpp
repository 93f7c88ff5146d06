#include "laburnumreach/daemon/zone_keeper.hpp"

#include "laburnumreach/platform/memory_object_store.hpp"

#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <functional>
#include <map>
#include <string>

namespace laburnumreach::daemon
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t node_count = 3;
constexpr core::duration step = milliseconds{20};
constexpr double clock_error = 0.01;

/// Random schedule of the keepers of one zone: messages and platform calls are lost, late or repeated, nodes
/// pause, stop gracefully, crash and restart, and the platform has outages.
class keeper_schedule
{
public:
    explicit keeper_schedule(std::uint64_t seed) : random(seed)
    {
        for (std::size_t index = 0; index < node_count; ++index)
        {
            node& one = this->nodes.at(index);
            one.speed = 1.0 - clock_error + 2 * clock_error * this->random.uniform();
            one.offset = seconds{this->random.below(1'000)};
            this->restart(index);
        }
    }

    /// Runs the schedule.
    /// @returns a description of the first fault, or an empty text
    std::string run(core::duration length)
    {
        while (this->now < length && this->fault.empty())
        {
            this->now += step;
            this->deliver();
            this->play_faults();
            for (std::size_t index = 0; index < node_count; ++index)
            {
                this->act(index);
            }
            this->check();
        }
        return this->fault;
    }

    std::size_t steps_with_lender = 0;
    std::size_t lender_changes = 0;

private:
    struct node
    {
        std::unique_ptr<zone_keeper> keeper;
        quota::daemon_ref self;
        double speed = 1.0;
        core::duration offset{};
        core::duration paused_until{};
        core::duration stop_at{};
        bool cut_off = false; ///< From the platform.
    };

    core::time_point local(const node& one) const
    {
        return core::time_point{one.offset +
                                std::chrono::duration_cast<core::duration>(this->now * one.speed)};
    }

    void restart(std::size_t index)
    {
        node& one = this->nodes.at(index);
        one.self = {.id = "vm-" + std::to_string(index), .incarnation = this->next_incarnation++};
        one.keeper = std::make_unique<zone_keeper>(zone_keeper_options{.zone = "a", .self = one.self},
                                                   core::random_source{this->random.below(1ULL << 60U)});
        one.keeper->set_candidate(true);
        this->configure(one);
        one.stop_at = core::duration{};
    }

    /// Gives the newest revision to a node; the others may still use older ones.
    void configure(node& one)
    {
        auto revision = std::make_shared<quota::quota_revision>();
        revision->revision = this->newest_revision;
        revision->zones = {"a"};
        revision->tenants["serra"] = {.rate = 1'000'000, .burst = 5'000'000};
        one.keeper->configure(this->local(one), revision);
    }

    void act(std::size_t index)
    {
        node& one = this->nodes.at(index);
        if (this->now < one.paused_until)
        {
            return;
        }
        std::vector<quota::daemon_ref> others;
        for (const node& other : this->nodes)
        {
            if (other.self.id != one.self.id)
            {
                others.push_back(other.self);
            }
        }
        one.keeper->set_zone_members(std::move(others), {});
        this->post(one.keeper->poll(this->local(one)));
        if (const auto call = one.keeper->next_platform_call(this->local(one)))
        {
            this->call_platform(index, *call);
        }
        if (one.stop_at != core::duration{} && (one.keeper->stopped() || this->now >= one.stop_at))
        {
            this->restart(index);
        }
    }

    /// Whatever the node's own state is, a call takes effect and is answered at random later times.
    void call_platform(std::size_t index, const platform::zone_call& call)
    {
        const std::uint64_t incarnation = this->nodes.at(index).self.incarnation;
        const bool lost = this->outage || this->nodes.at(index).cut_off;
        const core::duration effect_at = this->now + milliseconds{this->random.below(this->slow ? 3000 : 20)};
        const core::duration answer_at = effect_at + milliseconds{this->random.below(this->slow ? 3000 : 20)};
        const bool answer_lost = this->random.chance(0.05);
        this->events.emplace(
            effect_at,
            [this, index, incarnation, call, lost, answer_at, answer_lost]
            {
                auto unreachable = core::make_error(core::error_code::unavailable, "outage");
                const bool reads = call.type == platform::zone_call::kind::read;
                core::result<platform::object> read = unreachable;
                core::result<platform::object_version> written = unreachable;
                if (!lost && reads)
                {
                    read = this->store.get(call.name);
                }
                else if (!lost)
                {
                    written = this->store.put_if(call.name, call.condition, call.value);
                }
                if (answer_lost && !lost)
                {
                    read = unreachable;
                    written = core::make_error(core::error_code::outcome_unknown, "answer lost");
                }
                this->events.emplace(answer_at, [this, index, incarnation, reads, read, written]
                                     { this->answer(index, incarnation, reads, read, written); });
            });
    }

    void answer(std::size_t index, std::uint64_t incarnation, bool reads,
                const core::result<platform::object>& read,
                const core::result<platform::object_version>& written)
    {
        node& one = this->nodes.at(index);
        if (one.self.incarnation != incarnation)
        {
            return;
        }
        if (this->now < one.paused_until)
        {
            this->events.emplace(one.paused_until, [this, index, incarnation, reads, read, written]
                                 { this->answer(index, incarnation, reads, read, written); });
            return;
        }
        if (reads)
        {
            one.keeper->on_read(this->local(one), read);
        }
        else
        {
            one.keeper->on_write(this->local(one), written);
        }
    }

    void post(const zone_keeper::outbox& messages)
    {
        for (const outgoing_quota_message& outgoing : messages)
        {
            const std::size_t copies = this->random.chance(0.05) ? 2 : 1;
            for (std::size_t copy = 0; copy < copies && !this->random.chance(this->loss); ++copy)
            {
                const bool late = this->random.chance(0.02);
                const core::duration delay = milliseconds{1 + this->random.below(late ? 8000 : 10)};
                this->events.emplace(this->now + delay, [this, outgoing] { this->receive(outgoing); });
            }
        }
    }

    void receive(const outgoing_quota_message& message)
    {
        for (node& one : this->nodes)
        {
            if (one.self == message.receiver && this->now >= one.paused_until)
            {
                this->post(one.keeper->receive(this->local(one), message.message));
            }
        }
    }

    void deliver()
    {
        while (!this->events.empty() && this->events.begin()->first <= this->now)
        {
            const auto event = std::move(this->events.begin()->second);
            this->events.erase(this->events.begin());
            event();
        }
    }

    void play_faults()
    {
        node& one = this->nodes.at(this->random.below(node_count));
        if (this->random.chance(0.001))
        {
            one.paused_until = this->now + milliseconds{this->random.below(20'000)};
        }
        if (this->random.chance(0.0005))
        {
            this->restart(static_cast<std::size_t>(&one - this->nodes.data()));
        }
        if (this->random.chance(0.001) && one.stop_at == core::duration{} && this->now >= one.paused_until)
        {
            one.stop_at = this->now + seconds{10};
            this->post(one.keeper->stop(this->local(one)));
        }
        if (this->random.chance(0.01) && this->now >= one.paused_until)
        {
            this->newest_revision += this->random.below(2);
            this->configure(one);
        }
        if (this->random.chance(0.0005))
        {
            one.cut_off = !one.cut_off;
        }
        if (this->random.chance(this->outage ? 0.002 : 0.0005))
        {
            this->outage = !this->outage;
        }
        if (this->random.chance(0.001))
        {
            this->slow = !this->slow;
            this->loss = this->random.chance(0.5) ? 0.0 : 0.3;
        }
    }

    void check()
    {
        std::size_t lenders = 0;
        for (const node& one : this->nodes)
        {
            if (one.keeper->lender_epoch(this->local(one)) > 0)
            {
                ++lenders;
                this->lender_changes += this->last_lender == one.self ? 0 : 1;
                this->last_lender = one.self;
            }
        }
        this->steps_with_lender += lenders > 0 ? 1 : 0;
        if (lenders > 1)
        {
            this->fault = "two lenders have authority at " +
                          std::to_string(std::chrono::duration_cast<milliseconds>(this->now).count()) + " ms";
        }
    }

    core::random_source random;
    platform::memory_object_store store;
    std::array<node, node_count> nodes;
    std::multimap<core::duration, std::function<void()>> events;
    core::duration now{};
    std::uint64_t next_incarnation = 1;
    std::uint64_t newest_revision = 1;
    quota::daemon_ref last_lender;
    std::string fault;
    double loss = 0.0;
    bool outage = false;
    bool slow = false;
};

} // namespace

class zone_keeper_schedule_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(zone_keeper_schedule_test);
    CPPUNIT_TEST(never_two_lenders);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against two daemons that lend a zone's base part at the same time. LABURNUMREACH_SEED runs one
    /// seed.
    void never_two_lenders()
    {
        std::uint64_t first = 1;
        std::uint64_t last = std::getenv("LABURNUMREACH_SEED_COUNT")
                                 ? std::strtoull(std::getenv("LABURNUMREACH_SEED_COUNT"), nullptr, 10)
                                 : 2000;
        if (const char* seed = std::getenv("LABURNUMREACH_SEED"))
        {
            first = last = std::strtoull(seed, nullptr, 10);
        }
        std::size_t changes = 0;
        std::size_t held = 0;
        for (std::uint64_t seed = first; seed <= last; ++seed)
        {
            keeper_schedule schedule{seed};
            const std::string fault = schedule.run(seconds{120});
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": " + fault, fault.empty());
            changes += schedule.lender_changes;
            held += schedule.steps_with_lender;
        }
        // Without lenders and changes the schedules would prove nothing.
        CPPUNIT_ASSERT(held > 0);
        CPPUNIT_ASSERT(changes > last - first);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(zone_keeper_schedule_test);

} // namespace laburnumreach::daemon
