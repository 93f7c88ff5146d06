#include "laburnumreach/daemon/daemon_state.hpp"

#include "laburnumreach/daemon/random_id.hpp"

namespace laburnumreach::daemon
{

daemon_state::daemon_state(const config::daemon_settings& daemon_settings)
    : settings(daemon_settings),
      incarnation(make_random_number()),
      authenticator(daemon_settings.fleet_secret),
      bodies(daemon_settings.limits.body_budget_bytes),
      pool(http::client_pool_options{}),
      destinations({.zone = daemon_settings.zone, .seed = make_random_number()}),
      gateway({.zone = daemon_settings.zone}, this->pool, this->handles, this->watch,
              [this](std::string_view route) {
                  return this->calls_by_route.dependency_level(core::boot_clock::now(), route,
                                                               this->destinations);
              }),
      forwarder({.daemon_id = daemon_settings.id}, this->destinations, this->gateway, this->pool, this->watch,
                this->authenticator, this->metrics.retries),
      claims(
          {.incarnation = this->incarnation, .daemon = daemon_settings.id},
          [this](const idempotency::process_id& process)
          { return !this->process_is_running || this->process_is_running(process); },
          [this] { this->events.wake(); })
{
}

} // namespace laburnumreach::daemon
