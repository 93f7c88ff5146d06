#include "laburnumreach/fleet/zone_agent.hpp"

#include <algorithm>

namespace laburnumreach::fleet
{

using namespace std::chrono_literals;

namespace
{

constexpr core::duration read_interval = 1s;
constexpr core::duration renewal_interval = 2s;
/// A write without a response for this long is looked up.
constexpr core::duration response_timeout = 1s;
/// A successor whose promise is not renewed this long before it ends is replaced.
constexpr core::duration replace_successor_before = 2s;
constexpr core::duration candidate_timeout = 2s;

} // namespace

zone_agent::zone_agent(std::string own_zone, quota::daemon_ref own_ref,
                       quota::authority_terms authority_terms, std::int64_t rate_margin_ppm, bool start_full,
                       platform_port port)
    : zone(std::move(own_zone)),
      self(std::move(own_ref)),
      terms(authority_terms),
      margin_ppm(rate_margin_ppm),
      first_starts_full(start_full),
      platform(std::move(port)),
      promise(this->zone, this->self, authority_terms)
{
}

void zone_agent::configure(std::shared_ptr<const quota::quota_revision> revision, core::time_point now)
{
    if (!this->newest || this->newest->revision < revision->revision)
    {
        this->newest = std::move(revision);
        this->configure_lender(now);
    }
}

void zone_agent::configure_lender(core::time_point now)
{
    if (!this->active || !this->newest)
    {
        return;
    }
    // A new lender must know every revision that the lender before it announced.
    if (!this->inherited_revisions.empty() &&
        this->inherited_revisions.back().revision > this->newest->revision)
    {
        return;
    }
    if (!this->lender_configured)
    {
        for (const quota::revision_zones& used : this->inherited_revisions)
        {
            if (used.revision < this->newest->revision)
            {
                this->active->adopt_unknown(used);
            }
        }
        this->lender_configured = true;
    }
    this->active->configure(this->newest, now);
}

void zone_agent::start_lender(quota::lender_epoch epoch, core::time_point start_after, bool full,
                              core::time_point now)
{
    this->active = std::make_unique<quota::lender>(quota::lender_options{.zone = this->zone,
                                                                         .self = this->self,
                                                                         .epoch = epoch,
                                                                         .start_after = start_after,
                                                                         .terms = {},
                                                                         .rate_margin_ppm = this->margin_ppm,
                                                                         .start_full = full},
                                                   now);
    this->lender_configured = false;
    this->configure_lender(now);
}

void zone_agent::lose_role()
{
    if (this->authority)
    {
        this->authority->lost();
    }
    this->active.reset();
    this->authority.reset();
    this->pending.reset();
    this->handed_over_by.reset();
    if (this->attempting())
    {
        this->promise.takeover_failed();
    }
    else if (this->promise.current_role() == quota::successor_promise::role::holding)
    {
        this->promise.resign();
    }
}

void zone_agent::send_write(core::time_point now)
{
    zone_record record{.version = 0,
                       .epoch = this->own_epoch,
                       .holder = this->self,
                       .successor = this->wanted_successor,
                       .write = this->next_write++,
                       .revisions = this->inherited_revisions};
    if (this->active && this->lender_configured)
    {
        record.revisions = this->active->revisions_in_use();
    }
    this->pending_if_version = this->seen ? this->seen->version : 0;
    this->pending = record;
    this->pending_since = now;
    this->next_renewal = now + renewal_interval;
    this->authority->write_sent(record.write, record.successor, now);
    this->platform.write(std::move(record), this->pending_if_version);
}

void zone_agent::on_write(std::uint64_t write, std::optional<std::uint64_t> version, core::time_point now)
{
    if (!this->pending || this->pending->write != write || !this->authority)
    {
        return;
    }
    if (version)
    {
        zone_record record = *this->pending;
        record.version = *version;
        this->on_read(record, now);
        return;
    }
    this->authority->write_rejected(write);
    this->pending.reset();
    this->read_needed = true;
    this->next_read = now;
}

void zone_agent::on_read(const zone_record& record, core::time_point now)
{
    if (this->seen && record.version < this->seen->version)
    {
        return; // overtaken by a newer response
    }
    this->read_needed = false;
    if (!this->seen || this->seen->version != record.version)
    {
        this->seen = record;
        this->seen_since = now;
    }
    const bool own = record.version != 0 && record.holder == this->self;
    if (!this->authority)
    {
        return;
    }
    if (own)
    {
        this->authority->write_confirmed(record.write);
        if (this->pending && this->pending->write <= record.write)
        {
            this->pending.reset();
        }
        if (this->attempting())
        {
            if (this->inherited_revisions.empty())
            {
                if (std::vector<std::string> others = this->platform.zones_to_ask(); !others.empty())
                {
                    this->inherited_revisions.push_back({.revision = 0, .zones = std::move(others)});
                }
            }
            const quota::lender_epoch epoch{.record = this->own_epoch, .handover = 0};
            this->promise.takeover_won(epoch);
            const bool first = record.version == 1 && this->first_starts_full;
            this->start_lender(epoch, first ? now : this->takeover_begun + quota::takeover_wait({}), first,
                               now);
        }
        this->handed_over_by.reset();
        if (this->active && !record.revisions.empty())
        {
            this->active->recorded(record.revisions.back().revision);
        }
        return;
    }
    const bool still_predecessor =
        this->handed_over_by && record.holder == *this->handed_over_by && record.successor == this->self;
    // While the version that an attempt was made on is still there, one of its writes may yet arrive.
    const bool attempt_open = this->attempting() && record.version == this->pending_if_version;
    if (!still_predecessor && !attempt_open)
    {
        this->lose_role();
    }
}

void zone_agent::choose_successor(const std::vector<quota::daemon_ref>& peers, core::random_source& random,
                                  core::time_point now)
{
    const auto promised = [&](const std::optional<quota::daemon_ref>& daemon)
    { return daemon && this->authority->promised_until(*daemon) > now + replace_successor_before; };
    if (promised(this->wanted_successor))
    {
        this->candidate.reset();
    }
    else if (promised(this->candidate))
    {
        this->wanted_successor = this->candidate;
        this->candidate.reset();
        this->next_renewal = now;
    }
    else if (!peers.empty() && (!this->candidate || now - this->candidate_since > candidate_timeout))
    {
        this->candidate = peers[random.below(peers.size())];
        this->candidate_since = now;
    }
    this->authority->set_candidate(this->candidate);
}

std::vector<quota::promise_request> zone_agent::poll(const std::vector<quota::daemon_ref>& peers,
                                                     core::random_source& random, core::time_point now)
{
    if (this->stopping)
    {
        return {};
    }
    const bool unanswered = this->pending && now - this->pending_since >= response_timeout;
    if (now >= this->next_read && (!this->authority || this->read_needed || unanswered))
    {
        this->next_read = now + read_interval;
        this->platform.read();
    }
    if (!this->authority)
    {
        const bool open = this->seen && (this->seen->version == 0 || this->seen->successor == this->self ||
                                         !this->seen->successor ||
                                         now >= quota::orphan_lapses_at(this->terms, this->seen_since));
        const core::time_point since = this->seen && this->seen->version == 0 ? now - 1h : this->seen_since;
        if (!open || !this->promise.begin_takeover(since, now))
        {
            return {};
        }
        this->takeover_begun = now;
        this->own_epoch = this->seen->epoch + 1;
        this->wanted_successor.reset();
        this->inherited_revisions = this->seen->revisions;
        this->authority.emplace(this->zone, this->self, quota::lender_epoch{this->own_epoch, 0}, this->terms);
        this->send_write(now);
        return {};
    }
    if (this->active)
    {
        this->choose_successor(peers, random, now);
    }
    // An attempt is repeated on the same version until its fate is known.
    const bool due = this->attempting() ? !this->read_needed : now >= this->next_renewal;
    if (due && (!this->pending || unanswered))
    {
        this->send_write(now);
    }
    if (this->active)
    {
        this->active->set_authority(this->authority->valid_until());
    }
    return this->authority->poll(now);
}

void zone_agent::receive(const quota::promise_answer& answer, core::time_point now)
{
    if (this->authority)
    {
        this->authority->receive(answer, now);
        if (this->active)
        {
            this->active->set_authority(this->authority->valid_until());
        }
    }
}

zone_agent::farewell zone_agent::stop(core::time_point now)
{
    this->stopping = true;
    farewell out;
    if (const auto target =
            this->authority && this->active ? this->authority->handover_target() : std::nullopt)
    {
        out.passed_on = this->active->stop(*target, now);
        if (out.passed_on)
        {
            this->authority->describe(*out.passed_on);
        }
    }
    else
    {
        out.released = this->promise.release();
    }
    if (this->authority)
    {
        this->authority->end();
    }
    if (this->active)
    {
        this->active->set_authority(core::time_point::min());
    }
    return out;
}

void zone_agent::accept(const quota::handover& message, core::time_point now)
{
    const auto accepted = this->promise.accept(message);
    if (!accepted)
    {
        return;
    }
    this->handed_over_by = message.from;
    this->own_epoch = message.epoch.record + 1;
    this->authority = quota::lender_authority::from_handover(this->zone, this->self, accepted->epoch,
                                                             this->terms, accepted->until);
    this->active = std::make_unique<quota::lender>(quota::lender_options{.zone = this->zone,
                                                                         .self = this->self,
                                                                         .epoch = accepted->epoch,
                                                                         .start_after = now,
                                                                         .terms = {},
                                                                         .rate_margin_ppm = this->margin_ppm},
                                                   message, now);
    this->active->set_authority(accepted->until);
    this->inherited_revisions = message.revisions;
    this->lender_configured = false;
    this->configure_lender(now);
    this->wanted_successor.reset();
    this->next_renewal = now;
    this->next_read = now;
}

bool zone_agent::has_authority(core::time_point now) const
{
    return this->active && this->active->has_authority(now);
}

} // namespace laburnumreach::fleet
