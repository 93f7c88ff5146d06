#include "laburnumreach/http/server.hpp"

#include "connection_table.hpp"
#include "laburnumreach/core/posix_thread.hpp"
#include "listener.hpp"
#include "request_processor.hpp"

#include <array>
#include <atomic>
#include <cassert>
#include <cerrno>
#include <netdb.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <system_error>
#include <vector>

namespace laburnumreach::http
{

namespace
{

constexpr std::size_t read_size = 16 * 1024;
/// A lingering connection is closed when the caller sends more than this.
constexpr std::size_t max_discarded_bytes = 4 * 1024 * 1024;
/// How often timeouts of parked connections are checked.
constexpr std::chrono::milliseconds sweep_interval{250};
/// Wait after a failed accept, for example when descriptors run out.
constexpr std::chrono::milliseconds accept_retry_interval{10};

std::string numeric_address(const sockaddr_storage& address, socklen_t size)
{
    std::array<char, NI_MAXHOST> text{};
    ::getnameinfo(reinterpret_cast<const sockaddr*>(&address), size, text.data(), text.size(), nullptr, 0,
                  NI_NUMERICHOST);
    return text.data();
}

} // namespace

class server::implementation
{
public:
    implementation(server_options settings, request_handler request_callback)
        : options(std::move(settings)),
          handler(std::move(request_callback)),
          table(this->options, this->counters),
          wake_event(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
    {
    }

    core::result<void> start();
    void accept_loop();
    void worker_loop();
    void begin_drain();
    void stop();

    const server_options options;
    const request_handler handler;
    server_counters counters;
    connection_table table;
    listener acceptor;

private:
    void accept_pending(request_processor& processor);
    void serve(server_connection& connection, request_processor& processor);
    bool serve_next(server_connection& connection, request_processor& processor);
    connection_action refuse_invalid(server_connection& connection, request_processor& processor,
                                     message_error error);
    bool finish(server_connection& connection, connection_action action);
    void discard(server_connection& connection);

    void set_listener_closed();

    tcp_socket wake_event; ///< Interrupts the poll of the accept thread.
    std::atomic<bool> listener_closed{false};
    core::posix_thread accept_thread;
    std::vector<core::posix_thread> workers;
};

core::result<void> server::implementation::start()
{
    if (auto opened = this->acceptor.open(this->options); !opened)
    {
        return opened;
    }
    const auto thread_options = [this](const char* role)
    {
        return core::posix_thread_options{.name = this->options.name + role,
                                          .stack_bytes = this->options.worker_stack_bytes};
    };
    this->accept_thread = core::posix_thread{thread_options("-accept"), [this] { this->accept_loop(); }};
    for (std::size_t count = 0; count < this->options.workers; ++count)
    {
        this->workers.emplace_back(thread_options("-work"), [this] { this->worker_loop(); });
    }
    return {};
}

void server::implementation::accept_loop()
{
    request_processor processor{this->options, this->handler, this->table, this->counters};
    while (!this->table.stopping())
    {
        std::array<pollfd, 2> entries{
            pollfd{.fd = this->wake_event.descriptor(), .events = POLLIN, .revents = 0},
            pollfd{.fd = this->acceptor.socket().descriptor(), .events = POLLIN, .revents = 0}};
        ::poll(entries.data(), entries.size(), static_cast<int>(sweep_interval.count()));
        eventfd_t ignored = 0;
        ::eventfd_read(this->wake_event.descriptor(), &ignored);
        if (this->table.draining())
        {
            this->acceptor.close();
            this->set_listener_closed();
        }
        else if ((entries[1].revents & POLLIN) != 0)
        {
            this->accept_pending(processor);
        }
        this->table.close_expired(core::boot_clock::now());
    }
    this->acceptor.close();
    this->set_listener_closed();
}

void server::implementation::set_listener_closed()
{
    this->listener_closed.store(true);
    this->listener_closed.notify_all();
}

void server::implementation::accept_pending(request_processor& processor)
{
    // Bounded, so that timeouts are also checked while new connections keep arriving.
    constexpr int max_batch = 256;
    for (int count = 0; count < max_batch; ++count)
    {
        sockaddr_storage address{};
        socklen_t size = sizeof address;
        tcp_socket socket{::accept4(this->acceptor.socket().descriptor(),
                                    reinterpret_cast<sockaddr*>(&address), &size,
                                    SOCK_NONBLOCK | SOCK_CLOEXEC)};
        if (!socket.is_open())
        {
            if (errno != EAGAIN && errno != ECONNABORTED && errno != EINTR)
            {
                // Out of descriptors or memory: the listening socket stays readable, so wait briefly to avoid
                // a busy loop.
                ::poll(nullptr, 0, static_cast<int>(accept_retry_interval.count()));
            }
            return;
        }
        socket.set_options(this->options.silent_peer_timeout);
        const bool refused = this->table.full();
        this->counters.accepted.fetch_add(1, std::memory_order_relaxed);
        this->counters.refused_connections.fetch_add(refused ? 1 : 0, std::memory_order_relaxed);
        server_connection* const connection =
            this->table.add(std::move(socket), numeric_address(address, size));
        if (connection == nullptr)
        {
            continue;
        }
        if (refused)
        {
            constexpr core::verdict verdict{.result = core::outcome::not_run,
                                            .why = core::reason::overloaded,
                                            .retry_after = std::chrono::milliseconds{1000}};
            this->finish(*connection, processor.refuse(*connection, verdict));
        }
        else
        {
            this->table.park(*connection, connection_phase::idle);
        }
    }
}

void server::implementation::worker_loop()
{
    request_processor processor{this->options, this->handler, this->table, this->counters};
    while (!this->table.stopping())
    {
        server_connection* const connection = this->table.wait();
        if (connection == nullptr)
        {
            continue;
        }
        this->counters.busy_workers.fetch_add(1, std::memory_order_relaxed);
        this->serve(*connection, processor);
        this->counters.busy_workers.fetch_sub(1, std::memory_order_relaxed);
    }
}

void server::implementation::serve(server_connection& connection, request_processor& processor)
{
    if (connection.last_response_sent)
    {
        this->discard(connection);
        return;
    }
    while (this->serve_next(connection, processor))
    {
    }
}

/// Serves the next request, or receives more of it.
/// @returns whether this worker still owns the connection
bool server::implementation::serve_next(server_connection& connection, request_processor& processor)
{
    const auto end = find_head_end(connection.input, connection.scanned, this->options.max_head_bytes);
    if (!end)
    {
        return this->finish(connection, this->refuse_invalid(connection, processor, end.error()));
    }
    if (*end == 0)
    {
        const io_result received = connection.socket.append_received(connection.input, read_size);
        if (received.status == io_status::would_block)
        {
            this->table.park(connection,
                             connection.input.empty() ? connection_phase::idle : connection_phase::partial);
            return false;
        }
        return this->finish(connection, received.status == io_status::ok ? connection_action::keep
                                                                         : connection_action::close);
    }
    auto head = parse_request_head(std::string_view{connection.input}.substr(0, *end));
    connection.input.erase(0, *end);
    connection.scanned = 0;
    if (!head)
    {
        return this->finish(connection, this->refuse_invalid(connection, processor, head.error()));
    }
    const connection_action action = processor.process(connection, std::move(*head));
    connection.wait_started_at = core::boot_clock::now();
    return this->finish(connection, action);
}

connection_action server::implementation::refuse_invalid(server_connection& connection,
                                                         request_processor& processor, message_error error)
{
    this->counters.errors[static_cast<std::size_t>(error)].fetch_add(1, std::memory_order_relaxed);
    const core::reason why =
        error == message_error::head_too_large ? core::reason::header_too_large : core::reason::bad_request;
    return processor.refuse(connection, {.result = core::outcome::not_run, .why = why});
}

/// Keeps, parks or closes a connection after a response.
/// @returns whether this worker still owns the connection
bool server::implementation::finish(server_connection& connection, connection_action action)
{
    switch (action)
    {
    case connection_action::keep:
        return true;
    case connection_action::linger:
        connection.socket.shutdown_write();
        connection.last_response_sent = true;
        connection.wait_started_at = core::boot_clock::now();
        connection.input.clear();
        this->table.park(connection, connection_phase::lingering);
        return false;
    case connection_action::close:
        break;
    }
    this->table.close(connection);
    return false;
}

void server::implementation::discard(server_connection& connection)
{
    std::array<char, read_size> ignored;
    for (;;)
    {
        const io_result received = connection.socket.receive(ignored);
        connection.discarded += received.size;
        if (received.status == io_status::would_block)
        {
            this->table.park(connection, connection_phase::lingering);
            return;
        }
        if (received.status != io_status::ok || connection.discarded > max_discarded_bytes)
        {
            this->table.close(connection);
            return;
        }
    }
}

void server::implementation::begin_drain()
{
    this->table.begin_drain();
    ::eventfd_write(this->wake_event.descriptor(), 1);
    this->listener_closed.wait(false);
}

void server::implementation::stop()
{
    this->table.begin_drain();
    this->table.begin_stop();
    ::eventfd_write(this->wake_event.descriptor(), 1);
    this->accept_thread.join();
    for (core::posix_thread& worker : this->workers)
    {
        worker.join();
    }
    this->table.close_all();
}

core::result<std::unique_ptr<server>> server::start(const server_options& options, request_handler handler)
{
    assert(options.workers > 0 && options.max_connections > 0 && handler);
    std::unique_ptr<implementation> state;
    try
    {
        state = std::make_unique<implementation>(options, std::move(handler));
        if (const auto started = state->start(); !started)
        {
            return tl::unexpected{started.error()};
        }
    }
    catch (const std::system_error& failure)
    {
        // Out of descriptors or threads. Stops the threads that have already started.
        if (state)
        {
            state->stop();
        }
        return core::make_error(core::error_code::unavailable, failure.what());
    }
    return std::unique_ptr<server>{new server{std::move(state)}};
}

server::server(std::unique_ptr<implementation> running) : state(std::move(running)) {}

server::~server()
{
    this->stop();
}

std::uint16_t server::port() const noexcept
{
    return this->state->acceptor.port();
}

const server_counters& server::counters() const noexcept
{
    return this->state->counters;
}

void server::begin_drain()
{
    this->state->begin_drain();
}

bool server::wait_until_idle(core::time_point deadline)
{
    return this->state->table.wait_until_empty(deadline);
}

void server::stop()
{
    this->state->stop();
}

} // namespace laburnumreach::http
