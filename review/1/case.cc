// Orders run at an instance while the links of its machine are reset and cut for some seconds. Their clients
// wait.
#include "../harness/harness.hh"

using namespace review;

int main(int argc, char** argv)
{
    return run_case(argc, argv,
                    []
                    {
                        const json shop{{"name", "shop"}, {"apiKeys", {"shop-key-0001"}}};
                        const json more{{"timeoutS", 5}, {"sloS", 1.2}};
                        const json routes = json::array({route("order", "unsafe", "orders", more),
                                                         route("read", "safe", "orders", more)});
                        fleet machines{{{"front", "z-a"}, {"orders", "z-b"}, {"orders", "z-c"}},
                                       configuration(3, {"front", "orders"}, json::array({shop}), routes),
                                       300};
                        machines.add_proxies();
                        machines.start();
                        const address outbound = machines.machines[0].daemon->settings.at.outbound();
                        const address busy_outbound = machines.machines[1].daemon->settings.at.outbound();
                        const std::string cut_name = machines.machines[1].daemon->settings.name;

                        constexpr int load = 40;
                        std::atomic<bool> loading{true};
                        std::atomic<long> reads{0};
                        std::vector<std::thread> clients;
                        // Clients on the machine that is cut off later; they keep its daemon busy with short
                        // requests, each of which the instance of the same machine answers at once.
                        for (int number = 0; number < load; ++number)
                        {
                            clients.emplace_back(
                                [&, number]
                                {
                                    connection kept;
                                    for (int count = 0; loading; ++count)
                                    {
                                        if (!kept.is_open() && !kept.open(busy_outbound))
                                        {
                                            sleep_ms(50);
                                            continue;
                                        }
                                        const std::string id =
                                            "r-" + std::to_string(number) + '-' + std::to_string(count);
                                        kept.send(request_head("GET", "/read/0", id, "shop-key-0001", 3000));
                                        if (!read_message(kept, 3500))
                                        {
                                            kept.close();
                                        }
                                        ++reads;
                                    }
                                });
                        }
                        std::mutex mutex;
                        std::map<int, int> statuses;
                        constexpr int rounds = 8;
                        constexpr int orders = 400;
                        for (int round = 0; round < rounds; ++round)
                        {
                            std::vector<std::thread> senders;
                            for (int number = 0; number < orders; ++number)
                            {
                                senders.emplace_back(
                                    [&, round, number]
                                    {
                                        // 2.2 to 3.7 s of work.
                                        const long work = 2200 + 1500L * number / orders;
                                        const std::string id =
                                            "o-" + std::to_string(round) + '-' + std::to_string(number);
                                        connection kept;
                                        int status = 0;
                                        if (kept.open(outbound) &&
                                            kept.send(request_head("POST", "/order/" + std::to_string(work),
                                                                   id, "shop-key-0001", 5000, 0)))
                                        {
                                            const auto answer = read_message(kept, 5500);
                                            status = answer ? answer->status() : 0;
                                        }
                                        const std::lock_guard lock{mutex};
                                        ++statuses[status];
                                        events.add(id + " answered " + std::to_string(status));
                                    });
                            }
                            sleep_ms(200);
                            if (with_trouble())
                            {
                                machines.cut(cut_name);
                                sleep_ms(100);
                                machines.reset_links_to(1);
                            }
                            sleep_ms(3400);
                            if (with_trouble())
                            {
                                machines.cut("");
                            }
                            for (std::thread& sender : senders)
                            {
                                sender.join();
                            }
                            sleep_ms(3000);
                        }
                        loading = false;
                        for (std::thread& client : clients)
                        {
                            client.join();
                        }
                        std::map<std::string, std::vector<std::string>> runs;
                        for (std::size_t number = 0; number < machines.machines.size(); ++number)
                        {
                            for (const instance::run& entry : machines.machines[number].app->runs())
                            {
                                if (entry.attempt.starts_with("o-"))
                                {
                                    runs[entry.attempt].push_back("machine " + std::to_string(number + 1) +
                                                                  " from " + std::to_string(entry.begin) +
                                                                  " to " + std::to_string(entry.end));
                                }
                            }
                        }
                        int twice = 0;
                        for (const auto& [id, places] : runs)
                        {
                            std::string text = "run " + id + ": ";
                            for (const std::string& place : places)
                            {
                                text += place + "; ";
                            }
                            events.add(text);
                            twice += places.size() > 1 ? 1 : 0;
                        }
                        for (const auto& [status, count] : statuses)
                        {
                            events.add("orders answered " + std::to_string(status) + ": " +
                                       std::to_string(count));
                        }
                        events.add("reads: " + std::to_string(reads) +
                                   ", orders that ran more than once: " + std::to_string(twice));
                        if (runs.size() < rounds * orders / 2)
                        {
                            throw cannot_run{"too few orders reached an instance"};
                        }
                        return twice == 0;
                    });
}
