#include "laburnumreach/sidecar/customer_admission.hpp"

#include "laburnumreach/core/random_source.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <memory>

namespace laburnumreach::sidecar
{

using namespace std::chrono_literals;

namespace
{

constexpr core::time_point start{1h};
constexpr core::duration step = 10ms;
constexpr double rate = 50;
constexpr double burst = 50;
/// Burst of three seconds, of which pools hold much.
constexpr double large_burst = 150;

/// Daemons that share one customer's limit. A message takes one step. Each daemon reports every half second,
/// at staggered times, and requests arrive at random.
class admission_fleet
{
public:
    explicit admission_fleet(std::size_t count, double customer_burst = burst)
    {
        const std::vector<customer> customers{
            {.name = "c", .rate_per_second = rate, .burst = customer_burst}};
        for (std::size_t index = 0; index < count; ++index)
        {
            const std::string name = std::to_string(index);
            this->names.push_back(name);
            this->nodes.push_back(std::make_unique<customer_admission>(
                name, customer_limiter_options{.full_at_start = true},
                [this, index](const std::string& pool_daemon, const token_request_message& request) {
                    this->requests.push_back(
                        {.from = index, .to = std::stoul(pool_daemon), .message = request});
                }));
            this->nodes.back()->set_daemon_count(count);
            this->nodes.back()->configure(customers, this->now);
        }
        this->connect(0, count);
    }

    /// Connects the daemons of a range to each other and disconnects them from all others.
    void connect(std::size_t first, std::size_t last)
    {
        for (std::size_t index = first; index < last; ++index)
        {
            std::vector<std::string> others;
            for (std::size_t other = first; other < last; ++other)
            {
                if (other != index)
                {
                    others.push_back(this->names[other]);
                }
            }
            this->nodes[index]->set_reachable_daemons(others);
        }
        this->partitions.emplace_back(first, last);
    }

    /// Cuts the first daemons off from the others.
    void connect_two_sides(std::size_t count)
    {
        this->connect(count, this->nodes.size());
        this->connect(0, count);
    }

    /// Simulates the fleet for a time.
    /// @param per_second requests per second, summed over the daemons
    /// @param daemons number of daemons at which requests arrive; zero for all
    /// @returns the fraction of the requests that was admitted
    double run(core::duration length, double per_second, std::size_t daemons = 0)
    {
        daemons = daemons == 0 ? this->nodes.size() : daemons;
        int sent = 0;
        const int before = this->admitted;
        const double probability =
            per_second * std::chrono::duration<double>(step).count() / static_cast<double>(daemons);
        for (core::duration passed{}; passed < length; passed += step, this->now += step, ++this->step_count)
        {
            this->deliver();
            for (std::size_t index = 0; index < this->nodes.size(); ++index)
            {
                this->nodes[index]->tick(this->now);
                if (index < daemons && this->random.chance(probability))
                {
                    ++sent;
                    this->nodes[index]->admit("c", 1.0, this->now,
                                              [this](bool allowed) { this->admitted += allowed ? 1 : 0; });
                }
                if ((this->step_count + index) % 50 == 0)
                {
                    this->report(index);
                }
            }
            this->admitted_after_step.push_back(this->admitted);
        }
        return static_cast<double>(this->admitted - before) / sent;
    }

    /// Returns the maximum number of requests admitted within a window of 5 s.
    int max_admitted_in_window() const
    {
        constexpr std::size_t window = 5s / step;
        int max_admitted = 0;
        for (std::size_t end = 0; end < this->admitted_after_step.size(); ++end)
        {
            max_admitted =
                std::max(max_admitted, this->admitted_after_step[end] -
                                           (end < window ? 0 : this->admitted_after_step[end - window]));
        }
        return max_admitted;
    }

    int messages = 0;

private:
    struct sent_request
    {
        std::size_t from = 0;
        std::size_t to = 0;
        token_request_message message;
    };

    bool can_reach(std::size_t from, std::size_t to) const
    {
        const auto [first, last] = this->partitions.back();
        return (from >= first && from < last) == (to >= first && to < last);
    }

    void deliver()
    {
        const auto arrived = std::exchange(this->requests, {});
        for (const sent_request& request : arrived)
        {
            ++this->messages;
            if (this->can_reach(request.from, request.to))
            {
                this->nodes[request.from]->on_token_grant(
                    this->nodes[request.to]->on_token_request(request.message));
            }
        }
    }

    void report(std::size_t from)
    {
        for (std::size_t to = 0; to < this->nodes.size(); ++to)
        {
            if (to != from && this->can_reach(from, to))
            {
                this->nodes[to]->record_demand(this->names[from], this->nodes[from]->demand(), this->now);
                this->nodes[to]->deposit(this->nodes[from]->take_surplus(this->names[to], this->now));
            }
        }
    }

