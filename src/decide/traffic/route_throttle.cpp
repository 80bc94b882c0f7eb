#include "decide/traffic/route_throttle.hpp"

#include <algorithm>

namespace caraway {
namespace {

// A decision is made after this time and at least this many answers. A node gets some ten calls a
// second on a route.
constexpr milliseconds decision_interval{250};
constexpr std::uint32_t min_answers = 4;
// Share of overloaded answers up to which the admitted share rises. Near the capacity some answers
// are late whatever is let in; refusing more calls than become late would gain nothing.
constexpr double tolerated_share = 0.3;
// Factor and step by which the admitted share rises at each decision. A share of a tenth is back at
// 1 within some seconds.
constexpr double rise_factor = 1.15;
constexpr double rise_step = 0.03;
// Part of the share of late answers by which the admitted share falls at a decision. For refusals
// it falls by their whole share, since that is what the capacity doesn't allow.
constexpr double late_fall_part = 0.5;
// Lower bound, so that some calls show when there is capacity again.
constexpr double min_admitted_share = 0.1;

void begin_interval(route_throttle& throttle, time_point now) {
    throttle.m_answers = 0;
    throttle.m_late_answers = 0;
    throttle.m_refused_answers = 0;
    throttle.m_interval_began = now;
}

} // namespace

bool may_enter(const route_throttle& throttle, time_point useful_until, time_point now,
               random_source& random) {
    if (throttle.m_admitted_share >= 1) {
        return true;
    }
    const bool late = useful_until != time_point{} && useful_until <= now;
    return !late && random.unit() < throttle.m_admitted_share;
}

bool shows_overload(const throttle_sample& sample, time_point answered) {
    const bool late = sample.m_useful_until != time_point{} && answered > sample.m_useful_until;
    return sample.m_refused || (late && answered - sample.m_waited <= sample.m_useful_until);
}

// Calls that could not be in time when they began are ignored, unless they were refused.
void record_answer(route_throttle& throttle, const throttle_sample& sample, time_point now) {
    const bool hopeless =
        sample.m_useful_until != time_point{} && sample.m_useful_until <= sample.m_began;
    if (sample.m_began < throttle.m_counts_from || (hopeless && !sample.m_refused)) {
        return;
    }
    if (throttle.m_answers == 0) {
        throttle.m_interval_began = now;
    }
    ++throttle.m_answers;
    if (sample.m_refused) {
        ++throttle.m_refused_answers;
    } else if (shows_overload(sample, now)) {
        ++throttle.m_late_answers;
    }
    if (throttle.m_answers < min_answers || now - throttle.m_interval_began < decision_interval) {
        return;
    }
    const double refused = static_cast<double>(throttle.m_refused_answers) / throttle.m_answers;
    const double late = static_cast<double>(throttle.m_late_answers) / throttle.m_answers;
    if (refused + late > tolerated_share) {
        const double kept = (1 - refused) * (1 - late_fall_part * late);
        throttle.m_admitted_share = std::max(min_admitted_share, throttle.m_admitted_share * kept);
        throttle.m_counts_from = now + sample.m_waited; // the queue drains for about this long
    } else {
        throttle.m_admitted_share =
            std::min(1.0, throttle.m_admitted_share * rise_factor + rise_step);
    }
    begin_interval(throttle, now);
}

} // namespace caraway
