#ifndef LABURNUMREACH_STANDIN_HTTP_PROBE_HPP
#define LABURNUMREACH_STANDIN_HTTP_PROBE_HPP

#include "laburnumreach/standin/local_client.hpp"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace laburnumreach::standin
{

/// Sends requests to a stand-in on one connection.
class http_probe
{
public:
    explicit http_probe(std::uint16_t port) : client({.ip = "127.0.0.1", .port = port}) {}

    /// Sends one request; the bound only ends a test that hangs.
    httplib::Response send(const std::string& method, const std::string& path, const std::string& body = {},
                           const httplib::Headers& headers = {},
                           core::duration at_most = std::chrono::seconds{30})
    {
        httplib::Request request;
        request.method = method;
        request.path = path;
        request.body = body;
        request.headers = headers;
        httplib::Response response;
        this->last_failure = this->client.call(request, response, at_most);
        return response;
    }

    /// Sends one request and reads the answer as JSON.
    nlohmann::json get_json(const std::string& path)
    {
        return nlohmann::json::parse(this->send("GET", path).body, nullptr, false);
    }

    /// Returns how the last request ended.
    local_client::failure failure() const { return this->last_failure; }

private:
    local_client client;
    local_client::failure last_failure = local_client::failure::none;
};

} // namespace laburnumreach::standin

#endif
