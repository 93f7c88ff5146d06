#ifndef LABURNUMREACH_DAEMON_CALL_CANCELLATION_HPP
#define LABURNUMREACH_DAEMON_CALL_CANCELLATION_HPP

#include "laburnumreach/core/reason.hpp"
#include "laburnumreach/http/cancellation.hpp"

#include <mutex>
#include <vector>

namespace laburnumreach::daemon
{

/// Cancels all exchanges that run for one call, its nested calls included. Thread safe.
class call_cancellation
{
public:
    /// Registers an exchange for the lifetime of this object.
    class registration
    {
    public:
        registration(call_cancellation& owner, http::cancellation& exchange);
        registration(const registration&) = delete;
        registration& operator=(const registration&) = delete;
        ~registration();

    private:
        call_cancellation& owner;
        http::cancellation& exchange;
    };

    /// Passes the cancellation of one call on to another, for the lifetime of this object.
    class link
    {
    public:
        link(call_cancellation& from, call_cancellation& to);
        link(const link&) = delete;
        link& operator=(const link&) = delete;
        ~link();

    private:
        call_cancellation& from;
        call_cancellation& to;
    };

    /// Cancels running exchanges and those registered later. The first reason stands.
    void cancel(core::reason why);

    /// Returns why the call was cancelled, or none.
    core::reason why() const;

private:
    mutable std::mutex mutex;
    core::reason first_reason = core::reason::none;
    std::vector<http::cancellation*> exchanges;
    std::vector<call_cancellation*> linked;
};

} // namespace laburnumreach::daemon

#endif
