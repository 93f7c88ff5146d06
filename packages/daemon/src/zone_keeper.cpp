#include "laburnumreach/daemon/zone_keeper.hpp"

#include <algorithm>
#include <cassert>
#include <charconv>
#include <map>
#include <utility>

namespace laburnumreach::daemon
{

namespace
{

/// A candidate that promised within this time is named as the successor.
constexpr core::duration recent_promise = std::chrono::seconds{1};

quota::authority_terms make_terms(const zone_keeper_options& options)
{
    quota::authority_terms terms;
    terms.lease_term = options.lease_term;
    terms.promise_term = options.promise_term;
    terms.orphan_limit = options.orphan_limit;
    return terms;
}

platform::zone_lease_options make_lease_options(const zone_keeper_options& options)
{
    platform::zone_lease_options lease;
    lease.zone = options.zone;
    lease.daemon_id = process_name(options.self);
    lease.incarnation = options.self.incarnation;
    lease.term = options.lease_term;
    lease.renewal_interval = options.lease_term / 3;
    lease.observation_interval = options.lease_term / 3;
    lease.successor_priority = options.orphan_limit;
    return lease;
}

std::vector<std::uint64_t> numbers_of(const std::vector<platform::listed_revision>& listed)
{
    std::vector<std::uint64_t> numbers;
    numbers.reserve(listed.size());
    for (const platform::listed_revision& entry : listed)
    {
        numbers.push_back(entry.revision);
    }
    return numbers;
}

} // namespace

std::string process_name(const quota::daemon_ref& process)
{
    return process.id + '#' + std::to_string(process.incarnation);
}

std::optional<quota::daemon_ref> parse_process_name(std::string_view name)
{
    const std::size_t mark = name.rfind('#');
    if (mark == std::string_view::npos)
    {
        return std::nullopt;
    }
    quota::daemon_ref process{.id = std::string{name.substr(0, mark)}};
    const std::string_view number = name.substr(mark + 1);
    const auto parsed = std::from_chars(number.data(), number.data() + number.size(), process.incarnation);
    if (parsed.ec != std::errc{} || parsed.ptr != number.data() + number.size())
    {
        return std::nullopt;
    }
    return process;
}

zone_keeper::zone_keeper(const zone_keeper_options& keeper, core::random_source source)
    : options(keeper),
      terms(make_terms(keeper)),
      random(source),
      lease(make_lease_options(keeper)),
      promise(keeper.zone, keeper.self, this->terms)
{
}

void zone_keeper::set_candidate(bool value)
{
    if (this->candidate != value && !this->stopping)
    {
        this->candidate = value;
        this->lease.set_candidate(value);
    }
}

bool zone_keeper::is_successor() const
{
    const std::optional<platform::zone_record>& record = this->lease.record();
    return record && record->successor == process_name(this->options.self);
}

void zone_keeper::set_zone_members(std::vector<quota::daemon_ref> live,
                                   std::vector<std::string> control_addresses)
{
    this->members = std::move(live);
    this->lease.set_members(std::move(control_addresses));
}

void zone_keeper::configure(core::time_point now, std::shared_ptr<const quota::quota_revision> quotas)
{
    this->revision = std::move(quotas);
    this->configure_lender(now);
}

zone_keeper::outbox zone_keeper::poll(core::time_point now)
{
    outbox out;
    if (this->authority && !this->stopping)
    {
        this->name_successor(now);
        for (const quota::promise_request& request : this->authority->poll(now))
        {
            out.push_back({.receiver = request.to, .lender_zone = {}, .message = request});
        }
    }
    if (this->lender)
    {
        this->lender->set_authority(this->authority_until());
        this->collect(this->lender->poll(now), out);
        this->lease.set_revisions(this->listed_revisions());
    }
    if (this->sent_handover && now >= this->next_handover_at)
    {
        this->next_handover_at = now + handover_interval;
        out.push_back(this->handover_message());
    }
    return out;
}

std::optional<platform::zone_call> zone_keeper::next_platform_call(core::time_point now)
{
    if (this->handed_over)
    {
        // A renewal after the handover could name another successor, and so take the role from the receiver.
        return std::nullopt;
    }
    std::optional<platform::zone_call> call = this->lease.poll(now, this->random);
    if (!call || call->type == platform::zone_call::kind::read)
    {
        return call;
    }
    const core::result<platform::zone_record> record = platform::decode_zone_record(call->value);
    assert(record);
    const bool takeover = !this->authority && !record->holder.empty();
    if (takeover && (this->stopping || !this->promise.begin_takeover(this->version_seen_at, now)))
    {
        // A promise to the present lender holds, so the write must not be sent.
        this->lease.on_write(
            now, core::make_error(core::error_code::unavailable, "a promise forbids the takeover"),
            this->random);
        return std::nullopt;
    }
    this->begin_write(now, *call, *record, takeover);
    return call;
}

void zone_keeper::begin_write(core::time_point now, const platform::zone_call& call,
                              platform::zone_record record, bool takeover)
{
    if (takeover)
    {
        this->authority.emplace(this->options.zone, this->options.self,
                                quota::lender_epoch{.record = record.epoch, .handover = 0}, this->terms);
    }
    const std::uint64_t number = this->next_write++;
    if (this->authority && !record.holder.empty())
    {
        this->authority->write_sent(number, parse_process_name(record.successor), now);
    }
    this->writes.push_back({.number = number,
                            .operation_id = std::move(record.operation_id),
                            .replaced = call.condition.value_or(0),
                            .epoch = record.epoch,
                            .revisions = numbers_of(record.revisions),
                            .takeover = takeover});
}

void zone_keeper::on_read(core::time_point now, const core::result<platform::object>& result)
{
    this->lease.on_read(now, result, this->random);
    this->settle_writes(now, false);
}

void zone_keeper::on_write(core::time_point now, const core::result<platform::object_version>& result)
{
    this->lease.on_write(now, result, this->random);
    const bool certainly_failed = !result && result.error().code != core::error_code::outcome_unknown &&
                                  result.error().code != core::error_code::conflict;
    this->settle_writes(now, certainly_failed);
}

void zone_keeper::settle_writes(core::time_point now, bool certainly_failed)
{
    if (this->lease.version() != this->seen_version)
    {
        this->seen_version = this->lease.version();
        this->version_seen_at = now;
    }
    const std::optional<platform::zone_record>& record = this->lease.record();
    const auto is_in_force = [&](const sent_write& write)
    { return record && record->operation_id == write.operation_id; };
    std::vector<sent_write> open;
    for (const sent_write& write : std::exchange(this->writes, {}))
    {
        const bool newest = write.number + 1 == this->next_write;
        if (is_in_force(write))
        {
            this->confirm(now, write);
        }
        else if ((certainly_failed && newest) || this->seen_version == write.replaced + 1)
        {
            // Another write replaced the version that this one expects, so it can never take effect.
            this->reject(write);
        }
        else if (this->seen_version > write.replaced)
        {
            this->supersede(write);
        }
        else
        {
            open.push_back(write);
        }
    }
    this->writes = std::move(open);
    this->check_role_lost();
}

void zone_keeper::confirm(core::time_point now, const sent_write& write)
{
    if (!this->authority)
    {
        return;
    }
    this->authority->write_confirmed(write.number);
    this->inherited = false;
    if (write.takeover)
    {
        this->take_over(now, write.epoch);
    }
    if (this->lender && !write.revisions.empty())
    {
        this->lender->recorded(write.revisions.back());
    }
}

void zone_keeper::reject(const sent_write& write)
{
    if (this->authority)
    {
        this->authority->write_rejected(write.number);
    }
    if (write.takeover && this->promise.current_role() == quota::successor_promise::role::attempting)
    {
        this->promise.takeover_failed();
        this->authority.reset();
    }
}

void zone_keeper::supersede(const sent_write& write)
{
    if (write.takeover && this->promise.current_role() == quota::successor_promise::role::attempting)
    {
        // The takeover may have won before another daemon replaced it. The lender that this daemon promised
        // to before may not know yet that it lost the record, so it must not get promises again.
        this->promise.takeover_won({.record = write.epoch, .handover = 0});
        this->promise.resign();
        this->authority.reset();
    }
    if (this->authority)
    {
        this->authority->write_rejected(write.number);
    }
}

void zone_keeper::take_over(core::time_point now, std::uint64_t epoch)
{
    const quota::lender_epoch own{.record = epoch, .handover = 0};
    this->promise.takeover_won(own);
    quota::lender_options settings;
    settings.epoch = own;
    // The first version of a record proves that the zone never had a lender, so there are no loans to wait
    // for.
    settings.start_full = this->seen_version == 1;
    settings.start_after = settings.start_full ? now : now + quota::takeover_wait(this->options.lending);
    this->start_lender(now, settings, nullptr);
}

void zone_keeper::start_lender(core::time_point now, quota::lender_options settings,
                               const quota::handover* from)
{
    settings.zone = this->options.zone;
    settings.self = this->options.self;
    settings.terms = this->options.lending;
    this->lender = from == nullptr ? std::make_unique<quota::lender>(settings, now)
                                   : std::make_unique<quota::lender>(settings, *from, now);
    this->inherited_revisions.clear();
    if (from != nullptr)
    {
        this->inherited_revisions = from->revisions;
    }
    else
    {
        // The record still lists the revisions of the lender before, since other zones may rely on them.
        for (const platform::listed_revision& listed : this->lease.record()->revisions)
        {
            this->inherited_revisions.push_back({.revision = listed.revision, .zones = listed.zones});
        }
    }
    this->configure_lender(now);
    this->lease.set_revisions(this->listed_revisions());
}

void zone_keeper::configure_lender(core::time_point now)
{
    // A new lender must know every revision that the lender before it announced.
    const bool outdated = !this->inherited_revisions.empty() && this->revision &&
                          this->inherited_revisions.back().revision > this->revision->revision;
    if (!this->lender || !this->revision || outdated)
    {
        return;
    }
    for (const quota::revision_zones& used : std::exchange(this->inherited_revisions, {}))
    {
        if (used.revision < this->revision->revision)
        {
            this->lender->adopt_unknown(used);
        }
    }
    this->lender->configure(this->revision, now);
}

std::vector<platform::listed_revision> zone_keeper::listed_revisions() const
{
    std::vector<platform::listed_revision> listed;
    for (const quota::revision_zones& used : this->inherited_revisions)
    {
        listed.push_back({.revision = used.revision, .zones = used.zones});
    }
    for (const quota::revision_zones& used : this->lender->revisions_in_use())
    {
        listed.push_back({.revision = used.revision, .zones = used.zones});
    }
    return listed;
}

void zone_keeper::check_role_lost()
{
    const std::optional<platform::zone_record>& record = this->lease.record();
    const bool other_holds = record && record->holder != process_name(this->options.self);
    const bool holding = this->promise.current_role() == quota::successor_promise::role::holding;
    // After a handover the record names the daemon that handed over, until the first own write.
    const bool names_predecessor =
        this->inherited && record && record->holder == process_name(*this->predecessor);
    if (!other_holds || !holding || names_predecessor || !this->authority)
    {
        return;
    }
    this->inherited = false;
    this->authority->lost();
    this->authority.reset();
    this->lender.reset();
    this->promise.resign();
}

void zone_keeper::name_successor(core::time_point now)
{
    const bool still_live =
        this->candidate_successor && std::find(this->members.begin(), this->members.end(),
                                               *this->candidate_successor) != this->members.end();
    if (!still_live)
    {
        this->candidate_successor =
            this->members.empty() ? std::nullopt : std::optional{this->members.front()};
        this->candidate_promised_at = core::time_point{};
        this->authority->set_candidate(this->candidate_successor);
    }
    const bool promised = this->candidate_successor && this->candidate_promised_at != core::time_point{} &&
                          now - this->candidate_promised_at < recent_promise;
    this->lease.set_successor(promised ? process_name(*this->candidate_successor) : std::string{});
}

} // namespace laburnumreach::daemon
