#ifndef LABURNUMREACH_PLATFORM_TESTS_OBJECT_SERVER_HPP
#define LABURNUMREACH_PLATFORM_TESTS_OBJECT_SERVER_HPP

#include "laburnumreach/core/posix_thread.hpp"
#include "laburnumreach/platform/memory_object_store.hpp"

#include <atomic>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace laburnumreach::platform
{

/// Serves a memory_object_store over the object API on a loopback port. A watch answers at once.
class object_server
{
public:
    object_server()
    {
        this->server.Get("/v1/objects",
                         [this](const auto& request, auto& response) { this->list(request, response); });
        this->server.Get("/v1/objects/(.+)",
                         [this](const auto& request, auto& response) { this->read(request, response); });
        this->server.Put("/v1/objects/(.+)",
                         [this](const auto& request, auto& response) { this->write(request, response); });
        this->server.Delete("/v1/objects/(.+)",
                            [this](const auto& request, auto& response) { this->write(request, response); });
        this->port = static_cast<std::uint16_t>(this->server.bind_to_any_port("127.0.0.1"));
        this->thread =
            core::posix_thread{{.name = "object_server"}, [this] { this->server.listen_after_bind(); }};
        while (!this->server.is_running())
        {
            std::this_thread::yield();
        }
    }

    ~object_server()
    {
        this->server.stop();
        this->thread.join();
    }

    object_server(const object_server&) = delete;
    object_server& operator=(const object_server&) = delete;

    memory_object_store store;
    std::atomic<int> status_for_all{0}; ///< Answers every write with this status unless 0.
    std::atomic<bool> damaged{false};   ///< Answers a write with text that is not JSON, after its effect.
    std::uint16_t port = 0;
    std::string daemon_header; ///< Of the last write; read it after the response arrived.
    std::string zone_header;

private:
    static nlohmann::json json_of(const object& stored)
    {
        return {{"name", stored.name}, {"version", stored.version}, {"value", stored.value}};
    }

    void list(const httplib::Request& request, httplib::Response& response)
    {
        nlohmann::json objects = nlohmann::json::array();
        const auto found = this->store.list(request.get_param_value("prefix"));
        for (const object& stored : *found)
        {
            objects.push_back(json_of(stored));
        }
        response.set_content(nlohmann::json{{"objects", objects}}.dump(), "application/json");
    }

    void read(const httplib::Request& request, httplib::Response& response)
    {
        const auto stored = this->store.get(request.matches[1].str());
        const bool watch = request.has_param("watch");
        if (watch && (!stored || stored->version <= std::stoull(request.get_param_value("after"))))
        {
            response.status = 204;
            return;
        }
        if (!stored)
        {
            response.status = 404;
            return;
        }
        response.set_content(json_of(*stored).dump(), "application/json");
    }

    void write(const httplib::Request& request, httplib::Response& response)
    {
        this->daemon_header = request.get_header_value("Laburnum-Daemon");
        this->zone_header = request.get_header_value("Laburnum-Zone");
        if (this->status_for_all != 0)
        {
            response.status = this->status_for_all;
            return;
        }
        const std::string name = request.matches[1].str();
        const bool replaces = request.has_header("If-Match");
        const write_condition condition =
            replaces ? write_condition{std::stoull(request.get_header_value("If-Match"))} : std::nullopt;
        if (request.method == "DELETE")
        {
            response.status = this->store.remove_if(name, *condition) ? 204 : 412;
            return;
        }
        const auto version = this->store.put_if(name, condition, request.body);
        if (!version)
        {
            response.status = 412;
            return;
        }
        response.set_content(this->damaged ? "{" : nlohmann::json{{"version", *version}}.dump(),
                             "application/json");
    }

    httplib::Server server;
    core::posix_thread thread;
};

} // namespace laburnumreach::platform

#endif
