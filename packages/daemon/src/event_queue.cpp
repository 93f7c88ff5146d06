#include "laburnumreach/daemon/event_queue.hpp"

#include <cerrno>
#include <cstdint>
#include <sys/eventfd.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace laburnumreach::daemon
{

event_queue::event_queue() : wake_descriptor(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    if (this->wake_descriptor < 0)
    {
        throw std::system_error{errno, std::generic_category(), "eventfd"};
    }
}

event_queue::~event_queue()
{
    ::close(this->wake_descriptor);
}

void event_queue::post(std::function<void()> event)
{
    {
        const std::lock_guard lock{this->mutex};
        this->events.push_back(std::move(event));
    }
    this->wake();
}

void event_queue::wake()
{
    const std::uint64_t one = 1;
    // Fails only when the counter is full, and then the thread is woken already.
    [[maybe_unused]] const ssize_t written = ::write(this->wake_descriptor, &one, sizeof one);
}

void event_queue::run()
{
    std::uint64_t count = 0;
    [[maybe_unused]] const ssize_t taken = ::read(this->wake_descriptor, &count, sizeof count);
    std::vector<std::function<void()>> ready;
    {
        const std::lock_guard lock{this->mutex};
        ready = std::exchange(this->events, {});
    }
    for (const std::function<void()>& event : ready)
    {
        event();
    }
}

} // namespace laburnumreach::daemon
