#ifndef LABURNUMREACH_SIDECAR_FAKE_UPSTREAM_HPP
#define LABURNUMREACH_SIDECAR_FAKE_UPSTREAM_HPP

#include "laburnumreach/config/endpoint.hpp"
#include "laburnumreach/sidecar/server_connection.hpp"

#include <atomic>
#include <memory>
#include <string>
#include <thread>

namespace laburnumreach::sidecar
{

/// An upstream in a thread of its own. Answers health checks while it is healthy, and requests after the
/// number of milliseconds that their path ends with.
class fake_upstream
{
public:
    explicit fake_upstream(const config::endpoint& address)
        : acceptor(this->io, make_endpoint(address.address, address.port)),
          context(std::make_shared<server_context>())
    {
        this->context->limits = [] { return caller_limits{}; };
        this->context->handle = [this](const std::shared_ptr<exchange>& request) { this->handle(request); };
        this->accept();
        this->thread = std::thread{[this] { this->io.run(); }};
    }

    ~fake_upstream()
    {
        this->io.stop();
        this->thread.join();
    }

    fake_upstream(const fake_upstream&) = delete;
    fake_upstream& operator=(const fake_upstream&) = delete;

    std::atomic<bool> healthy{true};
    std::atomic<int> health_checks{0};
    std::atomic<int> requests{0};
    std::atomic<int> last_deadline_ms{0}; ///< Of the last request; zero if it had none.

private:
    void handle(const std::shared_ptr<exchange>& request)
    {
        const std::string& target = request->head.target;
        if (target == "/health")
        {
            ++this->health_checks;
            request->respond({.status = this->healthy ? 200 : 503,
                              .fields = this->healthy ? "X-Instance: i-1\r\nX-Load: 0,0,100\r\n" : ""});
            return;
        }
        const std::string deadline{http::find_header(request->head.headers, "X-Deadline")};
        this->last_deadline_ms = deadline.empty() ? 0 : std::stoi(deadline);
        ++this->requests;
        const auto timer = std::make_shared<asio::steady_timer>(
            this->io, std::chrono::milliseconds{std::stoi(target.substr(target.rfind('/') + 1))});
        timer->async_wait(
            [request, timer](const error_code& error)
            {
                const std::string id{http::find_header(request->head.headers, "X-Attempt")};
                if (!error)
                {
                    request->respond({.status = 200,
                                      .fields = "X-Attempt: " + id + "\r\nX-Signature: s\r\n",
                                      .body = "whole"});
                }
            });
    }

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

    asio::io_context io{1};
    tcp::acceptor acceptor;
    std::shared_ptr<server_context> context;
    std::thread thread;
};

} // namespace laburnumreach::sidecar

#endif
