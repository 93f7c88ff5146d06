#include "laburnumreach/platform/http_object_store.hpp"

#include "laburnumreach/http/message_head.hpp"
#include "laburnumreach/platform/percent_encoding.hpp"

#include <httplib.h>
#include <mutex>
#include <nlohmann/json.hpp>

namespace laburnumreach::platform
{

namespace
{

// A list may hold all zone records; a value may grow sixfold by JSON escapes.
constexpr std::uint64_t max_response_bytes = 16ULL * 1024 * 1024;

std::string path_of(std::string_view name)
{
    return "/v1/objects/" + percent_encode(name);
}

object object_from(const nlohmann::json& json)
{
    return {.name = json.at("name").get<std::string>(),
            .version = json.at("version").get<object_version>(),
            .value = json.at("value").get<std::string>()};
}

enum class call_kind : std::uint8_t
{
    read,
    write,
};

/// Error of a call that got no whole response.
core::error transport_error(httplib::Error error, call_kind kind)
{
    // With these errors no byte of the request was sent.
    const bool unsent = error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout ||
                        error == httplib::Error::BindIPAddress;
    const bool no_effect = unsent || kind == call_kind::read;
    return {.code = no_effect ? core::error_code::unavailable : core::error_code::outcome_unknown,
            .message = "the platform did not answer: " + httplib::to_string(error)};
}

/// Error of a call that was answered with a status other than success.
core::error status_error(const httplib::Response& response, call_kind kind)
{
    const auto make = [&](core::error_code code)
    {
        return core::error{.code = code,
                           .message = "the platform answered with status " + std::to_string(response.status)};
    };
    switch (response.status)
    {
    case 404:
        return make(core::error_code::not_found);
    case 412:
        return make(core::error_code::conflict);
    case 413:
        return make(core::error_code::too_large);
    case 429:
    case 503:
        return make(core::error_code::unavailable);
    default:
        break;
    }
    if (response.status >= 400 && response.status < 500)
    {
        return make(core::error_code::invalid_argument);
    }
    return make(kind == call_kind::read ? core::error_code::unavailable : core::error_code::outcome_unknown);
}

/// Reads a JSON response; a malformed one counts as no response.
template <typename Reader>
auto read_json(const httplib::Response& response, call_kind kind, const Reader& reader)
    -> core::result<decltype(reader(nlohmann::json{}))>
{
    try
    {
        return reader(nlohmann::json::parse(response.body));
    }
    catch (const nlohmann::json::exception& error)
    {
        return core::make_error(kind == call_kind::read ? core::error_code::unavailable
                                                        : core::error_code::outcome_unknown,
                                std::string{"the platform answered with malformed JSON: "} + error.what());
    }
}

} // namespace

struct http_object_store::connections
{
    explicit connections(const http_object_store_options& given)
        : options(given), calls(given.address, given.port), watches(given.address, given.port)
    {
        for (httplib::Client* client : {&this->calls, &this->watches})
        {
            client->set_keep_alive(true);
            client->set_tcp_nodelay(true);
            client->set_url_encode(false);
            client->set_follow_location(false);
            client->set_connection_timeout(given.request_timeout);
            client->set_write_timeout(given.request_timeout);
            client->set_read_timeout(given.request_timeout);
        }
    }

    core::result<httplib::Response> send(httplib::Client& client, httplib::Request request, call_kind kind,
                                         std::chrono::milliseconds wait = std::chrono::milliseconds{0})
    {
        if (!this->options.daemon_id.empty())
        {
            request.set_header("Laburnum-Daemon", this->options.daemon_id);
        }
        if (!this->options.zone.empty())
        {
            request.set_header("Laburnum-Zone", this->options.zone);
        }
        // The read timeout bounds the wait for each piece; this bounds the whole body.
        const auto deadline = std::chrono::steady_clock::now() + wait + 2 * this->options.request_timeout;
        request.progress = [deadline](std::uint64_t, std::uint64_t total)
        { return total <= max_response_bytes && std::chrono::steady_clock::now() < deadline; };
        auto result = client.send(request);
        if (!result)
        {
            return tl::unexpected<core::error>{transport_error(result.error(), kind)};
        }
        if (!http::has_definite_end(result->status, result->headers))
        {
            return core::make_error(kind == call_kind::read ? core::error_code::unavailable
                                                            : core::error_code::outcome_unknown,
                                    "the platform's response is malformed or has no definite end");
        }
        if (result->status < 200 || result->status > 299)
        {
            return tl::unexpected<core::error>{status_error(*result, kind)};
        }
        return std::move(*result);
    }

