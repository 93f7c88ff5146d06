#ifndef LABURNUMREACH_PLATFORM_HTTP_OBJECT_STORE_HPP
#define LABURNUMREACH_PLATFORM_HTTP_OBJECT_STORE_HPP

#include "laburnumreach/platform/object_store.hpp"

#include <memory>

namespace laburnumreach::platform
{

/// Settings of an http_object_store.
struct http_object_store_options
{
    std::string address; ///< IP number of the platform, without brackets.
    std::uint16_t port = 0;
    std::chrono::milliseconds request_timeout{1000}; ///< Bounds connecting, sending and each wait for bytes.
    std::string daemon_id;                           ///< Sent as Laburnum-Daemon unless empty.
    std::string zone;                                ///< Sent as Laburnum-Zone unless empty.
};

/// Client of the platform's object API over HTTP. Retries nothing.
///
/// Thread safe. It keeps one connection for watches and one for all other calls, so calls wait for one
/// another but not for a watch. Activities that must not wait for one another use separate stores.
class http_object_store
{
public:
    explicit http_object_store(const http_object_store_options& options);
    http_object_store(http_object_store&& other) noexcept;
    http_object_store& operator=(http_object_store&& other) noexcept;
    ~http_object_store();

    /// Reads an object.
    core::result<object> get(std::string_view name);

    /// Reads all objects whose names start with a prefix.
    core::result<std::vector<object>> list(std::string_view prefix);

    /// Waits until the object has a version greater than after.
    /// @returns no value when the timeout passed without one
    core::result<std::optional<object>> watch(std::string_view name, object_version after,
                                              std::chrono::milliseconds timeout);

    /// Writes a value if the condition holds.
    /// @returns the new version
    core::result<object_version> put_if(std::string_view name, const write_condition& condition,
                                        std::string_view value);

    /// Deletes an object if it has the version.
    core::result<void> remove_if(std::string_view name, object_version version);

    /// Ends the running calls from another thread; they return unavailable or outcome_unknown. A call that
    /// starts at the same time may go on, so a shutdown repeats this until the calling thread has stopped.
    void interrupt();

private:
    struct connections;
    std::unique_ptr<connections> links;
};

static_assert(object_store<http_object_store>);

} // namespace laburnumreach::platform

#endif
