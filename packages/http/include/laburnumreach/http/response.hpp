#ifndef LABURNUMREACH_HTTP_RESPONSE_HPP
#define LABURNUMREACH_HTTP_RESPONSE_HPP

#include "laburnumreach/core/verdict.hpp"
#include "laburnumreach/http/headers.hpp"

#include <string>

namespace laburnumreach::http
{

/// A complete response. Connection and framing fields in headers are ignored when it is sent.
struct response
{
    int status = 200;
    http::headers headers{};
    std::string body{};
};

/// Builds the response that carries a verdict: the fixed status of the reason, the headers Laburnum-Verdict,
/// Laburnum-Reason and Retry-After, and the JSON body {"verdict","reason","retry_after_ms"}.
response make_verdict_response(const core::verdict& verdict);

/// Sets Laburnum-Verdict, Laburnum-Reason and Retry-After (whole seconds, rounded up; absent when zero).
void set_verdict_headers(headers& fields, const core::verdict& verdict);

} // namespace laburnumreach::http

#endif
