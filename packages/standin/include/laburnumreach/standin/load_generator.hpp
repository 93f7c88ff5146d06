#ifndef LABURNUMREACH_STANDIN_LOAD_GENERATOR_HPP
#define LABURNUMREACH_STANDIN_LOAD_GENERATOR_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/standin/arrival_plan.hpp"
#include "laburnumreach/standin/client_pool.hpp"
#include "laburnumreach/standin/load_attempt.hpp"
#include "laburnumreach/standin/load_scenario.hpp"
#include "laburnumreach/standin/worker_pool.hpp"

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace laburnumreach::standin
{

/// Sends the requests of a scenario to the daemons and notes what comes back.
class load_generator
{
public:
    /// @param run_id makes nonces and idempotency keys unique over runs
    load_generator(load_scenario planned, std::string run_id);

    /// Runs the scenario and waits for open requests, at most for the scenario's drain time.
    std::vector<load_attempt> run();

    /// Makes run end early; callable from a signal handler.
    void stop() noexcept { this->stopping = true; }

private:
    struct request;
    using event = std::function<void()>;

    void send_next_arrival();
    void start_closed_loop();
    void send_for_caller(std::size_t caller);
    void launch(const arrival_plan::arrival& planned, std::function<void()> when_done);
    void submit(const std::shared_ptr<request>& sent, std::size_t attempt, core::duration due);
    void make_attempt(request& sent, load_attempt& attempt);
    void finish(const std::shared_ptr<request>& sent, std::size_t index, load_attempt attempt);
    bool retries(const load_attempt& attempt) const;
    httplib::Request build_request(const request& sent, const load_attempt& attempt) const;
    void schedule(core::duration due, event what);
    core::duration now() const { return core::boot_clock::now() - this->started_at; }

    const load_scenario scenario;
    const std::string run_id;
    std::atomic<bool> stopping = false;
    arrival_plan plan; ///< Used by events only, which run in the thread of run.
    std::size_t launched = 0;
    core::time_point started_at;
    std::vector<std::unique_ptr<client_pool>> daemons;
    std::mutex mutex;
    std::condition_variable changed;
    std::multimap<core::duration, event> events;
    std::size_t open_attempts = 0;
    std::vector<load_attempt> attempts;
    worker_pool workers;
};

} // namespace laburnumreach::standin

#endif
