// Stand-ins for the review's cases: clients, instances and the platform, written from the users' pages. They use
// blocking sockets and one thread per connection, and start the program with the command of the deploy file.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
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

inline constexpr int rule_held = 0;
inline constexpr int rule_broken = 1;
inline constexpr int could_not_run = 2;

/// Thrown when a case cannot run.
struct setup_error : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/// Writes what was sent, answered and run to record.txt, with milliseconds since the start.
class record
{
public:
    explicit record(const std::string& path) : file(std::fopen(path.c_str(), "w"))
    {
        if (this->file == nullptr)
        {
            throw setup_error{"cannot write " + path};
        }
    }

    __attribute__((format(printf, 2, 3))) void line(const char* format, ...)
    {
        const std::lock_guard lock{this->mutex};
        std::fprintf(this->file, "%7.3f ", std::chrono::duration<double>(steady::now() - this->start).count());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(this->file, format, arguments);
        va_end(arguments);
        std::fputc('\n', this->file);
        std::fflush(this->file);
    }

private:
    std::mutex mutex;
    std::FILE* file;
    steady::time_point start = steady::now();
};

inline bool trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string{value} != "0";
}

struct address
{
    std::string ip;
    std::uint16_t port = 0;
    std::string text() const { return this->ip + ':' + std::to_string(this->port); }
    sockaddr_in native() const
    {
        sockaddr_in result{};
        result.sin_family = AF_INET;
        result.sin_port = htons(this->port);
        inet_pton(AF_INET, this->ip.c_str(), &result.sin_addr);
        return result;
    }
};

/// A socket that is closed at the end of its life.
class connection
{
public:
    explicit connection(int descriptor = -1) : fd(descriptor) {}
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() { this->close(); }

