#include "laburnumreach/core/wall_clock.hpp"
#include "laburnumreach/sidecar/http_status.hpp"
#include "laburnumreach/sidecar/sidecar_daemon.hpp"

#include <algorithm>

// What outlives this process of what its instances announced.
namespace laburnumreach::sidecar
{

/// Acknowledges the departure of an instance when it will bind the next process of this daemon too.
void sidecar_daemon::acknowledge_departure(const std::shared_ptr<exchange>& announcement,
                                           const std::string& instance_id)
{
    const std::uint64_t known_start = this->instance.last_departed_start(instance_id);
    const std::uint64_t revision =
        this->departures.add({.instance_id = instance_id,
                              .last_start_ms = known_start != 0 ? known_start : core::wall_clock_ms()});
    this->share_departures();
    this->unacknowledged.push_back(
        {.request = announcement, .revision = revision, .received = core::boot_clock::now()});
    this->acknowledge_departures(core::boot_clock::now());
}

/// Answers the announcements of departures that can be decided.
void sidecar_daemon::acknowledge_departures(core::time_point now)
{
    if (this->unacknowledged.empty())
    {
        return;
    }
    const std::size_t store_count = this->store_works ? 1 : 0;
    const auto usable = static_cast<std::size_t>(std::count_if(
        this->links.begin(), this->links.end(), [](const auto& entry) { return entry.second->usable(); }));
    const departure_holders holders{.known = this->links.size() + store_count,
                                    .reachable = usable + store_count};
    std::vector<unacknowledged_departure> pending;
    for (const unacknowledged_departure& entry : std::exchange(this->unacknowledged, {}))
    {
        const departure_outcome outcome =
            this->departures.outcome(entry.revision, now - entry.received, holders);
        if (outcome == departure_outcome::pending)
        {
            pending.push_back(entry);
            continue;
        }
        const bool recorded = outcome == departure_outcome::recorded;
        this->counters.count("departures_total", recorded ? "recorded" : "failed");
        if (recorded)
        {
            this->acknowledge(*entry.request);
            continue;
        }
        this->events.state_event("departure_not_recorded",
                                 {{"known_holders", std::to_string(holders.known)},
                                  {"reachable_holders", std::to_string(holders.reachable)}});
        entry.request->respond({.status = http_status::unavailable});
    }
    this->unacknowledged.insert(this->unacknowledged.end(), pending.begin(), pending.end());
}

void sidecar_daemon::acknowledge(exchange& announcement) const
{
    announcement.respond({.status = http_status::ok,
                          .fields = this->platform.acknowledgement_fields,
                          .body = this->platform.acknowledgement});
}

/// Tells the other daemons and the store of changed departures.
void sidecar_daemon::share_departures()
{
    if (this->departures.revision() == this->shared_departures)
    {
        return;
    }
    this->shared_departures = this->departures.revision();
    for (const auto& [id, link] : this->links)
    {
        link->send_departures();
    }
    this->departures_changed(this->departures.departures(), this->shared_departures);
}

/// Returns what to tell another daemon about departures: those of the instance beside this one, and what it
/// may have forgotten itself.
std::optional<departures_message> sidecar_daemon::departures_for(const std::string& daemon_id) const
{
    const auto remembered = this->remembered_departures.departures_of(daemon_id);
    if (this->departures.revision() == 0 && remembered.empty())
    {
        return std::nullopt;
    }
    const auto withdrawn = this->departures.withdrawn();
    return departures_message{.revision = this->departures.revision(),
                              .announced = this->departures.departures(),
                              .withdrawn = {withdrawn.begin(), withdrawn.end()},
                              .remembered = {remembered.begin(), remembered.end()}};
}

void sidecar_daemon::on_departures(const member_record& sender, const departures_message& message)
{
    this->remembered_departures.record(sender.daemon_id, message.announced, message.withdrawn);
    this->recall_departures(message.remembered, sender.daemon_id);
}

/// Applies departures that an earlier process of this daemon acknowledged.
/// @param source the daemon that kept them, or "store"
void sidecar_daemon::recall_departures(std::span<const instance_departure> recalled,
                                       const std::string& source)
{
    for (const instance_departure& departure : recalled)
    {
        this->departures.add(departure);
        const bool changed = this->instance.recall(departure);
        const auto& known = this->instance.instance();
        const bool works_again = this->instance.accepts_work() && known->id == departure.instance_id;
        if (works_again)
        {
            this->departures.withdraw(departure.instance_id);
        }
        if (changed)
        {
            this->events.state_event("departure_recalled",
                                     {{"instance", departure.instance_id},
                                      {"last_start_ms", std::to_string(departure.last_start_ms)},
                                      {"source", source}});
            this->dispatcher.forbid_late_calls();
            this->on_instance_changed();
        }
    }
    this->share_departures();
}

void sidecar_daemon::post_departures(std::vector<instance_departure> loaded)
{
    asio::post(this->io,
               [this, loaded = std::move(loaded)] { this->recall_departures(loaded, store_holder); });
}

void sidecar_daemon::post_departures_written(std::uint64_t revision)
{
    asio::post(this->io, [this, revision] { this->departures.confirm(store_holder, revision); });
}

} // namespace laburnumreach::sidecar
