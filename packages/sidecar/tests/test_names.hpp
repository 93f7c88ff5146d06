#ifndef LABURNUMREACH_SIDECAR_TEST_NAMES_HPP
#define LABURNUMREACH_SIDECAR_TEST_NAMES_HPP

#include "laburnumreach/sidecar/header_names.hpp"

namespace laburnumreach::sidecar
{

/// Returns names of header fields for tests.
inline header_names test_names()
{
    return {.attempt_id = "X-Attempt",
            .deadline_ms = "X-Deadline",
            .credential = "X-Key",
            .customer = "X-Customer",
            .caller_service = "X-Caller",
            .expected_instance = "X-Expected",
            .instance_id = "X-Instance",
            .load = "X-Load",
            .not_executed = "X-Not-Executed",
            .signature = "X-Signature"};
}

} // namespace laburnumreach::sidecar

#endif
