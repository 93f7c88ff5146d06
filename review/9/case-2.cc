// A machine is cut off from the others, and both sides fill a pool of the tenant's unused tokens: the tenant gets its
// burst twice.
#include "../harness-2/deployment.hh"

#include <algorithm>

using namespace review;

namespace
{

constexpr double rate_per_s = 200;
constexpr double burst = 600;
constexpr int usual_per_s = 84;
constexpr double hot_factor = 7.5; // hot_tenant, x: up to 7.6 in the site file.
constexpr double window_s = 5;     // quotaWindowS
constexpr double excess = 0.1;     // quotaExcess
constexpr double slack = 20;       // quotaSlack
constexpr const char* host = "hulo84.example";
constexpr const char* cut_off = "sidecar-c";

/// Stands between the daemons, and silences the links of one of them while it is cut off.
class link_proxy
{
public:
    link_proxy(const address& at, const address& target, std::string target_name, std::atomic<bool>& is_cut)
        : cut(is_cut), to(target), name(std::move(target_name))
    {
        this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in native = at.native();
        if (::bind(this->listener, reinterpret_cast<const sockaddr*>(&native), sizeof native) != 0 ||
            ::listen(this->listener, 64) != 0)
        {
            throw setup_error{"cannot listen at " + at.text()};
        }
        std::thread{[this]
                    {
                        for (;;)
                        {
                            const int fd = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
                            std::thread{[this, fd] { this->forward(fd); }}.detach();
                        }
                    }}
            .detach();
    }

private:
    void forward(int fd)
    {
        connection from{fd};
        connection target;
        if (!from.receive() || !target.open(this->to))
        {
            return;
        }
        // The first message names the daemon that connects.
        const bool affected = this->name == cut_off || from.received.find(cut_off) != std::string::npos;
        std::atomic<bool> over{false};
        std::thread back{[&] { this->pump(target, from, affected, over); }};
        this->pump(from, target, affected, over);
        ::shutdown(from.fd, SHUT_RDWR);
        ::shutdown(target.fd, SHUT_RDWR);
        back.join();
    }

    /// Forwards bytes until a side ends. Bytes during the cut are held, and the connection ends after it.
    void pump(connection& from, connection& target, bool affected, std::atomic<bool>& over)
    {
        from.set_receive_timeout(milliseconds{50});
        bool was_cut = false;
        while (!over)
        {
            if (affected && this->cut)
            {
                was_cut = true;
                std::this_thread::sleep_for(milliseconds{10});
                continue;
            }
            if (was_cut)
            {
                break;
            }
            if (!from.received.empty() && !target.send(std::exchange(from.received, {})))
            {
                break;
            }
            if (!from.receive() && from.last_error != EAGAIN)
            {
                break;
            }
        }
        over = true;
    }

