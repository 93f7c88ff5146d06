#ifndef LABURNUMREACH_SIDECAR_PEER_LINK_HPP
#define LABURNUMREACH_SIDECAR_PEER_LINK_HPP

#include "laburnumreach/sidecar/change_tracker.hpp"
#include "laburnumreach/sidecar/event_log.hpp"
#include "laburnumreach/sidecar/fleet_knowledge.hpp"
#include "laburnumreach/sidecar/frame_stream.hpp"

#include <functional>
#include <memory>
#include <unordered_map>

namespace laburnumreach::sidecar
{

/// What a link reports.
struct peer_link_callbacks
{
    std::function<void(reply_message)> on_reply;
    /// The daemon that held the call ended; the call may have run.
    std::function<void(std::uint64_t call_id)> on_call_lost;
    /// No connection for a while; the call is held there and its fate is open.
    std::function<void(std::uint64_t call_id)> on_call_stalled;
    std::function<void(const std::string& daemon_id, const instance_status&)> on_status;
    std::function<void(const std::string& daemon_id, const std::vector<call_ratio>&)> on_ratios;
    /// Returns what to report to daemons of a zone; no value when others report for this daemon.
    std::function<std::optional<demand_report>(const std::string& zone)> demand_report_for;
    std::function<bool()> store_works;
    /// Returns the tokens to give to a daemon with a probe.
    std::function<std::vector<customer_tokens>(const std::string& daemon_id)> take_tokens_for;
    std::function<void(const token_grant_message&)> on_token_grant;
};

/// Connection to one other daemon, on which calls are sent to the instance beside it.
///
/// A broken connection is replaced at once and the open calls are resumed on the new one: the other daemon
/// keeps running them and states which of them never arrived. So a reset costs no repeated run.
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
    peer_link(asio::io_context& context, member_record target_record, fleet_knowledge& fleet,
              std::shared_ptr<const peer_link_callbacks> link_callbacks, event_log& log);

    /// Starts connecting.
    void start() { this->connect(); }

    /// Replaces the record after a restart of the other daemon.
    void update(const member_record& record);

    /// Returns whether calls can be sent now.
    bool usable() const noexcept { return this->state == phase::connected; }

    void send_call(const call_message& call);
    void send_cancel(std::uint64_t call_id);

    /// Asks the other daemon for a token; nothing is sent while the link is not usable.
    void send_token_request(const token_request_message& request);

    /// Sends the next probe at the next tick, to tell of a new configuration.
    void request_probe() { this->probe_requested = true; }

    /// Probes the connection and replaces a silent one. Call it every few milliseconds.
    void tick(core::time_point now);

    const member_record& target() const noexcept { return this->peer; }

    /// Time between two probes.
    static constexpr core::duration probe_interval = std::chrono::milliseconds{500};
    /// Silence after a probe after which the connection is replaced; several round trips within a region.
    static constexpr core::duration silence_timeout = std::chrono::milliseconds{700};

private:
    enum class phase : std::uint8_t
    {
        waiting,    ///< Until the next attempt to connect.
        connecting, ///< Until the connection is open.
        handshake,  ///< Until the welcome.
        connected,
    };

    void connect();
    void send_probe(core::time_point now);
    void on_connected(const error_code& error);
    void on_frame(frame_type type, std::span<const std::uint8_t> body);
    void on_welcome(const welcome_message& welcome);
    void disconnect(std::string_view cause);
    void report_all_lost();

    static constexpr core::duration connect_timeout = std::chrono::milliseconds{400};
    static constexpr core::duration reconnect_delay = std::chrono::milliseconds{200};
    /// Time without a connection after which open calls are reported as stalled.
    static constexpr core::duration stall_timeout = std::chrono::milliseconds{300};

    asio::io_context& io;
    member_record peer;
    fleet_knowledge& knowledge;
    std::shared_ptr<const peer_link_callbacks> callbacks;
    event_log& events;
    phase state = phase::waiting;
    std::uint64_t connect_attempt = 0; ///< Tells the callbacks of an attempt that was given up.
    std::shared_ptr<tcp::socket> connecting_socket;
    std::shared_ptr<frame_stream> stream;
    std::unordered_map<std::uint64_t, bool> open_calls; ///< Call ids; whether it was reported stalled.
    std::uint64_t peer_incarnation = 0;                 ///< Of the peer process that holds the open calls.
    /// Requests per second of a customer below which its demand counts as none.
    static constexpr double min_demand = 0.3;
    change_tracker<customer_demand> demand_tracker{min_demand};
    bool last_report_covers_zone = false; ///< Whether the last report was of the zone.
    peer_knowledge view;
    core::time_point phase_start{};
    core::time_point disconnected_since{};
    core::time_point last_probe_sent{};
    bool probe_outstanding = false;
    bool probe_requested = false; ///< Before the interval is over.
    std::uint64_t probe_sequence = 0;
};

} // namespace laburnumreach::sidecar

#endif
