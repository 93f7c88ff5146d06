#ifndef LABURNUMREACH_CORE_POSIX_THREAD_HPP
#define LABURNUMREACH_CORE_POSIX_THREAD_HPP

#include <cstddef>
#include <functional>
#include <pthread.h>
#include <string>

namespace laburnumreach::core
{

/// Settings of a posix_thread.
struct posix_thread_options
{
    std::string name; ///< At most 15 characters, the limit of pthread_setname_np; shown by tools such as top.
    std::size_t stack_bytes = 256 * 1024;
};

/// A POSIX thread with a bounded stack that is joined on destruction.
class posix_thread
{
public:
    posix_thread() = default;

    /// Starts the thread.
    /// @throws std::system_error when the system cannot start a thread
    posix_thread(const posix_thread_options& options, std::function<void()> body);

    posix_thread(posix_thread&& other) noexcept;
    posix_thread& operator=(posix_thread&& other) noexcept;
    posix_thread(const posix_thread&) = delete;
    posix_thread& operator=(const posix_thread&) = delete;
    ~posix_thread();

    /// Returns whether the thread was started and not yet joined.
    bool joinable() const noexcept { return this->started; }

    /// Waits for the end of the thread.
    void join() noexcept;

private:
    pthread_t handle{};
    bool started = false;
};

} // namespace laburnumreach::core

#endif
