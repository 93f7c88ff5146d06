#ifndef LABURNUMREACH_IDEMPOTENCY_TESTS_FAKE_STORE_HPP
#define LABURNUMREACH_IDEMPOTENCY_TESTS_FAKE_STORE_HPP

#include "laburnumreach/idempotency/claim_store_call.hpp"

#include <map>
#include <string>

namespace laburnumreach::idempotency
{

/// Objects with versions and conditional writes, as the platform offers them.
class fake_store
{
public:
    /// Makes a call take effect.
    store_result apply(const store_call& call)
    {
        if (this->outage)
        {
            return {.id = call.id, .status = store_status::unavailable};
        }
        object& target = this->objects[call.object];
        if (call.kind == store_call_kind::read)
        {
            return {.id = call.id,
                    .status = target.version == 0 ? store_status::not_found : store_status::ok,
                    .version = target.version,
                    .value = target.value};
        }
        if (call.expected_version != target.version)
        {
            return {.id = call.id, .status = store_status::conflict};
        }
        ++target.version;
        target.value = call.value;
        return {.id = call.id, .status = store_status::ok, .version = target.version};
    }

    bool outage = false;

private:
    struct object
    {
        std::uint64_t version = 0;
        std::string value;
    };

    std::map<std::string, object> objects;
};

} // namespace laburnumreach::idempotency

#endif
