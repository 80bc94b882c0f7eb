// Handling of overload refusals on the calling side: which backend servers not to try for a while,
// and when a refused caller should retry. Pure functions without I/O.
#pragma once

#include <array>
#include <cstdint>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "base/random.hpp"
#include "config/mesh.hpp"

namespace caraway {

// Time until which one backend server is assumed to refuse calls, for each urgency.
struct refusal_state {
    std::array<time_point, urgency_levels> m_until{};
};

// Returns true if the node beside the backend server refused the call for lack of capacity. Calls
// shed by the server itself don't count, since it may accept the next one.
bool is_overload_refusal(error_kind reason);

// Records that a backend server refused a call; wait is its node's estimate of the time until it
// has capacity. Less urgent calls are assumed to be refused until then, too.
void record_refusal(refusal_state& refusals, urgency level, duration wait, time_point now);

// Records that a backend server accepted a call of this urgency, so that it is assumed to accept
// more urgent ones, too.
void record_acceptance(refusal_state& refusals, urgency level);

// Returns true while the server is assumed to refuse calls of this urgency.
bool is_refusing(const refusal_state& refusals, urgency level, time_point now);

// Deadlines and refusals of the callers of one route, as seen by this node.
struct caller_history {
    milliseconds m_max_deadline{0}; // longest deadline stated by a call of the route
    time_point m_retrying_until;    // callers refused earlier may retry until then
};

// Records the deadline stated by a call.
void record_deadline(caller_history& history, milliseconds stated);

// Records that a caller was refused and may retry within its remaining time.
void record_refused_caller(caller_history& history, duration left, time_point now);

// Estimates how long a call has already been in progress at its caller before this attempt. Callers
// of one route state the same deadline at first and a shorter one when they retry, so the
// difference is the elapsed time. Returns zero unless recently refused callers may be retrying.
duration elapsed_before_attempt(const caller_history& history, milliseconds stated, time_point now);

// Returns the delay after which a refused caller should retry: a short one if it can still be
// answered in time or another node can serve the call, otherwise a later point of its remaining
// time, when the overload may have passed.
duration suggest_retry_delay(error_kind reason, duration useful_left, duration left,
                             random_source& random);

} // namespace caraway