    bool open(const address& target, int receive_buffer = 0)
    {
        this->close();
        this->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (receive_buffer > 0)
        {
            ::setsockopt(this->fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
        }
        const int on = 1;
        ::setsockopt(this->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const sockaddr_in native = target.native();
        if (::connect(this->fd, reinterpret_cast<const sockaddr*>(&native), sizeof native) != 0)
        {
            this->close();
            return false;
        }
        return true;
    }

    void set_receive_timeout(milliseconds limit)
    {
        const timeval value{.tv_sec = limit.count() / 1000, .tv_usec = limit.count() % 1000 * 1000};
        ::setsockopt(this->fd, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
    }

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

    /// Reads once. Returns false at the end of the connection, an error or the time limit.
    bool receive(std::size_t most = 64 * 1024)
    {
        std::string block(most, '\0');
        const ssize_t count = ::recv(this->fd, block.data(), block.size(), 0);
        this->last_error = count < 0 ? errno : 0;
        if (count <= 0)
        {
            return false;
        }
        this->received.append(block, 0, static_cast<std::size_t>(count));
        return true;
    }

    void close()
    {
        if (this->fd >= 0)
        {
            ::close(this->fd);
            this->fd = -1;
        }
        this->received.clear();
    }

    int fd;
    std::string received;
    int last_error = 0;
};

struct message
{
    std::string start; ///< Request line or status line.
    std::map<std::string, std::string> fields; ///< Names in lower case.
    std::string body;
    std::string field(const std::string& name) const
    {
        const auto found = this->fields.find(name);
        return found == this->fields.end() ? std::string{} : found->second;
    }
    std::string method() const { return this->start.substr(0, this->start.find(' ')); }
    std::string target() const
    {
        const std::size_t begin = this->start.find(' ') + 1;
        return this->start.substr(begin, this->start.find(' ', begin) - begin);
    }
    int status() const { return std::atoi(this->start.substr(this->start.find(' ') + 1).c_str()); }
};

/// Reads the head of one message. No value if the connection ends before it is complete.
inline std::optional<message> read_head(connection& from)
{
    std::size_t end = 0;
    while ((end = from.received.find("\r\n\r\n")) == std::string::npos)
    {
        if (!from.receive())
        {
            return std::nullopt;
        }
    }
    message result;
    std::istringstream head{from.received.substr(0, end + 2)};
    from.received.erase(0, end + 4);
    std::string line;
    while (std::getline(head, line))
    {
        line.erase(line.find_last_not_of('\r') + 1);
        const std::size_t colon = line.find(':');
        if (result.start.empty())
        {
            result.start = line;
        }
        else if (colon != std::string::npos)
        {
            std::string name = line.substr(0, colon);
            for (char& character : name)
            {
                character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
            }
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            result.fields[name] = value == std::string::npos ? "" : line.substr(value);
        }
    }
    return result;
}

/// Reads one message whose body has a length. No value if the connection ends before it is complete.
inline std::optional<message> read_message(connection& from)
{
    std::optional<message> result = read_head(from);
    if (!result)
    {
        return std::nullopt;
    }
    const std::size_t size = std::strtoull(result->field("content-length").c_str(), nullptr, 10);
    while (from.received.size() < size)
    {
        if (!from.receive())
        {
            return std::nullopt;
        }
    }
    result->body = from.received.substr(0, size);
    from.received.erase(0, size);
    return result;
}

/// An HTTP server with one thread per connection. The handler returns the whole response.
class http_server
{
public:
    using handler = std::function<std::string(const message&)>;

    http_server(const address& at, handler handle) : on_request(std::move(handle))
    {
        this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in native = at.native();
        if (::bind(this->listener, reinterpret_cast<const sockaddr*>(&native), sizeof native) != 0 ||
            ::listen(this->listener, 1024) != 0)
        {
            throw setup_error{"cannot listen at " + at.text()};
        }
        std::thread{[this] { this->accept(); }}.detach();
    }

private:
    void accept()
    {
        for (;;)
        {
            const int fd = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
            {
                return;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread{[this, fd]
                        {
                            connection served{fd};
                            while (const auto request = read_message(served))
                            {
                                if (!served.send(this->on_request(*request)))
                                {
                                    return;
                                }
                            }
                        }}
                .detach();
        }
    }

    int listener;
    handler on_request;
};

inline std::string json_response(int status, const json& body)
{
    const std::string text = body.dump();
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(text.size()) + "\r\n\r\n" + text;
}

/// The platform's store, as PROTOCOL.md describes it, for the calls that the program makes.
class store
{
public:
    explicit store(const address& at) : server(at, [this](const message& call) { return this->handle(call); }) {}

    void put_config(const json& spec)
    {
        const std::lock_guard lock{this->mutex};
        this->write("config", "main")["spec"] = spec;
    }

private:
    json& write(const std::string& kind, const std::string& name)
    {
        ++this->revision;
        json& object = this->objects[{kind, name}];
        if (object.is_null())
        {
            object = {{"metadata",
                       {{"name", name}, {"createdRev", this->revision}, {"finalizers", json::array()}, {"deleting", false}}},
                      {"spec", nullptr},
                      {"status", nullptr}};
        }
        object["metadata"]["rev"] = this->revision;
        return object;
    }

    static std::uint64_t number(const std::string& query, const std::string& name)
    {
        const std::size_t position = query.find(name + '=');
        return position == std::string::npos ? 0
                                             : std::strtoull(query.c_str() + position + name.size() + 1, nullptr, 10);
    }

    std::string handle(const message& call)
    {
        const std::string target = call.target();
        const std::size_t mark = std::min(target.find('?'), target.size());
        const std::string query = target.substr(mark);
        const std::string path = target.substr(0, mark);
        const std::string prefix = "/v1/objects/";
        if (path.rfind(prefix, 0) != 0)
        {
            return json_response(404, json::object());
        }
        std::string kind = path.substr(prefix.size());
        std::string name;
        std::string part = "spec";
        if (const std::size_t slash = kind.find('/'); slash != std::string::npos)
        {
            name = kind.substr(slash + 1);
            kind.resize(slash);
        }
        if (const std::size_t slash = name.find('/'); slash != std::string::npos)
        {
            part = name.substr(slash + 1);
            name.resize(slash);
        }
        if (call.method() == "GET" && query.find("watch=") != std::string::npos)
        {
            return this->watch(kind, number(query, "watch"), milliseconds{number(query, "waitMs")});
        }
        const std::lock_guard lock{this->mutex};
        if (call.method() == "GET" && name.empty())
        {
            json items = json::array();
            for (const auto& [key, object] : this->objects)
            {
                if (key.first == kind)
                {
                    items.push_back(object);
                }
            }
            return json_response(200, {{"items", items}, {"truncated", false}, {"storeRevision", this->revision}});
        }
        if (call.method() == "GET")
        {
            const auto found = this->objects.find({kind, name});
            return found == this->objects.end() ? json_response(404, json::object()) : json_response(200, found->second);
        }
        const json body = json::parse(call.body, nullptr, false);
        if (body.is_discarded())
        {
            return json_response(400, json::object());
        }
        if (call.method() == "POST")
        {
            name = body.at("metadata").at("name");
        }
        const auto known = this->objects.find({kind, name});
        if (call.method() == "POST" && known != this->objects.end())
        {
            return json_response(409, known->second);
        }
        if (call.method() == "PUT" && known == this->objects.end())
        {
            return json_response(404, json::object());
        }
        if (call.method() == "PUT" && known->second[part] == body.at(part))
        {
            return json_response(200, known->second);
        }
        json& object = this->write(kind, name);
        object[part] = body.at(part);
        return json_response(call.method() == "POST" ? 201 : 200, object);
    }

    std::string watch(const std::string& kind, std::uint64_t from, milliseconds wait)
    {
        const steady::time_point end = steady::now() + wait;
        for (;;)
        {
            {
                const std::lock_guard lock{this->mutex};
                json events = json::array();
                for (const auto& [key, object] : this->objects)
                {
                    if (key.first == kind && object["metadata"]["rev"].get<std::uint64_t>() > from)
                    {
                        events.push_back({{"object", object}, {"removed", false}});
                    }
                }
                if (!events.empty() || steady::now() >= end)
                {
                    return json_response(200, {{"events", events}, {"storeRevision", this->revision}});
                }
            }
            std::this_thread::sleep_for(milliseconds{4});
        }
    }

    std::mutex mutex;
    std::map<std::pair<std::string, std::string>, json> objects;
    std::uint64_t revision = 1;
    http_server server;
};

/// One run of a request at an instance.
struct run_event
{
    std::string id;
    std::string instance;
    steady::time_point began;
    steady::time_point ended{};
    bool answered = false;
};

/// All runs at all instances.
class run_log
{
public:
    std::size_t begin(const std::string& id, const std::string& instance)
    {
        const std::lock_guard lock{this->mutex};
        this->runs.push_back({.id = id, .instance = instance, .began = steady::now()});
        return this->runs.size() - 1;
    }
    void end(std::size_t index, bool answered)
    {
        const std::lock_guard lock{this->mutex};
        this->runs[index].ended = steady::now();
        this->runs[index].answered = answered;
    }
    std::vector<run_event> all() const
    {
        const std::lock_guard lock{this->mutex};
        return this->runs;
    }

private:
    mutable std::mutex mutex;
    std::vector<run_event> runs;
};

struct instance_options
{
    std::string id;
    std::string service;
    std::string zone;
    address at;
    address control;
    int capacity = 235;
};

/// The heartbeats of an instance to the daemon on its machine.
class heartbeats
{
public:
    explicit heartbeats(instance_options chosen)
        : settings(std::move(chosen)),
          born(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    {
        std::thread{[this] { this->beat(); }}.detach();
    }

    int acknowledged() const { return this->acknowledged_beats; }

private:
    void beat()
    {
        for (int sequence = 1;; ++sequence)
        {
            const json body{{"address", this->settings.at.text()},
                            {"born", this->born},
                            {"info",
                             {{"service", this->settings.service},
                              {"version", "v1"},
                              {"zone", this->settings.zone},
                              {"capacity", this->settings.capacity}}},
                            {"status", {{"state", "ready"}, {"sequence", sequence}, {"warmupLeftS", 0}}}};
            const std::string text = body.dump();
            connection control;
            if (control.open(this->settings.control))
            {
                control.set_receive_timeout(milliseconds{1000});
                control.send("POST /v1/Instances.Heartbeat/" + this->settings.id +
                             " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: " +
                             std::to_string(text.size()) + "\r\n\r\n" + text);
                const auto answer = read_message(control);
                this->acknowledged_beats += answer && answer->status() == 200 ? 1 : 0;
            }
            std::this_thread::sleep_for(milliseconds{this->acknowledged_beats == 0 ? 100 : 1500});
        }
    }

    instance_options settings;
    std::int64_t born;
    std::atomic<int> acknowledged_beats{0};
};

/// An instance: heartbeats to its daemon, health checks, and runs of requests.
class instance
{
public:
    using options = instance_options;
    /// What a run does: how long it works, and the body of its answer.
    struct work
    {
        milliseconds time{60};
        std::string body = "ok";
    };

    instance(options chosen, run_log& all_runs, std::function<work(const message&)> chosen_work)
        : settings(std::move(chosen)),
          runs(all_runs),
          work_for(std::move(chosen_work)),
          server(this->settings.at, [this](const message& call) { return this->handle(call); }),
          beats(this->settings)
    {
    }

    int acknowledged() const { return this->beats.acknowledged(); }

private:
    std::string handle(const message& call)
    {
        const std::string load = "Laburnumreach-Server-Load: " + std::to_string(this->running) + ",0," +
                                 std::to_string(this->settings.capacity) + "\r\n";
        if (call.target() == "/health")
        {
            return "HTTP/1.1 200 OK\r\nLaburnumreach-Instance-Id: " + this->settings.id + "\r\n" + load +
                   "Content-Length: 0\r\n\r\n";
        }
        const std::string id = call.field("laburnumreach-attempt-id");
        const std::string echo = "Laburnumreach-Attempt-Id: " + id + "\r\n";
        const std::string expected = call.field("laburnumreach-expected-instance");
        if (id.empty())
        {
            return "HTTP/1.1 400 Bad Request\r\nLaburnumreach-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        }
        if (!expected.empty() && expected != this->settings.id)
        {
            return "HTTP/1.1 421 Misdirected Request\r\nLaburnumreach-Instance-Id: " + this->settings.id + "\r\n" +
                   echo + "Content-Length: 0\r\n\r\n";
        }
        if (this->running.fetch_add(1) >= this->settings.capacity)
        {
            --this->running;
            return "HTTP/1.1 503 Service Unavailable\r\nLaburnumreach-Not-Executed: 1\r\n" + echo + load +
                   "Content-Length: 0\r\n\r\n";
        }
        const std::size_t index = this->runs.begin(id, this->settings.id);
        const work done = this->work_for(call);
        const long deadline = std::atol(call.field("laburnumreach-deadline-ms").c_str());
        const bool late = done.time.count() > deadline;
        std::this_thread::sleep_for(std::min(done.time, milliseconds{deadline}));
        this->runs.end(index, !late);
        --this->running;
        const std::string& body = late ? std::string{} : done.body;
        return std::string{late ? "HTTP/1.1 504 Gateway Timeout\r\n" : "HTTP/1.1 200 OK\r\n"} + echo +
               "Laburnumreach-Server-Signature: " + id + ".sig\r\n" + load +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    options settings;
    run_log& runs;
    std::function<work(const message&)> work_for;
    std::atomic<int> running{0};
    http_server server;
    heartbeats beats;
};

/// Addresses of one deployment in a loopback network that nobody uses.
class network
{
public:
    network()
    {
        std::random_device random;
        for (int attempt = 0; attempt < 50; ++attempt)
        {
            this->prefix = "127." + std::to_string(16 + random() % 200) + '.' + std::to_string(1 + random() % 250) + '.';
            if (this->is_free())
            {
                return;
            }
        }
        throw setup_error{"no free loopback addresses"};
    }
    std::string ip(int machine) const { return this->prefix + std::to_string(machine); }
    address store() const { return {this->ip(250), 8545}; }

private:
    bool is_free() const
    {
        for (const int host : {1, 2, 3, 4, 250})
        {
            for (const int port : {7000, 7015, 8540, 8543, 8545, 8546, 8547, 8548})
            {
                const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
                const sockaddr_in native = address{this->ip(host), static_cast<std::uint16_t>(port)}.native();
                const bool bound = ::bind(fd, reinterpret_cast<const sockaddr*>(&native), sizeof native) == 0;
                ::close(fd);
                if (!bound)
                {
                    return false;
                }
            }
        }
        return true;
    }
    std::string prefix;
};

/// A machine with its daemon, which is started with the command and the template of the deploy file.
class machine
{
public:
    struct options
    {
        std::string ip;
        std::string name;
        std::string zone;
        std::string service;
        address store;
        std::string folder; ///< For settings and logs.
        std::string announced_ip{}; ///< At which other daemons reach this one, if not at ip.
    };

    explicit machine(options chosen) : settings(std::move(chosen)) {}
    ~machine() { this->kill_now(); }
    machine(const machine&) = delete;
    machine& operator=(const machine&) = delete;

    address outbound() const { return {this->settings.ip, 8548}; }
    address ready() const { return {this->settings.ip, 8546}; }
    address control() const { return {this->settings.ip, 8540}; }
    address app() const { return {this->settings.ip, 8547}; }

    void start(bool first)
    {
        const std::string path = this->settings.folder + '/' + this->settings.name + ".toml";
        std::ofstream{path} << this->render(first);
        const std::string log = this->settings.folder + '/' + this->settings.name + ".log";
        const std::string variable = "LABURNUMREACH_SETTINGS=" + path;
        std::vector<std::string> words = run_command();
        std::vector<char*> arguments;
        for (std::string& word : words)
        {
            arguments.push_back(word.data());
        }
        arguments.push_back(nullptr);
        const std::string search = std::string{"PATH="} + (std::getenv("PATH") ? std::getenv("PATH") : "/usr/bin:/bin");
        char* const environment[] = {const_cast<char*>(variable.c_str()), const_cast<char*>(search.c_str()), nullptr};
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        this->pid = ::fork();
        if (this->pid == 0)
        {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // Also ends with a case that is killed.
            ::dup2(output, 1);
            ::dup2(output, 2);
            ::execve(arguments[0], arguments.data(), environment);
            ::_exit(127);
        }
        ::close(output);
    }

    void signal(int number) const
    {
        if (this->pid > 0)
        {
            ::kill(this->pid, number);
        }
    }

    /// Returns the wait status once the process has ended.
    std::optional<int> ended()
    {
        if (this->pid > 0)
        {
            int status = 0;
            if (::waitpid(this->pid, &status, WNOHANG) == this->pid)
            {
                this->pid = 0;
                this->last_status = status;
            }
        }
        return this->last_status;
    }

    void kill_now()
    {
        if (this->pid > 0)
        {
            ::kill(this->pid, SIGKILL);
            ::waitpid(this->pid, nullptr, 0);
            this->pid = 0;
        }
    }

    bool is_ready() const
    {
        connection check;
        if (!check.open(this->ready()))
        {
            return false;
        }
        check.set_receive_timeout(milliseconds{1000});
        check.send("GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
        const auto answer = read_message(check);
        return answer && answer->status() == 200;
    }

    pid_t process() const { return this->pid; }

private:
    static std::vector<std::string> run_command()
    {
        std::ifstream file{"deploy/system.toml"};
        std::string line;
        while (std::getline(file, line))
        {
            if (line.rfind("run = \"", 0) == 0)
            {
                std::istringstream words{line.substr(7, line.rfind('"') - 7)};
                std::vector<std::string> result;
                std::string word;
                while (words >> word)
                {
                    result.push_back(word);
                }
                if (::access(result.front().c_str(), X_OK) != 0)
                {
                    throw setup_error{result.front() + " is not built"};
                }
                return result;
            }
        }
        throw setup_error{"deploy/system.toml has no run command"};
    }

    /// Fills the placeholders of the template, as the platform does.
    std::string render(bool first) const
    {
        const auto quoted = [](const std::string& text) { return json(text).dump(); };
        const std::map<std::string, std::string> values{
            {"nodeName|json", quoted(this->settings.name)},
            {"zone|json", quoted(this->settings.zone)},
            {"bootstrap", first ? "true" : "false"},
            {"service|json", quoted(this->settings.service)},
            {"appAddr|json", quoted(this->app().text())},
            {"bounds.drainS", "2"},
            {"ip|json", quoted(this->settings.ip)},
            {"bind.outbound|json", quoted(this->outbound().text())},
            {"bind.ready|json", quoted(this->ready().text())},
            {"bind.control|json", quoted(this->control().text())},
            {"portRange.0", "7000"},
            {"portRange.1", "7015"},
            {"provider.address|json", quoted(this->settings.store.text())},
            {"bounds.graceS", "6"},
            {"bounds.retryBudgetRatio", "0.2"},
            {"bounds.retryBudgetSlack", "47"},
            {"bounds.budgetWindowS", "10"}};
        std::ifstream file{"deploy/sidecar.toml.template"};
        std::string text{std::istreambuf_iterator<char>{file}, {}};
        for (std::size_t begin = text.find("{{"); begin != std::string::npos; begin = text.find("{{", begin))
        {
            const std::size_t end = text.find("}}", begin);
            const std::string name = text.substr(begin + 2, end - begin - 2);
            const auto value = values.find(name);
            if (value == values.end())
            {
                throw setup_error{"the template names the unknown field " + name};
            }
            text.replace(begin, end + 2 - begin, value->second);
        }
        const std::size_t listen = text.find("[listen]\n");
        if (!this->settings.announced_ip.empty() && listen != std::string::npos)
        {
            text.insert(listen + 9, "announced_address = " + quoted(this->settings.announced_ip) + '\n');
        }
        return text;
    }

    options settings;
    pid_t pid = 0;
    std::optional<int> last_status;
};

/// A temporary folder that is removed at the end.
class temporary_folder
{
public:
    temporary_folder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (::mkdtemp(name.data()) == nullptr)
        {
            throw setup_error{"cannot make a temporary folder"};
        }
        this->path = name;
    }
    ~temporary_folder()
    {
        if (std::getenv("KEEP_LOGS") == nullptr)
        {
            std::error_code ignored;
            std::filesystem::remove_all(this->path, ignored);
        }
        else
        {
            std::fprintf(stderr, "logs: %s\n", this->path.c_str());
        }
    }
    std::string path;
};

template <typename Condition>
bool wait_until(Condition condition, milliseconds limit)
{
    const steady::time_point end = steady::now() + limit;
    while (!condition())
    {
        if (steady::now() > end)
        {
            return false;
        }
        std::this_thread::sleep_for(milliseconds{20});
    }
    return true;
}

/// A new id, as each client attempt has one.
inline std::string attempt_id()
{
    static std::atomic<std::uint64_t> next{1};
    static const std::uint32_t base = std::random_device{}();
    char text[40];
    std::snprintf(text, sizeof text, "%08x%08lx", base, static_cast<unsigned long>(next++));
    return text;
}

inline std::string request_text(const std::string& method, const std::string& host, const std::string& path,
                                const std::string& id, int deadline_ms, const std::string& key,
                                const std::string& more_fields = {}, const std::string& body = {})
{
    return method + ' ' + path + " HTTP/1.1\r\nHost: " + host + "\r\nLaburnumreach-Attempt-Id: " + id +
           "\r\nLaburnumreach-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n" +
           (key.empty() ? "" : "Laburnumreach-Credential: " + key + "\r\n") + more_fields +
           (method == "GET" ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
}

/// Runs a case: exit status 2 if it could not run.
template <typename Case>
int run_case(Case body)
{
    std::signal(SIGPIPE, SIG_IGN);
    int result = could_not_run;
    try
    {
        result = body();
    }
    catch (const std::exception& error)
    {
        std::fprintf(stderr, "the case could not run: %s\n", error.what());
    }
    std::printf("%s\n", result == rule_held ? "rule held" : result == rule_broken ? "rule broken" : "could not run");
    std::fflush(stdout);
    ::_exit(result); // Threads of the stand-ins still run.
}

} // namespace review
