#ifndef LABURNUMREACH_PROTOCOL_QUOTA_MESSAGES_HPP
#define LABURNUMREACH_PROTOCOL_QUOTA_MESSAGES_HPP

#include "laburnumreach/protocol/message_codec.hpp"
#include "laburnumreach/protocol/variant_codec.hpp"
#include "laburnumreach/quota/handover.hpp"
#include "laburnumreach/quota/loan_grant.hpp"
#include "laburnumreach/quota/loan_request.hpp"
#include "laburnumreach/quota/promise.hpp"

#include <string>
#include <variant>

namespace laburnumreach::protocol
{

/// Acknowledges an accepted handover.
struct handover_acknowledgement
{
    std::string zone;
    quota::lender_epoch epoch; ///< Epoch of the daemon that handed over.
};

/// Any quota message. The index in this list is the tag on the wire, so new types are added at the end.
using quota_message = std::variant<quota::loan_request, quota::loan_grant, quota::promise_request,
                                   quota::promise_answer, quota::handover, handover_acknowledgement>;

template <>
struct message_layout<quota::daemon_ref>
{
    static auto fields(auto& message) { return std::tie(message.id, message.incarnation); }
};

template <>
struct message_layout<quota::lender_epoch>
{
    static auto fields(auto& message) { return std::tie(message.record, message.handover); }
};

template <>
struct message_layout<quota::part>
{
    static auto fields(auto& message) { return std::tie(message.rate, message.capacity, message.tokens); }
};

template <>
struct message_layout<quota::loan_request_item>
{
    static auto fields(auto& message)
    {
        return std::tie(message.tenant, message.epoch, message.loan_id, message.applied_seq,
                        message.held_rate, message.held_capacity, message.held_tokens,
                        message.returned_tokens, message.demand, message.wanted_tokens);
    }
};

template <>
struct message_layout<quota::loan_request>
{
    static auto fields(auto& message)
    {
        return std::tie(message.lender_zone, message.sender_zone, message.sender, message.from_lender,
                        message.sender_epoch, message.number, message.revisions, message.items);
    }
};

template <>
struct message_layout<quota::loan_grant_item>
{
    static auto fields(auto& message)
    {
        return std::tie(message.tenant, message.loan_id, message.seq, message.rate, message.capacity,
                        message.tokens, message.term, message.one_shot, message.denied_for);
    }
};

template <>
struct message_layout<quota::loan_grant>
{
    static auto fields(auto& message)
    {
        return std::tie(message.lender_zone, message.epoch, message.receiver, message.to_lender,
                        message.receiver_epoch, message.request_number, message.items);
    }
};

template <>
struct message_layout<quota::promise_request>
{
    static auto fields(auto& message)
    {
        return std::tie(message.zone, message.from, message.to, message.epoch, message.number, message.term);
    }
};

template <>
struct message_layout<quota::promise_answer>
{
    static auto fields(auto& message)
    {
        return std::tie(message.zone, message.from, message.to, message.epoch, message.number, message.term,
                        message.for_good);
    }
};

template <>
struct message_layout<quota::revision_zones>
{
    static auto fields(auto& message) { return std::tie(message.revision, message.zones); }
};

template <>
struct message_layout<quota::handover_tenant>
{
    static auto fields(auto& message) { return std::tie(message.base, message.unlent, message.lent); }
};

template <>
struct message_layout<quota::handover>
{
    static auto fields(auto& message)
    {
        return std::tie(message.zone, message.epoch, message.from, message.to, message.promise_number,
                        message.authority_lasts, message.loans_lapse_after, message.revisions,
                        message.tenants);
    }
};

template <>
struct message_layout<handover_acknowledgement>
{
    static auto fields(auto& message) { return std::tie(message.zone, message.epoch); }
};

} // namespace laburnumreach::protocol

#endif
