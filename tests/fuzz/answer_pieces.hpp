// Reads an answer that arrives in given pieces, for tests of the answer reader.
#pragma once

#include <algorithm>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "http/answer_reader.hpp"

namespace caraway {

// Returns the bytes that may be held at most for an answer that arrives in pieces of this size:
// head, trailer, a line that waits for its end, and body, and the last piece, whose fields may be
// parsed before it is rejected. message_bytes() counts 24 bytes for a start line, and at most five
// for a field of four ("a:" and the line end).
constexpr std::size_t max_held_bytes(const exchange_limits& limits, std::size_t piece_bytes) {
    const std::size_t fields = std::size_t{2} * limits.m_max_header_bytes + piece_bytes;
    return 24 + fields + fields / 4 + limits.m_max_header_bytes + limits.m_max_body_bytes +
           piece_bytes;
}

// What became of the bytes of one answer.
struct read_result {
    error_kind m_reason = error_kind::none;
    bool m_done = false;
    bool m_kept = false; // the connection can be used again
    unsigned m_status = 0;
    std::string m_body;
    std::size_t m_held = 0; // most bytes held at a time
    std::size_t m_left = 0; // bytes after the answer

    friend bool operator==(const read_result& a, const read_result& b) {
        return a.m_reason == b.m_reason && a.m_done == b.m_done && a.m_kept == b.m_kept &&
               a.m_status == b.m_status && a.m_body == b.m_body;
    }
    friend std::ostream& operator<<(std::ostream& out, const read_result& result) {
        return out << error_info_for(result.m_reason).m_name << ' ' << result.m_done << ' '
                   << result.m_kept << ' ' << result.m_status << ' ' << result.m_body;
    }
};

// Feeds the bytes in pieces, then ends the connection if closed is true.
inline read_result read_pieces(const std::vector<std::string_view>& pieces, bool closed,
                               http::verb method, const exchange_limits& limits) {
    answer_reader reader(method, limits);
    read_result result;
    std::string buffer;
    error reason;
    for (const std::string_view piece : pieces) {
        buffer += piece;
        if (!reader.is_done() && reason.m_kind == error_kind::none) {
            buffer.erase(0, reader.parse(buffer, reason));
            result.m_held = std::max(result.m_held, buffer.size() + message_bytes(reader.answer()));
        }
    }
    result.m_reason = reason.m_kind;
    if (reason.m_kind != error_kind::none) {
        return result;
    }
    result.m_done = reader.is_done() || (closed && reader.end());
    if (result.m_done) {
        result.m_kept = reader.keeps_connection();
        result.m_status = reader.answer().result_int();
        result.m_body = reader.answer().body();
        result.m_left = buffer.size();
    }
    return result;
}

} // namespace caraway
