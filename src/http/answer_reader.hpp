// Parses one answer of a backend server, another node or the store from bytes that arrive in any
// split, within limits. Does no I/O.
#pragma once

#include <cstdint>
#include <string_view>

#include "base/error.hpp"
#include "http/message.hpp"

namespace caraway {

// Size limits of the answer in one exchange over a connection.
struct exchange_limits {
    std::uint32_t m_max_header_bytes = 16U << 10U;
    std::uint64_t m_max_body_bytes = 1U << 20U;
};

// Bytes read from a connection at once at most.
constexpr std::size_t max_read_bytes = 64U << 10U;
// Maximum number of interim (1xx) answers before the final one, so that a call to a server that
// sends them endlessly fails.
constexpr int max_interim_answers = 16;

// Reads one answer, which may be an interim one. Holds at most the bytes of its head and body.
class answer_reader {
public:
    // method is that of the request: an answer to HEAD has no body.
    answer_reader(http::verb method, const exchange_limits& limits);

    // Parses bytes and returns how many were consumed. The others are passed again, followed by
    // more bytes, unless the answer is complete. Sets reason to answer_invalid or answer_too_large
    // if the answer is rejected; the reader can't be used after that.
    std::size_t parse(std::string_view bytes, error& reason);
    // Ends the answer because the connection was closed. Returns true if it is complete.
    bool end();

    // Returns true if the answer is complete.
    bool is_done() const { return m_parser.is_done(); }
    // Returns true if a byte of the answer arrived.
    bool has_started() const { return m_started; }
    // Returns true if the connection can be used for another request. An answer that declares a
    // body but has none by definition (to HEAD, or 304) rules that out: a faulty server may still
    // send the body, whose bytes would be taken for the next answer.
    bool keeps_connection() const;
    // The answer; its head is complete once is_done() returns true.
    const http_response& answer() const { return m_parser.get(); }
    http_response release() { return m_parser.release(); }
    // Returns the bytes that are held for the answer so far.
    std::uint64_t held_bytes() const;

private:
    bool check_head(std::size_t used, std::size_t pending, error& reason);
    bool check_chunk_line(std::size_t used, std::size_t pending, error& reason);

    http::response_parser<http::string_body> m_parser;
    exchange_limits m_limits;
    std::uint64_t m_head_bytes = 0;
    std::uint64_t m_framing_bytes = 0; // lines between chunks, and the trailer
    bool m_started = false;
};

} // namespace caraway
