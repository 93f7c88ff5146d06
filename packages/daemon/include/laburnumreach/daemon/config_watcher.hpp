#ifndef LABURNUMREACH_DAEMON_CONFIG_WATCHER_HPP
#define LABURNUMREACH_DAEMON_CONFIG_WATCHER_HPP

#include "laburnumreach/config/config_document.hpp"
#include "laburnumreach/core/posix_thread.hpp"
#include "laburnumreach/core/random_source.hpp"
#include "laburnumreach/core/time.hpp"
#include "laburnumreach/platform/config_repository.hpp"
#include "laburnumreach/platform/http_object_store.hpp"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>

namespace laburnumreach::daemon
{

/// How a daemon learns of new configurations from the platform.
enum class config_source : std::uint8_t
{
    peers, ///< From other daemons only; no platform calls.
    poll,  ///< Reads the platform every 2 s: no peer is in reach, or none has a configuration.
    watch, ///< Keeps a watch waiting: one daemon of each zone.
};

/// Reads and watches the configuration in the platform on a thread of its own.
class config_watcher
{
public:
    /// Called on the watcher's thread.
    struct listener
    {
        std::function<void(config::config_document)> on_document;
        std::function<void()> on_platform_reached;
    };

    config_watcher(const platform::http_object_store_options& options, std::uint64_t seed,
                   listener callbacks);
    config_watcher(const config_watcher&) = delete;
    config_watcher& operator=(const config_watcher&) = delete;
    ~config_watcher();

    /// Sets the source. Called by the control thread.
    void set_source(config_source source);

private:
    void run();
    bool step(config_source source);
    void pause(core::duration time);
    void report(const core::result<std::optional<config::config_document>>& document);

    platform::http_object_store store;
    platform::config_repository<platform::http_object_store> repository;
    core::random_source random;
    listener callbacks;
    std::mutex mutex;
    std::condition_variable changed;
    config_source wanted = config_source::peers;
    bool stopping = false;
    core::posix_thread thread;
};

} // namespace laburnumreach::daemon

#endif
