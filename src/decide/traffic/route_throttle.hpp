// Limits the calls of one route that a node lets in while the answers come too late because the
// calls, or the onward calls made for them, wait for capacity. Without the limit, an overload of a
// service further down makes all calls late, and the retries of their callers keep it up after its
// cause has ended. Pure functions without I/O.
#pragma once

#include <cstdint>

#include "base/clock.hpp"
#include "base/random.hpp"

namespace caraway {

// State of the limit for one route at one node.
struct route_throttle {
    double m_admitted_share = 1;         // share of the calls that are let in
    std::uint32_t m_answers = 0;         // that count, since the last decision
    std::uint32_t m_late_answers = 0;    // of these, too late because of waits
    std::uint32_t m_refused_answers = 0; // of these, refused for lack of capacity
    time_point m_interval_began;
    // Calls that began earlier say nothing about the present share: they met the queue of an
    // earlier one.
    time_point m_counts_from;
};

// What one call showed about the capacity behind its route.
struct throttle_sample {
    time_point m_began;
    time_point m_useful_until; // time_point{} if unknown
    duration m_waited{};       // for capacity, including onward calls
    bool m_refused = false;    // an onward call was refused for lack of capacity
};

// Returns whether a call may be let in. While the share is below 1, calls whose answer can no
// longer be useful are refused first, so that a caller that comes again doesn't displace another.
bool may_enter(const route_throttle& throttle, time_point useful_until, time_point now,
               random_source& random);

// Records the end of a call and adjusts the share: it falls by the share of answers that were
// refused and by a part of that of answers that were late because of waits, and rises step by step
// while there are few of them.
void record_answer(route_throttle& throttle, const throttle_sample& sample, time_point now);

// Returns whether an onward call was refused for lack of capacity, or the call answered too late
// although it would have been in time without its waits.
bool shows_overload(const throttle_sample& sample, time_point answered);

} // namespace caraway
