#include "laburnumreach/sidecar/store_watcher.hpp"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <thread>

namespace laburnumreach::sidecar
{

using namespace std::chrono_literals;

namespace
{

/// A store with configurable answers that records the calls.
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

    core::result<bool> write_departures(const std::string&, std::span<const instance_departure> departures)
    {
        this->written_departures.assign(departures.begin(), departures.end());
        return true;
    }

    core::result<std::vector<instance_departure>> read_departures(const std::string&)
    {
        if (this->departures_are_malformed)
        {
            return core::make_error(core::error_code::io, "malformed");
        }
        return std::vector<instance_departure>{{.instance_id = "i-1", .last_start_ms = 7}};
    }

    core::result<member_listing> list_members(bool allow_stale)
    {
        if (this->fail_lists)
        {
            return core::make_error(core::error_code::unavailable, "unavailable");
        }
        this->stale_listings_allowed.push_back(allow_stale);
        return member_listing{.members = {}, .ratios = {{"parent", "child", 2.0}}};
    }

    core::result<stored_config> read_config()
    {
        if (this->fail_reads)
        {
            return core::make_error(core::error_code::unavailable, "unavailable");
        }
        return stored_config{.version = 3, .document = "three", .revision = 10};
    }

    core::result<std::optional<stored_config>> await_config(std::uint64_t revision,
                                                            std::chrono::milliseconds wait)
    {
        this->awaited_revision = revision;
        this->awaited_timeout = wait;
        if (this->block_in_await)
        {
            std::unique_lock lock{this->mutex};
            this->waiting = true;
            this->wake_condition.notify_all();
            this->wake_condition.wait_for(lock, wait, [this] { return this->interrupts > 1; });
        }
        if (this->history_lost)
        {
            return core::make_error(core::error_code::unavailable, "history lost");
        }
        return std::exchange(this->change, std::nullopt);
    }

    /// The first interrupt has no effect, as if it came before the start of the call.
    void interrupt()
    {
        const std::lock_guard lock{this->mutex};
        ++this->interrupts;
        this->wake_condition.notify_all();
    }

    void wait_until_blocked()
    {
        std::unique_lock lock{this->mutex};
        this->wake_condition.wait(lock, [this] { return this->waiting; });
    }

    bool fail_reads = false;
    bool fail_lists = false;
    bool block_in_await = false; ///< Whether await_config() blocks until it is interrupted.
    std::mutex mutex;
    std::condition_variable wake_condition;
    bool waiting = false;
    int interrupts = 0;
    bool history_lost = false;
    std::optional<stored_config> change;
    int announced = 0;
    std::vector<bool> stale_listings_allowed; ///< One entry for each listing.
    std::vector<std::vector<call_ratio>> published;
    std::vector<instance_departure> written_departures;
    bool departures_are_malformed = false;
    std::uint64_t awaited_revision = 0;
    std::chrono::milliseconds awaited_timeout{};
};

} // namespace

/// Guards against calling the store too often while it is down, and against missed changes.
class store_watcher_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_watcher_test);
    CPPUNIT_TEST(initializes_and_then_watches);
    CPPUNIT_TEST(retry_delay_grows_while_the_store_is_unavailable);
    CPPUNIT_TEST(only_primary_daemons_call_often);
    CPPUNIT_TEST(configuration_is_read_again_after_lost_history);
    CPPUNIT_TEST(new_revision_without_document_is_ignored);
    CPPUNIT_TEST(other_calls_that_fail_do_not_hold_up_the_configuration);
    CPPUNIT_TEST(daemon_that_takes_over_reads_before_it_watches);
    CPPUNIT_TEST(stop_ends_a_call_that_missed_the_first_interrupt);
    CPPUNIT_TEST(daemon_without_a_role_calls_only_during_initialization);
    CPPUNIT_TEST(availability_is_reported_on_change);
    CPPUNIT_TEST(calls_and_origins_are_reported);
    CPPUNIT_TEST(call_ratios_survive_a_restart_of_all_daemons);
    CPPUNIT_TEST(departures_of_an_earlier_process_are_read_before_the_record_is_written);
    CPPUNIT_TEST(malformed_departures_do_not_hold_up_other_calls);
    CPPUNIT_TEST(departures_are_written_without_a_role_and_once);
    CPPUNIT_TEST_SUITE_END();

