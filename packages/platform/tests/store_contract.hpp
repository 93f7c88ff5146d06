#ifndef LABURNUMREACH_PLATFORM_TESTS_STORE_CONTRACT_HPP
#define LABURNUMREACH_PLATFORM_TESTS_STORE_CONTRACT_HPP

#include "laburnumreach/platform/object_store.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumreach::platform
{

/// Checks what every object_store promises, on an empty store. Guards against a store stand-in that accepts
/// what the platform refuses, so that tests on it would prove nothing.
template <object_store Store>
void check_store_contract(Store& store)
{
    const auto code = [](const auto& result) { return result.error().code; };
    CPPUNIT_ASSERT(code(store.get("zone/a")) == core::error_code::not_found);
    CPPUNIT_ASSERT(code(store.put_if("zone/a", 1, "x")) == core::error_code::conflict);
    CPPUNIT_ASSERT(store.put_if("zone/a", std::nullopt, "one") == object_version{1});
    CPPUNIT_ASSERT(code(store.put_if("zone/a", std::nullopt, "x")) == core::error_code::conflict);
    CPPUNIT_ASSERT(code(store.put_if("zone/a", 2, "x")) == core::error_code::conflict);
    const std::string unusual = "two \"\xc3\xa9\"\n";
    CPPUNIT_ASSERT(store.put_if("zone/a", 1, unusual) == object_version{2});
    CPPUNIT_ASSERT(*store.get("zone/a") == (object{.name = "zone/a", .version = 2, .value = unusual}));

    CPPUNIT_ASSERT(store.put_if("zone/b", std::nullopt, "") == object_version{1});
    CPPUNIT_ASSERT(store.put_if("zones", std::nullopt, "") == object_version{1});
    const auto zones = store.list("zone/");
    CPPUNIT_ASSERT(zones.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, zones->size());
    CPPUNIT_ASSERT_EQUAL(std::string{"zone/a"}, zones->at(0).name);

    constexpr std::chrono::milliseconds timeout{20};
    CPPUNIT_ASSERT(store.watch("zone/a", 1, timeout).value()->version == 2);
    CPPUNIT_ASSERT(store.watch("zone/a", 2, timeout).value() == std::nullopt);
    CPPUNIT_ASSERT(store.watch("none", 0, timeout).value() == std::nullopt);

    CPPUNIT_ASSERT(code(store.remove_if("zone/a", 1)) == core::error_code::conflict);
    CPPUNIT_ASSERT(store.remove_if("zone/a", 2).has_value());
    CPPUNIT_ASSERT(code(store.get("zone/a")) == core::error_code::not_found);
    const auto again = store.put_if("zone/a", std::nullopt, "again");
    CPPUNIT_ASSERT(again.has_value() && *again > 2);

    const std::string large(max_value_bytes + 1, 'x');
    CPPUNIT_ASSERT(code(store.put_if("large", std::nullopt, large)) == core::error_code::too_large);
}

} // namespace laburnumreach::platform

#endif
