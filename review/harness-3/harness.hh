// Stand-ins and tools of the review's scripts: the platform's store, instances, clients, and sidecar processes.
//
// Everything listens on loopback addresses 127.NET.0.N, where N is the number of a machine, so all machines
// use the same ports. Threads and blocking sockets; plain POSIX and nlohmann::json.
#ifndef REVIEW_HARNESS_3_HPP
#define REVIEW_HARNESS_3_HPP

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review
{

using json = nlohmann::json;

/// Seconds since the start of the script.
double now_s();
void sleep_s(double seconds);
void sleep_until_s(double time);
/// Unix time in milliseconds.
std::uint64_t unix_ms();

/// Whether the disruption takes place; false with TROUBLE=0.
bool trouble();

/// Writes record.txt in the folder of the case.
class recorder
{
public:
    static void open(const std::string& path);
    static void line(const std::string& text);
};

/// Names of header fields are in lower case.
struct message
{
    std::string first_line;
    std::map<std::string, std::string> fields;
    std::string body;

    std::string field(const std::string& name) const;
    std::string method() const;
    std::string target() const;
    int status() const;
};

/// A connected socket with its received bytes.
class stream
{
public:
    explicit stream(int connected) : descriptor(connected) {}
    ~stream();
    stream(const stream&) = delete;

    /// Connects. The result is not open if that failed.
    static std::unique_ptr<stream> connect(const std::string& ip, int port);

    bool is_open() const { return this->descriptor >= 0; }
    bool write(const std::string& bytes);
    /// Reads one message with a Content-Length or none.
    /// @returns no value at the end of the connection, or when the time is over
    std::optional<message> read(double timeout_s, bool is_response = false);
    /// Returns whether the other side has closed the connection.
    bool peer_has_closed() const;
    void close();
    void shutdown();

private:
    int descriptor;
    std::string received;
};

/// Serves HTTP/1.1 with a thread for each connection. A handler that returns an empty text closes the connection.
class http_server
{
public:
    using handler = std::function<std::string(const message&, stream&)>;

    http_server(const std::string& ip, int port, handler served);
    ~http_server();

    /// Closes all connections and the listening socket.
    void stop();
    void close_connections();

private:
    void accept_all();

    handler handle;
    int listener = -1;
    std::atomic<bool> stopping{false};
    std::thread acceptor;
    std::mutex mutex;
    std::list<std::pair<std::shared_ptr<stream>, std::thread>> connections;
};

std::string http_response(int status, const std::string& fields, const std::string& body);

/// The platform's metadata store.
class store_standin
{
public:
    store_standin(const std::string& ip, int port);
    ~store_standin();

    /// Writes the spec of an object, as the operator does.
    void put(const std::string& kind, const std::string& name, const json& spec);

    struct copy
    {
        std::map<std::pair<std::string, std::string>, json> objects;
        std::uint64_t revision = 0;
    };
    copy take_copy();

    /// Ends all connections; new ones are closed without an answer.
    void go_away();
    /// Comes back from a copy, with the next era.
    void come_back(const copy& former);

    std::vector<std::string> names(const std::string& kind);

private:
    std::string handle(const message& call, stream& connection);
    std::string list(const std::string& kind, const std::map<std::string, std::string>& query, stream& connection);
    std::string respond(int status, const json& body);
    json& touch(const std::string& kind, const std::string& name);

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::pair<std::string, std::string>, json> objects;
    std::uint64_t revision = 1;
    std::uint64_t era = 1;
    bool away = false;
    std::unique_ptr<http_server> server;
};

/// One run of a request at an instance.
struct run
{
    double at = 0;
    double end = 0; ///< Zero while it runs.
    std::string id;
    std::string tenant;
    std::string machine;
    std::string instance;
    std::string caller_service;
};

class run_log
{
public:
    /// @param is_recorded whether record.txt gets a line for each run
    explicit run_log(bool is_recorded = true) : recorded(is_recorded) {}

    void add(run entry);
    void set_end(const std::string& id, double time);
    std::vector<run> all();

private:
    const bool recorded;
    std::mutex mutex;
    std::vector<run> runs;
};

struct machine
{
    std::string name;
    std::string zone;
    std::string ip;
    std::string service;
};

constexpr int inbound_port = 8543;
constexpr int outbound_port = 8548;
constexpr int ready_port = 8546;
constexpr int control_port = 8540;
constexpr int app_port = 8547;
constexpr int store_port = 8545;

/// An application instance beside a sidecar.
class instance_standin
{
public:
    struct options
    {
        machine at;
        std::string id;
        int slots = 200;
        double work_s = 0.01;
        double heartbeat_s = 1.5;
        /// Added to the time of day of the instance's machine, in milliseconds.
        std::int64_t clock_ms = 0;
    };

    instance_standin(options chosen, run_log& log);
    ~instance_standin();

    /// Ends at once, without a word.
    void crash();
    /// Reports `draining` until it is acknowledged.
    /// @returns the time of the acknowledgement; negative if none came
    double drain();
    /// Deregisters first and goes on serving.
    /// @returns the time of the acknowledgement; negative if none came
    double deregister();

    std::atomic<double> acknowledged{-1};
    /// Whether health checks say 200 also while the instance leaves.
    std::atomic<bool> health_is_false{false};

private:
    std::string handle(const message& call, stream& connection);
    std::string answer_body(const message& call, const std::string& id) const;
    bool announce(const std::string& verb);
    void send_heartbeats();

    options settings;
    run_log& runs;
    std::uint64_t born;
    std::atomic<int> running{0};
    std::atomic<bool> leaving{false};
    std::atomic<bool> silent{false};
    std::atomic<bool> stopping{false};
    std::mutex mutex;
    std::uint64_t sequence = 0;
    std::unique_ptr<http_server> server;
    std::thread heartbeats;
};

/// A sidecar process, started with the command of the deploy file and settings from its template.
class sidecar_process
{
public:
    sidecar_process(machine chosen, std::string store_address, std::string folder);
    ~sidecar_process();

    void start(bool bootstrap);
    void signal(int number) const;
    /// Waits for the end of the process.
    void wait();
    bool ready() const;
    bool wait_ready(double timeout_s) const;
    /// Returns whether the process has ended by itself.
    bool has_ended();

    /// Returns the largest resident memory so far, in MB; zero if the process has ended.
    double peak_mb() const;

    const machine& at() const { return this->where; }

    /// Bounds as the platform fills them into the template.
    static std::map<std::string, std::string> bounds;

    /// Memory of the machine's process.
    static int memory_mb;

private:
    machine where;
    std::string store;
    std::string directory;
    int process = -1;
};

/// Result of one request of a client; status 0 for no answer.
struct outcome
{
    int status = 0;
    std::string body;
    bool is_signed = false;
};

/// A client with one kept connection.
class client
{
public:
    client(std::string ip, std::string key) : address(std::move(ip)), credential(std::move(key)) {}

    outcome request(const std::string& id, const std::string& method, const std::string& path, int deadline_ms,
                    const std::string& body = {});

private:
    std::string address;
    std::string credential;
    std::unique_ptr<stream> connection;
};

/// Clients of one machine that together send requests at a rate, whatever is answered.
class load
{
public:
    load(const machine& at, std::string key, std::string path, double per_second, int clients, int deadline_ms);
    ~load();
    void stop();
    /// Number of answers by status.
    std::map<int, int> statuses();

private:
    std::atomic<bool> stopping{false};
    std::vector<std::thread> threads;
    std::mutex mutex;
    std::map<int, int> counts;
};

/// Chooses a loopback network that is free.
/// @returns the first three octets, with a dot at the end
std::string free_network();

/// Creates a temporary folder that is removed at exit.
std::string temporary_folder();

/// Returns the largest number of requests of a tenant that were both sent by a load and run in one window, and
/// when that ends. Windows begin with the sending of a request.
std::pair<int, double> most_in_window(const std::vector<run>& runs, const std::string& tenant, double window_s);

json service(const std::string& name);
json route(const std::string& name, const std::string& kind, const std::string& service);
json tenant(const std::string& name, const std::string& key, double rate, double burst);
json config(int version, const json& services, const json& routes, const json& tenants);

} // namespace review

#endif
