#include "laburnumreach/platform/zone_lease.hpp"

#include "laburnumreach/platform/operation_id.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace laburnumreach::platform
{

namespace
{

// Spreads renewals and observations so that daemons that started together do not call together.
constexpr double interval_spread = 0.1;
constexpr std::uint32_t max_doublings = 10;

core::duration scaled(core::duration value, double factor)
{
    return std::chrono::duration_cast<core::duration>(value * factor);
}

core::duration spread(core::duration interval, core::random_source& random)
{
    return scaled(interval, 1.0 - interval_spread + 2.0 * interval_spread * random.uniform());
}

} // namespace

zone_lease::zone_lease(zone_lease_options given) : options(std::move(given))
{
    assert(!this->options.zone.empty() && !this->options.daemon_id.empty());
}

bool zone_lease::is_own(const zone_record& record) const noexcept
{
    return record.holder == this->options.daemon_id && record.incarnation == this->options.incarnation;
}

bool zone_lease::wants_calls() const noexcept
{
    const bool unfinished_release = this->release_wanted && !this->unconfirmed.empty();
    return this->holding || this->candidate || unfinished_release;
}

core::duration zone_lease::observer_wait() const noexcept
{
    return scaled(this->options.term, 1.0 + clock_error) + answer_margin;
}

core::time_point zone_lease::takeover_time() const noexcept
{
    const core::time_point since = this->seen.unchanged_since;
    switch (this->seen.known)
    {
    case presence::unread:
        return core::time_point::max();
    case presence::absent:
        // A record that was seen and then deleted may still have a holder whose term runs.
        return this->seen.version == 0 ? since : std::max(since + this->observer_wait(), this->promise_until);
    case presence::present:
        break;
    }
    core::duration wait = this->observer_wait();
    if (this->seen.record)
    {
        const zone_record& record = *this->seen.record;
        if (record.holder.empty())
        {
            return since;
        }
        if (!record.successor.empty() && record.successor != this->options.daemon_id)
        {
            wait = std::max(wait, this->options.successor_priority);
        }
    }
    return std::max(since + wait, this->promise_until);
}

zone_record zone_lease::renewed_record() const
{
    return {.holder = this->options.daemon_id,
            .incarnation = this->options.incarnation,
            .epoch = this->seen.greatest_epoch,
            .successor = this->successor,
            .members = this->members,
            .revisions = this->revisions.value_or(this->seen.record ? this->seen.record->revisions
                                                                    : std::vector<listed_revision>{}),
            .operation_id = {}};
}

std::optional<zone_call> zone_lease::poll(core::time_point now, core::random_source& random)
{
    if (this->in_flight || !this->wants_calls() || now < this->next_action)
    {
        return std::nullopt;
    }
    const bool may_write = !this->must_read && this->seen.known != presence::unread;
    if (may_write && this->holding)
    {
        zone_record record = this->renewed_record();
        if (this->release_wanted)
        {
            record.holder.clear();
            record.successor.clear();
        }
        record.operation_id = make_operation_id(random);
        return this->start_write(now, std::move(record));
    }
    if (may_write && this->candidate && now >= this->takeover_time())
    {
        zone_record record = this->renewed_record();
        // No epoch exceeds the version, since each write adds at most one to it. So this is a new epoch even
        // when the record in the platform is damaged.
        const bool damaged = this->seen.known == presence::present && !this->seen.record;
        record.epoch = 1 + (damaged ? this->seen.version : this->seen.greatest_epoch);
        record.operation_id = make_operation_id(random);
        return this->start_write(now, std::move(record));
    }
    this->in_flight = zone_call::kind::read;
    return zone_call{.type = zone_call::kind::read,
                     .name = zone_object_name(this->options.zone),
                     .condition = {},
                     .value = {}};
}

zone_call zone_lease::start_write(core::time_point now, zone_record record)
{
    const bool exists = this->seen.known == presence::present;
    zone_call call{.type = zone_call::kind::write,
                   .name = zone_object_name(this->options.zone),
                   .condition = exists ? write_condition{this->seen.version} : std::nullopt,
                   .value = encode(record)};
    this->unconfirmed.push_back(
        {.replaced = exists ? this->seen.version : 0, .record = std::move(record), .sent_at = now});
    this->last_sent = now;
    this->in_flight = zone_call::kind::write;
    this->flight_operation_id = this->unconfirmed.back().record.operation_id;
    return call;
}

void zone_lease::on_write(core::time_point now, const core::result<object_version>& result,
                          core::random_source& random)
{
    assert(this->in_flight == zone_call::kind::write);
    this->in_flight.reset();
    const std::string operation_id = std::exchange(this->flight_operation_id, {});
    const auto own =
        std::find_if(this->unconfirmed.begin(), this->unconfirmed.end(),
                     [&](const sent_write& write) { return write.record.operation_id == operation_id; });
    assert(own != this->unconfirmed.end());
    if (result && *result >= this->seen.version)
    {
        this->failed_calls = 0;
        this->see(now, *result, zone_record{own->record});
        this->must_read = false;
        this->next_action = std::max(now, this->last_sent + spread(this->options.renewal_interval, random));
        return;
    }
    const auto code = result ? core::error_code::conflict : result.error().code;
    if (code == core::error_code::conflict || code == core::error_code::outcome_unknown)
    {
        // The write may have taken effect, also after a conflict: an earlier copy of it may have won.
        this->must_read = true;
        ++this->failed_writes;
        if (this->failed_writes == 1)
        {
            this->next_action = now;
            return;
        }
        this->schedule_retry(now, this->failed_writes, random);
        return;
    }
    this->unconfirmed.erase(own);
    ++this->failed_calls;
    this->schedule_retry(now, this->failed_calls, random);
}

void zone_lease::on_read(core::time_point now, const core::result<object>& result,
                         core::random_source& random)
{
    assert(this->in_flight == zone_call::kind::read);
    this->in_flight.reset();
    const bool answered = result || result.error().code == core::error_code::not_found;
    const bool stale = result && result->version < this->seen.version;
    if (!answered || stale)
    {
        this->must_read = true;
        ++this->failed_calls;
        this->schedule_retry(now, this->failed_calls, random);
        return;
    }
    this->failed_calls = 0;
    this->must_read = false;
    if (result)
    {
        this->observe(now, *result);
    }
    else
    {
        this->see_absent(now);
    }
    this->schedule_after_read(now, random);
}

void zone_lease::schedule_after_read(core::time_point now, core::random_source& random)
{
    if (this->failed_writes > 1)
    {
        // Reads that succeed between failing writes must not turn into a loop without a pause.
        this->schedule_retry(now, this->failed_writes, random);
    }
    else if (this->holding)
    {
        const bool due = this->release_wanted || now >= this->valid_until;
        const auto renewal = this->last_sent + spread(this->options.renewal_interval, random);
        this->next_action = due ? now : std::max(now, renewal);
    }
    else
    {
        const auto next_read = now + spread(this->options.observation_interval, random);
        this->next_action = std::max(now, std::min(this->takeover_time(), next_read));
    }
}

void zone_lease::schedule_retry(core::time_point now, std::uint32_t failures, core::random_source& random)
{
    const std::uint32_t doublings = std::min(failures, max_doublings);
    const auto longest =
        std::min(this->options.longest_retry, this->options.first_retry * (std::int64_t{1} << doublings));
    // Half to whole: after an outage the retries of many daemons arrive over half of the longest delay.
    this->next_action = now + scaled(longest, 0.5 + 0.5 * random.uniform());
}

void zone_lease::observe(core::time_point now, const object& current)
{
    if (current.version < this->seen.version)
    {
        return;
    }
    auto record = decode_zone_record(current.value);
    this->see(now, current.version, record ? std::optional{*std::move(record)} : std::nullopt);
}

void zone_lease::see(core::time_point now, object_version version, std::optional<zone_record> record)
{
    if (this->seen.known != presence::present || version > this->seen.version)
    {
        this->seen.unchanged_since = now;
        this->failed_writes = 0;
    }
    this->seen.known = presence::present;
    this->seen.version = version;
    this->seen.record = std::move(record);
    const bool was_holding = std::exchange(this->holding, false);
    if (this->seen.record)
    {
        const zone_record& current = *this->seen.record;
        this->seen.greatest_epoch = std::max(this->seen.greatest_epoch, current.epoch);
        this->holding = this->is_own(current);
        const auto own = std::find_if(this->unconfirmed.begin(), this->unconfirmed.end(),
                                      [&](const sent_write& write)
                                      { return write.record.operation_id == current.operation_id; });
        if (this->holding && !was_holding)
        {
            this->valid_until = core::time_point{};
        }
        if (this->holding && own != this->unconfirmed.end())
        {
            this->valid_until = std::max(this->valid_until, own->sent_at + this->options.term);
        }
    }
    // Writes that expected an older version cannot take effect any more. The write in flight stays until its
    // result arrives.
    std::erase_if(
        this->unconfirmed, [&](const sent_write& write)
        { return write.replaced < version && write.record.operation_id != this->flight_operation_id; });
}

void zone_lease::see_absent(core::time_point now)
{
    if (this->seen.known != presence::absent)
    {
        this->seen.unchanged_since = now;
    }
    this->seen.known = presence::absent;
    this->seen.record.reset();
    this->holding = false;
}

void zone_lease::set_candidate(bool value)
{
    this->candidate = value;
    if (value)
    {
        this->release_wanted = false;
    }
}

void zone_lease::set_successor(std::string id)
{
    this->successor = id == this->options.daemon_id ? std::string{} : std::move(id);
}

void zone_lease::set_members(std::vector<std::string> addresses)
{
    addresses.resize(std::min(addresses.size(), zone_record::max_members));
    this->members = std::move(addresses);
}

void zone_lease::set_revisions(std::vector<listed_revision> listed)
{
    this->revisions = std::move(listed);
}

void zone_lease::release()
{
    this->candidate = false;
    this->release_wanted = true;
    // The release is written as soon as possible, but not before a backoff under way has passed.
    if (this->failed_calls == 0 && this->failed_writes <= 1)
    {
        this->next_action = core::time_point{};
    }
}

bool zone_lease::may_act() const noexcept
{
    // A release that may still take effect lets others take over at once, even if the role was wanted again.
    const bool release_sent =
        std::any_of(this->unconfirmed.begin(), this->unconfirmed.end(),
                    [](const sent_write& write) { return write.record.holder.empty(); });
    return this->holding && !this->release_wanted && !release_sent;
}

lease_state zone_lease::state(core::time_point now) const noexcept
{
    if (!this->may_act())
    {
        return lease_state::not_holder;
    }
    return now < this->valid_until ? lease_state::holder : lease_state::lapsed;
}

std::optional<core::time_point> zone_lease::holder_valid_until() const noexcept
{
    return this->may_act() ? std::optional{this->valid_until} : std::nullopt;
}

std::string zone_lease::confirmed_successor() const
{
    if (!this->may_act() || !this->seen.record)
    {
        return {};
    }
    const std::string& named = this->seen.record->successor;
    const bool agreed = std::all_of(this->unconfirmed.begin(), this->unconfirmed.end(),
                                    [&](const sent_write& write) { return write.record.successor == named; });
    return agreed ? named : std::string{};
}

std::optional<core::time_point> zone_lease::next_call() const noexcept
{
    return this->in_flight || !this->wants_calls() ? std::nullopt : std::optional{this->next_action};
}

} // namespace laburnumreach::platform
