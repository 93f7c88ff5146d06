#include "laburnumreach/ctl/reason_guide.hpp"

#include <array>

namespace laburnumreach::ctl
{

namespace
{

using core::reason;

constexpr std::array<reason_guide, core::reason_count> guides{{
    {reason::none, "The request completed.", "Nothing."},
    {reason::bad_request, "The request is malformed or ambiguous, such as two lengths or a bad path.",
     "Correct the caller."},
    {reason::key_in_body, "The caller put a key into the request body.",
     "Send the key in a header or the query parameter only. Consider the key exposed and replace it."},
    {reason::ambiguous_key, "The request carries several keys or one key in several places.",
     "Send one key in one place."},
    {reason::key_missing, "The request carries no key.", "Send the tenant's key."},
    {reason::key_unknown, "No tenant has this key.",
     "Check the key with the tenant, or grant one with 'laburnumctl key grant'."},
    {reason::key_withdrawn, "The key was withdrawn, possibly while the request ran.",
     "Grant a new key if the tenant should have access."},
    {reason::key_unverifiable,
     "The daemon reached neither the platform nor another daemon for so long that it may have missed "
     "withdrawals.",
     "Restore the network of the daemon. It accepts keys again by itself."},
    {reason::tenant_not_allowed, "The route is not open and does not list the tenant.",
     "Add the tenant to the route's tenants if it should have access."},
    {reason::route_unknown, "No route matches service, method and path.",
     "Check the request, or add a route to the operators' text."},
    {reason::body_too_large, "The request body exceeds the limit of the route or of the daemon.",
     "Send less, or raise max_body_bytes."},
    {reason::header_too_large, "The request headers exceed the daemon's limit.", "Send smaller headers."},
    {reason::idempotency_key_missing, "A non-idempotent route needs the header Idempotency-Key.",
     "Send a new key with each operation and the same key with its retries."},
    {reason::duplicate_in_progress, "The same operation is running already.",
     "Wait for the first request; ask again later with the same Idempotency-Key."},
    {reason::duplicate_outcome_unknown, "The same operation was started before by a daemon that is gone.",
     "Check the outcome at the service before repeating it under a new Idempotency-Key."},
    {reason::duplicate_finished, "The same operation finished before; its response is no longer held.",
     "Treat the operation as done, or read its result from the service."},
    {reason::rate_exceeded, "The tenant exceeds its rate and burst.",
     "Slow the tenant down, or raise its rate with 'laburnumctl rate set'."},
    {reason::quota_unavailable, "The daemon could not get a part of the tenant's rate in time.",
     "Check with 'laburnumctl status' that the zone has a holder and the platform answers."},
    {reason::overloaded, "The service admits only more important classes or tenants below their share.",
     "Retry after Retry-After. Add instances if it lasts."},
    {reason::queue_full, "The queue of the instance is full.",
     "Retry after Retry-After. Add instances if it lasts."},
    {reason::deadline_unmeetable, "The remaining time does not cover the expected service time.",
     "Check the latency of the service, or raise timeout_ms of the route."},
    {reason::deadline_exceeded, "The time of the request ran out.",
     "Check the latency of the service and its dependencies, or raise timeout_ms of the route."},
    {reason::downstream_overloaded, "A service that the route calls is overloaded.",
     "Look for the overloaded dependency in 'laburnumctl status'."},
    {reason::no_configuration, "The daemon has no configuration yet.",
     "Check that the platform or other daemons are reachable and a configuration was applied."},
    {reason::no_instance, "No instance of the service may take the request.",
     "Check that instances announce themselves and are not all drained."},
    {reason::retry_budget_exhausted, "The retries to this destination used up their budget.",
     "Look for the cause of the first failures; retries are held back on purpose."},
    {reason::attempts_exhausted,
     "All attempts that the request may make over the whole call chain were made.",
     "Look for the cause of the failures; raise attempts of the route only if they are rare."},
    {reason::connect_failed, "The connection to the instance could not be opened.",
     "Check that the instance runs and listens on its announced address."},
    {reason::connection_lost, "The connection broke after the request was sent; it may have run.",
     "Repeat only idempotent requests, or with the same Idempotency-Key. Check the instance for crashes."},
    {reason::answer_incomplete, "The response of the instance ended early or has no length.",
     "Check that the instance sends Content-Length or chunked responses."},
    {reason::upstream_silent, "The instance sent nothing until the time ran out; the request may have run.",
     "Check the instance. Repeat only idempotent requests, or with the same Idempotency-Key."},
    {reason::cancelled, "The caller disconnected before the response.", "Check the timeout of the caller."},
    {reason::draining, "The instance or daemon is being drained.",
     "Retry; undrain with 'laburnumctl undrain' if it was not meant."},
    {reason::claim_store_unavailable, "The platform did not accept the claim of a non-idempotent request.",
     "Check that the platform answers. The request did not run and may be repeated."},
    {reason::claim_table_full, "Too many non-idempotent requests in the last ten minutes.",
     "Retry later; records leave the table after ten minutes."},
    {reason::body_budget_exhausted, "The daemon holds as many body bytes as it may.",
     "Retry later. Look for slow senders, or raise body_budget_bytes of the daemon."},
    {reason::depth_exceeded, "The call chain is deeper than max_depth.",
     "Look for a loop between services, or raise max_depth of the daemons."},
    {reason::handle_invalid,
     "The value of Laburnum-Call is unknown, has ended, or came from another address.",
     "Send the handle of a running request, from the instance that received it."},
    {reason::loop_detected, "The request came back to a daemon that it passed already.",
     "Check the announced addresses: an upstream must not be a daemon's listener."},
    {reason::peer_unauthenticated, "Another daemon's message did not carry the fleet secret.",
     "Check that all daemons have the same fleet secret."},
}};

constexpr bool guides_follow_declaration_order()
{
    for (std::size_t index = 0; index < guides.size(); ++index)
    {
        if (static_cast<std::size_t>(guides[index].why) != index)
        {
            return false;
        }
    }
    return true;
}

static_assert(guides_follow_declaration_order(), "the table is indexed by enumerator value");

} // namespace

const reason_guide& guide_for(core::reason why) noexcept
{
    return guides[static_cast<std::size_t>(why)];
}

report explain_reason(core::reason why)
{
    const reason_guide& guide = guide_for(why);
    const std::string name{core::to_string(why)};
    const int status = core::http_status(why);
    return {
        .code = exit_code::ok,
        .text = name + " (HTTP status " + std::to_string(status) + ")\n  " + std::string{guide.meaning} +
                "\n  What to do: " + std::string{guide.advice} + "\n",
        .json = {{"reason", name}, {"status", status}, {"meaning", guide.meaning}, {"advice", guide.advice}}};
}

} // namespace laburnumreach::ctl
