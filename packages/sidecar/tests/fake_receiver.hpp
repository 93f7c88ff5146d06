#ifndef LABURNUMREACH_SIDECAR_FAKE_RECEIVER_HPP
#define LABURNUMREACH_SIDECAR_FAKE_RECEIVER_HPP

#include "laburnumreach/sidecar/frame_stream.hpp"
#include "laburnumreach/sidecar/peer_link.hpp"

#include <memory>
#include <string>
#include <vector>

namespace laburnumreach::sidecar
{

/// Server in place of a daemon that other daemons send their calls to. Collects frames and sends those that a
/// test asks for.
class fake_receiver
{
public:
    fake_receiver(asio::io_context& io, std::string id)
        : daemon_id(std::move(id)), acceptor(io, tcp::endpoint{asio::ip::address_v4::loopback(), 0})
    {
        this->accept();
    }

    member_record record() const
    {
        return {.daemon_id = this->daemon_id,
                .address = "127.0.0.1",
                .peer_port = this->acceptor.local_endpoint().port(),
                .zone = "z"};
    }

    void send_welcome(const std::string& id, std::uint64_t started_ms, const instance_status& status = {})
    {
        this->stream->send(
            frame_type::welcome,
            welcome_message{.sender = {.daemon_id = id, .started_ms = started_ms}, .status = status});
    }

    void send_reply(std::uint64_t id, reply_kind kind, std::string_view reason = {})
    {
        this->stream->send(
            frame_type::reply,
            reply_message{.id = id, .kind = static_cast<std::uint8_t>(kind), .reason = std::string{reason}});
    }

    std::string daemon_id;
    tcp::acceptor acceptor;
    std::shared_ptr<frame_stream> stream; ///< This end of the last connection.
    std::vector<hello_message> hellos;
    std::vector<std::uint64_t> calls; ///< Ids.
    std::vector<std::uint64_t> cancelled;

private:
    void accept()
    {
        this->acceptor.async_accept(
            [this](const error_code& error, tcp::socket socket)
            {
                if (error)
                {
                    return;
                }
                this->stream = std::make_shared<frame_stream>(std::move(socket));
                this->stream->start([this](frame_type type, std::span<const std::uint8_t> body)
                                    { this->on_frame(type, body); },
                                    [] {});
                this->accept();
            });
    }

    void on_frame(frame_type type, std::span<const std::uint8_t> body)
    {
        if (type == frame_type::hello)
        {
            this->hellos.push_back(*protocol::decode_message<hello_message>(body));
        }
        else if (type == frame_type::call)
        {
            this->calls.push_back(protocol::decode_message<call_message>(body)->id);
        }
        else if (type == frame_type::cancel)
        {
            this->cancelled.push_back(protocol::decode_message<cancel_message>(body)->id);
        }
    }
};

/// Returns callbacks that do nothing.
inline peer_link_callbacks make_idle_callbacks()
{
    return {.on_reply = [](const reply_message&) {},
            .on_call_lost = [](std::uint64_t) {},
            .on_call_stalled = [](std::uint64_t) {},
            .on_status = [](const std::string&, const instance_status&) {},
            .on_ratios = [](const std::string&, const std::vector<call_ratio>&) {},
            .demand_report_for = [](const std::string&) { return std::nullopt; },
            .store_works = [] { return true; },
            .take_tokens_for = [](const std::string&) { return std::vector<customer_tokens>{}; },
            .on_token_grant = [](const token_grant_message&) {}};
}

} // namespace laburnumreach::sidecar

#endif
