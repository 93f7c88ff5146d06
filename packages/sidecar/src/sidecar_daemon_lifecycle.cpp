#include "laburnumreach/config/sidecar_settings_change.hpp"
#include "laburnumreach/sidecar/sidecar_daemon.hpp"

namespace laburnumreach::sidecar
{

namespace
{

/// Time after a stop signal for which new requests are served: it takes 2 s until readiness checks direct
/// callers to other daemons.
constexpr core::duration request_grace_time = std::chrono::milliseconds{2500};
/// Time after a stop signal for which the instance still gets new calls. Its runs then end while callers move
/// to other daemons.
constexpr core::duration work_grace_time = std::chrono::milliseconds{1500};
/// Part of the grace time reserved for shutdown; a store call of the control thread can take more than 0.5 s.
constexpr core::duration stop_margin = std::chrono::milliseconds{900};
/// Time in which the last responses and the announcement of the departure are written to the connections.
constexpr core::duration departure_time = std::chrono::milliseconds{30};

} // namespace

/// Applies the settings that may change while traffic runs. Settings that cannot be read change nothing.
void sidecar_daemon::reload()
{
    const auto loaded = this->load_settings();
    if (!loaded)
    {
        this->events.state_event("reload_failed", {{"cause", config::to_string(loaded.error())}});
        return;
    }
    for (const std::string& name : config::changes_that_need_a_restart(this->settings, *loaded))
    {
        this->events.state_event("reload_needs_restart", {{"setting", name}});
    }
    this->settings.stop_grace = loaded->stop_grace;
    this->settings.drain_limit = loaded->drain_limit;
    this->settings.retry_ratio = loaded->retry_ratio;
    this->settings.retry_slack = loaded->retry_slack;
    this->settings.retry_window = loaded->retry_window;
    this->settings.body_memory = loaded->body_memory;
    this->memory.set_limit(this->settings.body_memory);
    this->dispatcher.set_drain_limit(this->work_drain_limit());
    this->router.set_retry_settings(make_retry_settings(this->settings));
    this->events.state_event("reloaded",
                             {{"stop_grace_ms", std::to_string(this->settings.stop_grace.count())},
                              {"drain_ms", std::to_string(this->settings.drain_limit.count())},
                              {"retry_ratio", std::to_string(this->settings.retry_ratio)},
                              {"retry_slack", std::to_string(this->settings.retry_slack)},
                              {"retry_window_ms", std::to_string(this->settings.retry_window.count())},
                              {"body_memory_bytes", std::to_string(this->settings.body_memory)}});
}

/// Returns the time after its deregistration in which an instance still gets calls.
core::duration sidecar_daemon::work_drain_limit() const
{
    return this->settings.drain_limit / 2;
}

void sidecar_daemon::post_stop()
{
    asio::post(this->io, [this] { this->begin_stop(); });
}

void sidecar_daemon::begin_stop()
{
    if (this->stop_requested)
    {
        return;
    }
    this->stop_requested = core::boot_clock::now();
    const core::time_point end = *this->stop_requested + this->settings.stop_grace - stop_margin;
    this->router.set_end(end);
    this->dispatcher.set_end(end);
    this->events.state_event("stopping", {{"entry_calls", std::to_string(this->router.open_calls())},
                                          {"exit_calls", std::to_string(this->dispatcher.open_calls())}});
}

void sidecar_daemon::continue_stop(core::time_point now)
{
    const core::duration elapsed = now - *this->stop_requested;
    if (elapsed > work_grace_time && !this->stop_announced)
    {
        this->stop_announced = true;
        this->dispatcher.announce_draining();
        this->refresh_own_status();
    }
    if (elapsed > request_grace_time)
    {
        this->outbound->close_after_responses();
        this->router.refuse_new_calls();
        this->dispatcher.refuse_new_calls();
    }
    const bool idle = this->router.open_calls() == 0 && this->dispatcher.open_calls() == 0 &&
                      this->outbound->unanswered() == 0;
    const bool finished =
        (elapsed > request_grace_time && idle) || elapsed > this->settings.stop_grace - stop_margin;
    if (finished && !this->departure_announced)
    {
        this->departure_announced = now;
        if (!idle)
        {
            this->events.state_event("stop_cut_short",
                                     {{"entry_calls", std::to_string(this->router.open_calls())},
                                      {"exit_calls", std::to_string(this->dispatcher.open_calls())}});
        }
        this->router.refuse_new_calls();
        this->router.end_all_calls();
        this->fleet.mark_left();
        for (const auto& [id, link] : this->links)
        {
            link->announce_departure();
        }
    }
    if (this->departure_announced)
    {
        this->outbound->close_idle_connections();
    }
    if (this->departure_announced && now - *this->departure_announced >= departure_time)
    {
        this->io.stop();
    }
}

} // namespace laburnumreach::sidecar
