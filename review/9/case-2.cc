// A daemon gets SIGTERM while a client reads its answer slowly: the process ends long before the grace time, and the
// rest of the answer is lost.
#include "../harness-2/deployment.hh"

using namespace review;

namespace
{

constexpr std::size_t answer_bytes = 12'000'000;
constexpr std::size_t read_bytes_per_s = 3'000'000;
constexpr const char* host = "hulo84.example";

int play(const char* record_path)
{
    record log{record_path};
    const json config = configuration(json::array({"huvo11a"}),
                                      json::array({tenant("pulo780", "6wsjnbanfqasnmgkcuyj", 320, 320)}),
                                      json::array({route("r-read", "/leny950/", "safe", "huvo11a", 10, 1.2, 2)}));
    const auto work = [](const message&)
    { return instance::work{.time = milliseconds{60}, .body = std::string(answer_bytes, 'a')}; };
    deployment site{config, {{"sidecar-a", "sul-a", "huvo11a", work}, {"sidecar-b", "sul-b", "huvo11a", work}}};
    machine& front = site.at(0);

    connection client;
    if (!client.open(front.outbound(), 64 * 1024))
    {
        throw setup_error{"no connection to the daemon"};
    }
    client.set_receive_timeout(milliseconds{6000});
    const std::string id = attempt_id();
    const steady::time_point begin = steady::now();
    client.send(request_text("GET", host, "/leny950/1", id, 10'000, "6wsjnbanfqasnmgkcuyj"));
    log.line("request %s sent, deadline 10 s", id.c_str());
    std::size_t total = 0;
    bool signalled = false;
    steady::time_point stopped{};
    bool ended = false;
    int error = 0;
    while (total < answer_bytes)
    {
        if (!client.receive(16 * 1024))
        {
            error = client.last_error;
            ended = true;
            break;
        }
        if (total == 0)
        {
            log.line("the answer begins: %s", client.received.substr(0, client.received.find("\r\n")).c_str());
            client.received.erase(0, client.received.find("\r\n\r\n") + 4);
        }
        total += client.received.size();
        client.received.clear();
        if (trouble() && !signalled && total > 500'000)
        {
            signalled = true;
            stopped = steady::now();
            front.signal(SIGTERM);
            log.line("SIGTERM to the daemon, %zu bytes read", total);
        }
        const auto due = std::chrono::duration<double>{static_cast<double>(total) / read_bytes_per_s};
        std::this_thread::sleep_until(begin + std::chrono::duration_cast<steady::duration>(due));
        if (signalled && front.ended() && stopped != steady::time_point{})
        {
            log.line("the daemon has ended, %.2f s after SIGTERM (graceS 6), %zu bytes read",
                     std::chrono::duration<double>(steady::now() - stopped).count(), total);
            stopped = {};
        }
    }
    const double took = std::chrono::duration<double>(steady::now() - begin).count();
    log.line("%zu of %zu bytes of the answer after %.2f s%s", total, answer_bytes, took,
             ended ? (error == 0 ? ", then the connection ended" : ", then the connection was reset") : "");
    bool run = false;
    for (const run_event& one : site.runs->all())
    {
        run = run || (one.id == id && one.answered);
        log.line("request %s run and answered by %s", one.id.c_str(), one.instance.c_str());
    }
    return ended && run && took < 10 ? rule_broken : rule_held;
}

} // namespace

int main(int, char** arguments)
{
    return run_case([&] { return play(arguments[1]); });
}
