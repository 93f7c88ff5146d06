#include "laburnumreach/http/exchange_result.hpp"

namespace laburnumreach::http
{

namespace
{

core::reason reason_of(exchange_error error, bool not_run) noexcept
{
    switch (error)
    {
    case exchange_error::none:
        return core::reason::none;
    case exchange_error::invalid_request:
        return core::reason::bad_request;
    case exchange_error::connect_failed:
        return core::reason::connect_failed;
    case exchange_error::deadline_exceeded:
        return core::reason::deadline_exceeded;
    case exchange_error::silent:
        return core::reason::upstream_silent;
    case exchange_error::connection_lost:
        return not_run ? core::reason::connect_failed : core::reason::connection_lost;
    case exchange_error::truncated:
    case exchange_error::malformed:
    case exchange_error::unknown_length:
    case exchange_error::too_large:
        return core::reason::answer_incomplete;
    case exchange_error::cancelled:
        return core::reason::cancelled;
    }
    return core::reason::connection_lost;
}

} // namespace

core::verdict exchange_result::verdict() const noexcept
{
    switch (this->progress)
    {
    case exchange_progress::connect_failed:
    case exchange_progress::not_sent:
        return {.result = core::outcome::not_run, .why = reason_of(this->error, true)};
    case exchange_progress::complete:
        return {.result = core::outcome::ran};
    case exchange_progress::sent:
        break;
    }
    return {.result = core::outcome::may_have_run, .why = reason_of(this->error, false)};
}

} // namespace laburnumreach::http
