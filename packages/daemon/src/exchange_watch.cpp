#include "laburnumreach/daemon/exchange_watch.hpp"

namespace laburnumreach::daemon
{

namespace
{

/// Weight of a new latency in the smoothed value.
constexpr double smoothing = 0.1;

} // namespace

exchange_watch::observation::observation(exchange_watch& watch, std::string exchange_kind,
                                         http::cancellation& exchange_control, core::time_point now)
    : owner(watch), kind(std::move(exchange_kind)), control(exchange_control), started(now)
{
    const std::lock_guard lock{this->owner.mutex};
    std::list<observation*>& running = this->owner.kinds[this->kind].running;
    this->position = running.insert(running.end(), this);
}

exchange_watch::observation::~observation()
{
    const std::lock_guard lock{this->owner.mutex};
    this->owner.kinds[this->kind].running.erase(this->position);
}

void exchange_watch::observation::answered(core::time_point now)
{
    const std::lock_guard lock{this->owner.mutex};
    kind_state& state = this->owner.kinds[this->kind];
    const auto latency = static_cast<double>((now - this->started).count());
    state.usual_latency = state.usual_latency == 0.0
                              ? latency
                              : state.usual_latency + smoothing * (latency - state.usual_latency);
    for (auto earlier = state.running.begin(); earlier != this->position; ++earlier)
    {
        ++(*earlier)->overtaken;
    }
}

std::size_t exchange_watch::cancel_silent(core::time_point now)
{
    std::size_t cancelled = 0;
    const std::lock_guard lock{this->mutex};
    for (auto& [kind, state] : this->kinds)
    {
        const auto usual = core::duration{
            static_cast<core::duration::rep>(this->options.latency_factor * state.usual_latency)};
        for (observation* exchange : state.running)
        {
            const core::duration age = now - exchange->started;
            if (age < this->options.quiet_limit)
            {
                break;
            }
            if (age >= usual && exchange->overtaken >= this->options.overtaken_by &&
                !exchange->found_silent.exchange(true))
            {
                exchange->control.cancel();
                ++cancelled;
            }
        }
    }
    return cancelled;
}

} // namespace laburnumreach::daemon
