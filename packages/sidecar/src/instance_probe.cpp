#include "laburnumreach/sidecar/instance_probe.hpp"

#include "laburnumreach/sidecar/http_status.hpp"

#include <charconv>

namespace laburnumreach::sidecar
{

namespace
{

/// @returns the slots from a load of the form "running,waiting,slots"; zero if it has another form
std::uint32_t parse_slots(std::string_view load)
{
    const std::size_t comma = load.rfind(',');
    std::uint32_t slots = 0;
    if (comma != std::string_view::npos)
    {
        std::from_chars(load.data() + comma + 1, load.data() + load.size(), slots);
    }
    return slots;
}

} // namespace

instance_probe::instance_probe(asio::io_context& context, options initial_settings, found_handler handler)
    : io(context), settings(std::move(initial_settings)), on_found(std::move(handler))
{
}

void instance_probe::cancel()
{
    if (this->connection != nullptr)
    {
        std::exchange(this->connection, nullptr)->close();
    }
}

void instance_probe::tick(bool wanted, const std::string& health_path, core::time_point now)
{
    if (this->connection != nullptr && now - this->last_attempt >= answer_timeout)
    {
        this->cancel();
    }
    if (!wanted || health_path.empty() || this->connection != nullptr || this->attempts >= max_attempts ||
        now - this->last_attempt < retry_interval)
    {
        return;
    }
    ++this->attempts;
    this->last_attempt = now;
    this->connection = std::make_shared<instance_connection>(
        this->io, instance_connection::options{.address = this->settings.address,
                                               .max_body_bytes = max_answer_bytes,
                                               .attempt_id_field = this->settings.names.attempt_id});
    this->connection->run("GET " + health_path + " HTTP/1.1\r\nHost: " + this->settings.address_text +
                              "\r\nConnection: close\r\n\r\n",
                          {}, false, [this](const instance_result& result) { this->on_result(result); });
}

void instance_probe::on_result(const instance_result& result)
{
    this->cancel();
    const http::headers& fields = result.head.headers;
    const std::string_view id = http::find_header(fields, this->settings.names.instance_id);
    const std::uint32_t slots = parse_slots(http::find_header(fields, this->settings.names.load));
    if (result.outcome != instance_outcome::complete || result.head.status != http_status::ok || id.empty())
    {
        return; // Leaving, not reachable or no id; wait for the next heartbeat.
    }
    this->on_found({.id = std::string{id},
                    .address = this->settings.address_text,
                    .service = this->settings.service,
                    .slots = slots});
}

} // namespace laburnumreach::sidecar
