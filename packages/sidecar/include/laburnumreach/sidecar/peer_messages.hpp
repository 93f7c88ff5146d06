#ifndef LABURNUMREACH_SIDECAR_PEER_MESSAGES_HPP
#define LABURNUMREACH_SIDECAR_PEER_MESSAGES_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/protocol/message_codec.hpp"
#include "laburnumreach/sidecar/instance_departure.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace laburnumreach::sidecar
{

/// Identity and address of a daemon of the fleet.
struct member_record
{
    std::string daemon_id;
    /// Wall-clock start time of the process; a restarted daemon has a later one.
    std::uint64_t started_ms = 0;
    std::string address; ///< IP address.
    std::uint16_t peer_port = 0;
    std::string zone;
    bool left = false; ///< The process announced its shutdown.
};

/// Returns whether a record names a daemon that can be connected to. A record from the store or from a peer
/// may originate from another writer.
bool is_valid(const member_record& record);

/// Largest number of nested calls per run that is not taken for an error of the writer.
inline constexpr double max_calls_per_run = 10'000;

/// Mean number of nested calls of a child route that one run of a parent route makes.
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
    std::uint32_t queue_delay_ms = 0; ///< Larger one of the wait of the last started call and of the oldest
                                      ///< queued one; zero without queued calls.
    std::uint32_t run_ms = 0;         ///< Mean run time of a call on a slot.
};

/// Request rate of one customer at one daemon.
struct customer_demand
{
    std::string customer;
    double rate = 0; ///< Requests per second.
};

/// First message on a connection, sent by the connecting daemon.
struct hello_message
{
    member_record sender;
    std::vector<std::uint64_t> pending_calls; ///< Calls sent to this receiver that have no reply yet.
    std::uint64_t receiver_started_ms = 0;    ///< Start time of the process that got them; zero for none.
};

/// Reply to a hello_message.
struct welcome_message
{
    member_record sender;
    instance_status status;
};

/// A request for the instance on the receiver's VM.
struct call_message
{
    std::uint64_t id = 0; ///< Higher than that of every call sent before by this process of the sender.
    std::string service;
    std::string route;
    std::string attempt_id;
    std::string method;
    std::string target;
    std::string fields; ///< Serialized header fields, without those that the receiver sets.
    std::string body;
    std::uint32_t remaining_ms = 0;
    std::int32_t priority = 0;
    bool idempotent = false;
    bool nested = false;   ///< Made by a run in progress, not by an external caller.
    bool is_retry = false; ///< A previous attempt may have reached an instance.
};

/// Cancels a call.
struct cancel_message
{
    std::uint64_t id = 0;
};

/// Outcome of a call.
enum class reply_kind : std::uint8_t
{
    response,    ///< The instance answered.
    not_started, ///< No instance received the request, and none will.
    rejected,    ///< The instance stated that it did not run the request.
    failed,      ///< The instance may have run the request.
};

/// Result of a call.
struct reply_message
{
    std::uint64_t id = 0;
    std::uint8_t kind = 0; ///< Value of reply_kind.
    std::uint16_t status = 0;
    std::string fields; ///< Serialized header fields, without framing fields.
    std::string body;
    std::string reason;   ///< Cause, if there is no response.
    instance_status load; ///< State of the instance when the reply was made.
};

/// Rate of requests of one route and priority rank that callers send to a daemon, before shedding.
struct route_demand
{
    std::string route;
    std::int32_t rank = 0; ///< A priority_rank, 0 for the most urgent requests.
    double rate = 0;       ///< Requests per second.
};

/// Unused rate limit tokens of a customer that one daemon transfers to another.
struct customer_tokens
{
    std::string customer;
    double tokens = 0;
};

/// Asks the pool daemon of a customer for a rate limit token.
struct token_request_message
{
    std::uint64_t id = 0; ///< Unique for one process of the sender.
    std::string customer;
    double urgency = 0; ///< 0 for the least urgent requests, 1 for the most urgent ones.
};

/// Reply to a token_request_message.
struct token_grant_message
{
    std::uint64_t id = 0;
    bool granted = false;
};