public:
    void initializes_and_then_watches()
    {
        this->start();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->configs.size());
        CPPUNIT_ASSERT_EQUAL(1, this->store.announced);
        // The first listing must be current; later ones may be stale.
        CPPUNIT_ASSERT(this->store.stale_listings_allowed == std::vector<bool>{false});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, this->store.awaited_revision);
    }

    /// In an outage of 13 s, each daemon made 50 calls, which are charged even if they fail.
    void retry_delay_grows_while_the_store_is_unavailable()
    {
        this->store.fail_reads = true;
        std::chrono::milliseconds passed{};
        int calls = 0;
        this->watcher.set_role(store_watch_role::standby);
        for (; passed < 13s; ++calls)
        {
            CPPUNIT_ASSERT(!this->watcher.step());
            passed += this->watcher.retry_delay();
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(calls), calls <= 7);
        this->store.fail_reads = false;
        CPPUNIT_ASSERT(this->watcher.step());
        CPPUNIT_ASSERT(this->watcher.retry_delay() == 250ms);
    }

    void only_primary_daemons_call_often()
    {
        this->start();
        CPPUNIT_ASSERT(this->store.awaited_timeout <= 2s);
        this->watcher.set_role(store_watch_role::standby);
        this->watcher.step();
        CPPUNIT_ASSERT(this->store.awaited_timeout >= 10s);
        this->watcher.set_role(store_watch_role::primary);
        this->store.fail_reads = true;
        this->store.history_lost = true;
        for (int failure = 0; failure < 10; ++failure)
        {
            this->watcher.step();
        }
        CPPUNIT_ASSERT(this->watcher.retry_delay() <= 1s);
    }

    void configuration_is_read_again_after_lost_history()
    {
        this->start();
        this->store.history_lost = true;
        CPPUNIT_ASSERT(!this->watcher.step());
        this->store.history_lost = false;
        CPPUNIT_ASSERT(this->watcher.step());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->configs.size());
    }

    void new_revision_without_document_is_ignored()
    {
        this->start();
        this->store.change = stored_config{.revision = 12};
        this->watcher.step();
        this->watcher.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->configs.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, this->store.awaited_revision);
    }

    /// A daemon whose list of members was refused asked for it again and again, and for no change.
    void other_calls_that_fail_do_not_hold_up_the_configuration()
    {
        this->store.fail_lists = true;
        this->watcher.set_role(store_watch_role::primary);
        this->store.change = stored_config{.version = 4, .document = "four", .revision = 11};
        for (int step = 0; step < 4; ++step)
        {
            this->watcher.step();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->configs.size());
        // The wait for a change ends when the list is due again.
        CPPUNIT_ASSERT(this->store.awaited_timeout <= 1s);
        CPPUNIT_ASSERT(!this->watcher.initialized());
        this->store.fail_lists = false;
        std::this_thread::sleep_for(this->store.awaited_timeout);
        this->watcher.step();
        CPPUNIT_ASSERT(this->watcher.initialized());
    }

    /// A daemon that takes over used a connection that had been idle, and might have gone silent, for a watch
    /// of 15 s from a revision that might have been forgotten.
    void daemon_that_takes_over_reads_before_it_watches()
    {
        std::thread control{[this] { this->watcher.run(); }};
        while (!this->listed)
        {
            std::this_thread::sleep_for(1ms);
        }
        this->store.block_in_await = true;
        this->watcher.set_role(store_watch_role::standby);
        this->store.wait_until_blocked();
        this->watcher.stop();
        control.join();
        CPPUNIT_ASSERT_EQUAL(std::string{"read"}, this->calls.at(3).first);
        CPPUNIT_ASSERT_EQUAL(std::string{"watch"}, this->calls.at(4).first);
    }

    /// A process that still waits for the store after its stop signal is killed at the end of the grace
    /// period.
    void stop_ends_a_call_that_missed_the_first_interrupt()
    {
        this->store.block_in_await = true;
        this->watcher.set_role(store_watch_role::standby);
        std::thread control{[this] { this->watcher.run(); }};
        this->store.wait_until_blocked();
        const auto stop_begin = std::chrono::steady_clock::now();
        this->watcher.stop();
        control.join();
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - stop_begin < 1s);
    }

    /// When all of 90 daemons watched for changes, they made 6,400 store calls in a day, each of which is
    /// charged.
    void daemon_without_a_role_calls_only_during_initialization()
    {
        std::thread control{[this] { this->watcher.run(); }};
        while (!this->listed)
        {
            std::this_thread::sleep_for(1ms);
        }
        std::this_thread::sleep_for(50ms);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, this->store.awaited_revision);
        // A daemon that takes over from one without access to the store starts to watch.
        this->store.block_in_await = true;
        this->watcher.set_role(store_watch_role::primary);
        this->store.wait_until_blocked();
        this->watcher.stop();
        control.join();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, this->store.awaited_revision);
    }

    void availability_is_reported_on_change()
    {
        this->start();
        CPPUNIT_ASSERT(this->availability == std::vector<bool>{true});
        this->store.history_lost = true;
        this->watcher.step();
        this->store.fail_reads = true;
        this->watcher.step();
        CPPUNIT_ASSERT(this->availability == (std::vector<bool>{true, false}));
        this->store.fail_reads = false;
        this->watcher.step();
        CPPUNIT_ASSERT(this->availability == (std::vector<bool>{true, false, true}));
    }

    /// A late configuration could not be traced to the call that was open meanwhile.
    void calls_and_origins_are_reported()
    {
        this->start();
        this->store.change = stored_config{.version = 4, .document = "four", .revision = 11};
        this->watcher.step();
        this->store.history_lost = true;
        this->watcher.step();
        const std::vector<std::pair<std::string, bool>> expected{{"read", false},  {"announce", false},
                                                                 {"list", false},  {"watch", false},
                                                                 {"watch", false}, {"watch", true}};
        CPPUNIT_ASSERT(this->calls == expected);
        CPPUNIT_ASSERT(this->configs.at(0).origin.source == config_source::store_read);
        CPPUNIT_ASSERT(this->configs.at(1).origin.source == config_source::store_watch);
        CPPUNIT_ASSERT(this->configs.at(1).origin.max_age > 0s);
    }

    /// After all daemons lost power, requests were admitted for two seconds as if they made no nested calls.
    void call_ratios_survive_a_restart_of_all_daemons()
    {
        this->watcher.set_ratios(std::vector<call_ratio>{{"parent", "child", 3.0}});
        this->start();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->ratios.size());
        CPPUNIT_ASSERT_EQUAL(2.0, this->ratios.front().calls_per_run);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->store.published.size());
        CPPUNIT_ASSERT_EQUAL(3.0, this->store.published.front().front().calls_per_run);
        // Unchanged ratios are not written again, and daemons that are not primary write none.
        this->watcher.step();
        this->watcher.set_role(store_watch_role::standby);
        this->watcher.set_ratios(std::vector<call_ratio>{{"parent", "child", 30.0}});
        this->watcher.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->store.published.size());
    }

    /// A restarted daemon took a false health answer for an instance that does not leave.
    void departures_of_an_earlier_process_are_read_before_the_record_is_written()
    {
        std::vector<instance_departure> recalled;
        this->restarted(recalled).step();
        this->restarted_watcher->step();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, recalled.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"i-1"}, recalled.front().instance_id);
        CPPUNIT_ASSERT_EQUAL(0, this->store.announced);
    }

    void malformed_departures_do_not_hold_up_other_calls()
    {
        std::vector<instance_departure> recalled;
        this->store.departures_are_malformed = true;
        store_watcher<fake_store>& watching = this->restarted(recalled);
        for (int step = 0; step < 3; ++step)
        {
            CPPUNIT_ASSERT(watching.step());
        }
        CPPUNIT_ASSERT(recalled.empty());
        CPPUNIT_ASSERT_EQUAL(1, this->store.announced);
    }

    void departures_are_written_without_a_role_and_once()
    {
        std::thread control{[this] { this->watcher.run(); }};
        while (!this->listed)
        {
            std::this_thread::sleep_for(1ms);
        }
        const std::vector<instance_departure> departures{{.instance_id = "i-2", .last_start_ms = 9}};
        this->watcher.set_departures(departures, 1);
        while (this->written_revision == 0)
        {
            std::this_thread::sleep_for(1ms);
        }
        std::this_thread::sleep_for(50ms);
        this->watcher.stop();
        control.join();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, this->written_revision.load());
        CPPUNIT_ASSERT_EQUAL(std::string{"i-2"}, this->store.written_departures.at(0).instance_id);
        const std::vector<std::pair<std::string, bool>> expected{
            {"read", false}, {"announce", false}, {"list", false}, {"departures", false}};
        CPPUNIT_ASSERT(this->calls == expected);
    }

