#ifndef LABURNUMREACH_SIDECAR_PEER_LINK_HPP
#define LABURNUMREACH_SIDECAR_PEER_LINK_HPP

#include "laburnumreach/sidecar/change_tracker.hpp"
#include "laburnumreach/sidecar/event_log.hpp"
#include "laburnumreach/sidecar/fleet_state.hpp"
#include "laburnumreach/sidecar/frame_stream.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

namespace laburnumreach::sidecar
{

/// Callbacks of a peer_link to its owner.
struct peer_link_callbacks
{
    std::function<void(reply_message)> on_reply;
    /// The process that held the call has ended; the call may have run.
    std::function<void(std::uint64_t call_id)> on_call_lost;
    /// The connection is down for longer than the stall timeout; the call is still held by the other daemon
    /// and its outcome is unknown.
    std::function<void(std::uint64_t call_id)> on_call_stalled;
    std::function<void(const std::string& daemon_id, const instance_status&)> on_status;
    std::function<void(const std::string& daemon_id, const std::vector<call_ratio>&)> on_ratios;
    /// Returns the demand to report to daemons of a zone; no value if other daemons report it.
    std::function<std::optional<demand_report>(const std::string& zone)> demand_report_for;
    std::function<bool()> store_works;
    /// Returns the tokens to transfer to a daemon with a probe.
    std::function<std::vector<customer_tokens>(const std::string& daemon_id)> take_tokens_for;
    std::function<void(const token_grant_message&)> on_token_grant;
    /// Returns the departures to tell a daemon; no value if there are none.
    std::function<std::optional<departures_message>(const std::string& daemon_id)> departures_for =
        [](const std::string&) { return std::nullopt; };
    /// Called when a daemon has confirmed that it holds the announced departures up to a revision.
    std::function<void(const std::string& daemon_id, std::uint64_t revision)> on_departures_held =
        [](const std::string&, std::uint64_t) {};
};

/// Connection to one other daemon that carries calls to the instance on its VM.
///
/// A broken connection is re-established at once and the open calls are resumed on the new one: the other
/// daemon keeps running them and reports those that it never received. So a connection reset causes no retry.
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
    peer_link(asio::io_context& context, member_record target_record, fleet_state& known_fleet,
              std::shared_ptr<const peer_link_callbacks> link_callbacks, event_log& log,
              body_memory* accounting_memory = nullptr);

    void start() { this->connect(); }

    /// Replaces the record. Connects at once if the other daemon was restarted and the link is down.
    void update(const member_record& record);

    /// Tells the other daemon that this one leaves the fleet. Has no effect while the link is not usable.
    void announce_departure();

    /// Tells the other daemon which instances leave. While the link is down, the next connection does.
    void send_departures();

    /// Returns whether the other daemon announced at least `time` ago that it leaves, and is not connected.
    bool has_left_for(core::duration time, core::time_point now) const;

    /// Returns whether calls sent to the other daemon have no reply yet.
    bool has_open_calls() const noexcept { return !this->open_calls.empty(); }

    /// Closes the connection. The link must not be used afterwards.
    void close();

    /// Returns whether the link is connected, so that calls can be sent.
    bool usable() const noexcept { return this->state == phase::connected; }

    void send_call(const call_message& call);
    void send_cancel(std::uint64_t call_id);

    /// Asks the other daemon for a token. Has no effect while the link is not usable.
    void send_token_request(const token_request_message& request);

    /// Sends a probe at the next tick, to announce a new configuration.
    void request_probe() { this->probe_requested = true; }

    /// Sends probes, applies timeouts and reconnects. Call it every few milliseconds.
    void tick(core::time_point now);

    const member_record& target() const noexcept { return this->peer; }

    static constexpr core::duration probe_interval = std::chrono::milliseconds{500};
    /// Time without received bytes after a probe until a reconnect; several round trips within a region.
    static constexpr core::duration silence_timeout = std::chrono::milliseconds{700};

private:
    enum class phase : std::uint8_t
    {
        waiting,    ///< Until the next connection attempt.
        connecting, ///< Until the TCP connection is established.
        handshake,  ///< Until the welcome_message arrives.
        connected,
    };

    void connect();
    void send_probe(core::time_point now);
    void on_connected(const error_code& error);
    void on_frame(frame_type type, std::span<const std::uint8_t> body);
    void on_welcome(const welcome_message& welcome);
    void on_probe_reply(const probe_reply_message& reply);
    void on_dropped_reply(std::uint64_t call_id);
    void disconnect(std::string_view cause);
    void report_all_lost();

    static constexpr core::duration connect_timeout = std::chrono::milliseconds{400};
    static constexpr core::duration reconnect_delay = std::chrono::milliseconds{200};
    /// The same for a daemon that left a while ago. It is still sought, since a daemon that is started again
    /// while the store is away knows no member, and learns the configuration from those that connect to it.
    static constexpr core::duration departed_reconnect_delay = std::chrono::seconds{1};
    /// Time without a connection until open calls are reported as stalled.
    static constexpr core::duration stall_timeout = std::chrono::milliseconds{300};

    asio::io_context& io;
    member_record peer;
    std::optional<core::time_point> left_since; ///< Time at which the departure of the peer became known.
    fleet_state& fleet;
    std::shared_ptr<const peer_link_callbacks> callbacks;
    event_log& events;
    body_memory* memory;
    phase state = phase::waiting;
    std::uint64_t connect_attempt = 0; ///< Number of the attempt; identifies callbacks of abandoned ones.
    std::shared_ptr<tcp::socket> connecting_socket;
    std::shared_ptr<frame_stream> stream;
    std::unordered_map<std::uint64_t, bool> open_calls; ///< By call id: whether it was reported as stalled.
    std::uint64_t peer_incarnation = 0; ///< Start time of the process that holds the open calls.
    /// Smallest change of a customer's demand that is reported, in requests per second.
    static constexpr double min_demand_change = 0.3;
    change_tracker<customer_demand> demand_tracker{min_demand_change};
    bool last_report_covers_zone = false; ///< Whether the last sent report was the total of the zone.
    peer_sync_state sync_state;
    core::time_point phase_start{};
    core::time_point disconnected_since{};
    core::time_point last_probe_sent{};
    bool probe_outstanding = false;
    bool probe_requested = false; ///< Send the next probe before the interval ends.
    std::uint64_t probe_sequence = 0;
};

} // namespace laburnumreach::sidecar

#endif
