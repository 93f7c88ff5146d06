#include "laburnumreach/standin/loopback_server.hpp"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace laburnumreach::standin
{

namespace
{

constexpr std::chrono::seconds idle_timeout{3600};
constexpr int listen_backlog = 1024;
constexpr std::size_t most_body_bytes = 64 * 1024 * 1024;

/// State of the request that the current thread handles. cpp-httplib gives its handlers only the request.
struct request_context
{
    connection* caller = nullptr;
    std::string path;
};

thread_local request_context context;

core::error system_error(const std::string& what)
{
    return core::error{.code = core::error_code::io, .message = what + ": " + std::strerror(errno)};
}

/// Ends a listening socket at once. Without the shutdown it accepts until the poll of the other thread
/// returns.
void close_listener(int descriptor)
{
    ::shutdown(descriptor, SHUT_RDWR);
    ::close(descriptor);
}

} // namespace

loopback_server::loopback_server(const loopback_server_options& options, request_handler handle_request)
    : address(options.listen),
      handler(std::move(handle_request)),
      wake_descriptor(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
      workers("standin-worker", options.most_connections)
{
    const auto dispatch = [this](const httplib::Request& request, httplib::Response& response)
    { this->handler(request, context.path, response, *context.caller); };
    // prepare replaces each path by "/": cpp-httplib matches std::regex patterns, which recurse per
    // character.
    this->Get("/", dispatch);
    this->Post("/", dispatch);
    this->Put("/", dispatch);
    this->Patch("/", dispatch);
    this->Delete("/", dispatch);
    this->Options("/", dispatch);
    this->set_keep_alive_max_count(1'000'000'000);
    this->set_keep_alive_timeout(idle_timeout.count());
    this->set_payload_max_length(most_body_bytes);
}

loopback_server::~loopback_server()
{
    this->stop_serving();
    ::close(this->wake_descriptor);
}

core::result<void> loopback_server::start()
{
    const core::result<int> opened = this->open_listener();
    if (!opened)
    {
        return tl::unexpected(opened.error());
    }
    this->listener = *opened;
    this->acceptor = core::posix_thread{{.name = "standin-accept"}, [this] { this->accept_loop(); }};
    return {};
}

void loopback_server::stop_serving()
{
    this->stopping = true;
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t written = ::write(this->wake_descriptor, &one, sizeof(one));
    this->acceptor.join();
    {
        const std::lock_guard lock{this->mutex};
        for (connection* const open : this->connections)
        {
            open->shut_down();
        }
        if (this->listener >= 0)
        {
            close_listener(std::exchange(this->listener, -1));
        }
    }
    this->workers.stop();
}

core::result<void> loopback_server::refuse_connections(bool refuse)
{
    const std::lock_guard lock{this->mutex};
    if (refuse && this->listener >= 0)
    {
        close_listener(std::exchange(this->listener, -1));
    }
    else if (!refuse && this->listener < 0 && !this->stopping)
    {
        const core::result<int> opened = this->open_listener();
        if (!opened)
        {
            return tl::unexpected(opened.error());
        }
        this->listener = *opened;
    }
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t written = ::write(this->wake_descriptor, &one, sizeof(one));
    return {};
}

void loopback_server::silence_open_connections(const connection* spared)
{
    const std::lock_guard lock{this->mutex};
    for (connection* const open : this->connections)
    {
        if (open != spared)
        {
            open->set_silent();
        }
    }
}

core::result<int> loopback_server::open_listener()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (descriptor < 0)
    {
        return tl::unexpected(system_error("socket"));
    }
    // Without SO_REUSEPORT a second program on the same port fails to bind.
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in bound{};
    bound.sin_family = AF_INET;
    bound.sin_port = htons(this->address.port);
    socklen_t length = sizeof(bound);
    ::inet_pton(AF_INET, this->address.ip.c_str(), &bound.sin_addr);
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&bound), length) != 0 ||
        ::listen(descriptor, listen_backlog) != 0 ||
        ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&bound), &length) != 0)
    {
        const core::error cause =
            system_error("listen on " + this->address.ip + ":" + std::to_string(this->address.port));
        ::close(descriptor);
        return tl::unexpected(cause);
    }
    if (this->address.port == 0)
    {
        this->address.port = ntohs(bound.sin_port);
    }
    return descriptor;
}

void loopback_server::accept_loop()
{
    while (!this->stopping)
    {
        int descriptor = -1;
        {
            const std::lock_guard lock{this->mutex};
            descriptor = this->listener;
        }
        std::array<pollfd, 2> entries{{{.fd = this->wake_descriptor, .events = POLLIN, .revents = 0},
                                       {.fd = descriptor, .events = POLLIN, .revents = 0}}};
        if (::poll(entries.data(), entries.size(), -1) < 0 && errno != EINTR)
        {
            return;
        }
        if ((entries[0].revents & POLLIN) != 0)
        {
            std::uint64_t count = 0;
            [[maybe_unused]] const ssize_t taken = ::read(this->wake_descriptor, &count, sizeof(count));
        }
        else if (entries[1].revents != 0)
        {
            this->accept_from(descriptor);
        }
    }
}

void loopback_server::accept_from(int listener_descriptor)
{
    // Under the lock, so that refuse_connections can't close the descriptor in between.
    const std::lock_guard lock{this->mutex};
    if (this->listener != listener_descriptor)
    {
        return;
    }
    const int descriptor = ::accept4(listener_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor >= 0)
    {
        const int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        auto caller = std::make_shared<connection>(descriptor);
        if (this->silence_new)
        {
            caller->set_silent();
        }
        this->workers.submit([this, caller] { this->serve(*caller); });
    }
}

void loopback_server::serve(connection& caller)
{
    {
        const std::lock_guard lock{this->mutex};
        if (this->stopping)
        {
            return;
        }
        this->connections.insert(&caller);
    }
    while (!caller.ends() && !this->stopping && caller.wait_for_request(idle_timeout))
    {
        bool closed = false;
        const bool answered = this->process_request(caller, false, closed,
                                                    [this, &caller](httplib::Request& request)
                                                    { this->prepare(request, caller); });
        if (!answered || closed)
        {
            break;
        }
    }
    const std::lock_guard lock{this->mutex};
    this->connections.erase(&caller);
}

void loopback_server::prepare(httplib::Request& request, connection& caller) const
{
    context.caller = &caller;
    context.path = std::exchange(request.path, "/");
    if (this->before_body)
    {
        this->before_body(context.path, caller);
    }
    // A client that accepts compression would get answers that it can't compare byte by byte.
    request.headers.erase("Accept-Encoding");
    const bool has_length = request.has_header("Content-Length");
    const bool is_chunked = request.has_header("Transfer-Encoding");
    const bool reads_body = request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
    if (reads_body && !has_length && !is_chunked)
    {
        // Otherwise cpp-httplib reads until the caller closes.
        request.headers.emplace("Content-Length", "0");
    }
    else if (!reads_body && (has_length || is_chunked))
    {
        // cpp-httplib leaves this body unread, and it would be taken for the next request.
        caller.close_after_answer();
    }
}

} // namespace laburnumreach::standin
