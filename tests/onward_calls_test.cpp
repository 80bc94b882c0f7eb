// Tests of onward calls: what they inherit from the call that they serve, and whose waits they are.
#include "decide/traffic/onward_calls.hpp"
#include "tests/support.hpp"

using namespace caraway;

namespace {

constexpr time_point start{std::chrono::seconds(10)};

served_calls one_served(urgency level) {
    served_calls served;
    served.emplace("a1", served_call{{level, 1}, {}});
    return served;
}

} // namespace

BOOST_AUTO_TEST_SUITE(onward_calls_decisions)

BOOST_AUTO_TEST_CASE(the_parent_is_named_before_the_last_separator) {
    BOOST_TEST(parent_number("a1.b2", '.') == "a1");
    BOOST_TEST(parent_number("a1.b2.c3", '.') == "a1.b2");
    BOOST_TEST(parent_number("a1", '.').empty());
    BOOST_TEST(parent_number(".b2", '.').empty());
    BOOST_TEST(parent_number("a1.b2", '\0').empty());
}

// Guards against an onward call that waits behind others although the call that it serves is more
// urgent, and against a caller that gains terms by naming a call that isn't in progress.
BOOST_AUTO_TEST_CASE(the_more_urgent_of_both_applies) {
    const served_calls served = one_served(urgency::urgent);
    const auto terms = inherited_terms(served, "a1", urgency::background);
    BOOST_REQUIRE(terms);
    BOOST_TEST((terms->m_urgency == urgency::urgent));
    BOOST_TEST(terms->m_hop == 2U);
    const auto own = inherited_terms(one_served(urgency::background), "a1", urgency::normal);
    BOOST_TEST((own->m_urgency == urgency::normal));
    BOOST_TEST(!inherited_terms(served, "a2", urgency::normal));
    BOOST_TEST(!inherited_terms(served, "", urgency::normal));
}

// Guards against counting the waits of concurrent onward calls twice, which would make a call look
// late because of waits that it didn't have.
BOOST_AUTO_TEST_CASE(concurrent_waits_count_once) {
    served_calls served = one_served(urgency::normal);
    const capacity_waits wait{milliseconds(100), false, {}};
    const time_point now = start + milliseconds(200);
    record_onward_waits(served, "a1", wait, start, now);
    record_onward_waits(served, "a1", wait, start + milliseconds(10), now);
    BOOST_TEST((served.at("a1").m_waits.m_waited == milliseconds(110)));
    record_onward_waits(served, "a1", {milliseconds(50), true, {}}, start + milliseconds(180), now);
    BOOST_TEST((served.at("a1").m_waits.m_waited == milliseconds(130)));
    BOOST_TEST(served.at("a1").m_waits.m_refused);
    record_onward_waits(served, "gone", wait, start, now);
    BOOST_TEST(served.size() == 1U);
}

// Guards against refusing an onward call while it could still be answered: the call that it serves
// would fail after most of its work. Other servers are asked first, since one may have a free slot.
BOOST_AUTO_TEST_CASE(refused_onward_calls_wait_in_the_end) {
    BOOST_TEST(!may_wait_for_deadline(0, false));
    BOOST_TEST(!may_wait_for_deadline(1, false));
    BOOST_TEST(may_wait_for_deadline(2, false));
    BOOST_TEST(may_wait_for_deadline(0, true));
}

BOOST_AUTO_TEST_SUITE_END()
