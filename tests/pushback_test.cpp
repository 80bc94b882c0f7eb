// Tests of the handling of overload refusals at the callers' nodes.
#include <array>

#include "decide/traffic/balance.hpp"
#include "decide/traffic/pushback.hpp"
#include "tests/support.hpp"

using namespace caraway;

namespace {

constexpr time_point start{std::chrono::seconds(100)};

} // namespace

BOOST_AUTO_TEST_SUITE(pushback)

// Guards against calls that are sent from one full server to the next, across data centres, only to
// be refused three times. 6,800 such refusals in one day cost 20 MB of traffic between data
// centres.
BOOST_AUTO_TEST_CASE(full_servers_are_not_asked_again_at_once) {
    refusal_state refusals;
    record_refusal(refusals, urgency::normal, milliseconds(80), start);
    BOOST_TEST(is_refusing(refusals, urgency::normal, start + milliseconds(79)));
    BOOST_TEST(is_refusing(refusals, urgency::background, start + milliseconds(79)));
    BOOST_TEST(!is_refusing(refusals, urgency::urgent, start));
    BOOST_TEST(!is_refusing(refusals, urgency::normal, start + milliseconds(80)));

    std::array<candidate, 3> candidates;
    for (candidate& value : candidates) {
        value.m_refusing = true;
    }
    BOOST_TEST(is_overloaded(candidates));
    random_source random(seed_or_default());
    BOOST_TEST(!choose_candidate(candidates, random).has_value());
    candidates[1].m_refusing = false;
    BOOST_TEST(!is_overloaded(candidates));
    BOOST_TEST(choose_candidate(candidates, random).value() == 1U);
    // An unreachable server is no alternative in an overload.
    candidates[1].m_breaker_open = true;
    BOOST_TEST(is_overloaded(candidates));
    // Without an overload, a server with an open breaker is better than none.
    for (candidate& value : candidates) {
        value.m_refusing = false;
        value.m_breaker_open = true;
    }
    BOOST_TEST(!is_overloaded(candidates));
    BOOST_TEST(choose_candidate(candidates, random).has_value());
}

// Guards against a stated wait that is so long that a server stays unused, or so short that every
// call is still sent to it.
BOOST_AUTO_TEST_CASE(stated_waits_are_bounded) {
    refusal_state refusals;
    record_refusal(refusals, urgency::urgent, std::chrono::hours(1), start);
    BOOST_TEST(!is_refusing(refusals, urgency::background, start + std::chrono::seconds(1)));
    refusal_state other;
    record_refusal(other, urgency::urgent, duration{}, start);
    BOOST_TEST(is_refusing(other, urgency::urgent, start + milliseconds(1)));
}

// Guards against urgent calls being kept away from a server that has just accepted a less urgent
// one.
BOOST_AUTO_TEST_CASE(an_accepted_call_ends_the_pushback_of_more_urgent_ones) {
    refusal_state refusals;
    record_refusal(refusals, urgency::urgent, milliseconds(200), start);
    record_acceptance(refusals, urgency::normal);
    BOOST_TEST(!is_refusing(refusals, urgency::urgent, start));
    BOOST_TEST(!is_refusing(refusals, urgency::normal, start));
    BOOST_TEST(is_refusing(refusals, urgency::background, start));
}

// Guards against mistaking a retry for a new call, and against mistaking a call with a short
// deadline for a retry while no caller has been refused.
BOOST_AUTO_TEST_CASE(returning_callers_are_known_by_their_deadline) {
    caller_history history;
    record_deadline(history, milliseconds(4'000));
    BOOST_TEST((elapsed_before_attempt(history, milliseconds(1'000), start) == duration{}));
    record_refused_caller(history, milliseconds(3'900), start);
    BOOST_TEST((elapsed_before_attempt(history, milliseconds(3'990), start) == duration{}));
    BOOST_TEST((elapsed_before_attempt(history, milliseconds(3'700), start) == milliseconds(300)));
    const time_point later = start + std::chrono::seconds(4);
    BOOST_TEST((elapsed_before_attempt(history, milliseconds(1'000), later) == duration{}));
}

// Guards against refused callers that retry in lockstep, too late although there was time to be
// answered, or after their deadline.
BOOST_AUTO_TEST_CASE(refused_callers_return_at_a_useful_time) {
    random_source random(seed_or_default());
    for (int i = 0; i < 1'000; ++i) {
        const duration soon = suggest_retry_delay(error_kind::queue_full, milliseconds(600),
                                                  milliseconds(4'000), random);
        BOOST_TEST((soon >= milliseconds(40) && soon <= milliseconds(120)));
        const duration late = suggest_retry_delay(error_kind::queue_full, milliseconds(50),
                                                  milliseconds(3'000), random);
        BOOST_TEST((late >= milliseconds(600) && late <= milliseconds(1'000)));
    }
    BOOST_TEST((suggest_retry_delay(error_kind::version_suspended, duration{}, milliseconds(3'000),
                                    random) < milliseconds(100)));
    // A caller of a draining node must not use up its attempts before the node is replaced.
    BOOST_TEST((suggest_retry_delay(error_kind::draining, milliseconds(600), milliseconds(3'000),
                                    random) == milliseconds(500)));
    BOOST_TEST((suggest_retry_delay(error_kind::draining, milliseconds(200), milliseconds(450),
                                    random) == milliseconds(150)));
}

BOOST_AUTO_TEST_SUITE_END()
