#ifndef LABURNUMREACH_SIDECAR_STORE_FOLLOWER_HPP
#define LABURNUMREACH_SIDECAR_STORE_FOLLOWER_HPP

#include "laburnumreach/core/error.hpp"
#include "laburnumreach/core/time.hpp"
#include "laburnumreach/sidecar/change_tracker.hpp"
#include "laburnumreach/sidecar/event_log.hpp"
#include "laburnumreach/sidecar/peer_messages.hpp"
#include "laburnumreach/sidecar/store_duty.hpp"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace laburnumreach::sidecar
{

/// A configuration as the store holds it.
struct stored_config
{
    std::uint64_t version = 0;
    std::string document;
    std::uint64_t revision = 0; ///< Revision of the store from which changes are awaited.
};

/// What the store holds of the daemons.
struct member_listing
{
    std::vector<member_record> members;
    /// Call ratios that daemons published, for daemons that start when none is left to tell them.
    std::vector<call_ratio> ratios;
    std::size_t unreadable = 0; ///< Objects of which a part could not be read.
};

/// The platform's store as the sidecar uses it. Calls block.
template <typename Store>
concept fleet_store = requires(Store store, const member_record& record, std::uint64_t revision,
                               std::chrono::milliseconds wait, bool may_be_old,
                               std::span<const call_ratio> ratios)
{
    {
        store.announce(record)
        } -> std::same_as<core::result<bool>>;
    {
        store.publish_ratios(record.daemon_id, ratios)
        } -> std::same_as<core::result<bool>>;
    {
        store.list_members(may_be_old)
        } -> std::same_as<core::result<member_listing>>;
    {
        store.read_config()
        } -> std::same_as<core::result<stored_config>>;
    {
        store.await_config(revision, wait)
        } -> std::same_as<core::result<std::optional<stored_config>>>;
    store.interrupt();
};

/// What the follower reports; called on its own thread.
struct store_follower_hooks
{
    std::function<void(stored_config)> config;
    std::function<void(std::vector<member_record>)> members;
    /// Told what the first list holds, before the members.
    std::function<void(std::vector<call_ratio>)> ratios;
    /// Told when the store begins or ceases to work.
    std::function<void(bool works)> store_works;
};

/// Keeps this daemon's record in the store and follows the configuration and the members there. Runs on the
/// control thread; the fleet goes on without the store while it is away.
///
/// Every daemon reads the configuration, writes its record and lists the members when it starts. Afterwards
/// it follows the store as its store_duty says.
template <fleet_store Store>
class store_follower
{
public:
    store_follower(Store& followed, member_record own_record, store_follower_hooks reports, event_log& log)
        : store(followed), own(std::move(own_record)), hooks(std::move(reports)), events(log)
    {
    }

    /// Runs until stop().
    void run()
    {
        this->running = true;
        while (!this->stopping)
        {
            if (this->started() && this->duty == store_duty::none)
            {
                this->wait_for_duty();
            }
            else if (!this->step())
            {
                this->pause();
            }
        }
        {
            const std::lock_guard lock{this->mutex};
            this->running = false;
        }
        this->wake.notify_all();
    }

    /// Ends run() from another thread and waits until it has ended.
    void stop()
    {
        // A call that begins just after an interruption is not broken off by it, so interruptions are
        // repeated.
        constexpr std::chrono::milliseconds interrupt_interval{20};
        std::unique_lock lock{this->mutex};
        this->stopping = true;
        this->wake.notify_all();
        while (this->running)
        {
            this->store.interrupt();
            this->wake.wait_for(lock, interrupt_interval);
        }
    }

    /// Sets the duty of this daemon. Any thread may call it.
    void set_duty(store_duty value)
    {
        if (this->duty.exchange(value) != value)
        {
            const std::lock_guard lock{this->mutex};
            this->wake.notify_all();
        }
    }

    /// Sets the call ratios to publish while this daemon leads. Any thread may call it.
    void set_ratios(std::span<const call_ratio> current)
    {
        const std::lock_guard lock{this->mutex};
        this->ratios.assign(current.begin(), current.end());
    }

    /// Returns whether all that is done once at the start is done.
    bool started() const { return this->revision && this->announced && this->listed; }

    /// Returns the pause after the failures so far.
    std::chrono::milliseconds retry_pause() const
    {
        constexpr int most_doublings = 10;
        const auto pause = first_pause * (1 << std::min(this->failures, most_doublings));
        return std::min<std::chrono::milliseconds>(pause, this->leads() ? leading_pause : longest_pause);
    }

    /// Does what is due next. Public for tests.
    /// @returns false when the store failed
    bool step()
    {
        if (!this->revision)
        {
            return this->note(this->read());
        }
        if (!this->announced)
        {
            const auto written = this->store.announce(this->own);
            this->announced = written.has_value();
            return this->note(written.has_value() ? std::string{} : written.error().message);
        }
        const core::time_point now = core::boot_clock::now();
        if (!this->listed || now - *this->listed > list_interval)
        {
            return this->note(this->list(now));
        }
        if (this->leads() && now - this->published > publish_interval && this->must_publish())
        {
            this->published = now;
            return this->note(this->publish());
        }
        return this->note(this->await());
    }

private:
    /// Time between two lists of the members; daemons learn of new ones from them directly, the list only
    /// repairs what a partition kept apart.
    static constexpr core::duration list_interval = std::chrono::seconds{10};
    /// Least time between two writes of the call ratios; they change with the configuration, seldom
    /// otherwise.
    static constexpr core::duration publish_interval = std::chrono::seconds{5};
    /// Calls per run below which a ratio counts as none.
    static constexpr double least_ratio = 0.05;
    /// Pause after the first failed call; each further failure doubles it.
    static constexpr std::chrono::milliseconds first_pause{250};
    /// Longest pause of a leading daemon. With the spread to its peers it stays within the time in which a
    /// configuration must be in force.
    static constexpr std::chrono::milliseconds leading_pause{1000};
    /// Longest pause of the other daemons.
    static constexpr std::chrono::milliseconds longest_pause{4000};
    /// Longest wait for a change: a connection that went silent is noticed after this time and a margin.
    static constexpr std::chrono::milliseconds leading_wait{2000};
    static constexpr std::chrono::milliseconds longest_wait{15000};

    /// @returns the cause of a failure, or an empty text
    std::string read()
    {
        auto config = this->store.read_config();
        if (!config)
        {
            return config.error().message;
        }
        this->revision = config->revision;
        this->hooks.config(std::move(*config));
        return {};
    }

    bool leads() const { return this->duty == store_duty::leading; }

    void wait_for_duty()
    {
        std::unique_lock lock{this->mutex};
        this->wake.wait(lock, [this] { return this->stopping || this->duty != store_duty::none; });
    }

    /// @returns the cause of a failure, or an empty text
    std::string list(core::time_point now)
    {
        const bool repairs = this->listed.has_value();
        auto found = this->store.list_members(repairs);
        if (!found)
        {
            return found.error().message;
        }
        if (found->unreadable > 0)
        {
            this->events.state_event("member_records_unreadable",
                                     {{"count", std::to_string(found->unreadable)}});
        }
        if (!repairs)
        {
            this->hooks.ratios(std::move(found->ratios));
        }
        this->listed = now;
        this->hooks.members(std::move(found->members));
        return {};
    }

    /// Returns whether call ratios moved since they were published.
    bool must_publish()
    {
        const std::lock_guard lock{this->mutex};
        return !this->ratios_told.take_changes(this->ratios).empty();
    }

    /// @returns the cause of a failure, or an empty text
    std::string publish()
    {
        std::vector<call_ratio> current;
        {
            const std::lock_guard lock{this->mutex};
            current = this->ratios;
        }
        const auto written = this->store.publish_ratios(this->own.daemon_id, current);
        if (!written)
        {
            this->ratios_told.reset();
            return written.error().message;
        }
        return {};
    }

    std::string await()
    {
        auto change = this->store.await_config(*this->revision, this->leads() ? leading_wait : longest_wait);
        if (!change)
        {
            // Also when the history is gone: the object is read again.
            this->revision.reset();
            return change.error().message;
        }
        if (*change)
        {
            this->revision = (*change)->revision;
            if (!(*change)->document.empty())
            {
                this->hooks.config(std::move(**change));
            }
        }
        return {};
    }

    bool note(const std::string& failure)
    {
        const bool works = failure.empty();
        this->failures = works ? 0 : this->failures + 1;
        if (works != this->reachable.value_or(true))
        {
            this->events.state_event(works ? "store_regained" : "store_lost", {{"cause", failure}});
        }
        if (works != this->reachable)
        {
            this->reachable = works;
            this->hooks.store_works(works);
        }
        return works;
    }

    void pause()
    {
        std::unique_lock lock{this->mutex};
        this->wake.wait_for(lock, this->retry_pause(), [this] { return this->stopping.load(); });
    }

    Store& store;
    member_record own;
    store_follower_hooks hooks;
    event_log& events;
    std::atomic<bool> stopping{false};
    std::atomic<bool> running{false};
    std::mutex mutex;
    std::condition_variable wake;
    std::optional<std::uint64_t> revision;
    std::optional<core::time_point> listed;
    std::vector<call_ratio> ratios; ///< Guarded by the mutex.
    change_tracker<call_ratio> ratios_told{least_ratio};
    core::time_point published{};
    std::atomic<store_duty> duty{store_duty::none};
    int failures = 0; ///< In a row.
    bool announced = false;
    std::optional<bool> reachable; ///< No value before the first call.
};

} // namespace laburnumreach::sidecar

#endif