    std::atomic<bool>& cut;
    address to;
    std::string name;
    int listener = -1;
};

/// When each request was sent.
std::mutex sent_mutex;
std::map<std::string, steady::time_point> sent_times;

/// Sends requests of the tenant to one machine on several kept connections, at a rate.
class tenant_client
{
public:
    tenant_client(const address& to, std::atomic<double>& chosen_rate, std::atomic<bool>& ending, record& log)
    {
        for (int index = 0; index < connections; ++index)
        {
            this->threads.emplace_back(
                [&, to, index]
                {
                    connection kept;
                    kept.open(to);
                    kept.set_receive_timeout(milliseconds{6000});
                    std::this_thread::sleep_for(milliseconds{3 * index});
                    steady::time_point next = steady::now();
                    while (!ending)
                    {
                        next = std::max(next + std::chrono::duration_cast<steady::duration>(
                                                   std::chrono::duration<double>{connections / chosen_rate}),
                                        steady::now() - milliseconds{100});
                        std::this_thread::sleep_until(next);
                        const std::string id = attempt_id();
                        {
                            const std::lock_guard lock{sent_mutex};
                            sent_times.emplace(id, steady::now());
                        }
                        if (!kept.send(request_text("GET", host, "/leny950/1", id, 5000, "6wsjnbanfqasnmgkcuyj")))
                        {
                            kept.open(to);
                            continue;
                        }
                        const auto answer = read_message(kept);
                        log.line("%s request %s answered %d", to.ip.c_str(), id.c_str(), answer ? answer->status() : 0);
                        if (!answer)
                        {
                            kept.open(to);
                        }
                    }
                });
        }
    }
    void join()
    {
        for (std::thread& thread : this->threads)
        {
            thread.join();
        }
    }

private:
    static constexpr int connections = 12;
    std::vector<std::thread> threads;
};

int play(const char* record_path)
{
    record log{record_path};
    const json config = configuration(json::array({"huvo11a"}),
                                      json::array({tenant("pulo780", "6wsjnbanfqasnmgkcuyj", rate_per_s, burst)}),
                                      json::array({route("r-read", "/leny950/", "safe", "huvo11a", 5, 1.2, 0)}));
    const auto work = [](const message&) { return instance::work{.time = milliseconds{20}}; };
    std::atomic<bool>& is_cut = *new std::atomic<bool>{false};
    deployment site{config,
                    {{"sidecar-a", "sul-a", "huvo11a", work},
                     {"sidecar-b", "sul-b", "huvo11a", work},
                     {cut_off, "sul-c", "huvo11a", work}},
                    [&](const address& at, const address& target, const std::string& name)
                    { new link_proxy{at, target, name, is_cut}; }};

    std::atomic<double> rate{usual_per_s / 3.0};
    std::atomic<bool> ending{false};
    std::vector<std::unique_ptr<tenant_client>> clients;
    for (std::size_t index = 0; index < 3; ++index)
    {
        clients.push_back(std::make_unique<tenant_client>(site.at(index).outbound(), rate, ending, log));
    }
    std::this_thread::sleep_for(milliseconds{2000});
    if (trouble())
    {
        is_cut = true;
        log.line("%s is cut off from the others", cut_off);
    }
    std::this_thread::sleep_for(milliseconds{6950});
    rate = usual_per_s / 3.0 * hot_factor;
    log.line("the tenant sends %.1f times its usual", hot_factor);
    std::this_thread::sleep_for(milliseconds{4950}); // node_cut, for_s: up to 12 in the site file.
    is_cut = false;
    rate = usual_per_s / 3.0;
    log.line("the cut is over, and the tenant sends its usual");
    std::this_thread::sleep_for(milliseconds{2000});
    ending = true;
    for (const auto& client : clients)
    {
        client->join();
    }

    // Both sent and arrived in the window; a request counts once.
    std::map<std::string, steady::time_point> arrivals;
    for (const run_event& run : site.runs->all())
    {
        arrivals.emplace(run.id, run.began);
    }
    std::vector<std::pair<steady::time_point, steady::time_point>> requests; ///< Sent, arrived.
    for (const auto& [id, arrived] : arrivals)
    {
        requests.emplace_back(sent_times.at(id), arrived);
    }
    std::sort(requests.begin(), requests.end());
    std::size_t most = 0;
    for (auto first = requests.begin(); first != requests.end(); ++first)
    {
        const auto end = first->first + std::chrono::duration_cast<steady::duration>(std::chrono::duration<double>{window_s});
        std::size_t count = 0;
        for (auto one = first; one != requests.end() && one->first <= end; ++one)
        {
            count += one->second <= end ? 1 : 0;
        }
        most = std::max(most, count);
    }
    const double allowed = (rate_per_s * window_s + burst) * (1 + excess) + slack;
    log.line("most requests of the tenant that were sent and ran in %.0f s: %zu (allowed: %.0f)", window_s, most, allowed);
    if (static_cast<double>(most) < allowed / 2)
    {
        throw setup_error{"too few requests ran"};
    }
    return static_cast<double>(most) > allowed ? rule_broken : rule_held;
}

} // namespace

int main(int, char** arguments)
{
    return run_case([&] { return play(arguments[1]); });
}
