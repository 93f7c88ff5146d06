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
    steady::time_point sent;
    steady::time_point ended{}; ///< When the answer, or the end of the connection, arrived.
    int status = 0;             ///< 0: the connection ended without an answer.
    bool of_instance = false;   ///< The answer has the signature of an instance.
};

constexpr double grace_s = 6;
constexpr double deadline_s = 5; // Also timeoutS of the route.

double seconds(steady::duration span)
{
    return std::chrono::duration<double>(span).count();
}

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
                    attempt one{.id = attempt_id(), .sent = steady::now()};
                    to_daemon.send(request_text("POST", host, "/puka111/order", one.id, 5000, {}, {}, "{}"));
                    const auto answer = read_message(to_daemon);
                    one.ended = steady::now();
                    one.status = answer ? answer->status() : 0;
                    one.of_instance = answer && !answer->field("laburnumreach-server-signature").empty();
                    log.line("order %s sent at %.2f s from SIGTERM: %s", one.id.c_str(), seconds(one.sent - stop_time),
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
    const steady::time_point signalled = steady::now();
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
    int served = 0;
    for (const attempt& one : attempts)
    {
        served += one.status == 200 && one.of_instance ? 1 : 0;
    }
    for (const run_event& run : site.runs->all())
    {
        for (const attempt& one : attempts)
        {
            if (one.id != run.id || one.of_instance)
            {
                continue;
            }
            const double sent_after = seconds(one.sent - signalled);
            const double ended_after = seconds(one.ended - signalled);
            // Passed on before the end; for an answer of the daemon's own, the instance is at work at that moment.
            const bool cut = run.began < one.ended && (one.status == 0 || one.ended < run.ended);
            // Neither the deadline and the route's timeout nor the last sixth of graceS excuses it, which holds for
            // requests that were sent no later than 3 s after the SIGTERM.
            const bool excused = seconds(one.ended - one.sent) >= deadline_s || sent_after <= 3.0;
            if (cut && !excused && ended_after <= grace_s + 1)
            {
                log.line("order %s, sent %.2f s after SIGTERM, was run by %s for %.2f s; after %.2f s the client got %d",
                         run.id.c_str(), sent_after, run.instance.c_str(), seconds(run.ended - run.began),
                         seconds(one.ended - one.sent), one.status);
                ++broken_off;
            }
        }
    }
    log.line("orders that were served: %d", served);
    if (served < 30)
    {
        throw setup_error{"too few orders were served"};
    }
    log.line("orders that were passed on and broken off: %d", broken_off);
    return broken_off > 0 ? rule_broken : rule_held;
}

} // namespace

int main(int, char** arguments)
{
    return run_case([&] { return play(arguments[1]); });
}
