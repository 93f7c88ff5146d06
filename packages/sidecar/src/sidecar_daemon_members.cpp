#include "laburnumreach/sidecar/sidecar_daemon.hpp"

#include <algorithm>

namespace laburnumreach::sidecar
{

namespace
{

/// Time after the start for which links to other daemons are being established: reading the list of members,
/// connecting and the handshake, with one retry.
constexpr core::duration link_settle_time = std::chrono::milliseconds{1500};

} // namespace

/// Chooses the role of this daemon in watching the store. The first reachable daemons of the zone, ordered
/// by id, are primary: they also report the demand of the zone and send member tables to other zones. Has no
/// effect before link_settle_time.
void sidecar_daemon::update_store_role()
{
    if (core::boot_clock::now() - this->open_time < link_settle_time)
    {
        return;
    }
    std::size_t preceding = 0;
    std::size_t preceding_with_store = 0;
    for (const auto& [id, link] : this->links)
    {
        if (link->usable() && id < this->settings.daemon_id && link->target().zone == this->settings.zone)
        {
            ++preceding;
            preceding_with_store += this->store_works_at_peer[id] ? 1 : 0;
        }
    }
    const store_watch_role role = choose_store_watch_role(preceding, preceding_with_store);
    const bool is_primary = role == store_watch_role::primary;
    this->router.set_reports_zone_demand(is_primary);
    this->fleet.set_cross_zone_repair(is_primary);
    this->store_watch_role_changed(role);
    if (is_primary)
    {
        this->ratios_measured(this->router.shedder().mean_call_ratios());
    }
}

/// Announces a configuration to the daemons of the own zone without waiting for the next probe, since not all
/// of them watch the store.
void sidecar_daemon::announce_config()
{
    for (const auto& [id, link] : this->links)
    {
        if (link->target().zone == this->settings.zone)
        {
            link->request_probe();
        }
    }
}

void sidecar_daemon::sync_links()
{
    for (const auto& [id, record] : this->fleet.members().members())
    {
        const auto known = this->links.find(id);
        if (!record.left)
        {
            this->departed.erase(id);
        }
        if (known != this->links.end())
        {
            known->second->update(record);
            continue;
        }
        if (record.left)
        {
            continue;
        }
        const auto link = std::make_shared<peer_link>(this->io, record, this->fleet, this->link_callbacks,
                                                      this->events, &this->memory);
        this->links.emplace(id, link);
        this->router.add_link(link);
        link->start();
    }
    this->update_daemon_count();
}

/// Forgets what daemons that left reported, and no longer counts them, when the window of the retry budget
/// has passed since: until then, the share that such a daemon used up must not be given to the others as
/// well. Its link stays for some minutes, in case the daemon is started again while the store is away.
void sidecar_daemon::forget_departed_daemons(core::time_point now)
{
    constexpr core::duration link_retention = std::chrono::minutes{10};
    bool changed = false;
    for (const auto& [id, link] : this->links)
    {
        if (link->has_left_for(this->settings.retry_window, now) && this->departed.insert(id).second)
        {
            this->events.state_event("peer_removed", {{"peer", id}});
            this->router.forget_reports(id);
            this->store_works_at_peer.erase(id);
            changed = true;
        }
    }
    const std::size_t removed =
        std::erase_if(this->links,
                      [&](const auto& entry)
                      {
                          const auto& [id, link] = entry;
                          if (!link->has_left_for(link_retention, now) || link->has_open_calls())
                          {
                              return false;
                          }
                          link->close();
                          this->router.remove_link(id);
                          this->departed.erase(id);
                          return true;
                      });
    if (changed || removed > 0)
    {
        this->update_daemon_count();
    }
}

void sidecar_daemon::update_daemon_count()
{
    // Before the first member list is read, more daemons may exist than are known here.
    const std::size_t assumed_daemons = customer_limiter_options{}.initial_daemon_count;
    const std::size_t known_daemons = this->links.size() - this->departed.size() + 1;
    this->router.set_daemon_count(this->member_list_received ? known_daemons
                                                             : std::max(known_daemons, assumed_daemons));
}

void sidecar_daemon::post_members(std::vector<member_record> loaded)
{
    asio::post(this->io,
               [this, loaded = std::move(loaded)]
               {
                   this->fleet.merge(loaded);
                   this->member_list_received = true;
                   this->sync_links();
               });
}

} // namespace laburnumreach::sidecar
