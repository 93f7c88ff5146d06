#ifndef LABURNUMREACH_SIDECAR_PEER_MESSAGES_HPP
#define LABURNUMREACH_SIDECAR_PEER_MESSAGES_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/protocol/message_codec.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace laburnumreach::sidecar
{

/// A daemon of the fleet.
struct member_record
{
    std::string daemon_id;
    std::uint64_t started_ms = 0; ///< Wall-clock start of the process; orders its incarnations.
    std::string address;          ///< IP number.
    std::uint16_t peer_port = 0;
    std::string zone;
    bool left = false; ///< The process announced its end.
};

/// Mean number of calls of one route that a run of another route makes.
struct call_ratio
{
    std::string parent_route;
    std::string child_route;
    double calls_per_run = 0;
};

/// State of a daemon's instance, sent with every reply and probe.
struct instance_status
{
    std::string instance_id;
    std::string service;
    bool accepts_work = false;
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t queue_delay_ms = 0; ///< Wait of the call that left the queue last, or of the oldest one.
    std::uint32_t run_ms = 0;         ///< Mean time of a run on a slot.
};

/// Demand of one customer at one daemon, and the part of the customer's limit that the daemon uses.
struct customer_demand
{
    std::string customer;
    double rate = 0; ///< Requests per second.
};

/// First message of a connection, from the connecting daemon.
struct hello_message
{
    member_record sender;
    std::vector<std::uint64_t> pending_calls; ///< Calls sent to this incarnation that have no reply yet.
    std::uint64_t receiver_started_ms = 0;    ///< Incarnation to which they were sent; zero for none.
};

/// Answer to a hello.
struct welcome_message
{
    member_record sender;
    instance_status status;
};

/// A request for the instance beside the receiver.
struct call_message
{
    std::uint64_t id = 0; ///< Unique for the sender's incarnation.
    std::string service;
    std::string route;
    std::string attempt_id;
    std::string method;
    std::string target;
    std::string fields; ///< Header fields in wire form, without those that the receiver sets.
    std::string body;
    std::uint32_t remaining_ms = 0;
    std::int32_t priority = 0;
    bool idempotent = false;
    bool nested = false;   ///< Made by a run that has already begun.
    bool is_retry = false; ///< An earlier send of the same request may have reached an instance.
};

/// Withdraws a call.
struct cancel_message
{
    std::uint64_t id = 0;
};

/// What became of a call.
enum class reply_kind : std::uint8_t
{
    response,    ///< The instance answered.
    not_started, ///< No instance saw the request, and none will.
    rejected,    ///< The instance stated that it did not run the request.
    failed,      ///< The instance may have run the request.
};

/// Result of a call.
struct reply_message
{
    std::uint64_t id = 0;
    std::uint8_t kind = 0; ///< A reply_kind.
    std::uint16_t status = 0;
    std::string fields; ///< Header fields in wire form, without framing.
    std::string body;
    std::string reason; ///< Why there is no response.
    instance_status load;
};

/// Requests of one route and urgency that reach a daemon from callers, before any is shed.
struct route_demand
{
    std::string route;
    std::int32_t rank = 0; ///< An urgency.
    double rate = 0;       ///< Requests per second.
};

/// Unused tokens of a customer's limit that one daemon gives to another.
struct customer_tokens
{
    std::string customer;
    double tokens = 0;
};

/// Asks the home of a customer for a token.
struct token_request_message
{
    std::uint64_t id = 0; ///< Unique for the sender's incarnation.
    std::string customer;
    double leniency = 0; ///< 0 for the least urgent requests, 1 for the most urgent ones.
};

/// Answer to a token_request_message.
struct token_grant_message
{
    std::uint64_t id = 0;
    bool granted = false;
};

/// Age from which reported demand no longer counts; reports come twice a second.
inline constexpr core::duration max_demand_age = std::chrono::milliseconds{1200};

/// Demand that a probe reports.
struct demand_report
{
    bool covers_zone = false;               ///< Summed over the daemons of the sender's zone.
    std::vector<customer_demand> customers; ///< Those that moved since the last probe.
    std::vector<route_demand> routes;       ///< All that are asked for.
};

/// Periodic probe of a connection. Every daemon probes every other one, so a probe is short unless there is
/// something to tell.
struct probe_message
{
    std::uint64_t sequence = 0;
    std::uint64_t config_version = 0;
    std::uint32_t member_digest = 0;
    bool store_works = false;            ///< Whether the sender reaches the platform's store.
    std::vector<demand_report> demand;   ///< One report, or none for daemons that get the sum of the zone.
    std::vector<customer_tokens> tokens; ///< Given to the receiver, the home of these customers.
};

/// Answer to a probe.
struct probe_reply_message
{
    std::uint64_t sequence = 0;
    std::uint64_t config_version = 0;
    std::uint32_t member_digest = 0;
    std::vector<instance_status> status; ///< One when it moved since it was told last.
    std::vector<call_ratio> ratios;      ///< Those that moved.
};

/// Asks for the configuration that the receiver has in force.
struct config_request_message
{
    std::uint64_t known_version = 0;
};

/// A version of the configuration in the form in which the store holds it.
struct config_message
{
    std::uint64_t version = 0;
    std::string document;
};

/// Known daemons, the sender first.
struct members_message
{
    std::vector<member_record> members;
};

} // namespace laburnumreach::sidecar

