#include "laburnumreach/core/posix_thread.hpp"

#include <cassert>
#include <memory>
#include <system_error>
#include <utility>

namespace laburnumreach::core
{

namespace
{

void* run_body(void* argument)
{
    const std::unique_ptr<std::function<void()>> body{static_cast<std::function<void()>*>(argument)};
    (*body)();
    return nullptr;
}

void throw_on_error(int status, const char* operation)
{
    if (status != 0)
    {
        throw std::system_error{status, std::generic_category(), operation};
    }
}

} // namespace

posix_thread::posix_thread(const posix_thread_options& options, std::function<void()> body)
{
    assert(options.name.size() <= 15);
    pthread_attr_t attributes;
    throw_on_error(::pthread_attr_init(&attributes), "pthread_attr_init");
    throw_on_error(::pthread_attr_setstacksize(&attributes, options.stack_bytes),
                   "pthread_attr_setstacksize");
    auto owned_body = std::make_unique<std::function<void()>>(std::move(body));
    const int status = ::pthread_create(&this->handle, &attributes, run_body, owned_body.get());
    ::pthread_attr_destroy(&attributes);
    throw_on_error(status, "pthread_create");
    owned_body.release(); // NOLINT(bugprone-unused-return-value): run_body owns it now.
    this->started = true;
    ::pthread_setname_np(this->handle, options.name.c_str());
}

posix_thread::posix_thread(posix_thread&& other) noexcept
    : handle(other.handle), started(std::exchange(other.started, false))
{
}

posix_thread& posix_thread::operator=(posix_thread&& other) noexcept
{
    if (this != &other)
    {
        this->join();
        this->handle = other.handle;
        this->started = std::exchange(other.started, false);
    }
    return *this;
}

posix_thread::~posix_thread()
{
    this->join();
}

void posix_thread::join() noexcept
{
    if (std::exchange(this->started, false))
    {
        ::pthread_join(this->handle, nullptr);
    }
}

} // namespace laburnumreach::core
