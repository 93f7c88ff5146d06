// The only daemon of its zone gets SIGTERM. Clients of a route without keys go on, as the pages say; the daemon passes
// their requests on until it ends, and breaks them off.
#include "../harness-2/deployment.hh"

using namespace review;

namespace
{

constexpr int clients_count = 6;
constexpr const char* host = "hulo84.example";

struct attempt
{
    std::string id;
    double sent_after = 0; ///< Seconds after SIGTERM.
    int status = 0;        ///< 0: the connection ended without an answer.
};

int play(const char* record_path)
{
    record log{record_path};
    const json config = configuration(json::array({"huvo11a"}),
                                      json::array({tenant("pulo780", "6wsjnbanfqasnmgkcuyj", 320, 320)}),
                                      json::array({route("r-order", "/puka111/", "unsafe", "huvo11a", 5, 1.2, 0, true)}));
    const auto work = [](const message&) { return instance::work{.time = milliseconds{400}}; };
    deployment site{config,
                    {{"sidecar-a", "sul-a", "huvo11a", work},
                     {"sidecar-b", "sul-b", "huvo11a", work},
                     {"sidecar-c", "sul-c", "huvo11a", work}}};
    machine& front = site.at(0);

    std::atomic<bool> ending{false};
    std::mutex mutex;
    std::vector<attempt> attempts;
    const steady::time_point stop_time = steady::now() + milliseconds{1500};
    std::vector<std::thread> clients;
    for (int index = 0; index < clients_count; ++index)
    {
        clients.emplace_back(
            [&, index]
            {
                std::this_thread::sleep_for(milliseconds{70 * index});
                connection to_daemon;
                while (!ending)
                {
                    if (to_daemon.fd < 0 && !to_daemon.open(front.outbound()))
                    {
                        std::this_thread::sleep_for(milliseconds{100});
                        continue;
                    }
                    to_daemon.set_receive_timeout(milliseconds{6000});
                    attempt one{.id = attempt_id(),
                                .sent_after = std::chrono::duration<double>(steady::now() - stop_time).count()};
                    to_daemon.send(request_text("POST", host, "/puka111/order", one.id, 5000, {}, {}, "{}"));
                    const auto answer = read_message(to_daemon);
                    one.status = answer ? answer->status() : 0;
                    log.line("order %s sent %.2f s after SIGTERM: %s", one.id.c_str(), one.sent_after,
                             answer ? answer->start.c_str() : "connection ended without an answer");
                    if (!answer || answer->field("connection") == "close")
                    {
                        to_daemon.close();
                    }
                    const std::lock_guard lock{mutex};
                    attempts.push_back(one);
                }
            });
    }
    std::this_thread::sleep_until(stop_time);
    if (trouble())
    {
        front.signal(SIGTERM);
        log.line("SIGTERM to the daemon, the only one of its zone");
    }
    std::this_thread::sleep_until(stop_time + milliseconds{6500});
    ending = true;
    for (std::thread& client : clients)
    {
        client.join();
    }

    int broken_off = 0;
    for (const run_event& run : site.runs->all())
    {
        for (const attempt& one : attempts)
        {
            // Sent later than 3 s after the SIGTERM, so that the last sixth of graceS excuses nothing.
            if (one.id == run.id && one.sent_after > 3.0 && one.status != 200)
            {
                log.line("order %s, sent %.2f s after SIGTERM, was run by %s; the client got %d", run.id.c_str(),
                         one.sent_after, run.instance.c_str(), one.status);
                ++broken_off;
            }
        }
    }
    log.line("orders that were passed on and broken off: %d", broken_off);
    return broken_off > 0 ? rule_broken : rule_held;
}

} // namespace

int main(int, char** arguments)
{
    return run_case([&] { return play(arguments[1]); });
}
