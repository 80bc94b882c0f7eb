#include "decide/traffic/background_share.hpp"

#include <algorithm>

namespace caraway {
namespace {

// Part of its useful time that a more urgent call may wait before background calls lose slots, the
// factor by which their slots fall then, and the time in which all slots are given back.
constexpr double tolerated_wait_part = 0.25;
constexpr double fall_factor = 0.9;
constexpr std::chrono::duration<double> rise_time{2.0};

// Returns the limit at this time.
double current_limit(const background_share& share, std::uint32_t slots, time_point now) {
    const std::chrono::duration<double> elapsed = now - share.m_updated;
    return std::min<double>(slots, share.m_limit + slots * (elapsed / rise_time));
}

} // namespace

std::uint32_t background_slots(const background_share& share, std::uint32_t slots, time_point now) {
    return static_cast<std::uint32_t>(std::max(1.0, current_limit(share, slots, now)));
}

void record_urgent_wait(background_share& share, std::uint32_t slots, duration waited,
                        duration useful_time, time_point now) {
    if (waited <= tolerated_wait_part * useful_time) {
        return;
    }
    share.m_limit = std::max(1.0, fall_factor * current_limit(share, slots, now));
    share.m_updated = now;
}

} // namespace caraway
