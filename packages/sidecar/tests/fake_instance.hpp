#ifndef LABURNUMREACH_SIDECAR_FAKE_INSTANCE_HPP
#define LABURNUMREACH_SIDECAR_FAKE_INSTANCE_HPP

#include "laburnumreach/sidecar/server_connection.hpp"

#include <memory>
#include <string>
#include <vector>

namespace laburnumreach::sidecar
{

/// HTTP server on the loopback address in place of an instance. Responds when the test calls answer().
class fake_instance
{
public:
    explicit fake_instance(asio::io_context& io)
        : acceptor(io, tcp::endpoint{asio::ip::address_v4::loopback(), 0}),
          context(std::make_shared<server_context>())
    {
        this->context->limits = [] { return caller_limits{}; };
        this->context->handle = [this](const std::shared_ptr<exchange>& request)
        { this->requests.push_back(request); };
        this->accept();
    }

    void answer(std::size_t index)
    {
        const std::string id{http::find_header(this->requests.at(index)->head.headers, "X-Attempt")};
        this->requests.at(index)->respond(
            {.status = 200, .fields = "X-Attempt: " + id + "\r\nX-Signature: s\r\n", .body = "whole"});
    }

    tcp::acceptor acceptor;
    std::vector<std::shared_ptr<exchange>> requests;

private:
    void accept()
    {
        this->acceptor.async_accept(
            [this](const error_code& error, tcp::socket socket)
            {
                if (!error)
                {
                    std::make_shared<server_connection>(std::move(socket), this->context)->start();
                    this->accept();
                }
            });
    }

    std::shared_ptr<server_context> context;
};

} // namespace laburnumreach::sidecar

#endif
