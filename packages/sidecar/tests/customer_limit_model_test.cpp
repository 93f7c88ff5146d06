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
constexpr core::duration step = 50ms;
constexpr core::duration probe_interval = 500ms;

/// A fleet in virtual time. Links are cut and healed, daemons are restarted and suspended, messages are
/// delayed and lost, and each daemon notices a cut at a time of its own. All that is random follows from the
/// seed.
class random_fleet
{
public:
    explicit random_fleet(std::uint64_t seed) : random(seed), count(3 + this->random.below(4))
    {
        this->rate = 20.0 * static_cast<double>(1 + this->random.below(10));
        this->burst = this->rate * (0.2 + 3.0 * this->random.uniform());
        this->burst = std::max(this->burst, 2.0 * static_cast<double>(this->count));
        this->is_cut.assign(this->count, std::vector<bool>(this->count, false));
        this->believed.assign(this->count, std::vector<bool>(this->count, true));
        this->noticed_at.assign(this->count, std::vector<core::time_point>(this->count, start));
        this->probes.assign(this->count, std::vector<probe>(this->count));
        this->nodes.resize(this->count);
        for (std::size_t index = 0; index < this->count; ++index)
        {
            this->start_node(index, true);
            this->load.push_back(this->random.uniform());
        }
    }

    /// @returns how many requests more than the limit ran in the worst window of any length; zero or less if
    ///          the limit held
    double run(core::duration length)
    {
        for (const core::time_point end = start + length; this->now < end; this->now += step)
        {
            this->change_conditions();
            for (std::size_t index = 0; index < this->count; ++index)
            {
                if (this->now < this->nodes[index].suspended_until)
                {
                    continue;
                }
                this->handle_messages(index);
                this->notice_cuts(index);
                this->nodes[index].admission->tick(this->now);
                this->send_probes(index);
                this->send_requests(index);
            }
            this->level = std::max(0.0, this->level - this->rate * core::to_seconds(step));
        }
        return this->worst_level - this->burst - this->rate * core::to_seconds(step);
    }

private:
    struct node
    {
        std::unique_ptr<customer_admission> admission;
        std::uint64_t started_ms = 0;
        core::time_point suspended_until{};
    };

    /// State of the probes from one daemon to another.
    struct probe
    {
        core::time_point sent{};
        bool outstanding = false;
        std::uint64_t connection = 0; ///< Messages of an earlier connection are not read.
    };

    enum class message_kind : std::uint8_t
    {
        probe,
        probe_reply,
        token_request,
        token_grant,
    };

    struct message
    {
        message_kind kind{};
        std::size_t from = 0;
        std::size_t to = 0;
        std::uint64_t connection = 0;
        std::uint64_t started_ms = 0; ///< Of the process that a reply is for.
        core::time_point sent{};
        core::time_point arrives{};
        std::vector<token_deposit> deposits;
        std::vector<std::string> closed_accounts;
        token_request_message request;
        token_grant_message grant;
    };

    static std::string name_of(std::size_t index) { return std::string(1, static_cast<char>('a' + index)); }

    void start_node(std::size_t index, bool is_first)
    {
        node& started = this->nodes[index];
        started.started_ms = ++this->incarnations;
        started.admission = std::make_unique<customer_admission>(
            name_of(index), customer_limiter_options{.full_at_start = is_first, .headroom = 1.0},
            [this, index](const std::string& pool_daemon, const token_request_message& request)
            {
                this->post({.kind = message_kind::token_request,
                            .from = index,
                            .to = static_cast<std::size_t>(pool_daemon.front() - 'a'),
                            .request = request});
            });
        started.admission->set_daemon_count(this->count);
        const std::vector<customer> customers{
            {.name = "c", .rate_per_second = this->rate, .burst = this->burst}};
        started.admission->configure(customers, this->now);
        this->update_reachable(index);
        for (std::size_t other = 0; other < this->count; ++other)
        {
            this->reconnect(index, other);
            this->reconnect(other, index);
        }
    }

