#include "laburnumreach/core/outcome.hpp"
#include "laburnumreach/core/priority_class.hpp"
#include "laburnumreach/core/reason.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumreach::core
{

/// Guards against a name that is written to a header but that the next hop cannot parse, which would lose the
/// verdict.
class names_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(names_test);
    CPPUNIT_TEST(every_reason_round_trips);
    CPPUNIT_TEST(every_refusal_has_an_error_status);
    CPPUNIT_TEST(unknown_names_are_rejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void every_reason_round_trips()
    {
        for (const reason value : all_reasons())
        {
            CPPUNIT_ASSERT(parse_reason(to_string(value)) == value);
        }
    }

    void every_refusal_has_an_error_status()
    {
        for (const reason value : all_reasons().subspan(1))
        {
            CPPUNIT_ASSERT(http_status(value) >= 400);
            CPPUNIT_ASSERT(http_status(value) < 600);
        }
    }

    void unknown_names_are_rejected()
    {
        CPPUNIT_ASSERT(!parse_reason("nonsense"));
        CPPUNIT_ASSERT(!parse_outcome("nonsense"));
        CPPUNIT_ASSERT(!parse_priority_class("nonsense"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(names_test);

} // namespace laburnumreach::core
