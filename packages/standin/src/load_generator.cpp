#include "laburnumreach/standin/load_generator.hpp"

#include <algorithm>
#include <utility>

namespace laburnumreach::standin
{

namespace
{

/// Longest wait before the end of the run is checked.
constexpr std::chrono::milliseconds check_interval{50};

constexpr std::size_t rate_reserve = 4096;

} // namespace

/// A request of a caller, which may need several attempts.
struct load_generator::request
{
    std::size_t number = 0;
    arrival_plan::arrival planned;
    bool duplicate = false;
    core::duration intended{0};
    std::string idempotency_key;
    std::string body;
    std::function<void()> when_done;

    /// Nonces of all attempts with the same idempotency key, shared by a request and its duplicate.
    struct sent_nonces
    {
        std::mutex mutex;
        std::vector<std::string> nonces;
    };
    std::shared_ptr<sent_nonces> sent = std::make_shared<sent_nonces>();
};

load_generator::load_generator(load_scenario planned, std::string id)
    : scenario(std::move(planned)),
      run_id(std::move(id)),
      plan(this->scenario),
      workers("load-worker", std::min(this->scenario.workers, most_load_workers))
{
    for (const loopback_address& daemon : this->scenario.daemons)
    {
        this->daemons.push_back(std::make_unique<client_pool>(daemon));
    }
    this->attempts.reserve(rate_reserve);
}

std::vector<load_attempt> load_generator::run()
{
    this->started_at = core::boot_clock::now();
    this->scenario.closed_loop ? this->start_closed_loop() : this->send_next_arrival();
    const core::duration end = this->scenario.duration() + this->scenario.drain;
    std::unique_lock lock{this->mutex};
    while (!this->stopping && this->now() < end && (!this->events.empty() || this->open_attempts > 0))
    {
        const core::duration until_due =
            this->events.empty() ? check_interval : this->events.begin()->first - this->now();
        if (this->events.empty() || until_due > core::duration::zero())
        {
            this->changed.wait_for(lock, std::min<core::duration>(until_due, check_interval));
            continue;
        }
        const event due = std::move(this->events.begin()->second);
        this->events.erase(this->events.begin());
        lock.unlock();
        due();
        lock.lock();
    }
    lock.unlock();
    this->workers.stop();
    return std::move(this->attempts);
}

void load_generator::send_next_arrival()
{
    const std::optional<arrival_plan::arrival> next = this->plan.next();
    if (!next)
    {
        return;
    }
    this->schedule(next->at,
                   [this, planned = *next]
                   {
                       this->launch(planned, nullptr);
                       this->send_next_arrival();
                   });
}

void load_generator::start_closed_loop()
{
    double most = 0.0;
    for (const load_scenario::phase& each : this->scenario.phases)
    {
        most = std::max(most, each.multiplier);
    }
    const auto callers = static_cast<std::size_t>(static_cast<double>(this->scenario.callers) * most);
    for (std::size_t caller = 0; caller < callers; ++caller)
    {
        this->schedule(core::duration::zero(), [this, caller] { this->send_for_caller(caller); });
    }
}

void load_generator::send_for_caller(std::size_t caller)
{
    const core::duration time = this->now();
    if (time >= this->scenario.duration())
    {
        return;
    }
    const double active = static_cast<double>(this->scenario.callers) *
                          this->scenario.phases[this->plan.phase_at(time)].multiplier;
    if (static_cast<double>(caller) >= active)
    {
        this->schedule(time + check_interval, [this, caller] { this->send_for_caller(caller); });
        return;
    }
    this->launch(this->plan.at(time),
                 [this, caller] {
                     this->schedule(this->now() + this->scenario.think,
                                    [this, caller] { this->send_for_caller(caller); });
                 });
}

void load_generator::launch(const arrival_plan::arrival& planned, std::function<void()> when_done)
{
    if (this->launched >= this->scenario.most_requests)
    {
        return;
    }
    const load_scenario::request_kind& kind = this->scenario.kinds[planned.kind];
    const auto sent = std::make_shared<request>();
    sent->number = this->launched++;
    sent->planned = planned;
    sent->intended = planned.at;
    sent->when_done = std::move(when_done);
    if (!kind.idempotent)
    {
        sent->idempotency_key = this->run_id + "-k" + std::to_string(sent->number);
    }
    sent->body = std::to_string(sent->number) + ":";
    sent->body.resize(kind.body_bytes, 'b');
    this->submit(sent, 0, planned.at);
    if (planned.duplicate_after)
    {
        const auto copy = std::make_shared<request>(*sent);
        copy->number = this->launched++;
        copy->duplicate = true;
        copy->intended = planned.at + *planned.duplicate_after;
        copy->when_done = nullptr;
        this->schedule(copy->intended, [this, copy] { this->submit(copy, 0, copy->intended); });
    }
}

void load_generator::submit(const std::shared_ptr<request>& sent, std::size_t number, core::duration due)
{
    load_attempt attempt{.request = sent->number,
                         .attempt = number,
                         .duplicate = sent->duplicate,
                         .phase = sent->planned.phase,
                         .tenant = sent->planned.tenant,
                         .kind = sent->planned.kind,
                         .nonce =
                             this->run_id + "-" + std::to_string(sent->number) + "." + std::to_string(number),
                         .idempotency_key = sent->idempotency_key,
                         .intended = sent->intended,
                         .due = due,
                         .done = due,
                         .verdict = {},
                         .reason = {},
                         .request_id = {}};
    std::size_t index = 0;
    {
        // The entry says "not sent" until the attempt is made, so that one without a thread is counted too.
        const std::lock_guard lock{this->mutex};
        ++this->open_attempts;
        index = this->attempts.size();
        this->attempts.push_back(attempt);
    }
    this->workers.submit(
        [this, sent, index, attempt = std::move(attempt)]() mutable
        {
            this->make_attempt(*sent, attempt);
            this->finish(sent, index, std::move(attempt));
        });
}

void load_generator::make_attempt(request& sent, load_attempt& attempt)
{
    const load_scenario::request_kind& kind = this->scenario.kinds[attempt.kind];
    if (this->now() - attempt.due > kind.timeout)
    {
        attempt.done = this->now();
        return;
    }
    {
        const std::lock_guard lock{sent.sent->mutex};
        sent.sent->nonces.push_back(attempt.nonce);
    }
    httplib::Request call = this->build_request(sent, attempt);
    httplib::Response response;
    // Retries go to another daemon, as those of a caller with several addresses do.
    client_pool& daemon = *this->daemons[(attempt.request + attempt.attempt) % this->daemons.size()];
    const local_client::failure failure = daemon.call(call, response, kind.timeout);
    attempt.done = this->now();
    std::vector<std::string> nonces;
    {
        const std::lock_guard lock{sent.sent->mutex};
        nonces = sent.sent->nonces;
    }
    judge_answer(attempt, failure, response, nonces, sent.body);
}

httplib::Request load_generator::build_request(const request& sent, const load_attempt& attempt) const
{
    const load_scenario::request_kind& kind = this->scenario.kinds[attempt.kind];
    const load_scenario::tenant& tenant = this->scenario.tenants[attempt.tenant];
    httplib::Request call;
    call.method = kind.method;
    call.path = "/" + kind.service + kind.path;
    call.headers.emplace("Test-Nonce", attempt.nonce);
    switch (tenant.place)
    {
    case load_scenario::key_place::bearer:
        call.headers.emplace("Authorization", "Bearer " + tenant.key);
        break;
    case load_scenario::key_place::api_key:
        call.headers.emplace("X-Api-Key", tenant.key);
        break;
    case load_scenario::key_place::query:
        call.path += (call.path.find('?') == std::string::npos ? "?api_key=" : "&api_key=") + tenant.key;
        break;
    }
    if (!sent.idempotency_key.empty())
    {
        call.headers.emplace("Idempotency-Key", sent.idempotency_key);
    }
    if (!sent.body.empty())
    {
        call.headers.emplace("Content-Type", "application/octet-stream");
        call.body = sent.body;
    }
    return call;
}

void load_generator::finish(const std::shared_ptr<request>& sent, std::size_t index, load_attempt attempt)
{
    if (this->retries(attempt))
    {
        const core::duration due =
            attempt.done + (this->scenario.retry == load_scenario::retry_mode::hard ? core::duration::zero()
                                                                                    : attempt.retry_after);
        const std::size_t next = attempt.attempt + 1;
        this->schedule(due, [this, sent, next, due] { this->submit(sent, next, due); });
    }
    else if (sent->when_done)
    {
        sent->when_done();
    }
    {
        const std::lock_guard lock{this->mutex};
        this->attempts[index] = std::move(attempt);
        --this->open_attempts;
    }
    this->changed.notify_one();
}

bool load_generator::retries(const load_attempt& attempt) const
{
    if (attempt.ended == load_attempt::ending::whole || attempt.ended == load_attempt::ending::not_sent ||
        attempt.duplicate || attempt.attempt >= this->scenario.most_retries)
    {
        return false;
    }
    return this->scenario.retry == load_scenario::retry_mode::hard ||
           (this->scenario.retry == load_scenario::retry_mode::retry_after &&
            attempt.retry_after > core::duration::zero());
}

void load_generator::schedule(core::duration due, event what)
{
    {
        const std::lock_guard lock{this->mutex};
        this->events.emplace(due, std::move(what));
    }
    this->changed.notify_one();
}

} // namespace laburnumreach::standin
