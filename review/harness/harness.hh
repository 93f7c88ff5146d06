#ifndef LABURNUMREACH_REVIEW_HARNESS_HPP
#define LABURNUMREACH_REVIEW_HARNESS_HPP

// Stand-ins for the platform, its store, instances and clients, on blocking sockets and one thread for each
// connection. They share no code with the reviewed program.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review
{

using json = nlohmann::json;
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const steady::time_point start_time = steady::now();

inline long now_ms()
{
    return std::chrono::duration_cast<milliseconds>(steady::now() - start_time).count();
}

inline std::uint64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleep_ms(long ms)
{
    std::this_thread::sleep_for(milliseconds{std::max(ms, 0L)});
}

inline void sleep_until_ms(long at)
{
    sleep_ms(at - now_ms());
}

/// Writes record.txt; thread safe.
class event_record
{
public:
    void open(const std::string& path) { this->file.open(path); }

    void add(const std::string& text)
    {
        const std::lock_guard lock{this->mutex};
        this->file << now_ms() << ' ' << text << std::endl;
    }

private:
    std::mutex mutex;
    std::ofstream file;
};

inline event_record events;

/// A case that cannot run ends with exit code 2.
struct cannot_run : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

struct address
{
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const { return this->ip + ':' + std::to_string(this->port); }

    sockaddr_in socket_address() const
    {
        sockaddr_in result{};
        result.sin_family = AF_INET;
        result.sin_port = htons(this->port);
        inet_pton(AF_INET, this->ip.c_str(), &result.sin_addr);
        return result;
    }
};

/// A connection with the bytes that were received and not consumed.
class connection
{
public:
    explicit connection(int descriptor = -1) : fd(descriptor) {}
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() { this->close(); }

    /// @param receive_buffer size of the receive buffer; 0 for the default
    bool open(const address& target, long timeout_ms = 1000, int receive_buffer = 0)
    {
        this->close();
        this->buffer.clear();
        this->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (receive_buffer > 0)
        {
            ::setsockopt(this->fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
        }
        const int flags = ::fcntl(this->fd, F_GETFL);
        ::fcntl(this->fd, F_SETFL, flags | O_NONBLOCK);
        const sockaddr_in target_address = target.socket_address();
        int result =
            ::connect(this->fd, reinterpret_cast<const sockaddr*>(&target_address), sizeof target_address);
        if (result != 0 && errno == EINPROGRESS)
        {
            pollfd wait{this->fd, POLLOUT, 0};
            int error = ETIMEDOUT;
            socklen_t size = sizeof error;
            if (::poll(&wait, 1, static_cast<int>(timeout_ms)) == 1)
            {
                ::getsockopt(this->fd, SOL_SOCKET, SO_ERROR, &error, &size);
            }
            result = error;
        }
        if (result != 0)
        {
            this->close();
            return false;
        }
        ::fcntl(this->fd, F_SETFL, flags);
        const int on = 1;
        ::setsockopt(this->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        return true;
    }

    void close()
    {
        if (this->fd >= 0)
        {
            ::close(this->fd);
            this->fd = -1;
        }
    }

    /// Ends reads and writes of another thread.
    void shut() { ::shutdown(this->fd, SHUT_RDWR); }

    bool is_open() const { return this->fd >= 0; }
    int descriptor() const { return this->fd; }

    bool send(std::string_view bytes)
    {
        while (!bytes.empty())
        {
            const ssize_t count = ::send(this->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count <= 0)
            {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
        return true;
    }

    /// @returns false after a close, an error or the timeout
    bool receive(long timeout_ms, std::size_t limit = 64 * 1024)
    {
        pollfd wait{this->fd, POLLIN, 0};
        const int ready = ::poll(&wait, 1, static_cast<int>(std::max(timeout_ms, 0L)));
        this->timed_out = ready == 0;
        if (ready <= 0)
        {
            return false;
        }
        std::string block(limit, '\0');
        const ssize_t count = ::recv(this->fd, block.data(), block.size(), 0);
        if (count <= 0)
        {
            return false;
        }
        this->buffer.append(block, 0, static_cast<std::size_t>(count));
        return true;
    }

    /// Returns whether the peer has closed or reset the connection.
    bool peer_closed() const
    {
        char byte = 0;
        const ssize_t count = ::recv(this->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    std::string buffer;
    bool timed_out = false; ///< Whether the last receive() ended by its timeout.

private:
    int fd;
};

/// An HTTP message. The start line is not parsed.
struct message
{
    std::string start;
    std::multimap<std::string, std::string> fields; ///< Names in lower case.
    std::string body;

    std::string field(const std::string& name) const
    {
        const auto found = this->fields.find(name);
        return found == this->fields.end() ? std::string{} : found->second;
    }

    int status() const { return this->start.size() > 12 ? std::atoi(this->start.c_str() + 9) : 0; }
    std::string method() const { return this->start.substr(0, this->start.find(' ')); }

    std::string target() const
    {
        const std::size_t begin = this->start.find(' ') + 1;
        return this->start.substr(begin, this->start.rfind(' ') - begin);
    }
};

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

/// Reads one message with a Content-Length or chunked body. Interim responses are skipped.
/// @returns no value if the connection ended or the deadline passed before the message was complete
inline std::optional<message> read_message(connection& from, long timeout_ms)
{
    const long end = now_ms() + timeout_ms;
    for (;;)
    {
        std::size_t head_end = 0;
        while ((head_end = from.buffer.find("\r\n\r\n")) == std::string::npos)
        {
            if (!from.receive(end - now_ms()))
            {
                return std::nullopt;
            }
        }
        message result;
        std::istringstream head{from.buffer.substr(0, head_end)};
        from.buffer.erase(0, head_end + 4);
        std::string line;
        std::getline(head, line);
        result.start = line.substr(0, line.find('\r'));
        while (std::getline(head, line))
        {
            line = line.substr(0, line.find('\r'));
            const std::size_t colon = line.find(':');
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            result.fields.emplace(lower(line.substr(0, colon)),
                                  value == std::string::npos ? std::string{} : line.substr(value));
        }
        if (result.start.starts_with("HTTP/") && result.status() < 200)
        {
            continue;
        }
        const std::size_t length = std::strtoull(result.field("content-length").c_str(), nullptr, 10);
        while (from.buffer.size() < length)
        {
            if (!from.receive(end - now_ms(), 1024 * 1024))
            {
                return std::nullopt;
            }
        }
        result.body = from.buffer.substr(0, length);
        from.buffer.erase(0, length);
        return result;
    }
}

/// Accepts connections and serves each on a thread of its own, until the process ends or stop().
class server
{
public:
    using handler = std::function<void(connection&)>;

    ~server() { this->stop(); }

    void start(const address& at, handler serve)
    {
        this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in bound = at.socket_address();
        if (::bind(this->listener, reinterpret_cast<const sockaddr*>(&bound), sizeof bound) != 0 ||
            ::listen(this->listener, 512) != 0)
        {
            throw cannot_run{"cannot listen at " + at.text()};
        }
        this->running = true;
        this->acceptor = std::thread{[this, serve = std::move(serve)] { this->accept_all(serve); }};
    }

    /// Closes the listener and all connections, as the end of a process does.
    void stop()
    {
        if (!this->running.exchange(false))
        {
            return;
        }
        ::shutdown(this->listener, SHUT_RDWR);
        this->acceptor.join();
        ::close(this->listener);
        {
            const std::lock_guard lock{this->mutex};
            for (const auto& open : this->connections)
            {
                if (open->is_open())
                {
                    open->shut();
                }
            }
        }
        for (std::thread& worker : this->workers)
        {
            worker.join();
        }
        this->workers.clear();
        this->connections.clear();
    }

    bool is_running() const { return this->running; }

private:
    void accept_all(const handler& serve)
    {
        while (this->running)
        {
            const int fd = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
            {
                continue;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            const auto accepted = std::make_shared<connection>(fd);
            const std::lock_guard lock{this->mutex};
            this->connections.push_back(accepted);
            this->workers.emplace_back(
                [this, accepted, serve]
                {
                    serve(*accepted);
                    const std::lock_guard closing{this->mutex};
                    accepted->close();
                });
        }
    }

    int listener = -1;
    std::atomic<bool> running{false};
    std::thread acceptor;
    std::mutex mutex;
    std::list<std::shared_ptr<connection>> connections;
    std::list<std::thread> workers;
};

inline std::string response_text(int status, const std::string& fields, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The platform's store, without faults.
class store
{
public:
    void start(const address& at)
    {
        this->listener.start(at, [this](connection& peer) { this->serve(peer); });
    }

    ~store()
    {
        {
            const std::lock_guard lock{this->mutex};
            this->ending = true;
        }
        this->changed.notify_all();
        this->listener.stop();
    }

    /// Writes an object as the operator does.
    void put(const std::string& kind, const std::string& name, const json& spec)
    {
        {
            const std::lock_guard lock{this->mutex};
            this->write(kind, name, spec);
        }
        this->changed.notify_all();
    }

private:
    struct change
    {
        std::uint64_t revision = 0;
        std::string kind;
        json object;
    };

    json& write(const std::string& kind, const std::string& name, const json& spec)
    {
        json& object = this->kinds[kind][name];
        ++this->revision;
        if (object.is_null())
        {
            object = {{"metadata",
                       {{"name", name},
                        {"createdRev", this->revision},
                        {"finalizers", json::array()},
                        {"deleting", false}}},
                      {"status", nullptr}};
        }
        object["spec"] = spec;
        object["metadata"]["rev"] = this->revision;
        this->history.push_back({this->revision, kind, object});
        return object;
    }

    void serve(connection& peer)
    {
        while (const auto request = read_message(peer, 600'000))
        {
            std::string status_and_body;
            const auto [status, body] = this->answer(*request);
            if (!peer.send(response_text(status, "Content-Type: application/json\r\n", body.dump())))
            {
                return;
            }
        }
    }

    static std::string query_value(const std::string& query, const std::string& name)
    {
        const std::size_t begin = ("&" + query).find("&" + name + "=");
        return begin == std::string::npos
                   ? std::string{}
                   : query.substr(begin + name.size() + 1, query.find('&', begin) - begin - name.size() - 1);
    }

    std::pair<int, json> answer(const message& request)
    {
        constexpr std::string_view prefix = "/v1/objects/";
        const std::string target = request.target();
        const std::string path = target.substr(0, target.find('?'));
        const std::string query =
            target.find('?') == std::string::npos ? "" : target.substr(target.find('?') + 1);
        if (!path.starts_with(prefix))
        {
            return {404, json::object()};
        }
        std::vector<std::string> parts;
        std::istringstream split{path.substr(prefix.size())};
        for (std::string part; std::getline(split, part, '/');)
        {
            parts.push_back(part);
        }
        std::unique_lock lock{this->mutex};
        std::map<std::string, json>& objects = this->kinds[parts.at(0)];
        if (request.method() == "GET" && parts.size() == 1)
        {
            if (const std::string from = query_value(query, "watch"); !from.empty())
            {
                return this->watch(lock, parts[0], std::stoull(from),
                                   std::atol(query_value(query, "waitMs").c_str()));
            }
            json items = json::array();
            const std::string after = query_value(query, "after");
            for (const auto& [name, object] : objects)
            {
                if (name > after)
                {
                    items.push_back(object);
                }
            }
            return {200, {{"items", items}, {"truncated", false}, {"storeRevision", this->revision}}};
        }
        if (request.method() == "POST")
        {
            const json body = json::parse(request.body);
            const std::string name = body.at("metadata").at("name");
            if (objects.contains(name))
            {
                return {409, objects[name]};
            }
            const json created = this->write(parts[0], name, body.at("spec"));
            this->changed.notify_all();
            return {201, created};
        }
        if (parts.size() < 2 || !objects.contains(parts[1]))
        {
            return {404, json::object()};
        }
        json& object = objects[parts[1]];
        if (request.method() == "GET")
        {
            return {200, object};
        }
        if (request.method() == "PUT")
        {
            const json body = json::parse(request.body);
            if (parts.size() == 3)
            {
                object["status"] = body.at("status");
                object["metadata"]["rev"] = ++this->revision;
                this->history.push_back({this->revision, parts[0], object});
            }
            else
            {
                this->write(parts[0], parts[1], body.at("spec"));
            }
            this->changed.notify_all();
            return {200, object};
        }
        return {404, json::object()};
    }

    std::pair<int, json> watch(std::unique_lock<std::mutex>& lock, const std::string& kind,
                               std::uint64_t from, long wait_ms)
    {
        json found = json::array();
        const auto collect = [&]
        {
            for (const change& entry : this->history)
            {
                if (entry.revision > from && entry.kind == kind)
                {
                    found.push_back({{"removed", false}, {"object", entry.object}});
                }
            }
            return !found.empty() || this->ending;
        };
        this->changed.wait_for(lock, milliseconds{wait_ms}, collect);
        return {200, {{"events", found}, {"storeRevision", this->revision}}};
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::map<std::string, json>> kinds;
    std::vector<change> history;
    std::uint64_t revision = 7;
    bool ending = false;
    server listener;
};

/// Addresses of one machine.
struct machine_addresses
{
    std::string ip;

    address outbound() const { return {this->ip, 8548}; }
    address ready() const { return {this->ip, 8546}; }
    address control() const { return {this->ip, 8540}; }
    address app() const { return {this->ip, 8547}; }
};

/// An application instance. It answers requests to paths that end in /MS or /MS/BYTES after MS milliseconds
/// of work, with BYTES bytes, and drops a request whose connection closes.
class instance
{
public:
    struct options
    {
        std::string service;
        std::string zone;
        machine_addresses at;
        int slots = 100;
    };

    explicit instance(options chosen) : settings(std::move(chosen)) {}

    ~instance() { this->end(); }

    void begin(const std::string& id)
    {
        {
            const std::lock_guard lock{this->mutex};
            this->name = id;
            this->born = unix_ms();
            this->sequence = 0;
            this->leaving = false;
        }
        events.add("instance " + id + " starts at " + this->settings.at.app().text());
        this->listener.start(this->settings.at.app(), [this](connection& peer) { this->serve(peer); });
        this->beating = true;
        this->heartbeats = std::thread{[this] { this->beat_loop(); }};
    }

    /// Ends as a process does: all connections close.
    void end()
    {
        if (this->beating.exchange(false))
        {
            this->heartbeats.join();
        }
        if (this->listener.is_running())
        {
            events.add("instance " + this->name + " ends");
            this->listener.stop();
        }
    }

    /// Stops the periodic heartbeats.
    void stop_heartbeats()
    {
        if (this->beating.exchange(false))
        {
            this->heartbeats.join();
        }
    }

    void set_leaving()
    {
        const std::lock_guard lock{this->mutex};
        this->leaving = true;
    }

    /// Returns the text of the next heartbeat.
    std::string next_heartbeat()
    {
        const std::lock_guard lock{this->mutex};
        const json body{{"address", this->settings.at.app().text()},
                        {"born", this->born},
                        {"info",
                         {{"service", this->settings.service},
                          {"version", "v1"},
                          {"zone", this->settings.zone},
                          {"capacity", this->settings.slots}}},
                        {"status",
                         {{"state", this->leaving ? "draining" : "ready"},
                          {"sequence", ++this->sequence},
                          {"warmupLeftS", 0}}}};
        const std::string text = body.dump();
        return "POST /v1/Instances.Heartbeat/" + this->name +
               " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: " +
               std::to_string(text.size()) + "\r\n\r\n" + text;
    }

    std::string deregistration()
    {
        const std::lock_guard lock{this->mutex};
        return "POST /v1/Instances.Deregister/" + this->name +
               " HTTP/1.1\r\nHost: control\r\nContent-Length: 0\r\n\r\n";
    }

    /// Sends a call to the daemon beside the instance.
    /// @returns the status; 0 without an answer within a second
    int tell(const std::string& text)
    {
        connection to;
        if (!to.open(this->settings.at.control()) || !to.send(text))
        {
            return 0;
        }
        const auto answer = read_message(to, 1000);
        return answer ? answer->status() : 0;
    }

    struct run
    {
        std::string attempt;
        std::string method;
        std::string path;
        std::string tenant;
        std::string caller;
        long begin = 0;
        long end = -1; ///< -1 while at work.
        bool answered = false;
    };

    std::vector<run> runs()
    {
        const std::lock_guard lock{this->mutex};
        return this->all_runs;
    }

private:
    void beat_loop()
    {
        while (this->beating)
        {
            const int status = this->tell(this->next_heartbeat());
            if (status == 0)
            {
                sleep_ms(100);
                continue;
            }
            for (int step = 0; step < 15 && this->beating; ++step)
            {
                sleep_ms(100);
            }
        }
    }

    void serve(connection& peer)
    {
        while (const auto request = read_message(peer, 10'000))
        {
            if (!this->handle(peer, *request))
            {
                return;
            }
        }
    }

    bool handle(connection& peer, const message& request)
    {
        const std::string target = request.target();
        const std::string id = request.field("laburnumreach-attempt-id");
        std::string name_now;
        bool leaving_now = false;
        int running_now = 0;
        {
            const std::lock_guard lock{this->mutex};
            name_now = this->name;
            leaving_now = this->leaving;
            running_now = this->running;
        }
        const std::string load = "Laburnumreach-Server-Load: " + std::to_string(running_now) + ",0," +
                                 std::to_string(this->settings.slots) + "\r\n";
        if (target == "/health")
        {
            return peer.send(response_text(leaving_now ? 503 : 200,
                                           "Laburnumreach-Instance-Id: " + name_now + "\r\n" + load, ""));
        }
        const std::string echo = "Laburnumreach-Attempt-Id: " + id + "\r\n";
        const std::string expected = request.field("laburnumreach-expected-instance");
        if (!expected.empty() && expected != name_now)
        {
            events.add("instance " + name_now + " answers 421 to " + id);
            return peer.send(
                response_text(421, echo + "Laburnumreach-Instance-Id: " + name_now + "\r\n", ""));
        }
        std::size_t index = 0;
        bool full = false;
        {
            const std::lock_guard lock{this->mutex};
            full = this->running >= this->settings.slots;
            if (!full)
            {
                ++this->running;
                index = this->all_runs.size();
                this->all_runs.push_back({id, request.method(), target, request.field("laburnumreach-tenant"),
                                          request.field("laburnumreach-caller-service"), now_ms()});
            }
        }
        if (full)
        {
            return peer.send(response_text(503, echo + "Laburnumreach-Not-Executed: 1\r\n", ""));
        }
        // The path is /NAME/MS or /NAME/MS/BYTES.
        std::istringstream split{target.substr(1)};
        std::string part;
        std::getline(split, part, '/');
        long work = 0;
        std::size_t bytes = 200;
        if (std::getline(split, part, '/'))
        {
            work = std::atol(part.c_str());
        }
        if (std::getline(split, part, '/'))
        {
            bytes = std::strtoull(part.c_str(), nullptr, 10);
        }
        const long end = now_ms() + work;
        bool dropped = false;
        while (now_ms() < end && !dropped)
        {
            sleep_ms(std::min(end - now_ms(), 10L));
            dropped = peer.peer_closed();
        }
        {
            const std::lock_guard lock{this->mutex};
            --this->running;
            this->all_runs[index].end = now_ms();
            this->all_runs[index].answered = !dropped;
        }
        if (dropped)
        {
            return false;
        }
        std::string body = id + ':';
        body.append(bytes, 'x');
        return peer.send(response_text(
            200, echo + load + "Keep-Alive: timeout=10\r\nLaburnumreach-Server-Signature: " + id + "\r\n",
            body));
    }

    options settings;
    std::mutex mutex;
    std::string name;
    std::uint64_t born = 0;
    std::uint64_t sequence = 0;
    bool leaving = false;
    int running = 0;
    std::vector<run> all_runs;
    std::atomic<bool> beating{false};
    std::thread heartbeats;
    server listener;
};

/// Stands on the links to one daemon. It knows the sender of a link from the first message, which names it.
///
/// A cut link is silent: nothing passes, and new connections wait. A reset ends both halves of a connection.
class link_proxy
{
public:
    ~link_proxy() { this->listener.stop(); }

    /// @param cut_test returns whether the link from a sender is cut now
    void start(const address& at, const address& target, const std::vector<std::string>& known_senders,
               std::function<bool(const std::string&)> cut_test)
    {
        this->senders = known_senders;
        this->is_cut = std::move(cut_test);
        this->listener.start(at, [this, target](connection& caller) { this->forward(caller, target); });
    }

    /// Resets the open connections.
    void reset_all() { ++this->resets; }

private:
    static void reset(connection& one)
    {
        const linger at_once{1, 0};
        ::setsockopt(one.descriptor(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        one.close();
    }

    void forward(connection& caller, const address& target)
    {
        const int resets_before = this->resets;
        if (!caller.receive(2000))
        {
            return;
        }
        const std::string first = std::exchange(caller.buffer, {});
        std::string sender;
        for (const std::string& name : this->senders)
        {
            sender = first.find(name) == std::string::npos ? sender : name;
        }
        while (this->is_cut(sender))
        {
            sleep_ms(5);
        }
        connection to;
        if (caller.peer_closed() || this->resets != resets_before || !to.open(target) || !to.send(first))
        {
            reset(caller);
            return;
        }
        while (this->resets == resets_before)
        {
            if (this->is_cut(sender))
            {
                sleep_ms(5);
                continue;
            }
            pollfd both[2] = {{caller.descriptor(), POLLIN, 0}, {to.descriptor(), POLLIN, 0}};
            if (::poll(both, 2, 5) < 0 || (both[0].revents != 0 && !pass(caller, to)) ||
                (both[1].revents != 0 && !pass(to, caller)))
            {
                break;
            }
        }
        reset(caller);
        reset(to);
    }

    static bool pass(connection& from, connection& to)
    {
        return from.receive(0) && to.send(std::exchange(from.buffer, {}));
    }

    std::vector<std::string> senders;
    std::function<bool(const std::string&)> is_cut;
    std::atomic<int> resets{0};
    server listener;
};

/// One sidecar process, started with the command and the template of the deploy file.
class sidecar
{
public:
    struct options
    {
        std::string name;
        std::string zone;
        std::string service;
        machine_addresses at;
        address store;
        std::filesystem::path directory; ///< For the settings and the log.
        double grace_s = 6;
        std::string announced_ip; ///< At which other daemons reach it; empty for its own.
    };

    explicit sidecar(options chosen) : settings(std::move(chosen)) {}

    ~sidecar() { this->kill(); }

    void start(bool first_start)
    {
        const std::filesystem::path file = this->settings.directory / (this->settings.name + ".toml");
        std::ofstream{file} << this->fill_template(first_start);
        const std::string log = this->settings.directory / (this->settings.name + ".log");
        events.add("start " + this->settings.name);
        this->status.reset();
        this->pid = ::fork();
        if (this->pid == 0)
        {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // No process is left behind if this program is ended.
            const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(output, 1);
            ::dup2(output, 2);
            const std::string variable = "LABURNUMREACH_SETTINGS=" + file.string();
            const std::string path = std::string{"PATH="} + std::getenv("PATH");
            const char* environment[] = {variable.c_str(), path.c_str(), nullptr};
            const char* arguments[] = {"target/platform/laburnumreach-sidecar", nullptr};
            ::execve(arguments[0], const_cast<char**>(arguments), const_cast<char**>(environment));
            ::_exit(127);
        }
    }

    void signal(int number)
    {
        if (this->pid > 0 && !this->poll())
        {
            events.add("signal " + std::to_string(number) + " to " + this->settings.name);
            ::kill(this->pid, number);
        }
    }

    /// Checks whether the process has ended.
    /// @returns its wait status if it has
    std::optional<int> poll()
    {
        const std::lock_guard lock{this->mutex};
        int wait_status = 0;
        if (this->pid > 0 && !this->status && ::waitpid(this->pid, &wait_status, WNOHANG) == this->pid)
        {
            this->status = wait_status;
            events.add(this->settings.name +
                       (WIFSIGNALED(wait_status)
                            ? " ended by signal " + std::to_string(WTERMSIG(wait_status))
                            : " exited with " + std::to_string(WEXITSTATUS(wait_status))));
        }
        return this->status;
    }

    void kill()
    {
        if (this->pid > 0 && !this->poll())
        {
            ::kill(this->pid, SIGKILL);
            while (!this->poll())
            {
                sleep_ms(2);
            }
        }
    }

    /// Asks as the platform does, once.
    bool is_ready() const
    {
        connection to;
        if (!to.open(this->settings.at.ready(), 200) ||
            !to.send("GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n"))
        {
            return false;
        }
        const auto answer = read_message(to, 500);
        return answer && answer->status() == 200;
    }

    pid_t process_id() const { return this->pid; }

    options settings;

private:
    std::string fill_template(bool first_start) const
    {
        std::ifstream file{"deploy/sidecar.toml.template"};
        std::string text{std::istreambuf_iterator<char>{file}, {}};
        const auto quoted = [](const std::string& value) { return '"' + value + '"'; };
        const machine_addresses& at = this->settings.at;
        std::ostringstream grace;
        grace << this->settings.grace_s;
        const std::map<std::string, std::string> values{
            {"nodeName|json", quoted(this->settings.name)},
            {"zone|json", quoted(this->settings.zone)},
            {"bootstrap", first_start ? "true" : "false"},
            {"service|json", quoted(this->settings.service)},
            {"appAddr|json", quoted(at.app().text())},
            {"ip|json", quoted(at.ip)},
            {"bind.outbound|json", quoted(at.outbound().text())},
            {"bind.ready|json", quoted(at.ready().text())},
            {"bind.control|json", quoted(at.control().text())},
            {"portRange.0", "7000"},
            {"portRange.1", "7015"},
            {"provider.address|json", quoted(this->settings.store.text())},
            {"bounds.drainS", "2"},
            {"bounds.graceS", grace.str()},
            {"bounds.retryBudgetRatio", "0.2"},
            {"bounds.retryBudgetSlack", "47"},
            {"bounds.budgetWindowS", "10"}};
        for (std::size_t begin = 0; (begin = text.find("{{")) != std::string::npos;)
        {
            const std::size_t end = text.find("}}", begin);
            const auto value = values.find(text.substr(begin + 2, end - begin - 2));
            if (end == std::string::npos || value == values.end())
            {
                throw cannot_run{"unknown placeholder in the template"};
            }
            text.replace(begin, end + 2 - begin, value->second);
        }
        if (!this->settings.announced_ip.empty())
        {
            // As docs/OPERATIONS.md says for a daemon behind an address translation.
            const std::string listen = "[listen]\n";
            text.insert(text.find(listen) + listen.size(),
                        "announced_address = " + quoted(this->settings.announced_ip) + "\n");
        }
        return text;
    }

    pid_t pid = -1;
    std::mutex mutex;
    std::optional<int> status;
};

/// A route of the configuration.
inline json route(const std::string& name, const std::string& kind, const std::string& service,
                  const json& more = json::object())
{
    json result{{"name", "r-" + name}, {"pathPrefix", "/" + name + "/"},
                {"kind", kind},        {"service", service},
                {"timeoutS", 5},       {"sloS", 1.2},
                {"priority", 0},       {"maxAttempts", 2},
                {"noAuth", false}};
    result.update(more);
    return result;
}

/// A configuration with the limits of the users' example.
inline json configuration(std::uint64_t version, const std::vector<std::string>& services,
                          const json& tenants, const json& routes)
{
    json service_list = json::array();
    for (const std::string& service : services)
    {
        service_list.push_back({{"name", service},
                                {"healthPath", "/health"},
                                {"maxConns", 1500},
                                {"protocol", "h1"},
                                {"tls", false}});
    }
    return {{"version", version},
            {"services", service_list},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 67108864},
              {"headerTimeoutS", 3},
              {"idleTimeoutS", 15}}},
            {"tenants", tenants},
            {"hosts", json::array({{{"host", "review.example"}, {"paths", routes}}})}};
}

/// Returns the head of a client's request.
inline std::string request_head(const std::string& method, const std::string& path,
                                const std::string& attempt, const std::string& key, long deadline_ms,
                                std::optional<std::size_t> length = {})
{
    return method + ' ' + path + " HTTP/1.1\r\nHost: review.example\r\nLaburnumreach-Attempt-Id: " + attempt +
           "\r\nLaburnumreach-Deadline-Ms: " + std::to_string(deadline_ms) +
           (key.empty() ? std::string{} : "\r\nLaburnumreach-Credential: " + key) +
           (length ? "\r\nContent-Length: " + std::to_string(*length) : std::string{}) + "\r\n\r\n";
}

/// A fleet of machines with their sidecars and instances, and the store.
class fleet
{
public:
    struct machine
    {
        std::unique_ptr<sidecar> daemon;
        std::unique_ptr<instance> app;
    };

    struct member
    {
        std::string service;
        std::string zone;
    };

    fleet(const std::vector<member>& members, const json& first_config, int slots = 100)
    {
        char name[] = "/tmp/laburnumreach-review-XXXXXX";
        if (::mkdtemp(name) == nullptr)
        {
            throw cannot_run{"no temporary folder"};
        }
        this->directory = name;
        this->network = 20 + static_cast<int>(::getpid() % 200);
        for (int tries = 0;; ++tries)
        {
            try
            {
                this->platform = std::make_unique<store>();
                this->platform->start({this->ip(250), 8545});
                break;
            }
            catch (const cannot_run&)
            {
                if (tries == 50)
                {
                    throw;
                }
                this->network = 20 + (this->network + 7) % 200;
            }
        }
        this->platform->put("config", "main", first_config);
        int number = 0;
        for (const member& entry : members)
        {
            ++number;
            const machine_addresses at{this->ip(number)};
            machine& added = this->machines.emplace_back();
            added.daemon =
                std::make_unique<sidecar>(sidecar::options{.name = "sidecar-" + std::to_string(number),
                                                           .zone = entry.zone,
                                                           .service = entry.service,
                                                           .at = at,
                                                           .store = {this->ip(250), 8545},
                                                           .directory = this->directory,
                                                           .announced_ip = {}});
            added.app = std::make_unique<instance>(
                instance::options{.service = entry.service, .zone = entry.zone, .at = at, .slots = slots});
        }
    }

    ~fleet()
    {
        for (machine& entry : this->machines)
        {
            entry.daemon->kill();
            entry.app->end();
        }
        this->proxies.clear();
        if (std::getenv("KEEP_LOGS") == nullptr)
        {
            std::error_code ignored;
            std::filesystem::remove_all(this->directory, ignored);
        }
        else
        {
            std::cerr << "logs in " << this->directory << '\n';
        }
    }

    /// Puts a proxy on the links to each daemon. Call it before start().
    void add_proxies()
    {
        std::vector<std::string> names;
        for (const machine& entry : this->machines)
        {
            names.push_back(entry.daemon->settings.name);
        }
        for (std::size_t index = 0; index < this->machines.size(); ++index)
        {
            sidecar::options& settings = this->machines[index].daemon->settings;
            settings.announced_ip =
                "127." + std::to_string(this->network) + ".1." + std::to_string(index + 1);
            this->proxies.push_back(std::make_unique<link_proxy>());
            this->proxies.back()->start({settings.announced_ip, 7000}, {settings.at.ip, 7000}, names,
                                        [this, target = settings.name](const std::string& sender)
                                        {
                                            const std::lock_guard lock{this->cut_mutex};
                                            return !this->cut_off.empty() &&
                                                   (sender == this->cut_off || target == this->cut_off);
                                        });
        }
    }

    /// Cuts the links between one daemon and all others; an empty name ends the cut.
    void cut(const std::string& name)
    {
        events.add(name.empty() ? "the cut ends" : "the links of " + name + " are cut");
        const std::lock_guard lock{this->cut_mutex};
        this->cut_off = name;
    }

    /// Resets the connections that other daemons have opened to one daemon.
    void reset_links_to(std::size_t index)
    {
        events.add("the connections of other daemons to " + this->machines[index].daemon->settings.name +
                   " are reset");
        this->proxies[index]->reset_all();
    }

    /// Starts everything, and waits until all daemons are ready and their instances are known.
    void start()
    {
        int number = 0;
        for (machine& entry : this->machines)
        {
            entry.daemon->start(true);
            entry.app->begin("i-" + std::to_string(++number) + "a");
        }
        const long end = now_ms() + 15'000;
        for (machine& entry : this->machines)
        {
            while (!entry.daemon->is_ready())
            {
                if (now_ms() > end || entry.daemon->poll())
                {
                    throw cannot_run{"a sidecar did not become ready"};
                }
                sleep_ms(50);
            }
        }
        sleep_ms(4000); // Links, member lists and the first in-touch span.
        events.add("the fleet is ready");
    }

    void configure(const json& config)
    {
        this->platform->put("config", "main", config);
        events.add("configuration " + config.at("version").dump() + " acknowledged");
    }

    std::string ip(int host) const
    {
        return "127." + std::to_string(this->network) + ".0." + std::to_string(host);
    }

    std::vector<machine> machines;
    std::filesystem::path directory;

private:
    int network = 0;
    std::unique_ptr<store> platform;
    std::mutex cut_mutex;
    std::string cut_off;
    std::vector<std::unique_ptr<link_proxy>> proxies;
};

inline bool with_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string{value} != "0";
}

/// Runs a case.
/// @param body returns whether the rule held
inline int run_case(int argc, char** argv, const std::function<bool()>& body)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc != 2)
    {
        std::cerr << "usage: " << argv[0] << " FOLDER\n";
        return 2;
    }
    events.open(std::string{argv[1]} + "/record.txt");
    try
    {
        const bool held = body();
        events.add(held ? "result: the rule held" : "result: the rule was broken");
        std::cout << (held ? "held" : "BROKEN") << '\n';
        return held ? 0 : 1;
    }
    catch (const std::exception& error)
    {
        events.add(std::string{"result: the case could not run: "} + error.what());
        std::cout << "could not run: " << error.what() << '\n';
        return 2;
    }
}

} // namespace review

#endif
