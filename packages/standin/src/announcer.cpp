#include "laburnumreach/standin/announcer.hpp"

#include <utility>

namespace laburnumreach::standin
{

announcer::announcer(const loopback_address& daemon, core::duration every,
                     std::function<std::optional<std::string>()> body)
    : interval(every), next_body(std::move(body)), client(daemon)
{
}

announcer::~announcer()
{
    this->stop();
}

void announcer::start()
{
    this->thread = core::posix_thread{{.name = "announcer"}, [this] { this->run(); }};
}

void announcer::announce_now()
{
    {
        const std::lock_guard lock{this->mutex};
        this->urgent = true;
    }
    this->changed.notify_all();
}

void announcer::stop()
{
    {
        const std::lock_guard lock{this->mutex};
        this->stopping = true;
    }
    this->changed.notify_all();
    this->thread.join();
}

void announcer::run()
{
    std::unique_lock lock{this->mutex};
    while (!this->stopping)
    {
        this->urgent = false;
        lock.unlock();
        if (std::optional<std::string> body = this->next_body())
        {
            httplib::Request request;
            request.method = "PUT";
            request.path = "/laburnum/announce";
            request.set_header("Content-Type", "application/json");
            request.body = *std::move(body);
            httplib::Response response;
            // A failed announcement is not repeated before the next one, as in a real upstream.
            this->client.call(request, response, this->interval);
        }
        lock.lock();
        this->changed.wait_for(lock, this->interval, [this] { return this->urgent || this->stopping; });
    }
}

} // namespace laburnumreach::standin
