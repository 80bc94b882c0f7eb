#include "decide/configuration/hedged_read.hpp"

#include <algorithm>

namespace caraway {

bool may_send_read(const hedged_reads& reads, time_point now) {
    return reads.m_last_ended == reads.m_last_sent || now >= reads.m_overdue_at;
}

bool is_read_overdue(const hedged_reads& reads, time_point now) {
    return reads.m_last_ended != reads.m_last_sent && now >= reads.m_overdue_at;
}

std::uint64_t begin_read(hedged_reads& reads, milliseconds expected, time_point now) {
    reads.m_overdue_at = now + expected;
    return ++reads.m_last_sent;
}

bool end_read(hedged_reads& reads, std::uint64_t number, bool succeeded) {
    reads.m_last_ended = std::max(reads.m_last_ended, number);
    if (number <= reads.m_last_used) {
        return false;
    }
    if (succeeded) {
        reads.m_last_used = number;
    }
    return true;
}

} // namespace caraway
