// What the calling side makes of refusals by overloaded backend servers: whom not to ask for a
// while, and when a refused caller does best to come back. Pure.
#pragma once

#include <array>
#include <cstdint>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "base/random.hpp"
#include "config/mesh.hpp"

namespace caraway {

// Until when one backend server is taken to refuse calls of each urgency.
struct refusal_state {
    std::array<time_point, urgency_levels> m_until{};
};

// True when the reason says that the node beside the backend server had no room for the call. A
// server that sheds a call by itself may take the next one.
bool is_overload_refusal(error_kind reason);

// A backend server refused a call; wait is what its node states until it would have room. Calls
// that are less urgent are refused as well until then.
void record_refusal(refusal_state& refusals, urgency level, duration wait, time_point now);

// A backend server took a call of this urgency, so it takes more urgent ones, too.
void record_acceptance(refusal_state& refusals, urgency level);

bool is_refusing(const refusal_state& refusals, urgency level, time_point now);

// What this node learns of the callers of one route.
struct caller_history {
    milliseconds m_max_deadline{0}; // that a call of the route stated
    time_point m_returning_until;   // callers refused before may come back until then
};

// Remembers the deadline that a call stated.
void record_deadline(caller_history& history, milliseconds stated);

// A caller was refused and may come back within the time that it has left.
void record_refused_caller(caller_history& history, duration left, time_point now);

// How long a call has been under way at its caller, before this attempt. Callers of one route state
// the same deadline at first, and less when they come back; a shorter one counts only while callers
// that were refused may be coming back.
duration elapsed_before_attempt(const caller_history& history, milliseconds stated, time_point now);

// When a refused caller does best to come back: soon where it may still be answered in time or
// another node takes it, else later in the time that it has left, when the load may have passed.
duration suggest_retry_delay(error_kind reason, duration useful_left, duration left,
                             random_source& random);

} // namespace caraway
