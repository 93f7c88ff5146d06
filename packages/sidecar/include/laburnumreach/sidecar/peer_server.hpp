#ifndef LABURNUMREACH_SIDECAR_PEER_SERVER_HPP
#define LABURNUMREACH_SIDECAR_PEER_SERVER_HPP

#include "laburnumreach/sidecar/change_tracker.hpp"
#include "laburnumreach/sidecar/fleet_state.hpp"
#include "laburnumreach/sidecar/instance_dispatcher.hpp"
#include "laburnumreach/sidecar/retained_replies.hpp"
#include "laburnumreach/sidecar/status_change_tracker.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace laburnumreach::sidecar
{

/// Number of other daemons from which the load of an instance is sent less often to those that send it no
/// calls: in a full mesh the messages of a daemon grow with the fleet.
inline constexpr std::size_t large_fleet_size = 32;

/// Limits on what a peer_server accepts.
struct peer_server_options
{
    /// Largest number of connections.
    std::size_t max_connections = 1024;
    /// Accounts for what the connections hold, and outlives them; null for no limit.
    body_memory* memory = nullptr;
};

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
        /// Called when a client meets a limit, with the name of the limit.
        std::function<void(std::string_view limit)> on_limit = [](std::string_view) {};
        /// Called when a daemon tells which instances leave; what it announces is to be kept.
        std::function<void(const member_record& sender, const departures_message&)> on_departures =
            [](const member_record&, const departures_message&) {};
    };

    peer_server(instance_dispatcher& call_dispatcher, fleet_state& known_fleet, event_log& log,
                callbacks owner_callbacks, peer_server_options chosen_limits = {});

    /// Serves an accepted connection. One that sends no hello message is closed after a while, or in favour
    /// of a new one.
    void accept(tcp::socket socket);

    /// Cancels calls of daemons that do not reconnect and expires kept replies. Call it every few
    /// milliseconds.
    void tick(core::time_point now);

    /// Returns the size of the kept replies.
    std::size_t held_bytes() const { return this->recent_replies.bytes(); }

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

    /// A connection without a hello message yet.
    struct new_connection
    {
        std::weak_ptr<frame_stream> stream;
        core::time_point accepted{};
    };

    void on_frame(const std::shared_ptr<frame_stream>& stream, std::string& daemon_id, frame_type type,
                  std::span<const std::uint8_t> body);
    void on_dropped_call(const std::string& daemon_id, std::uint64_t call_id);
    std::size_t max_new_connections() const;
    bool accepts_daemon(const std::string& daemon_id) const;
    void close_new_connections(core::time_point now, std::size_t most);
    void close_silent_connections(core::time_point now);
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

    /// Time for which the refusal of a call is kept that was not received for lack of memory.
    static constexpr core::duration dropped_call_retention = std::chrono::seconds{30};
    /// Longest time until the deadline of a call that is believed.
    static constexpr core::duration max_call_time = std::chrono::hours{1};
    /// Time in which a hello message must arrive.
    static constexpr core::duration hello_timeout = std::chrono::seconds{2};
    /// Number of connections without a hello message that are accepted beside any number of daemons.
    static constexpr std::size_t min_new_connections = 8;
    /// Largest frame before the hello message and of that message; it names all open calls.
    static constexpr std::size_t max_hello_bytes = 256 * 1024;
    /// Largest number of daemons of which calls are remembered.
    static constexpr std::size_t max_sessions = 4096;
    /// Time after which a connection is closed on which nothing arrives, or on which the peer reads nothing.
    /// A daemon that is there sends probes, and replaces a connection without replies much earlier.
    static constexpr core::duration dead_connection_time = std::chrono::seconds{30};

    /// Time between two checks for daemons that do not reconnect.
    static constexpr core::duration check_interval = std::chrono::milliseconds{100};

    instance_dispatcher& dispatcher;
    fleet_state& fleet;
    event_log& events;
    callbacks handlers;
    peer_server_options limits;
    core::time_point last_check{};
    std::deque<new_connection> new_connections; ///< The oldest first.
    std::size_t connected_sessions = 0; ///< Number of sessions with a connection, as of the last check.
    std::map<std::string, session> sessions;
    retained_replies recent_replies{max_retained_bytes};
};

} // namespace laburnumreach::sidecar

#endif
