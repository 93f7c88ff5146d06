#ifndef LABURNUMREACH_SIDECAR_FAKE_PEER_HPP
#define LABURNUMREACH_SIDECAR_FAKE_PEER_HPP

#include "laburnumreach/sidecar/frame_stream.hpp"
#include "laburnumreach/sidecar/peer_messages.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace laburnumreach::sidecar
{

/// Start times of the processes in tests of the protocol between daemons.
inline constexpr std::uint64_t sender_started_ms = 7;
inline constexpr std::uint64_t own_started_ms = 9;

/// Client that sends and receives frames in place of another daemon.
class fake_peer
{
public:
    fake_peer(asio::io_context& io, const tcp::endpoint& address)
    {
        tcp::socket socket{io};
        socket.connect(address);
        this->stream = std::make_shared<frame_stream>(std::move(socket));
        this->stream->start(
            [this](frame_type type, std::span<const std::uint8_t> body)
            {
                ++this->frames[type];
                if (type == frame_type::reply)
                {
                    this->replies.push_back(*protocol::decode_message<reply_message>(body));
                }
            },
            [this] { this->closed = true; });
    }

    ~fake_peer() { this->stream->close(); }

    fake_peer(const fake_peer&) = delete;
    fake_peer& operator=(const fake_peer&) = delete;

    void send_hello(std::vector<std::uint64_t> pending = {}, std::uint64_t sender_ms = sender_started_ms,
                    const std::string& daemon_id = "peer", std::uint64_t receiver_ms = own_started_ms)
    {
        this->stream->send(frame_type::hello,
                           hello_message{.sender = {.daemon_id = daemon_id, .started_ms = sender_ms},
                                         .pending_calls = std::move(pending),
                                         .receiver_started_ms = receiver_ms});
    }

    void send_probe(std::uint64_t config_version)
    {
        this->stream->send(frame_type::probe, probe_message{.sequence = 1,
                                                            .config_version = config_version,
                                                            .member_digest = 1,
                                                            .demand = {},
                                                            .tokens = {}});
    }

    void send_call(std::uint64_t id, bool idempotent, std::uint32_t remaining_ms = 60'000)
    {
        this->stream->send(frame_type::call,
                           call_message{.id = id,
                                        .service = "s",
                                        .route = "r",
                                        .attempt_id = "a-" + std::to_string(id),
                                        .method = "GET",
                                        .target = "/",
                                        .fields = "Host: h\r\nX-Attempt: a-" + std::to_string(id) + "\r\n",
                                        .remaining_ms = remaining_ms,
                                        .idempotent = idempotent});
    }

    std::shared_ptr<frame_stream> stream;
    std::vector<reply_message> replies;
    std::map<frame_type, int> frames; ///< Number of received frames by type.
    bool closed = false;
};

inline reply_kind kind_of(const reply_message& reply)
{
    return static_cast<reply_kind>(reply.kind);
}

} // namespace laburnumreach::sidecar

#endif
