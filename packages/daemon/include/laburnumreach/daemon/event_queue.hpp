#ifndef LABURNUMREACH_DAEMON_EVENT_QUEUE_HPP
#define LABURNUMREACH_DAEMON_EVENT_QUEUE_HPP

#include <functional>
#include <mutex>
#include <vector>

namespace laburnumreach::daemon
{

/// Hands work from other threads to the control thread, and wakes it. Thread safe.
class event_queue
{
public:
    event_queue();
    event_queue(const event_queue&) = delete;
    event_queue& operator=(const event_queue&) = delete;
    ~event_queue();

    /// Queues a function for the control thread.
    void post(std::function<void()> event);

    /// Wakes the control thread without an event.
    void wake();

    /// Returns a descriptor that is readable after post or wake.
    int descriptor() const noexcept { return this->wake_descriptor; }

    /// Runs all queued functions. Called by the control thread.
    void run();

private:
    int wake_descriptor;
    std::mutex mutex;
    std::vector<std::function<void()>> events;
};

} // namespace laburnumreach::daemon

#endif
