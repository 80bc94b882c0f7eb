// Pacing of large answers on the link of an instance. Without it, one large answer fills the link's
// queue and the small answers behind it wait for all of it. Large answers are sent in chunks that
// together use only a part of the link, and a call whose large answer could not be sent in time is
// refused before it runs. Pure functions without I/O.
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/clock.hpp"

namespace caraway {

// Answers with a body above this size are paced; smaller ones occupy a link for a few milliseconds.
constexpr std::size_t min_paced_bytes = 32U << 10U;
// Size of the chunks in which a paced answer is sent. A small answer waits for one chunk at most.
constexpr std::size_t paced_chunk_bytes = 8U << 10U;

// State of the link's share that large answers use.
struct link_pacing {
    double m_bytes_per_s = 0;          // rate for large answers; 0 means that nothing is paced
    time_point m_free_at;              // when the answers scheduled so far will have been sent
    std::uint32_t m_running_calls = 0; // that will have large answers
    double m_mean_bytes = 0;           // smoothed size of large answers; 0 if unknown
};

// Returns the state for a link of this rate in Mbit/s; 0 if the rate is unknown.
link_pacing make_link_pacing(double link_mbps);

// Schedules a large answer behind the ones scheduled before, updates the mean size, and returns
// when its first byte may be sent. One after the other, most answers arrive earlier than if they
// shared the rate.
time_point schedule_answer(link_pacing& pacing, std::size_t bytes, time_point now);

// Returns when the byte at this offset may be sent of an answer that may be sent from `start` on.
time_point chunk_time(const link_pacing& pacing, time_point start, std::size_t offset);

// Returns how long it takes from now until the large answers that are due, and one more, are sent;
// 0 if nothing is known or paced.
duration expected_transfer(const link_pacing& pacing, time_point now);

} // namespace caraway