private:
    /// Makes the watcher of a process that follows another one.
    store_watcher<fake_store>& restarted(std::vector<instance_departure>& recalled)
    {
        store_watcher_callbacks reports;
        reports.config = [](const stored_config&) {};
        reports.members = [](const std::vector<member_record>&) {};
        reports.ratios = [](const std::vector<call_ratio>&) {};
        reports.store_works = [](bool) {};
        reports.recalled_departures = [&recalled](std::vector<instance_departure> found)
        { recalled = std::move(found); };
        return this->restarted_watcher.emplace(this->store, member_record{.daemon_id = "d"}, reports,
                                               this->events);
    }

    /// Runs the watcher up to its first watch call.
    void start()
    {
        this->watcher.set_role(store_watch_role::primary);
        for (int step = 0; step < 4; ++step)
        {
            CPPUNIT_ASSERT(this->watcher.step());
        }
    }

    fake_store store;
    event_log events{"d"};
    std::vector<stored_config> configs;
    std::vector<bool> availability;
    std::vector<std::pair<std::string, bool>> calls; ///< With whether they failed.
    std::vector<call_ratio> ratios;
    std::atomic<bool> listed{false};
    std::atomic<std::uint64_t> written_revision{0}; ///< Of the departures.
    std::optional<store_watcher<fake_store>> restarted_watcher;
    store_watcher<fake_store> watcher{
        store,
        {.daemon_id = "d"},
        {.config = [this](stored_config found) { this->configs.push_back(std::move(found)); },
         .members = [this](const std::vector<member_record>&) { this->listed = true; },
         .ratios = [this](std::vector<call_ratio> found) { this->ratios = std::move(found); },
         .store_works = [this](bool works) { this->availability.push_back(works); },
         .store_call = [this](const store_call_report& report)
         { this->calls.emplace_back(report.call, report.failed); },
         .recalled_departures = {},
         .departures_written = [this](std::uint64_t revision) { this->written_revision = revision; }},
        events};
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_watcher_test);

} // namespace laburnumreach::sidecar
