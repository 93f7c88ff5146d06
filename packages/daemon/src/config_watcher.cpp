#include "laburnumreach/daemon/config_watcher.hpp"

#include <utility>

namespace laburnumreach::daemon
{

namespace
{

constexpr std::chrono::milliseconds watch_timeout{20'000};
constexpr core::duration poll_interval = std::chrono::seconds{2};
/// Longest wait after a failed call; with the jitter below, the return of the platform causes no burst of
/// calls.
constexpr core::duration longest_backoff = std::chrono::seconds{4};
constexpr core::duration first_backoff = std::chrono::milliseconds{250};

} // namespace

config_watcher::config_watcher(const platform::http_object_store_options& options, std::uint64_t seed,
                               listener listening)
    : store(options),
      repository(this->store),
      random(seed),
      callbacks(std::move(listening)),
      thread(core::posix_thread_options{.name = "config-watch"}, [this] { this->run(); })
{
}

config_watcher::~config_watcher()
{
    {
        const std::lock_guard lock{this->mutex};
        this->stopping = true;
    }
    this->changed.notify_all();
    this->store.interrupt();
    this->thread.join();
}

void config_watcher::set_source(config_source source)
{
    const std::lock_guard lock{this->mutex};
    if (this->wanted != source)
    {
        this->wanted = source;
        this->changed.notify_all();
    }
}

void config_watcher::run()
{
    core::duration backoff = first_backoff;
    while (true)
    {
        config_source source = config_source::peers;
        {
            std::unique_lock lock{this->mutex};
            this->changed.wait(lock,
                               [this] { return this->stopping || this->wanted != config_source::peers; });
            if (this->stopping)
            {
                return;
            }
            source = this->wanted;
        }
        if (!this->step(source))
        {
            this->pause(core::duration{static_cast<core::duration::rep>(
                (0.5 + 0.5 * this->random.uniform()) * static_cast<double>(backoff.count()))});
            backoff = std::min(backoff * 2, longest_backoff);
            continue;
        }
        backoff = first_backoff;
        if (source == config_source::poll)
        {
            this->pause(core::duration{static_cast<core::duration::rep>(
                (0.9 + 0.2 * this->random.uniform()) * static_cast<double>(poll_interval.count()))});
        }
    }
}

bool config_watcher::step(config_source source)
{
    if (source == config_source::watch)
    {
        const auto document = this->repository.watch(watch_timeout);
        this->report(document);
        return document.has_value();
    }
    auto document = this->repository.load();
    if (document)
    {
        this->report(std::optional{*std::move(document)});
        return true;
    }
    const bool answered = document.error().code == core::error_code::not_found;
    if (answered)
    {
        this->callbacks.on_platform_reached();
    }
    return answered;
}

void config_watcher::report(const core::result<std::optional<config::config_document>>& document)
{
    if (!document)
    {
        return;
    }
    this->callbacks.on_platform_reached();
    if (*document)
    {
        this->callbacks.on_document(**document);
    }
}

void config_watcher::pause(core::duration time)
{
    std::unique_lock lock{this->mutex};
    const config_source before = this->wanted;
    this->changed.wait_for(lock, time, [&] { return this->stopping || this->wanted != before; });
}

} // namespace laburnumreach::daemon