namespace laburnumreach::protocol
{

template <>
struct message_layout<sidecar::member_record>
{
    static auto fields(auto& m)
    {
        return std::tie(m.daemon_id, m.started_ms, m.address, m.peer_port, m.zone, m.left);
    }
};

template <>
struct message_layout<sidecar::call_ratio>
{
    static auto fields(auto& m) { return std::tie(m.parent_route, m.child_route, m.calls_per_run); }
};

template <>
struct message_layout<sidecar::instance_status>
{
    static auto fields(auto& m)
    {
        return std::tie(m.instance_id, m.service, m.accepts_work, m.slots, m.running, m.queued,
                        m.queue_delay_ms, m.run_ms);
    }
};

template <>
struct message_layout<sidecar::customer_demand>
{
    static auto fields(auto& m) { return std::tie(m.customer, m.rate); }
};

template <>
struct message_layout<sidecar::route_demand>
{
    static auto fields(auto& m) { return std::tie(m.route, m.rank, m.rate); }
};

template <>
struct message_layout<sidecar::customer_tokens>
{
    static auto fields(auto& m) { return std::tie(m.customer, m.tokens); }
};

template <>
struct message_layout<sidecar::token_request_message>
{
    static auto fields(auto& m) { return std::tie(m.id, m.customer, m.leniency); }
};

template <>
struct message_layout<sidecar::token_grant_message>
{
    static auto fields(auto& m) { return std::tie(m.id, m.granted); }
};

template <>
struct message_layout<sidecar::hello_message>
{
    static auto fields(auto& m) { return std::tie(m.sender, m.pending_calls, m.receiver_started_ms); }
};

template <>
struct message_layout<sidecar::welcome_message>
{
    static auto fields(auto& m) { return std::tie(m.sender, m.status); }
};

template <>
struct message_layout<sidecar::call_message>
{
    static auto fields(auto& m)
    {
        return std::tie(m.id, m.service, m.route, m.attempt_id, m.method, m.target, m.fields, m.body,
                        m.remaining_ms, m.priority, m.idempotent, m.nested, m.is_retry);
    }
};

template <>
struct message_layout<sidecar::cancel_message>
{
    static auto fields(auto& m) { return std::tie(m.id); }
};

template <>
struct message_layout<sidecar::reply_message>
{
    static auto fields(auto& m)
    {
        return std::tie(m.id, m.kind, m.status, m.fields, m.body, m.reason, m.load);
    }
};

template <>
struct message_layout<sidecar::demand_report>
{
    static auto fields(auto& m) { return std::tie(m.covers_zone, m.customers, m.routes); }
};

template <>
struct message_layout<sidecar::config_request_message>
{
    static auto fields(auto& m) { return std::tie(m.known_version); }
};

template <>
struct message_layout<sidecar::probe_message>
{
    static auto fields(auto& m)
    {
        return std::tie(m.sequence, m.config_version, m.member_digest, m.store_works, m.demand, m.tokens);
    }
};

template <>
struct message_layout<sidecar::probe_reply_message>
{
    static auto fields(auto& m)
    {
        return std::tie(m.sequence, m.config_version, m.member_digest, m.status, m.ratios);
    }
};

template <>
struct message_layout<sidecar::config_message>
{
    static auto fields(auto& m) { return std::tie(m.version, m.document); }
};

template <>
struct message_layout<sidecar::members_message>
{
    static auto fields(auto& m) { return std::tie(m.members); }
};

} // namespace laburnumreach::protocol

#endif
