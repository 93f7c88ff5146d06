#include "laburnumreach/quota/successor_promise.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace laburnumreach::quota
{

successor_promise::successor_promise(std::string own_zone, daemon_ref own_ref, authority_terms settings)
    : zone(std::move(own_zone)), self(std::move(own_ref)), terms(settings)
{
}

std::optional<promise_answer> successor_promise::receive(const promise_request& request, core::time_point now)
{
    const bool able = this->state == role::following || this->state == role::released;
    if (!able || request.zone != this->zone || request.to != this->self || request.epoch < this->newest_epoch)
    {
        return std::nullopt;
    }
    this->newest_epoch = request.epoch;
    // The lender counts from before it asked, so counting from the receipt is later.
    this->promised_until = std::max(this->promised_until, now + safe_lapse(request.term, this->terms.grace));
    promise_answer answer{.zone = this->zone,
                          .from = this->self,
                          .to = request.from,
                          .epoch = request.epoch,
                          .number = request.number,
                          .term = request.term,
                          .for_good = this->state == role::released};
    if (!this->last_answer || this->last_answer->to != request.from ||
        this->last_answer->epoch != request.epoch)
    {
        this->answers = {};
    }
    this->answers.record(request.number, now);
    this->last_answer = answer;
    return answer;
}

std::optional<promise_answer> successor_promise::release()
{
    if (this->state != role::following)
    {
        return std::nullopt;
    }
    this->state = role::released;
    if (!this->last_answer || this->last_answer->epoch != this->newest_epoch)
    {
        // This daemon took the role over since it answered. A release would give the lender of then, which
        // may not know yet that it lost the record, its authority back.
        return std::nullopt;
    }
    this->last_answer->for_good = true;
    return this->last_answer;
}

core::time_point successor_promise::may_take_over_after(core::time_point record_first_seen) const
{
    return std::max(this->promised_until, lease_lapses_at(this->terms, record_first_seen));
}

bool successor_promise::begin_takeover(core::time_point record_first_seen, core::time_point now)
{
    if (this->state != role::following || now < this->may_take_over_after(record_first_seen))
    {
        return false;
    }
    this->state = role::attempting;
    return true;
}

void successor_promise::takeover_failed()
{
    assert(this->state == role::attempting);
    this->state = role::following;
}

void successor_promise::takeover_won(const lender_epoch& epoch)
{
    assert(this->state == role::attempting);
    this->newest_epoch = std::max(this->newest_epoch, epoch);
    this->state = role::holding;
}

std::optional<successor_promise::acceptance> successor_promise::accept(const handover& message)
{
    // Only the lender that this daemon promised to last may hand over to it. An earlier one has lost the
    // record.
    const bool known_lender = this->last_answer && this->last_answer->to == message.from &&
                              this->last_answer->epoch == message.epoch &&
                              message.epoch == this->newest_epoch;
    if (this->state != role::following || message.zone != this->zone || message.to != this->self ||
        !known_lender)
    {
        return std::nullopt;
    }
    core::time_point until = core::time_point::max();
    if (message.authority_lasts != core::duration::max())
    {
        const auto answered_at = this->answers.sent_at(message.promise_number);
        if (!answered_at)
        {
            return std::nullopt;
        }
        until = *answered_at + message.authority_lasts;
    }
    this->state = role::holding;
    ++this->newest_epoch.handover;
    return acceptance{.epoch = this->newest_epoch, .until = until};
}

void successor_promise::resign()
{
    assert(this->state == role::holding);
    this->state = role::following;
}

} // namespace laburnumreach::quota
