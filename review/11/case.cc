// LOST: a stopping sidecar passes on requests of an open route that were sent more than 3 s after SIGTERM, and
// breaks those off that take longer than usual.
#include "harness.hh"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <random>

using namespace review;

namespace
{

struct order
{
    std::string id;
    double sent = 0;
    double answered = 0;
    outcome result;
};

} // namespace

int main()
{
    recorder::open("review/11/record.txt");
    constexpr double usual_s = 0.25;
    constexpr double longest_s = 1.5;
    constexpr double share_of_longest = 0.01;
    constexpr int clients = 64;
    constexpr int stops = 3;
    sidecar_process::bounds["drainS"] = "2.5";
    sidecar_process::bounds["retryBudgetSlack"] = "120";
    const std::string network = free_network();
    const std::string folder = temporary_folder();
    store_standin store{network + "200", store_port};
    run_log runs{false}; // The lines of the orders have their runs.
    json open_route = route("order", "unsafe", "orders");
    open_route["noAuth"] = true;
    json report = route("report", "safe", "reports");
    report["timeoutS"] = 8.0;
    store.put("config", "main",
              config(10, json::array({service("orders"), service("reports")}), json::array({open_route, report}),
                     json::array({tenant("alpha", "key-of-alpha", 0, 0)})));
    std::vector<std::unique_ptr<sidecar_process>> sidecars;
    std::vector<std::unique_ptr<instance_standin>> instances;
    for (int index = 1; index <= 3; ++index)
    {
        const machine at{.name = "m" + std::to_string(index),
                         .zone = index == 1 ? "zone-1" : "zone-2",
                         .ip = network + std::to_string(index),
                         .service = index == 1 ? "reports" : "orders"};
        sidecars.push_back(std::make_unique<sidecar_process>(
            at, network + "200:" + std::to_string(store_port), folder));
        sidecars.back()->start(true);
        instances.push_back(std::make_unique<instance_standin>(
            instance_standin::options{.at = at, .id = "i-" + at.name, .slots = 300, .work_s = usual_s}, runs));
    }
    for (const auto& sidecar : sidecars)
    {
        if (!sidecar->wait_ready(10))
        {
            std::fprintf(stderr, "a sidecar isn't ready\n");
            return 2;
        }
    }
    sleep_s(4);
    std::mutex mutex;
    std::vector<order> orders;
    std::atomic<bool> stop{false};
    std::vector<std::thread> threads;
    for (int index = 0; index < clients; ++index)
    {
        threads.emplace_back(
            [&, index]
            {
                client sender{network + "1", ""};
                std::mt19937 random{std::random_device{}()};
                for (int number = 0; !stop; ++number)
                {
                    const bool is_long = std::uniform_real_distribution<double>{}(random) < share_of_longest;
                    order sent;
                    sent.id = "o" + std::to_string(index) + "-" + std::to_string(number);
                    sent.sent = now_s();
                    sent.result = sender.request(sent.id, "POST",
                                                 "/order/1?work=" + std::to_string(is_long ? longest_s : usual_s),
                                                 5000, "sheet");
                    sent.answered = now_s();
                    {
                        const std::lock_guard lock{mutex};
                        orders.push_back(sent);
                    }
                    sleep_s(sent.result.status == 200 ? 0.02 : 0.1);
                }
            });
    }
    std::vector<double> stopped;
    for (int number = 0; number < stops; ++number)
    {
        sleep_s(4);
        // One run on the instance beside the daemon that lasts nearly as long as the stop.
        std::thread reader{[&, number]
                           {
                               client sender{network + "2", "key-of-alpha"};
                               sender.request("long-" + std::to_string(number), "GET", "/report/1?work=5.1", 7000);
                           }};
        sleep_s(0.1);
        const double begun = now_s();
        stopped.push_back(begun);
        if (trouble())
        {
            sidecars[0]->signal(SIGTERM);
            sidecars[0]->wait();
            recorder::line("sidecar m1 has ended, " + std::to_string(now_s() - begun) + " s after SIGTERM");
        }
        sleep_until_s(begun + 6.5);
        reader.join();
        if (trouble() && number + 1 < stops)
        {
            sidecars[0]->start(false);
            if (!sidecars[0]->wait_ready(10))
            {
                std::fprintf(stderr, "the sidecar isn't ready again\n");
                return 2;
            }
        }
    }
    stop = true;
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    std::map<std::string, run> by_id;
    for (const run& entry : runs.all())
    {
        by_id[entry.id] = entry;
    }
    int lost = 0;
    int late = 0;
    std::map<int, int> statuses;
    for (const order& sent : orders)
    {
        const auto found = by_id.find(sent.id);
        const bool has_run = found != by_id.end();
        const auto of_stop = std::upper_bound(stopped.begin(), stopped.end(), sent.sent);
        const double begun = of_stop == stopped.begin() ? sent.sent : *std::prev(of_stop);
        // Sent later than 3 s after SIGTERM, and until 1 s after graceS.
        const bool is_counted = sent.sent > begun + 3 && sent.sent < begun + 7;
        const bool is_cut = has_run && !sent.result.is_signed && sent.answered < sent.sent + 4.9 &&
                            (found->second.end == 0 || found->second.end > sent.answered);
        recorder::line("order " + sent.id + " sent " + std::to_string(sent.sent) + ", ended " +
                       std::to_string(sent.answered) + " with " + std::to_string(sent.result.status) +
                       (has_run ? ", run from " + std::to_string(found->second.at) + " to " +
                                      std::to_string(found->second.end)
                                : ", not run"));
        ++statuses[sent.result.status];
        late += is_counted && has_run ? 1 : 0;
        if (is_cut && is_counted)
        {
            ++lost;
            recorder::line("lost: order " + sent.id + ", sent " + std::to_string(sent.sent - begun) +
                           " s after SIGTERM, ended after " + std::to_string(sent.answered - begun) +
                           " s, its run after " + std::to_string(found->second.end - begun) + " s");
        }
    }
    for (const auto& [status, count] : statuses)
    {
        recorder::line("orders answered " + std::to_string(status) + ": " + std::to_string(count));
    }
    const std::string text = "LOST: " + std::to_string(lost) + " of " + std::to_string(late) +
                             " orders that were sent later than 3 s after SIGTERM and ran were broken off";
    recorder::line(text);
    std::puts(text.c_str());
    if (orders.size() < 1000)
    {
        return 2;
    }
    return lost > 0 ? 1 : 0;
}
