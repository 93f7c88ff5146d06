#include "laburnumreach/http/exchange_result.hpp"

namespace laburnumreach::http
{

namespace
{

core::reason reason_of(exchange_fault fault, bool not_run) noexcept
{
    switch (fault)
    {
    case exchange_fault::none:
        return core::reason::none;
    case exchange_fault::refused_request:
        return core::reason::bad_request;
    case exchange_fault::connect_refused:
        return core::reason::connect_failed;
    case exchange_fault::deadline_exceeded:
        return core::reason::deadline_exceeded;
    case exchange_fault::silent:
        return core::reason::upstream_silent;
    case exchange_fault::connection_lost:
        return not_run ? core::reason::connect_failed : core::reason::connection_lost;
    case exchange_fault::cut:
    case exchange_fault::malformed:
    case exchange_fault::unknown_length:
    case exchange_fault::too_large:
        return core::reason::answer_incomplete;
    case exchange_fault::cancelled:
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
        return {.result = core::outcome::not_run, .why = reason_of(this->fault, true)};
    case exchange_progress::complete:
        return {.result = core::outcome::ran};
    case exchange_progress::sent:
        break;
    }
    return {.result = core::outcome::may_have_run, .why = reason_of(this->fault, false)};
}

} // namespace laburnumreach::http
