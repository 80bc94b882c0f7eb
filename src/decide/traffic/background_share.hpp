// Slots of a backend server that background calls may use. Precedence in the queue alone doesn't
// protect more urgent calls near the capacity: a background call that found the queue empty for a
// moment holds its slot until it ends. Pure functions without I/O.
#pragma once

#include <cstdint>
#include <limits>

#include "base/clock.hpp"

namespace caraway {

// The share of background calls in the slots of one backend server.
struct background_share {
    // Slots that background calls may use. Infinite until a more urgent call has waited long.
    double m_limit = std::numeric_limits<double>::infinity();
    time_point m_updated;        // when m_limit last changed
    std::uint32_t m_running = 0; // background calls that run
};

// Returns the number of slots that background calls may use, out of the given number. It rises with
// time after it fell; one slot stays.
std::uint32_t background_slots(const background_share& share, std::uint32_t slots, time_point now);

// Records how long a more urgent call waited for its slot, and how long its answer was useful when
// it arrived. A long wait takes slots from background calls.
void record_urgent_wait(background_share& share, std::uint32_t slots, duration waited,
                        duration useful_time, time_point now);

} // namespace caraway
