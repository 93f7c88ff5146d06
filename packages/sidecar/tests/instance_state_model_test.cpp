#include "laburnumreach/sidecar/departure_memory.hpp"
#include "laburnumreach/sidecar/instance_state.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <optional>
#include <random>
#include <sstream>
#include <utility>
#include <vector>

namespace laburnumreach::sidecar
{

using namespace std::chrono_literals;

namespace
{

constexpr core::duration step = 100ms;
constexpr core::duration heartbeat_interval = 1500ms;
constexpr core::duration longest_delay = 4s; ///< Of a heartbeat or of an answer to a health check.

/// An instance, its daemon and what is on the way between them, in simulated time. Instances start, leave
/// with or without notice, crash and start again under a new or the same id; the daemon is killed and started
/// again.
class simulation
{
public:
    /// @param false_share share of the health checks that are answered falsely, either way
    explicit simulation(std::uint32_t seed, double false_share = 0) : random(seed), false_answers(false_share)
    {
        this->start_instance();
    }

    /// Advances the time by one step.
    /// @param with_trouble whether processes end
    void advance(bool with_trouble)
    {
        this->now += step;
        if (with_trouble)
        {
            this->make_trouble();
        }
        if (this->running && this->now >= this->next_heartbeat && !this->running->silent)
        {
            this->next_heartbeat = this->now + heartbeat_interval;
            this->send_heartbeat();
        }
        if (this->running && this->running->leaving && this->now >= this->running->end)
        {
            this->running.reset();
            this->next_start = this->now + this->pick(2000ms);
        }
        if (!this->running && this->now >= this->next_start)
        {
            this->start_instance();
        }
        this->deliver();
        this->check_health();
    }

    /// Returns whether the daemon gives work to an incarnation whose departure was acknowledged.
    bool gives_work_to_a_leaving_instance() const
    {
        return this->daemon.accepts_work() && this->running && this->running->acknowledged &&
               this->daemon.instance()->id == this->running->id;
    }

    bool running_instance_has_work() const
    {
        return this->running && this->daemon.accepts_work() &&
               this->daemon.instance()->id == this->running->id;
    }

    std::string state() const
    {
        std::ostringstream text;
        text << "at " << std::chrono::duration_cast<std::chrono::milliseconds>(this->now).count()
             << " ms: " << (this->running ? this->running->id : "none") << ", daemon knows "
             << (this->daemon.instance() ? this->daemon.instance()->id : "none")
             << (this->daemon.accepts_work() ? " working" : "");
        return text.str();
    }

private:
    struct incarnation
    {
        std::string id;
        std::uint64_t started_ms = 0;
        std::uint64_t sequence = 0;
        bool silent = false; ///< Sends no heartbeats any more.
        bool leaving = false;
        bool acknowledged = false; ///< A process of the daemon has acknowledged the departure.
        core::duration end{};
    };

    struct late_heartbeat
    {
        core::duration arrival;
        instance_heartbeat heartbeat;
    };

    struct health_answer
    {
        core::duration arrival;
        std::optional<std::string> id; ///< None unless healthy.
    };

    static core::time_point clock(core::duration time) { return core::time_point{1h} + time; }

    bool chance(double probability) { return std::bernoulli_distribution{probability}(this->random); }

    core::duration pick(core::duration most)
    {
        return std::chrono::milliseconds{std::uniform_int_distribution<int>{
            0, static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(most).count())}(
            this->random)};
    }

    void start_instance()
    {
        const bool same_id = this->chance(0.5);
        this->last_number += same_id && this->last_number > 0 ? 0 : 1;
        this->running =
            incarnation{.id = "i-" + std::to_string(this->last_number), .started_ms = this->unix_ms()};
        this->next_heartbeat = this->now;
    }

    void make_trouble()
    {
        if (this->chance(0.01))
        {
            // Whatever was on its way to the killed process is lost; late heartbeats are still in the
            // network.
            this->daemon = instance_state{
                {.address = "a", .history = instance_history::partial, .process_start = clock(this->now)}};
            this->answer.reset();
            this->check_allowed = true;
            for (const instance_departure& departure : this->memory.departures_of("d"))
            {
                this->daemon.recall(departure);
            }
        }
        if (!this->running)
        {
            return;
        }
        if (this->chance(0.005))
        {
            this->running.reset(); // A crash.
            this->next_start = this->now + this->pick(2000ms);
            return;
        }
        if (!this->running->leaving && this->chance(0.02))
        {
            this->leave();
        }
    }

    void leave()
    {
        this->running->leaving = true;
        this->running->end = this->now + 2s + this->pick(8000ms);
        if (this->chance(0.5))
        {
            this->running->silent = true;
            this->answer.reset(); // The daemon discards an answer from before a departure.
            this->daemon.deregister(this->running->id, clock(this->now), this->unix_ms());
        }
        else
        {
            this->answer.reset();
            this->daemon.apply(this->make_heartbeat());
        }
        this->running->acknowledged = true;
        const instance_departure departure{.instance_id = this->running->id,
                                           .last_start_ms =
                                               this->daemon.last_departed_start(this->running->id)};
        this->memory.record("d", std::span{&departure, 1}, {});
    }

