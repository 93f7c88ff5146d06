#include "laburnumreach/http/cancellation.hpp"

#include "exchange_socket_guard.hpp"

#include <sys/socket.h>

namespace laburnumreach::http
{

void cancellation::cancel() noexcept
{
    const std::lock_guard lock{this->mutex};
    this->requested = true;
    if (this->descriptor >= 0)
    {
        ::shutdown(this->descriptor, SHUT_RDWR);
    }
}

bool cancellation::cancelled() const noexcept
{
    const std::lock_guard lock{this->mutex};
    return this->requested;
}

exchange_socket_guard::exchange_socket_guard(cancellation* target, const tcp_socket& socket) noexcept
    : control(target)
{
    if (this->control != nullptr)
    {
        const std::lock_guard lock{this->control->mutex};
        this->control->descriptor = socket.descriptor();
    }
}

exchange_socket_guard::~exchange_socket_guard()
{
    if (this->control != nullptr)
    {
        const std::lock_guard lock{this->control->mutex};
        this->control->descriptor = -1;
    }
}

} // namespace laburnumreach::http
