#include "laburnumreach/sidecar/store_watcher.hpp"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <thread>

namespace laburnumreach::sidecar
{

using namespace std::chrono_literals;

namespace
{

/// A store that answers as the test says and notes what it was asked.
class fake_store
{
public:
    core::result<bool> announce(const member_record&)
    {
        ++this->announced;
        return true;
    }

    core::result<bool> publish_ratios(const std::string&, std::span<const call_ratio> ratios)
    {
        this->published.emplace_back(ratios.begin(), ratios.end());
        return true;
    }

    core::result<member_listing> list_members(bool may_be_old)
    {
        this->lists.push_back(may_be_old);
        return member_listing{.members = {}, .ratios = {{"parent", "child", 2.0}}};
    }

    core::result<stored_config> read_config()
    {
        if (this->away)
        {
            return core::make_error(core::error_code::unavailable, "away");
        }
        return stored_config{.version = 3, .document = "three", .revision = 10};
    }

    core::result<std::optional<stored_config>> await_config(std::uint64_t revision,
                                                            std::chrono::milliseconds wait)
    {
        this->awaited = revision;
        this->waited = wait;
        if (this->blocks)
        {
            std::unique_lock lock{this->mutex};
            this->waiting = true;
            this->wake.notify_all();
            this->wake.wait_for(lock, wait, [this] { return this->interruptions > 1; });
        }
        if (this->history_gone)
        {
            return core::make_error(core::error_code::unavailable, "history is gone");
        }
        return std::exchange(this->change, std::nullopt);
    }

    /// The first interruption comes before the call has begun, and is without effect.
    void interrupt()
    {
        const std::lock_guard lock{this->mutex};
        ++this->interruptions;
        this->wake.notify_all();
    }

    void wait_until_blocked()
    {
        std::unique_lock lock{this->mutex};
        this->wake.wait(lock, [this] { return this->waiting; });
    }

    bool away = false;
    bool blocks = false; ///< Whether a wait lasts until it is interrupted.
    std::mutex mutex;
    std::condition_variable wake;
    bool waiting = false;
    int interruptions = 0;
    bool history_gone = false;
    std::optional<stored_config> change;
    int announced = 0;
    std::vector<bool> lists;
    std::vector<std::vector<call_ratio>> published;
    std::uint64_t awaited = 0;
    std::chrono::milliseconds waited{};
};

} // namespace

/// Guards against a store that is pressed while it is down, and against changes that are missed.
class store_watcher_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_watcher_test);
    CPPUNIT_TEST(reads_announces_lists_and_then_waits);
    CPPUNIT_TEST(pauses_grow_while_the_store_is_away);
    CPPUNIT_TEST(few_daemons_ask_often);
    CPPUNIT_TEST(lost_history_is_read_again);
    CPPUNIT_TEST(change_of_the_revision_alone_is_no_configuration);
    CPPUNIT_TEST(stop_ends_a_call_that_missed_the_interruption);
    CPPUNIT_TEST(daemon_without_a_duty_calls_only_at_its_start);
    CPPUNIT_TEST(state_of_the_store_is_told_when_it_changes);
    CPPUNIT_TEST(call_ratios_survive_the_loss_of_all_daemons);
    CPPUNIT_TEST_SUITE_END();

