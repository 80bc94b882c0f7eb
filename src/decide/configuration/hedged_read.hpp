// Order of repeated reads of the same data, of which any may stay without a reply. An overdue read
// doesn't hold back the next one, and a reply never replaces that of a later read. Pure functions.
#pragma once

#include <cstdint>

#include "base/clock.hpp"

namespace caraway {

// Reads of one kind of data. Several may be in flight after one of them became overdue.
struct hedged_reads {
    std::uint64_t m_last_sent = 0;  // number of the last read sent, 0 if none
    std::uint64_t m_last_ended = 0; // highest number of a read that succeeded or failed
    std::uint64_t m_last_used = 0;  // number of the read that the data held is from
    time_point m_overdue_at;        // when the last read becomes overdue if it hasn't ended
};

// Returns whether the next read may be sent: the last one has ended or is overdue.
bool may_send_read(const hedged_reads& reads, time_point now);

// Returns whether the last read has not ended although its reply was expected by now.
bool is_read_overdue(const hedged_reads& reads, time_point now);

// Starts a read whose reply is expected within the given time. Returns its number for end_read.
std::uint64_t begin_read(hedged_reads& reads, milliseconds expected, time_point now);

// Ends a read that succeeded or failed. Returns whether its result counts, that is, whether no
// later read has succeeded. Each number must be passed once.
bool end_read(hedged_reads& reads, std::uint64_t number, bool succeeded);

} // namespace caraway