    std::uint64_t unix_ms() const
    {
        const auto since_start = std::chrono::duration_cast<std::chrono::milliseconds>(this->now).count();
        return 1'000'000 + static_cast<std::uint64_t>(since_start);
    }

    instance_heartbeat make_heartbeat()
    {
        return {.id = this->running->id,
                .address = "a",
                .service = "s",
                .slots = 10,
                .draining = this->running->leaving && !this->running->silent,
                .sequence = ++this->running->sequence,
                .started_ms = this->running->started_ms,
                .received = clock(this->now)};
    }

    void send_heartbeat()
    {
        const bool late = this->chance(0.3);
        this->on_the_way.push_back({.arrival = this->now + (late ? this->pick(longest_delay) : 0ms),
                                    .heartbeat = this->make_heartbeat()});
    }

    void deliver()
    {
        std::vector<late_heartbeat> remaining;
        for (late_heartbeat& entry : this->on_the_way)
        {
            if (entry.arrival > this->now)
            {
                remaining.push_back(entry);
                continue;
            }
            if (entry.heartbeat.draining)
            {
                this->answer.reset();
            }
            entry.heartbeat.received = clock(this->now);
            this->daemon.apply(entry.heartbeat);
            this->check_allowed = true;
        }
        this->on_the_way = std::move(remaining);
        if (this->answer && this->now >= this->answer->arrival)
        {
            if (this->answer->id)
            {
                // Some instances do not tell their load.
                const std::uint32_t slots = this->chance(0.5) ? 10 : 0;
                this->daemon.confirm(
                    {.id = *this->answer->id, .address = "a", .service = "s", .slots = slots});
            }
            this->answer.reset();
        }
    }

    /// Sends a health check, as the daemon does, once for each news.
    void check_health()
    {
        if (!this->daemon.needs_check() || this->answer || !std::exchange(this->check_allowed, false))
        {
            return;
        }
        const bool is_false = this->chance(this->false_answers);
        const bool healthy = this->running && this->running->leaving == is_false && !this->chance(0.2);
        this->answer = health_answer{.arrival = this->now + this->pick(300ms),
                                     .id = healthy ? std::optional{this->running->id} : std::nullopt};
    }

    std::mt19937 random;
    core::duration now{};
    instance_state daemon{"a"};
    std::optional<incarnation> running;
    int last_number = 0;
    core::duration next_heartbeat{};
    core::duration next_start{};
    std::vector<late_heartbeat> on_the_way;
    std::optional<health_answer> answer;
    bool check_allowed = true;
    double false_answers;    ///< Share of the health checks that are answered falsely, either way.
    departure_memory memory; ///< Of another daemon, for the next process of the daemon "d".
};

} // namespace

/// Plays random orders of restarts, departures and late heartbeats, and checks that an acknowledged departure
/// binds every later process of the daemon, and that the running instance gets work again.
class instance_state_model_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(instance_state_model_test);
    CPPUNIT_TEST(acknowledged_departures_bind_later_processes);
    CPPUNIT_TEST(acknowledged_departures_bind_although_health_answers_are_false);
    CPPUNIT_TEST(running_instance_gets_work_after_the_trouble);
    CPPUNIT_TEST_SUITE_END();

public:
    void acknowledged_departures_bind_later_processes() { check_departures(0); }

    void acknowledged_departures_bind_although_health_answers_are_false()
    {
        check_departures(0.3);
        check_departures(1);
    }

    void running_instance_gets_work_after_the_trouble()
    {
        for (std::uint32_t seed = 1; seed <= seeds; ++seed)
        {
            simulation played{seed};
            for (int count = 0; count < steps; ++count)
            {
                played.advance(true);
            }
            // The last instance leaves, the next one starts, and the slowest proof takes its time.
            const core::duration settle_time =
                10s + 2s + instance_state::max_heartbeat_delay + longest_delay + 2 * heartbeat_interval;
            for (core::duration time{}; time < settle_time; time += step)
            {
                played.advance(false);
            }
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ' ' + played.state(),
                                   played.running_instance_has_work());
        }
    }

private:
    static void check_departures(double false_answers)
    {
        for (std::uint32_t seed = 1; seed <= seeds; ++seed)
        {
            simulation played{seed, false_answers};
            for (int count = 0; count < steps; ++count)
            {
                played.advance(true);
                CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ' ' + played.state(),
                                       !played.gives_work_to_a_leaving_instance());
            }
        }
    }

    static constexpr std::uint32_t seeds = 300;
    static constexpr int steps = 1200; ///< Two minutes.
};
CPPUNIT_TEST_SUITE_REGISTRATION(instance_state_model_test);

} // namespace laburnumreach::sidecar