public:
    void reads_announces_lists_and_then_waits()
    {
        this->start();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->configs.size());
        CPPUNIT_ASSERT_EQUAL(1, this->store.announced);
        // The first list must show all members; later ones only repair.
        CPPUNIT_ASSERT(this->store.lists == std::vector<bool>{false});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, this->store.awaited);
    }

    /// An outage of 13 s cost each daemon 50 calls, which are paid for also when they are refused.
    void pauses_grow_while_the_store_is_away()
    {
        this->store.away = true;
        std::chrono::milliseconds passed{};
        int calls = 0;
        this->follower.set_role(store_watch_role::standby);
        for (; passed < 13s; ++calls)
        {
            CPPUNIT_ASSERT(!this->follower.step());
            passed += this->follower.retry_delay();
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(calls), calls <= 7);
        this->store.away = false;
        CPPUNIT_ASSERT(this->follower.step());
        CPPUNIT_ASSERT(this->follower.retry_delay() == 250ms);
    }

    void few_daemons_ask_often()
    {
        this->start();
        CPPUNIT_ASSERT(this->store.waited <= 2s);
        this->follower.set_role(store_watch_role::standby);
        this->follower.step();
        CPPUNIT_ASSERT(this->store.waited >= 10s);
        this->follower.set_role(store_watch_role::primary);
        this->store.away = true;
        this->store.history_gone = true;
        for (int failure = 0; failure < 10; ++failure)
        {
            this->follower.step();
        }
        CPPUNIT_ASSERT(this->follower.retry_delay() <= 1s);
    }

    void lost_history_is_read_again()
    {
        this->start();
        this->store.history_gone = true;
        CPPUNIT_ASSERT(!this->follower.step());
        this->store.history_gone = false;
        CPPUNIT_ASSERT(this->follower.step());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->configs.size());
    }

    void change_of_the_revision_alone_is_no_configuration()
    {
        this->start();
        this->store.change = stored_config{.revision = 12};
        this->follower.step();
        this->follower.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->configs.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, this->store.awaited);
    }

    /// A process that waits for the store after its stop signal is killed at the end of the grace time.
    void stop_ends_a_call_that_missed_the_interruption()
    {
        this->store.blocks = true;
        this->follower.set_role(store_watch_role::standby);
        std::thread control{[this] { this->follower.run(); }};
        this->store.wait_until_blocked();
        const auto asked = std::chrono::steady_clock::now();
        this->follower.stop();
        control.join();
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - asked < 1s);
    }

    /// On 90 daemons that all waited for changes a day took 6,400 calls, each of which is paid for.
    void daemon_without_a_duty_calls_only_at_its_start()
    {
        std::thread control{[this] { this->follower.run(); }};
        while (!this->listed)
        {
            std::this_thread::sleep_for(1ms);
        }
        std::this_thread::sleep_for(50ms);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, this->store.awaited);
        // One that takes over from a daemon without a store begins to wait.
        this->store.blocks = true;
        this->follower.set_role(store_watch_role::primary);
        this->store.wait_until_blocked();
        this->follower.stop();
        control.join();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, this->store.awaited);
    }

    void state_of_the_store_is_told_when_it_changes()
    {
        this->start();
        CPPUNIT_ASSERT(this->states == std::vector<bool>{true});
        this->store.history_gone = true;
        this->follower.step();
        this->store.away = true;
        this->follower.step();
        CPPUNIT_ASSERT(this->states == (std::vector<bool>{true, false}));
        this->store.away = false;
        this->follower.step();
        CPPUNIT_ASSERT(this->states == (std::vector<bool>{true, false, true}));
    }

    /// After all daemons lost power, requests were admitted for two seconds as if they made no calls.
    void call_ratios_survive_the_loss_of_all_daemons()
    {
        this->follower.set_ratios(std::vector<call_ratio>{{"parent", "child", 3.0}});
        this->start();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->ratios.size());
        CPPUNIT_ASSERT_EQUAL(2.0, this->ratios.front().calls_per_run);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->store.published.size());
        CPPUNIT_ASSERT_EQUAL(3.0, this->store.published.front().front().calls_per_run);
        // What has not moved is not written again, nor is anything by a daemon that does not lead.
        this->follower.step();
        this->follower.set_role(store_watch_role::standby);
        this->follower.set_ratios(std::vector<call_ratio>{{"parent", "child", 30.0}});
        this->follower.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->store.published.size());
    }

private:
    /// Brings the follower to its first wait.
    void start()
    {
        this->follower.set_role(store_watch_role::primary);
        for (int step = 0; step < 4; ++step)
        {
            CPPUNIT_ASSERT(this->follower.step());
        }
    }

    fake_store store;
    event_log events{"d"};
    std::vector<stored_config> configs;
    std::vector<bool> states;
    std::vector<call_ratio> ratios;
    std::atomic<bool> listed{false};
    store_watcher<fake_store> follower{
        store,
        {.daemon_id = "d"},
        {.config = [this](stored_config found) { this->configs.push_back(std::move(found)); },
         .members = [this](const std::vector<member_record>&) { this->listed = true; },
         .ratios = [this](std::vector<call_ratio> found) { this->ratios = std::move(found); },
         .store_works = [this](bool works) { this->states.push_back(works); }},
        events};
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_watcher_test);

} // namespace laburnumreach::sidecar
