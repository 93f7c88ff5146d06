#ifndef LABURNUMREACH_HTTP_RESPONSE_STREAM_HPP
#define LABURNUMREACH_HTTP_RESPONSE_STREAM_HPP

#include "server_connection.hpp"

#include <chrono>
#include <httplib.h>
#include <string>
#include <string_view>

namespace laburnumreach::http
{

/// The stream passed to cpp-httplib's process_request. It supplies a placeholder request and buffers the
/// response, so that head and body of a small response are sent by one system call.
class response_stream final : public httplib::Stream
{
public:
    /// @param method HEAD makes cpp-httplib leave out the body
    /// @param write_timeout longest wait until the socket accepts more bytes
    response_stream(const server_connection& target, std::string_view method,
                    std::chrono::milliseconds write_timeout);

    /// Sends the buffered bytes.
    /// @returns whether every byte of the response was sent
    bool flush();

    bool is_readable() const override { return true; }
    bool is_writable() const override { return true; }
    ssize_t read(char* buffer, size_t size) override;
    ssize_t write(const char* bytes, size_t size) override;
    void get_remote_ip_and_port(std::string& address, int& port) const override;
    void get_local_ip_and_port(std::string& address, int& port) const override;
    socket_t socket() const override { return this->connection.socket.descriptor(); }

private:
    void send(std::string_view bytes);

    const server_connection& connection;
    const std::chrono::milliseconds timeout;
    std::string_view unread_request;
    std::string buffered;
    bool failed = false;
};

} // namespace laburnumreach::http

#endif
