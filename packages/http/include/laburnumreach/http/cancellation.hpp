#ifndef LABURNUMREACH_HTTP_CANCELLATION_HPP
#define LABURNUMREACH_HTTP_CANCELLATION_HPP

#include <mutex>

namespace laburnumreach::http
{

/// Cancels an exchange from another thread. Serves one exchange at a time and must outlive it.
class cancellation
{
public:
    cancellation() = default;
    cancellation(const cancellation&) = delete;
    cancellation& operator=(const cancellation&) = delete;

    /// Shuts down the socket of the running exchange. An exchange that starts later fails at once.
    void cancel() noexcept;

    /// Returns whether cancel was called.
    bool cancelled() const noexcept;

private:
    friend class exchange_socket_guard;

    /// Prevents cancel from shutting down a descriptor that was closed and reused for another socket.
    mutable std::mutex mutex;
    int descriptor = -1;
    bool requested = false;
};

} // namespace laburnumreach::http

#endif