    std::vector<std::string> names;
    std::vector<std::unique_ptr<customer_admission>> nodes;
    std::vector<std::pair<std::size_t, std::size_t>> partitions;
    std::deque<sent_request> requests;
    std::vector<int> admitted_after_step;
    core::random_source random{11};
    core::time_point now = start;
    std::size_t step_count = 0;
    int admitted = 0;
};

/// Requests that the operators tolerate in 5 s: a tenth above the limit, plus 20.
constexpr int max_allowed = static_cast<int>((5 * rate + burst) * 1.1) + 20;

} // namespace

/// Guards against a customer getting less or more than its limit when its requests are spread over many
/// daemons, each of which sees only a few.
class customer_admission_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(customer_admission_test);
    CPPUNIT_TEST(demand_within_the_limit_is_served_on_many_daemons);
    CPPUNIT_TEST(demand_within_the_limit_is_served_where_it_arrives);
    CPPUNIT_TEST(demand_far_over_the_limit_gets_the_limit);
    CPPUNIT_TEST(partitions_together_stay_within_the_limit);
    CPPUNIT_TEST(repeated_partitions_stay_within_the_limit);
    CPPUNIT_TEST(demand_within_the_limit_is_served_during_a_partition);
    CPPUNIT_TEST(unresponsive_pool_daemon_refuses_within_the_timeout);
    CPPUNIT_TEST(refusal_is_forgotten_with_its_customer);
    CPPUNIT_TEST_SUITE_END();

public:
    /// With 60 daemons, a sixth of the requests within the limits was rejected, since the share of one daemon
    /// had no token for the second of two simultaneous requests.
    void demand_within_the_limit_is_served_on_many_daemons()
    {
        admission_fleet fleet{60};
        fleet.run(3s, 0.8 * rate);
        const double admitted_share = fleet.run(20s, 0.8 * rate);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(admitted_share), admitted_share > 0.98);
    }

    void demand_within_the_limit_is_served_where_it_arrives()
    {
        admission_fleet fleet{15};
        fleet.run(3s, 0.9 * rate);
        const double admitted_share = fleet.run(20s, 0.9 * rate, 2);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(admitted_share), admitted_share > 0.98);
    }

    void demand_far_over_the_limit_gets_the_limit()
    {
        admission_fleet fleet{60};
        fleet.run(6s, 0.5 * rate);
        fleet.messages = 0;
        const double admitted_share = fleet.run(10s, 10 * rate);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(admitted_share), admitted_share > 0.095);
        const int max_admitted = fleet.max_admitted_in_window();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(max_admitted), max_admitted <= max_allowed);
        // Fewer messages than requests, since refusals are cached.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.messages), fleet.messages < 5000);
    }

    void partitions_together_stay_within_the_limit()
    {
        admission_fleet fleet{12};
        fleet.run(6s, rate);
        fleet.connect(8, 12);
        fleet.run(10s, 5 * rate);
        const int max_admitted = fleet.max_admitted_in_window();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(max_admitted), max_admitted <= max_allowed);
    }

    /// Each side of a partition filled a pool up to the whole burst, and the former pool kept its tokens, so
    /// that a customer got its burst twice when it became busy.
    void repeated_partitions_stay_within_the_limit()
    {
        admission_fleet fleet{3, large_burst};
        fleet.run(8s, 0.1 * rate);
        for (std::size_t cut_off = 1; cut_off <= 2; ++cut_off)
        {
            fleet.connect_two_sides(cut_off);
            fleet.run(7s, 0.1 * rate);
            fleet.run(6s, 8 * rate);
            fleet.connect(0, 3);
            fleet.run(10s, 0.1 * rate);
        }
        const int max_admitted = fleet.max_admitted_in_window();
        constexpr int allowed = static_cast<int>((5 * rate + large_burst) * 1.1) + 20;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(max_admitted), max_admitted <= allowed);
    }

    void demand_within_the_limit_is_served_during_a_partition()
    {
        admission_fleet fleet{3, large_burst};
        fleet.run(8s, 0.8 * rate);
        fleet.connect_two_sides(1);
        const double admitted_share = fleet.run(10s, 0.8 * rate);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(admitted_share), admitted_share > 0.98);
    }

    void unresponsive_pool_daemon_refuses_within_the_timeout()
    {
        int sent = 0;
        int refused = 0;
        customer_admission admission{"a", customer_limiter_options{},
                                     [&sent](const std::string&, const token_request_message&) { ++sent; }};
        const std::vector<customer> customers{{.name = "c", .rate_per_second = 1, .burst = 1},
                                              {.name = "f", .rate_per_second = 1, .burst = 1},
                                              {.name = "g", .rate_per_second = 1, .burst = 1},
                                              {.name = "d", .rate_per_second = 1, .burst = 1},
                                              {.name = "e", .rate_per_second = 1, .burst = 1}};
        admission.configure(customers, start);
        admission.set_reachable_daemons({"b", "f", "g"});
        for (const customer& entry : customers)
        {
            admission.admit(entry.name, 1.0, start, [&refused](bool allowed) { refused += allowed ? 0 : 1; });
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(refused), sent > 0);
        admission.tick(start + customer_admission::token_request_timeout + 1ms);
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(customers.size()), refused);
    }

    void refusal_is_forgotten_with_its_customer()
    {
        std::vector<token_request_message> sent;
        // Of two daemons, the other one is the pool daemon of some of the customers.
        customer_admission admission{"a", customer_limiter_options{},
                                     [&sent](const std::string&, const token_request_message& request)
                                     { sent.push_back(request); }};
        std::vector<customer> customers;
        for (char name = 'a'; name <= 'z'; ++name)
        {
            customers.push_back({.name = std::string(1, name), .rate_per_second = 1, .burst = 1});
        }
        admission.set_reachable_daemons({"b"});
        for (int round = 0; round < 2; ++round)
        {
            sent.clear();
            admission.configure(customers, start);
            for (const customer& entry : customers)
            {
                admission.admit(entry.name, 1.0, start, [](bool) {});
            }
            CPPUNIT_ASSERT_MESSAGE("round " + std::to_string(round), !sent.empty());
            for (const token_request_message& request : sent)
            {
                admission.on_token_grant({.id = request.id, .granted = false});
            }
            admission.configure({}, start);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(customer_admission_test);

} // namespace laburnumreach::sidecar
