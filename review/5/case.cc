// A daemon is killed and started again. Then its instance leaves by a deregistration, and a heartbeat that it
// sent shortly before arrives late.
#include "../harness/harness.hh"

using namespace review;

int main(int argc, char** argv)
{
    return run_case(
        argc, argv,
        []
        {
            constexpr long drain_ms = 2000;
            constexpr long stability_ms = 3000;
            const json shop{{"name", "shop"}, {"apiKeys", {"shop-key-0001"}}};
            const json routes = json::array({route("order", "unsafe", "orders")});
            fleet machines{{{"front", "z-a"}, {"orders", "z-a"}, {"orders", "z-a"}},
                           configuration(3, {"front", "orders"}, json::array({shop}), routes)};
            machines.start();
            const address outbound = machines.machines[0].daemon->settings.at.outbound();
            sidecar& restarted = *machines.machines[1].daemon;
            instance& leaving = *machines.machines[1].app;

            std::atomic<bool> sending{true};
            std::mutex mutex;
            std::map<int, int> statuses;
            std::map<std::string, int> outcome;
            std::map<std::string, long> sent_at;
            std::vector<std::thread> clients;
            for (int number = 0; number < 20; ++number)
            {
                clients.emplace_back(
                    [&, number]
                    {
                        connection kept;
                        for (int count = 0; sending; ++count)
                        {
                            const std::string id =
                                "o-" + std::to_string(number) + '-' + std::to_string(count);
                            if (!kept.is_open() && !kept.open(outbound))
                            {
                                sleep_ms(100);
                                continue;
                            }
                            {
                                const std::lock_guard lock{mutex};
                                sent_at[id] = now_ms();
                            }
                            kept.send(request_head("POST", "/order/300", id, "shop-key-0001", 5000, 0));
                            const auto answer = read_message(kept, 5500);
                            const std::lock_guard lock{mutex};
                            const int status = answer ? answer->status() : 0;
                            ++statuses[status];
                            outcome[id] = status;
                            if (status != 200)
                            {
                                events.add(id + " answered " + std::to_string(status));
                            }
                            if (!answer)
                            {
                                kept.close();
                            }
                        }
                    });
            }
            sleep_ms(1000);
            leaving.stop_heartbeats(); // They are sent below, one by one.
            events.add("heartbeat acknowledged: " + std::to_string(leaving.tell(leaving.next_heartbeat())));
            long started = now_ms();
            if (with_trouble())
            {
                restarted.signal(SIGKILL);
                sleep_ms(300);
                restarted.poll();
                restarted.start(false);
                started = now_ms();
                while (!restarted.is_ready())
                {
                    if (now_ms() - started > 3000)
                    {
                        throw cannot_run{"the daemon did not start again"};
                    }
                    sleep_ms(10);
                }
                events.add("the daemon is ready again");
            }
            sleep_ms(700);
            // The next heartbeat is due 1.5 s after the last one. The network delays it by 2 s.
            const std::string late = leaving.next_heartbeat();
            events.add("a heartbeat is sent: " + late.substr(late.find('{')));
            std::thread delayed{
                [&, sent = now_ms()]
                {
                    sleep_until_ms(sent + 2000);
                    events.add("the late heartbeat arrives, answer " + std::to_string(leaving.tell(late)));
                }};
            sleep_ms(100);
            leaving.set_leaving();
            const int acknowledged = leaving.tell(leaving.deregistration());
            const long left = now_ms();
            events.add("the instance deregisters, answer " + std::to_string(acknowledged));
            delayed.join();
            // It continues to serve for some seconds more than drainS, and exits.
            sleep_until_ms(left + 9000);
            leaving.end();
            const long ended = now_ms();
            sleep_ms(1500);
            sending = false;
            for (std::thread& client : clients)
            {
                client.join();
            }
            int late_runs = 0;
            int lost_runs = 0;
            for (const instance::run& entry : leaving.runs())
            {
                if (entry.begin < left)
                {
                    continue;
                }
                const bool counts =
                    entry.begin > left + drain_ms && sent_at[entry.attempt] > started + stability_ms;
                late_runs += counts ? 1 : 0;
                const bool lost = outcome[entry.attempt] != 200;
                lost_runs += counts && lost ? 1 : 0;
                events.add("run " + entry.attempt + " at the leaving instance, " +
                           std::to_string(entry.begin - left) + " ms after the acknowledgement" +
                           (counts ? ", too late" : "") +
                           (lost ? ", answered " + std::to_string(outcome[entry.attempt]) : ""));
            }
            for (const auto& [status, count] : statuses)
            {
                events.add("orders answered " + std::to_string(status) + ": " + std::to_string(count));
            }
            events.add("requests that reached the instance later than drainS: " + std::to_string(late_runs) +
                       ", of them lost when it exited at " + std::to_string(ended) + ": " +
                       std::to_string(lost_runs));
            if (acknowledged != 200)
            {
                throw cannot_run{"the deregistration was not acknowledged"};
            }
            return late_runs == 0;
        });
}
