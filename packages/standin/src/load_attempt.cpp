#include "laburnumreach/standin/load_attempt.hpp"

#include "laburnumreach/standin/checked_answer.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace laburnumreach::standin
{

namespace
{

/// Reads the advised wait; the body has it in milliseconds, the header only in seconds.
core::duration read_retry_after(const httplib::Response& response)
{
    const nlohmann::json document = nlohmann::json::parse(response.body, nullptr, false);
    if (document.is_object() && document.contains("retry_after_ms") &&
        document["retry_after_ms"].is_number_unsigned())
    {
        return std::chrono::milliseconds{document["retry_after_ms"].get<std::int64_t>()};
    }
    const std::string text = response.get_header_value("Retry-After");
    std::int64_t seconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    return std::chrono::seconds{std::max<std::int64_t>(0, seconds)};
}

load_attempt::ending ending_of(local_client::failure failure)
{
    switch (failure)
    {
    case local_client::failure::timeout:
        return load_attempt::ending::timed_out;
    case local_client::failure::connect:
        return load_attempt::ending::not_connected;
    case local_client::failure::excess_bytes:
        return load_attempt::ending::damaged;
    case local_client::failure::none:
    case local_client::failure::caller_gone:
    case local_client::failure::broken:
        break;
    }
    return load_attempt::ending::broken;
}

} // namespace

std::string_view to_string(load_attempt::ending value)
{
    switch (value)
    {
    case load_attempt::ending::whole:
        return "whole";
    case load_attempt::ending::damaged:
        return "damaged";
    case load_attempt::ending::refused:
        return "refused";
    case load_attempt::ending::broken:
        return "broken";
    case load_attempt::ending::timed_out:
        return "timed_out";
    case load_attempt::ending::not_connected:
        return "not_connected";
    case load_attempt::ending::not_sent:
        return "not_sent";
    }
    return "unknown";
}

void judge_answer(load_attempt& attempt, local_client::failure failure, const httplib::Response& response,
                  std::span<const std::string> nonces, std::string_view request_body)
{
    if (failure != local_client::failure::none)
    {
        attempt.ended = ending_of(failure);
        return;
    }
    attempt.status = response.status;
    attempt.verdict = response.get_header_value("Laburnum-Verdict");
    attempt.reason = response.get_header_value("Laburnum-Reason");
    attempt.request_id = response.get_header_value("Laburnum-Request-Id");
    if (response.status == 200)
    {
        const bool whole = std::any_of(nonces.begin(), nonces.end(),
                                       [&](const std::string& nonce)
                                       { return is_whole_answer(response.body, nonce, request_body); });
        attempt.ended = whole ? load_attempt::ending::whole : load_attempt::ending::damaged;
        return;
    }
    attempt.ended = load_attempt::ending::refused;
    attempt.retry_after = read_retry_after(response);
    if (attempt.reason.empty())
    {
        attempt.reason = "status_" + std::to_string(response.status);
    }
}

} // namespace laburnumreach::standin
