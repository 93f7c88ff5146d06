#include "laburnumreach/policy_bench/processor.hpp"

#include <algorithm>
#include <cmath>

namespace laburnumreach::policy_bench
{

double processor::rate() const
{
    const auto running = static_cast<double>(this->jobs.size());
    return this->speed * std::min(1.0, this->parallel / std::max(running, 1.0));
}

void processor::advance()
{
    const core::time_point now = this->loop.now();
    this->progress += this->rate() * static_cast<double>((now - this->updated).count());
    this->updated = now;
}

void processor::run(core::duration work, std::function<void()> done)
{
    this->advance();
    this->jobs.emplace(this->progress + static_cast<double>(work.count()), std::move(done));
    this->schedule();
}

void processor::set_speed(double factor)
{
    this->advance();
    this->speed = factor;
    this->schedule();
}

void processor::schedule()
{
    const std::uint64_t scheduled = ++this->generation;
    if (this->jobs.empty())
    {
        return;
    }
    const double left = std::max(this->jobs.begin()->first - this->progress, 0.0) / this->rate();
    this->loop.after(core::duration{static_cast<core::duration::rep>(std::ceil(left))},
                     [this, scheduled]
                     {
                         if (scheduled != this->generation)
                         {
                             return;
                         }
                         this->advance();
                         auto done = std::move(this->jobs.begin()->second);
                         this->jobs.erase(this->jobs.begin());
                         this->schedule();
                         done();
                     });
}

} // namespace laburnumreach::policy_bench