/// Reported demand older than this is ignored. Reports are sent twice a second.
inline constexpr core::duration max_demand_age = std::chrono::milliseconds{1200};

/// Request rates reported with a probe.
struct demand_report
{
    bool covers_zone = false;               ///< Total over the daemons of the sender's zone.
    std::vector<customer_demand> customers; ///< Only those that changed since the last probe.
    std::vector<route_demand> routes;       ///< All routes with requests.
};

/// Periodic probe of a connection. Every daemon probes every other one, so probes are kept short.
struct probe_message
{
    std::uint64_t sequence = 0;
    std::uint64_t config_version = 0;
    std::uint32_t member_digest = 0;
    bool store_works = false;            ///< Whether the sender can use the platform's store.
    std::vector<demand_report> demand;   ///< At most one report; none if another daemon reports for the zone.
    std::vector<customer_tokens> tokens; ///< Transferred to the receiver, the pool daemon of these customers.
};

/// Reply to a probe_message.
struct probe_reply_message
{
    std::uint64_t sequence = 0;
    std::uint64_t config_version = 0;
    std::uint32_t member_digest = 0;
    std::vector<instance_status> status; ///< At most one; sent if it changed since it was sent last.
    std::vector<call_ratio> ratios;      ///< Only those that changed.
};

/// Asks for the receiver's active configuration.
struct config_request_message
{
    std::uint64_t known_version = 0;
};

/// A version of the configuration, as the document in the store.
struct config_message
{
    std::uint64_t version = 0;
    std::string document;
};

/// Departures of instances, sent by the connecting daemon after its hello message and after each change.
struct departures_message
{
    std::uint64_t revision = 0;                ///< Number of the sender's last change.
    std::vector<instance_departure> announced; ///< Of the instance beside the sender.
    std::vector<std::string> withdrawn;        ///< Ids of instances beside the sender that work again.
    /// What the receiver, or an earlier process of it, told the sender of the instance beside the receiver.
    std::vector<instance_departure> remembered;
};

/// Reply to a departures_message: the sender keeps what was announced.
struct departures_held_message
{
    std::uint64_t revision = 0; ///< Of the departures_message.
};

/// All daemons known to the sender, the sender first.
struct members_message
{
    std::vector<member_record> members;
};

/// Returns whether the rates, tokens and ratios of a message are usable. A NaN or a negative amount would
/// spoil the sums over all daemons.
bool is_valid(const probe_message& message);
bool is_valid(const probe_reply_message& message);
bool is_valid(const token_request_message& message);
bool is_valid(const departures_message& message);

/// The other messages carry no such values.
template <typename Message>
bool is_valid(const Message& /*message*/)
{
    return true;
}

/// Decodes the body of a frame from another daemon.
/// @returns no value if it is no such message, or states amounts outside their range
template <typename Message>
std::optional<Message> decode_frame(std::span<const std::uint8_t> body)
{
    std::optional<Message> message = protocol::decode_message<Message>(body);
    return message && is_valid(*message) ? std::move(message) : std::nullopt;
}

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
    static auto fields(auto& m) { return std::tie(m.id, m.customer, m.urgency); }
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
    /// The message may be as large as a request or a response, but has few elements.
    static constexpr decode_limits limits{.max_elements = 64, .max_depth = 3};

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
    /// The message may be as large as a request or a response, but has few elements.
    static constexpr decode_limits limits{.max_elements = 64, .max_depth = 3};

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
struct message_layout<sidecar::instance_departure>
{
    static auto fields(auto& m) { return std::tie(m.instance_id, m.last_start_ms); }
};

template <>
struct message_layout<sidecar::departures_message>
{
    static constexpr decode_limits limits{.max_elements = 64, .max_depth = 4};

    static auto fields(auto& m) { return std::tie(m.revision, m.announced, m.withdrawn, m.remembered); }
};

template <>
struct message_layout<sidecar::departures_held_message>
{
    static auto fields(auto& m) { return std::tie(m.revision); }
};

template <>
struct message_layout<sidecar::members_message>
{
    static auto fields(auto& m) { return std::tie(m.members); }
};

} // namespace laburnumreach::protocol

#endif