    void reconnect(std::size_t from, std::size_t to)
    {
        this->probes[from][to] = {.connection = this->probes[from][to].connection + 1};
    }

    void update_reachable(std::size_t index)
    {
        std::vector<std::string> reachable;
        for (std::size_t other = 0; other < this->count; ++other)
        {
            if (other != index && this->believed[index][other])
            {
                reachable.push_back(name_of(other));
            }
        }
        this->nodes[index].admission->set_reachable_daemons(std::move(reachable));
    }

    void change_conditions()
    {
        constexpr double changes_per_step = 0.03;
        if (this->random.chance(changes_per_step))
        {
            this->change_links();
        }
        const std::size_t index = this->random.below(this->count);
        if (this->random.chance(changes_per_step / 3))
        {
            this->start_node(index, false);
        }
        else if (this->random.chance(changes_per_step / 3))
        {
            this->nodes[index].suspended_until =
                this->now + std::chrono::milliseconds{this->random.below(6000)};
        }
        if (this->random.chance(changes_per_step))
        {
            constexpr double hot = 4.0; // Times the limit, at one daemon.
            this->load[index] = this->random.chance(0.4) ? hot * this->random.uniform() : 0.0;
        }
    }

    /// Heals all links, cuts a random set of daemons off from the others, or cuts one link.
    void change_links()
    {
        const std::uint64_t kind = this->random.below(3);
        const std::uint64_t side = this->random.below(std::uint64_t{1} << this->count);
        const std::size_t one = this->random.below(this->count);
        const std::size_t other = this->random.below(this->count);
        for (std::size_t from = 0; from < this->count; ++from)
        {
            for (std::size_t to = 0; to < this->count; ++to)
            {
                const bool crosses = ((side >> from) & 1U) != ((side >> to) & 1U);
                const bool is_link = (from == one && to == other) || (from == other && to == one);
                const bool cut = from != to && ((kind == 1 && crosses) || (kind == 2 && is_link));
                if (cut != this->is_cut[from][to])
                {
                    this->is_cut[from][to] = cut;
                    this->noticed_at[from][to] =
                        this->now + std::chrono::milliseconds{50 + this->random.below(1500)};
                }
            }
        }
    }

    void notice_cuts(std::size_t index)
    {
        bool changed = false;
        for (std::size_t other = 0; other < this->count; ++other)
        {
            const bool reachable = !this->is_cut[index][other];
            if (this->believed[index][other] != reachable && this->now >= this->noticed_at[index][other])
            {
                this->believed[index][other] = reachable;
                this->reconnect(index, other);
                changed = true;
            }
        }
        if (changed)
        {
            this->update_reachable(index);
        }
    }

    void post(message sent)
    {
        constexpr double loss = 0.01;
        constexpr double long_delay = 0.05;
        sent.connection = this->connection_of(sent);
        sent.sent = this->now;
        sent.arrives = this->now + (this->random.chance(long_delay)
                                        ? core::duration{std::chrono::milliseconds{this->random.below(1150)}}
                                        : step);
        if (!this->random.chance(loss))
        {
            this->messages.push_back(std::move(sent));
        }
    }

    /// Replies travel on the connection of the daemon that they are for.
    std::uint64_t connection_of(const message& sent) const
    {
        const bool is_reply =
            sent.kind == message_kind::probe_reply || sent.kind == message_kind::token_grant;
        return is_reply ? this->probes[sent.to][sent.from].connection
                        : this->probes[sent.from][sent.to].connection;
    }

    /// Handles the messages that have arrived. While the link is cut they are held, and those held for longer
    /// than the limit are not read.
    void handle_messages(std::size_t index)
    {
        std::deque<message> kept;
        for (message& received : std::exchange(this->messages, {}))
        {
            if (received.to != index || received.arrives > this->now ||
                this->is_cut[received.from][received.to])
            {
                kept.push_back(std::move(received));
            }
            else if (received.connection == this->connection_of(received) &&
                     this->now - received.sent <= max_message_age)
            {
                this->received_now.push_back(std::move(received));
            }
        }
        this->messages = std::move(kept);
        for (message& received : std::exchange(this->received_now, {}))
        {
            this->handle(received);
        }
    }

