#include "laburnumreach/http/response.hpp"

namespace laburnumreach::http
{

void set_verdict_headers(headers& fields, const core::verdict& verdict)
{
    constexpr std::chrono::milliseconds rounding{999};
    fields.erase("Laburnum-Verdict");
    fields.erase("Laburnum-Reason");
    fields.erase("Retry-After");
    fields.emplace("Laburnum-Verdict", core::to_string(verdict.result));
    fields.emplace("Laburnum-Reason", core::to_string(verdict.why));
    if (verdict.retry_after.count() > 0)
    {
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(verdict.retry_after + rounding);
        fields.emplace("Retry-After", std::to_string(seconds.count()));
    }
}

response make_verdict_response(const core::verdict& verdict)
{
    response answer;
    answer.status = core::http_status(verdict.why);
    set_verdict_headers(answer.headers, verdict);
    answer.headers.emplace("Content-Type", "application/json");
    // The names contain no character that JSON escapes.
    answer.body.append(R"({"verdict":")").append(core::to_string(verdict.result));
    answer.body.append(R"(","reason":")").append(core::to_string(verdict.why));
    answer.body.append(R"(","retry_after_ms":)")
        .append(std::to_string(verdict.retry_after.count()))
        .append("}");
    return answer;
}

} // namespace laburnumreach::http
