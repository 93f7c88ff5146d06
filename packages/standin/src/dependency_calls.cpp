#include "laburnumreach/standin/dependency_calls.hpp"

#include "laburnumreach/standin/checked_answer.hpp"

#include <array>
#include <utility>

namespace laburnumreach::standin
{

namespace
{

constexpr std::array<const char*, 3> verdict_headers{"Laburnum-Verdict", "Laburnum-Reason", "Retry-After"};

} // namespace

core::result<dependency_rule> parse_dependency_rule(std::string_view text)
{
    const std::size_t equals = text.find('=');
    dependency_rule rule;
    rule.path_prefix = text.substr(0, equals);
    std::string_view rest = equals == std::string_view::npos ? std::string_view{} : text.substr(equals + 1);
    while (!rest.empty())
    {
        const std::size_t comma = std::min(rest.find(','), rest.size());
        std::string_view item = rest.substr(0, comma);
        rest.remove_prefix(std::min(comma + 1, rest.size()));
        std::string method = "GET";
        if (const std::size_t colon = item.find(':'); colon != std::string_view::npos)
        {
            method = item.substr(0, colon);
            item.remove_prefix(colon + 1);
        }
        rule.targets.push_back({.method = std::move(method), .path = "/" + std::string{item}});
    }
    if (rule.targets.empty())
    {
        return core::make_error(core::error_code::invalid_argument,
                                "expected <path prefix>=[METHOD:]<service>/<path>,... instead of " +
                                    std::string{text});
    }
    return rule;
}

dependency_calls::dependency_calls(const loopback_address& daemon, std::vector<dependency_rule> call_rules)
    : rules(std::move(call_rules)), clients(daemon)
{
}

dependency_calls::result dependency_calls::run(std::string_view path, const context& request,
                                               const connection& caller)
{
    const dependency_rule* matching = nullptr;
    for (const dependency_rule& rule : this->rules)
    {
        if (path.starts_with(rule.path_prefix) &&
            (matching == nullptr || rule.path_prefix.size() > matching->path_prefix.size()))
        {
            matching = &rule;
        }
    }
    if (matching == nullptr)
    {
        return {};
    }
    const core::time_point deadline = core::boot_clock::now() + request.timeout;
    for (std::size_t index = 0; index < matching->targets.size(); ++index)
    {
        result ended =
            this->run_one(matching->targets[index], std::to_string(index), request, deadline, caller);
        if (ended.ended != outcome::done)
        {
            return ended;
        }
    }
    return {};
}

dependency_calls::result dependency_calls::run_one(const dependency_rule::target& target,
                                                   const std::string& number, const context& request,
                                                   core::time_point deadline, const connection& caller)
{
    httplib::Request call;
    call.method = target.method;
    call.path = target.path;
    const std::string nonce = request.nonce + "/" + number;
    call.headers.emplace("Laburnum-Call", request.handle);
    call.headers.emplace("Test-Nonce", nonce);
    if (target.method != "GET" && !request.idempotency_key.empty())
    {
        call.headers.emplace("Idempotency-Key", request.idempotency_key + "/" + number);
    }
    httplib::Response answer;
    const local_client::failure failure =
        this->clients.call(call, answer, deadline - core::boot_clock::now(), &caller);

    result ended{.ended = outcome::failed, .path = target.path, .status = 0, .verdict = {}};
    if (failure != local_client::failure::none)
    {
        ended.ended = failure == local_client::failure::caller_gone    ? outcome::cancelled
                      : failure == local_client::failure::excess_bytes ? outcome::damaged
                                                                       : outcome::failed;
        return ended;
    }
    ended.status = answer.status;
    if (answer.status == 200)
    {
        ended.ended = is_whole_answer(answer.body, nonce, call.body) ? outcome::done : outcome::damaged;
        return ended;
    }
    for (const char* const name : verdict_headers)
    {
        if (answer.has_header(name))
        {
            ended.verdict.emplace(name, answer.get_header_value(name));
        }
    }
    return ended;
}

} // namespace laburnumreach::standin