    void handle(message& received)
    {
        customer_admission& receiver = *this->nodes[received.to].admission;
        switch (received.kind)
        {
        case message_kind::probe:
            this->post({.kind = message_kind::probe_reply,
                        .from = received.to,
                        .to = received.from,
                        .closed_accounts = receiver.on_deposits(name_of(received.from), received.started_ms,
                                                                received.deposits, this->now)});
            break;
        case message_kind::probe_reply:
            this->probes[received.to][received.from].outstanding = false;
            receiver.on_closed_accounts(name_of(received.from), received.closed_accounts, this->now);
            break;
        case message_kind::token_request:
            this->post({.kind = message_kind::token_grant,
                        .from = received.to,
                        .to = received.from,
                        .grant = receiver.on_token_request(received.request, this->now)});
            break;
        case message_kind::token_grant:
            receiver.on_token_grant(received.grant);
            break;
        }
    }

    void send_probes(std::size_t from)
    {
        for (std::size_t to = 0; to < this->count; ++to)
        {
            probe& last = this->probes[from][to];
            if (to == from || !this->believed[from][to])
            {
                continue;
            }
            if (last.outstanding && this->now - last.sent > 700ms)
            {
                this->reconnect(from, to);
            }
            if (!last.outstanding && this->now - last.sent >= probe_interval)
            {
                last.sent = this->now;
                last.outstanding = true;
                this->post({.kind = message_kind::probe,
                            .from = from,
                            .to = to,
                            .started_ms = this->nodes[from].started_ms,
                            .deposits = this->nodes[from].admission->take_deposits(name_of(to), this->now)});
            }
        }
    }

    void send_requests(std::size_t index)
    {
        this->due += this->load[index] * this->rate * core::to_seconds(step);
        for (; this->due >= 1; this->due -= 1)
        {
            this->nodes[index].admission->admit("c", 1.0, this->now,
                                                [this](bool admitted)
                                                {
                                                    this->level += admitted ? 1 : 0;
                                                    this->worst_level =
                                                        std::max(this->worst_level, this->level);
                                                });
        }
    }

    core::random_source random;
    std::size_t count;
    double rate = 0;
    double burst = 0;
    core::time_point now = start;
    std::vector<node> nodes;
    std::vector<std::vector<bool>> is_cut;
    std::vector<std::vector<bool>> believed; ///< Whether a daemon takes another one for reachable.
    std::vector<std::vector<core::time_point>> noticed_at;
    std::vector<std::vector<probe>> probes;
    std::vector<double> load; ///< Requests at each daemon, as a multiple of the limit.
    std::deque<message> messages;
    std::vector<message> received_now;
    std::uint64_t incarnations = 0;
    double due = 0;
    double level = 0; ///< Of a token bucket that is empty when the burst has been used.
    double worst_level = 0;
};

} // namespace

/// Guards against a customer's burst that several daemons hand out at once. A network partition let each side
/// fill a pool of its own, and a pool kept its tokens when another daemon took its place.
class customer_limit_model_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(customer_limit_model_test);
    CPPUNIT_TEST(limit_holds_in_any_partition_and_after_any_restart);
    CPPUNIT_TEST_SUITE_END();

public:
    /// In every window, at most the rate times its length and one burst.
    void limit_holds_in_any_partition_and_after_any_restart()
    {
        constexpr std::uint64_t schedules = 1'000;
        for (std::uint64_t seed = 1; seed <= schedules; ++seed)
        {
            const double excess = random_fleet{seed}.run(15s);
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": " + std::to_string(excess) +
                                       " requests above the limit",
                                   excess <= 0);
        }
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(customer_limit_model_test);

} // namespace laburnumreach::sidecar
