#include "laburnumreach/platform/memory_object_store.hpp"
#include "laburnumreach/platform/zone_lease.hpp"

#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <map>
#include <string>

namespace laburnumreach::platform
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Random schedule of several candidates on one store. Calls take effect and are answered at random times;
/// answers are lost, effects come late, reads are stale, participants pause, release and restart, and their
/// clocks run at different speeds.
class lease_schedule
{
public:
    explicit lease_schedule(std::uint64_t seed) : random(seed)
    {
        for (std::size_t index = 0; index < this->participants.size(); ++index)
        {
            participant& one = this->participants[index];
            // Clocks may differ by clock_error between two daemons.
            one.speed = 1.0 - zone_lease::clock_error / 2 + zone_lease::clock_error * this->random.uniform();
            one.offset = seconds{this->random.below(100'000)};
            this->restart(one, index);
        }
    }

    /// Runs the schedule.
    /// @returns a description of the first fault, or an empty text
    std::string run(core::duration length)
    {
        for (; this->now < length && this->fault.empty(); this->now += milliseconds{10})
        {
            this->deliver();
            for (std::size_t index = 0; index < this->participants.size(); ++index)
            {
                this->act(index);
            }
            this->play_faults();
            this->check();
        }
        return this->fault;
    }

    std::uint64_t takeovers() const { return this->holders.size(); }
    std::uint64_t held_steps() const { return this->steps_with_holder; }

private:
    struct participant
    {
        std::optional<zone_lease> lease;
        std::uint64_t incarnation = 0;
        double speed = 1.0;
        core::duration offset{};
        core::duration paused_until{};
    };

    /// An event of a call under way.
    struct event
    {
        std::size_t participant = 0;
        std::uint64_t incarnation = 0;
        std::function<void()> effect; ///< Empty for an answer.
        std::function<void(zone_lease&, core::time_point)> answer;
    };

    core::time_point local(const participant& one) const
    {
        return core::time_point{one.offset +
                                std::chrono::duration_cast<core::duration>(this->now * one.speed)};
    }

    void restart(participant& one, std::size_t index)
    {
        ++one.incarnation;
        one.lease.emplace(zone_lease_options{
            .zone = "a", .daemon_id = "vm-" + std::to_string(index), .incarnation = one.incarnation});
        one.lease->set_candidate(true);
    }

    core::duration random_time(milliseconds most)
    {
        return milliseconds{this->random.below(static_cast<std::uint64_t>(most.count()))};
    }

    void at(core::duration time, event what) { this->events.emplace(time, std::move(what)); }

    void act(std::size_t index)
    {
        participant& one = this->participants[index];
        if (this->now < one.paused_until)
        {
            return;
        }
        const auto call = one.lease->poll(this->local(one), this->random);
        if (!call)
        {
            return;
        }
        // A call is sent some time after the clock was read, and a late effect outlasts the term.
        const bool late = this->random.chance(0.05);
        const auto effect_at = this->now + this->random_time(late ? milliseconds{15'000} : milliseconds{500});
        const bool lost = late || this->random.chance(0.1);
        const auto answer_at =
            lost ? this->now + seconds{1} : effect_at + this->random_time(milliseconds{300});
        if (call->type == zone_call::kind::read)
        {
            auto result = std::make_shared<core::result<object>>(
                core::make_error(core::error_code::unavailable, "lost"));
            const auto answer = [result, this](zone_lease& lease, core::time_point time)
            { lease.on_read(time, *result, this->random); };
            this->at(effect_at, {.participant = index,
                                 .incarnation = one.incarnation,
                                 .effect =
                                     [=, this]
                                 {
                                     if (!lost)
                                     {
                                         this->store.inject(this->random.chance(0.1) ? store_fault::stale_read
                                                                                     : store_fault::none);
                                         *result = this->store.get(call->name);
                                     }
                                 },
                                 .answer = {}});
            this->at(answer_at,
                     {.participant = index, .incarnation = one.incarnation, .effect = {}, .answer = answer});
            return;
        }
        auto result = std::make_shared<core::result<object_version>>(
            core::make_error(core::error_code::outcome_unknown, "lost"));
        const auto answer = [result, this](zone_lease& lease, core::time_point time)
        { lease.on_write(time, *result, this->random); };
        this->at(effect_at, {.participant = index,
                             .incarnation = one.incarnation,
                             .effect =
                                 [=, this]
                             {
                                 const auto written =
                                     this->store.put_if(call->name, call->condition, call->value);
                                 if (!lost)
                                 {
                                     *result = written;
                                 }
                             },
                             .answer = {}});
        this->at(answer_at,
                 {.participant = index, .incarnation = one.incarnation, .effect = {}, .answer = answer});
    }

    void deliver()
    {
        while (!this->events.empty() && this->events.begin()->first <= this->now)
        {
            event due = std::move(this->events.begin()->second);
            this->events.erase(this->events.begin());
            participant& one = this->participants[due.participant];
            if (due.effect)
            {
                due.effect();
            }
            else if (due.incarnation != one.incarnation)
            {
                continue;
            }
            else if (this->now < one.paused_until)
            {
                this->at(one.paused_until, std::move(due));
            }
            else
            {
                due.answer(*one.lease, this->local(one));
            }
        }
    }

    void play_faults()
    {
        const std::size_t index = this->random.below(this->participants.size());
        participant& one = this->participants[index];
        if (this->random.chance(0.001))
        {
            one.paused_until = this->now + this->random_time(milliseconds{20'000});
        }
        else if (this->random.chance(0.0005))
        {
            this->restart(one, index);
        }
        else if (this->random.chance(0.0005))
        {
            one.lease->release();
        }
        else if (this->random.chance(0.002))
        {
            one.lease->set_candidate(true);
        }
        else if (this->random.chance(0.002))
        {
            const bool nobody = this->random.chance(0.7);
            one.lease->set_successor(
                nobody ? "" : "vm-" + std::to_string(this->random.below(this->participants.size())));
        }
    }

    void check()
    {
        std::string valid;
        for (const participant& one : this->participants)
        {
            if (one.lease->state(this->local(one)) != lease_state::holder)
            {
                continue;
            }
            const zone_record& record = *one.lease->record();
            const std::string name = record.holder + "#" + std::to_string(record.incarnation);
            const auto [holder, added] = this->holders.emplace(record.epoch, name);
            if (!valid.empty() || holder->second != name)
            {
                this->fault = "at " + std::to_string(this->now / milliseconds{1}) + " ms: " + name + " and " +
                              (valid.empty() ? holder->second : valid) + " hold epoch " +
                              std::to_string(record.epoch);
            }
            valid = name;
        }
        this->steps_with_holder += valid.empty() ? 0 : 1;
    }

    core::random_source random;
    memory_object_store store;
    std::array<participant, 4> participants;
    std::multimap<core::duration, event> events;
    std::map<std::uint64_t, std::string> holders; ///< By epoch.
    core::duration now{};
    std::string fault;
    std::uint64_t steps_with_holder = 0;
};

} // namespace

/// Guards against two valid holders at one instant and against an epoch that two daemons used, under any
/// mixture of faults. LEASE_SEED runs one seed, LEASE_SEEDS sets how many are run.
class zone_lease_schedule_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(zone_lease_schedule_test);
    CPPUNIT_TEST(at_most_one_holder_is_valid);
    CPPUNIT_TEST_SUITE_END();

public:
    void at_most_one_holder_is_valid()
    {
        const char* one = std::getenv("LEASE_SEED");
        const char* many = std::getenv("LEASE_SEEDS");
        const std::uint64_t start = one != nullptr ? std::stoull(one) : 1;
        const std::uint64_t count = one != nullptr ? 1 : (many != nullptr ? std::stoull(many) : 60);
        std::uint64_t takeovers = 0;
        std::uint64_t held = 0;
        for (std::uint64_t seed = start; seed < start + count; ++seed)
        {
            lease_schedule schedule{seed};
            const std::string fault = schedule.run(std::chrono::minutes{10});
            CPPUNIT_ASSERT_MESSAGE("LEASE_SEED=" + std::to_string(seed) + ": " + fault, fault.empty());
            takeovers += schedule.takeovers();
            held += schedule.held_steps();
        }
        // The schedules must exercise takeovers, and the role must not be vacant for most of the time.
        CPPUNIT_ASSERT(takeovers > 2 * count);
        CPPUNIT_ASSERT(held > count * 60'000 / 4);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(zone_lease_schedule_test);

} // namespace laburnumreach::platform
