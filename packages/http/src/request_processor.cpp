#include "request_processor.hpp"

#include "request_view.hpp"
#include "response_stream.hpp"

#include <exception>

namespace laburnumreach::http
{

request_processor::request_processor(const server_options& settings, const request_handler& request_callback,
                                     const connection_table& connections, server_counters& server_counts)
    : options(settings), handler(request_callback), table(connections), counters(server_counts)
{
    this->set_pre_routing_handler(
        [this](const httplib::Request&, httplib::Response& target)
        {
            this->run_handler(target);
            return httplib::Server::HandlerResponse::Handled;
        });
    this->set_post_routing_handler([this](const httplib::Request&, httplib::Response& target)
                                   { this->set_framing(target); });
}

connection_action request_processor::process(server_connection& connection, request_head head)
{
    request_view view{connection, std::move(head), this->options};
    this->request = &view;
    this->keep_alive = view.head().keep_alive;
    this->answer = response{};
    this->counters.requests.fetch_add(1, std::memory_order_relaxed);
    const bool written = this->write(connection, view.head().method);
    this->request = nullptr;
    if (view.body_malformed())
    {
        this->counters.errors[static_cast<std::size_t>(message_error::body_malformed)].fetch_add(1);
    }
    if (!written)
    {
        return connection_action::close;
    }
    if (this->keep_alive)
    {
        return connection_action::keep;
    }
    // Closing a socket with unread bytes sends a reset, which can discard the response before it is read.
    const bool unread =
        !view.body_finished() || !connection.input.empty() || connection.socket.peek() == io_status::ok;
    return unread ? connection_action::linger : connection_action::close;
}

connection_action request_processor::refuse(server_connection& connection, const core::verdict& verdict)
{
    this->request = nullptr;
    this->keep_alive = false;
    this->answer = make_verdict_response(verdict);
    return this->write(connection, "GET") ? connection_action::linger : connection_action::close;
}

void request_processor::run_handler(httplib::Response& target)
{
    if (this->request != nullptr)
    {
        try
        {
            this->handler(*this->request, this->answer);
        }
        catch (const std::exception&)
        {
            this->counters.handler_failures.fetch_add(1, std::memory_order_relaxed);
            this->answer = make_verdict_response({.result = core::outcome::may_have_run});
            this->answer.status = 500;
        }
    }
    target.status = this->answer.status;
    target.body = std::move(this->answer.body);
}

void request_processor::set_framing(httplib::Response& target)
{
    // cpp-httplib adds Keep-Alive, Accept-Ranges and a default Content-Type, and duplicates an existing
    // Content-Length, so all of its fields are replaced.
    const bool is_head = this->request != nullptr && this->request->head().method == "HEAD";
    const bool has_no_body = target.status == 204 || target.status == 304;
    std::string length{find_header(this->answer.headers, "Content-Length")};
    target.headers = std::move(this->answer.headers);
    remove_hop_by_hop(target.headers);
    std::erase_if(target.headers,
                  [](const auto& field) { return !is_valid_field(field.first, field.second); });
    if (has_no_body)
    {
        target.body.clear();
    }
    else
    {
        if (!is_head || length.empty())
        {
            length = std::to_string(target.body.size());
        }
        target.headers.emplace("Content-Length", std::move(length));
    }
    const bool body_finished = this->request == nullptr || this->request->body_finished();
    this->keep_alive = this->keep_alive && body_finished && !this->table.draining();
    if (!this->keep_alive)
    {
        target.headers.emplace("Connection", "close");
    }
}

bool request_processor::write(const server_connection& connection, std::string_view method)
{
    response_stream stream{connection, method, this->options.write_timeout};
    bool connection_closed = false;
    this->process_request(stream, false, connection_closed, nullptr);
    const bool written = stream.flush();
    if (!written)
    {
        this->counters.write_failures.fetch_add(1, std::memory_order_relaxed);
    }
    return written;
}

} // namespace laburnumreach::http
