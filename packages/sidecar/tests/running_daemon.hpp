#ifndef LABURNUMREACH_SIDECAR_RUNNING_DAEMON_HPP
#define LABURNUMREACH_SIDECAR_RUNNING_DAEMON_HPP

#include "laburnumreach/sidecar/sidecar_daemon.hpp"
#include "log_pipe.hpp"

#include <cppunit/TestAssert.h>
#include <thread>

namespace laburnumreach::sidecar
{

/// A daemon on addresses of its own, in a thread.
class running_daemon
{
public:
    struct options
    {
        std::string id;
        unsigned address = 2; ///< Last number of the loopback address.
        platform_bindings bindings;
        bool first_start = false;
        std::chrono::milliseconds stop_grace{1500};
        bool store_holds_departures = false; ///< Whether a store confirms that it has them.
    };

    explicit running_daemon(const options& chosen)
        : log(chosen.id, this->pipe.descriptor()), daemon(settings_of(chosen), chosen.bindings, this->log)
    {
        if (chosen.store_holds_departures)
        {
            this->daemon.departures_changed =
                [this](std::span<const instance_departure>, std::uint64_t revision)
            { this->daemon.post_departures_written(revision); };
        }
        this->daemon.open();
        this->thread = std::thread{[this] { this->daemon.run(); }};
    }

    ~running_daemon() { this->stop(); }

    running_daemon(const running_daemon&) = delete;
    running_daemon& operator=(const running_daemon&) = delete;

    /// Starts to stop, as SIGTERM does.
    void begin_stop() { this->daemon.post_stop(); }

    /// Stops the daemon and waits until it has ended.
    void stop()
    {
        if (this->thread.joinable())
        {
            this->daemon.post_stop();
            this->thread.join();
        }
    }

    /// Waits until the daemon has ended after begin_stop().
    void wait_for_end() { this->thread.join(); }

    const std::string& id() const { return this->daemon.own_record().daemon_id; }

    const config::sidecar_settings& settings() const { return this->daemon.active_settings(); }

    void put_config(std::uint64_t version, const std::string& document)
    {
        this->daemon.post_config({.version = version, .document = document});
    }

    /// Passes departures that an earlier process wrote to the store.
    void put_departures(std::vector<instance_departure> departures)
    {
        this->daemon.post_departures(std::move(departures));
    }

    bool waits_for(const std::string& line)
    {
        const core::time_point limit = core::boot_clock::now() + std::chrono::seconds{10};
        while (!this->pipe.contains(line) && core::boot_clock::now() < limit)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds{10});
        }
        return this->pipe.contains(line);
    }

    /// Returns how often the log has a text.
    std::size_t count_of(const std::string& part)
    {
        const std::string& text = this->pipe.text();
        std::size_t count = 0;
        for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        {
            ++count;
        }
        return count;
    }

    /// Tells this daemon of another one, and waits until they are connected both ways.
    void connect_to(running_daemon& other)
    {
        this->daemon.post_members({other.daemon.own_record()});
        CPPUNIT_ASSERT(this->waits_for("event=peer_connected peer=" + other.id()));
        CPPUNIT_ASSERT(other.waits_for("event=peer_connected peer=" + this->id()));
    }

private:
    static config::sidecar_settings settings_of(const options& chosen)
    {
        const std::string ip = "127.199.7." + std::to_string(chosen.address);
        return {.daemon_id = chosen.id,
                .zone = "z",
                .service = "s",
                .upstream = {.address = ip, .port = 7401},
                .outbound = {.address = ip, .port = 7402},
                .ready = {.address = ip, .port = 7403},
                .control = {.address = ip, .port = 7404},
                .peers = {.address = ip, .port = 7405},
                .announced_address = ip,
                .metrics_port = 7406,
                .store = {.address = ip, .port = 7407},
                .first_start = chosen.first_start,
                .stop_grace = chosen.stop_grace,
                .retry_window = std::chrono::milliseconds{200}};
    }

    log_pipe pipe;
    event_log log;
    sidecar_daemon daemon;
    std::thread thread;
};

} // namespace laburnumreach::sidecar

#endif
