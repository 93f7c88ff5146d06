#include "laburnumreach/daemon/zone_keeper.hpp"

#include <utility>
#include <variant>

namespace laburnumreach::daemon
{

zone_keeper::outbox zone_keeper::receive(core::time_point now, const protocol::quota_message& message)
{
    outbox out;
    if (const auto* request = std::get_if<quota::loan_request>(&message))
    {
        if (this->lender)
        {
            this->lender->set_authority(this->authority_until());
            this->collect(this->lender->receive(*request, now), out);
        }
    }
    else if (const auto* grant = std::get_if<quota::loan_grant>(&message))
    {
        if (this->lender)
        {
            this->lender->set_authority(this->authority_until());
            this->collect(this->lender->receive(*grant, now), out);
        }
    }
    else if (const auto* asked = std::get_if<quota::promise_request>(&message))
    {
        if (const auto answer = this->promise.receive(*asked, now))
        {
            out.push_back({.receiver = answer->to, .lender_zone = {}, .message = *answer});
        }
    }
    else if (const auto* answer = std::get_if<quota::promise_answer>(&message))
    {
        this->receive_promise(now, *answer);
    }
    else if (const auto* handed = std::get_if<quota::handover>(&message))
    {
        this->receive_handover(now, *handed, out);
    }
    else if (const auto* receipt = std::get_if<protocol::handover_acknowledgement>(&message))
    {
        if (this->sent_handover && receipt->epoch == this->sent_handover->epoch)
        {
            this->sent_handover.reset();
        }
    }
    return out;
}

void zone_keeper::receive_promise(core::time_point now, const quota::promise_answer& answer)
{
    if (!this->authority)
    {
        return;
    }
    this->authority->receive(answer, now);
    if (this->candidate_successor && answer.from == *this->candidate_successor)
    {
        this->candidate_promised_at = now;
    }
}

void zone_keeper::receive_handover(core::time_point now, const quota::handover& message, outbox& out)
{
    const protocol::handover_acknowledgement receipt{.zone = message.zone, .epoch = message.epoch};

    if (const auto accepted = this->promise.accept(message))
    {
        this->authority.emplace(quota::lender_authority::from_handover(
            this->options.zone, this->options.self, accepted->epoch, this->terms, accepted->until));
        quota::lender_options settings;
        settings.epoch = accepted->epoch;
        settings.start_after = now;
        this->inherited = true;
        this->accepted_epoch = message.epoch;
        this->predecessor = message.from;
        this->start_lender(now, settings, &message);
    }
    if (this->accepted_epoch == message.epoch)
    {
        out.push_back({.receiver = message.from, .lender_zone = {}, .message = receipt});
    }
}

zone_keeper::outbox zone_keeper::stop(core::time_point now)
{
    outbox out;
    if (this->stopping)
    {
        return out;
    }
    this->stopping = true;
    this->lease.set_candidate(false);
    const auto target = this->authority ? this->authority->handover_target() : std::nullopt;
    if (this->lender && target)
    {
        this->lender->set_authority(this->authority_until());
        this->sent_handover = this->lender->stop(*target, now);
    }
    if (this->sent_handover)
    {
        this->handed_over = true;
        this->authority->describe(*this->sent_handover);
        this->next_handover_at = now + handover_interval;
        out.push_back(this->handover_message());
    }
    else if (this->lender)
    {
        this->lease.release();
    }
    else if (const auto answer = this->promise.release())
    {
        out.push_back({.receiver = answer->to, .lender_zone = {}, .message = *answer});
    }
    if (this->authority)
    {
        this->authority->end();
    }
    this->lender.reset();
    return out;
}

bool zone_keeper::stopped() const
{
    return this->stopping && !this->sent_handover && !this->lease.releasing();
}

std::uint64_t zone_keeper::lender_epoch(core::time_point now) const
{
    const bool lending = this->lender && this->lender->has_authority(now) && now < this->authority_until();
    return lending && this->lease.record() ? this->lease.record()->epoch : 0;
}

core::time_point zone_keeper::authority_until() const
{
    return this->authority ? this->authority->valid_until() : core::time_point::min();
}

void zone_keeper::collect(quota::lender::output messages, outbox& out) const
{
    for (quota::loan_grant& grant : messages.grants)
    {
        const quota::daemon_ref receiver = grant.receiver;
        out.push_back({.receiver = receiver, .lender_zone = {}, .message = std::move(grant)});
    }
    for (quota::loan_request& request : messages.requests)
    {
        const std::string zone = request.lender_zone;
        out.push_back({.receiver = {}, .lender_zone = zone, .message = std::move(request)});
    }
}

outgoing_quota_message zone_keeper::handover_message() const
{
    return {.receiver = this->sent_handover->to, .lender_zone = {}, .message = *this->sent_handover};
}

} // namespace laburnumreach::daemon