    core::result<httplib::Response> write(std::string method, std::string_view name,
                                          const write_condition& condition, std::string_view value)
    {
        httplib::Request request;
        request.method = std::move(method);
        request.path = path_of(name);
        request.body = value;
        request.set_header(condition ? "If-Match" : "If-None-Match",
                           condition ? std::to_string(*condition) : "*");
        request.set_header("Content-Type", "text/plain");
        return this->send(this->calls, std::move(request), call_kind::write);
    }

    core::result<httplib::Response> read(std::string path)
    {
        httplib::Request request;
        request.method = "GET";
        request.path = std::move(path);
        return this->send(this->calls, std::move(request), call_kind::read);
    }

    http_object_store_options options;
    httplib::Client calls;
    std::mutex watch_mutex; ///< Held over a watch: the read timeout of the connection belongs to one watch.
    httplib::Client watches;
};

http_object_store::http_object_store(const http_object_store_options& options)
    : links(std::make_unique<connections>(options))
{
}

http_object_store::http_object_store(http_object_store&& other) noexcept = default;
http_object_store& http_object_store::operator=(http_object_store&& other) noexcept = default;
http_object_store::~http_object_store() = default;

core::result<object> http_object_store::get(std::string_view name)
{
    return this->links->read(path_of(name))
        .and_then([](const httplib::Response& response)
                  { return read_json(response, call_kind::read, object_from); });
}

core::result<std::vector<object>> http_object_store::list(std::string_view prefix)
{
    const auto objects_from = [](const nlohmann::json& json)
    {
        std::vector<object> objects;
        for (const nlohmann::json& entry : json.at("objects"))
        {
            objects.push_back(object_from(entry));
        }
        return objects;
    };
    return this->links->read("/v1/objects?prefix=" + percent_encode(prefix))
        .and_then([&](const httplib::Response& response)
                  { return read_json(response, call_kind::read, objects_from); });
}

core::result<std::optional<object>> http_object_store::watch(std::string_view name, object_version after,
                                                             std::chrono::milliseconds timeout)
{
    const std::lock_guard lock{this->links->watch_mutex};
    this->links->watches.set_read_timeout(timeout + this->links->options.request_timeout);
    httplib::Request request;
    request.method = "GET";
    request.path = path_of(name) + "?watch=1&after=" + std::to_string(after) +
                   "&timeout_ms=" + std::to_string(timeout.count());
    const auto response =
        this->links->send(this->links->watches, std::move(request), call_kind::read, timeout);
    if (!response)
    {
        return tl::unexpected<core::error>{response.error()};
    }
    if (response->status == 204)
    {
        return std::nullopt;
    }
    return read_json(*response, call_kind::read,
                     [](const nlohmann::json& json) { return std::optional{object_from(json)}; });
}

core::result<object_version>
http_object_store::put_if(std::string_view name, const write_condition& condition, std::string_view value)
{
    if (value.size() > max_value_bytes)
    {
        return core::make_error(core::error_code::too_large, "the value is over 1 MB");
    }
    return this->links->write("PUT", name, condition, value)
        .and_then(
            [](const httplib::Response& response)
            {
                return read_json(response, call_kind::write,
                                 [](const nlohmann::json& json)
                                 { return json.at("version").get<object_version>(); });
            });
}

core::result<void> http_object_store::remove_if(std::string_view name, object_version version)
{
    return this->links->write("DELETE", name, version, "").map([](const httplib::Response&) {});
}

void http_object_store::interrupt()
{
    this->links->calls.stop();
    this->links->watches.stop();
}

} // namespace laburnumreach::platform
