#ifndef LABURNUMREACH_SIDECAR_PEER_SERVER_HPP
#define LABURNUMREACH_SIDECAR_PEER_SERVER_HPP

#include "laburnumreach/sidecar/change_tracker.hpp"
#include "laburnumreach/sidecar/fleet_state.hpp"
#include "laburnumreach/sidecar/instance_dispatcher.hpp"
#include "laburnumreach/sidecar/retained_replies.hpp"
#include "laburnumreach/sidecar/status_change_tracker.hpp"

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace laburnumreach::sidecar
{

/// Number of other daemons from which the load of an instance is sent less often to those that send it no
/// calls: in a full mesh the messages of a daemon grow with the fleet.
inline constexpr std::size_t large_fleet_size = 32;

/// Accepts the connections of other daemons and runs their calls.
class peer_server
{
public:
    /// Callbacks of the server to its owner.
    struct callbacks
    {
        std::function<std::span<const call_ratio>()> ratios;
        /// Called with each received probe.
        std::function<void(const member_record& sender, const probe_message&)> on_probe;
        std::function<token_grant_message(const token_request_message&)> on_token_request;
    };

    peer_server(instance_dispatcher& call_dispatcher, fleet_state& known_fleet, event_log& log,
                callbacks owner_callbacks);

    /// Serves an accepted connection.
    void accept(tcp::socket socket);

    /// Cancels calls of daemons that do not reconnect and expires kept replies. Call it every few
    /// milliseconds.
    void tick(core::time_point now);

    /// Returns the size of all frames and kept replies.
    std::size_t held_bytes() const;

    /// Sends the state of the instance to the connected daemons.
    /// @param is_change whether all of them must know it at once; if not, those that sent no call lately get
    /// it
    ///        less often in a large fleet
    void broadcast_status(const instance_status& status, bool is_change);

private:
    /// Smallest change of a call ratio that is reported, in calls per run.
    static constexpr double min_ratio_change = 0.02;

    /// A call without a reply yet.
    struct open_call
    {
        instance_dispatcher::ticket ticket = 0;
        core::time_point deadline{};
    };

    /// Calls of one process of another daemon. A session outlives its connections.
    struct session
    {
        member_record sender;
        std::shared_ptr<frame_stream> stream;
        std::unordered_map<std::uint64_t, open_call> open_calls;
        /// Highest id of a received call. The sender's ids increase, and frames arrive in order, so a call
        /// with a higher id was never received, and any other one was.
        std::uint64_t last_received_call = 0;
        core::time_point disconnected_since{};
        core::time_point last_call{};   ///< Time of the last call from this daemon.
        core::time_point status_sent{}; ///< Time of the last status that was broadcast to it.
        change_tracker<call_ratio> ratio_tracker{min_ratio_change};
        status_change_tracker status_tracker;
        peer_sync_state sync_state;
    };

    void on_frame(const std::shared_ptr<frame_stream>& stream, std::string& daemon_id, frame_type type,
                  std::span<const std::uint8_t> body);
    void on_probe(session& peer, const probe_message& probe);
    void on_hello(const std::shared_ptr<frame_stream>& stream, std::string& daemon_id,
                  const hello_message& hello);
    void resume(session& peer, const hello_message& hello);
    reply_message missing_call_reply(const session& peer, std::uint64_t call_id) const;
    void on_call(const std::string& daemon_id, call_message call);
    void on_reply(const std::string& daemon_id, std::uint64_t started_ms, reply_message reply);
    cancel_result cancel_call(session& peer, std::uint64_t call_id);
    void cancel_all_calls(session& peer);
    void abandon_calls(const std::string& daemon_id, session& peer);

    /// Time after the deadline of a call for which its reply is kept, in case the connection was lost. A
    /// sender asks for a call after its deadline only if it was suspended meanwhile.
    static constexpr core::duration reply_retention = std::chrono::seconds{1};
    /// A tenth of the memory of the smallest VM.
    static constexpr std::size_t max_retained_bytes = 16 * 1024 * 1024;
    /// Time without a connection until the calls of a daemon are cancelled.
    static constexpr core::duration disconnect_timeout = std::chrono::seconds{2};

    /// Maximum time without received bytes on a connection. The sender sends probes at a shorter interval,
    /// and reconnects after about this time.
    static constexpr core::duration silence_timeout = std::chrono::milliseconds{1200};

    /// Time between two checks for daemons that do not reconnect.
    static constexpr core::duration check_interval = std::chrono::milliseconds{100};

    instance_dispatcher& dispatcher;
    fleet_state& fleet;
    event_log& events;
    callbacks handlers;
    core::time_point last_check{};
    std::map<std::string, session> sessions;
    retained_replies recent_replies{max_retained_bytes};
};

} // namespace laburnumreach::sidecar

#endif
