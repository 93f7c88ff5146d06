#ifndef LABURNUMREACH_HTTP_REQUEST_PROCESSOR_HPP
#define LABURNUMREACH_HTTP_REQUEST_PROCESSOR_HPP

#include "connection_table.hpp"
#include "laburnumreach/http/server.hpp"
#include "request_view.hpp"

#include <httplib.h>

namespace laburnumreach::http
{

/// What to do with a connection after a response.
enum class connection_action : std::uint8_t
{
    keep,
    linger, ///< Close it after the caller has read the response.
    close,
};

/// Runs requests through cpp-httplib's process_request. Each worker has its own instance, because cpp-httplib
/// passes no connection context to its handlers.
///
/// cpp-httplib gets only a placeholder request line, not the caller's header fields. With the fields, it
/// would decode %XX in their values, overflow a small stack on a Range field of 1,000 bytes (recursive
/// regular expression), compress responses, and decompress and split request bodies, none of which a
/// forwarder may do.
class request_processor : private httplib::Server
{
public:
    request_processor(const server_options& options, const request_handler& handler,
                      const connection_table& table, server_counters& counters);

    /// Runs the handler and writes its response.
    connection_action process(server_connection& connection, request_head head);

    /// Sends the response for a request that is refused without calling the handler.
    connection_action refuse(server_connection& connection, const core::verdict& verdict);

private:
    void run_handler(httplib::Response& target);
    void set_framing(httplib::Response& target);
    bool write(const server_connection& connection, std::string_view method);

    const server_options& options;
    const request_handler& handler;
    const connection_table& table;
    server_counters& counters;

    // State of the current request.
    request_view* request = nullptr;
    response answer;
    bool keep_alive = false;
};

} // namespace laburnumreach::http

#endif
