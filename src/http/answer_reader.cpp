#include "http/answer_reader.hpp"

#include "http/server_answer.hpp"

namespace caraway {
namespace {

using boost::system::error_code;

// Size of the last chunk without extensions and trailer. A chunked body that isn't complete has at
// least as many bytes to come. Beast's parser fails an assertion, which ends the process, if it
// gets the last chunk of an empty body in pieces of three bytes and one.
constexpr std::size_t last_chunk_bytes = 5;
// Bytes of chunk framing that are accepted for each byte of the body, beyond a fixed allowance of
// the size of a head. A chunk of one byte has five.
constexpr std::uint64_t framing_bytes_per_body_byte = 8;

// Returns true if a line begins with a blank. HTTP once let such a line continue the value of the
// line before it, and Beast does so; to other readers it is a field of its own, which may even
// state the framing. fields consists of whole fields, each with all its lines.
bool has_continued_line(std::string_view fields) {
    return fields.find("\n ") != std::string_view::npos ||
           fields.find("\n\t") != std::string_view::npos;
}

void reject(error& reason, std::string_view text) {
    reason = {error_kind::answer_invalid, std::string(text)};
}

} // namespace

answer_reader::answer_reader(http::verb method, const exchange_limits& limits) : m_limits(limits) {
    // Beast's own limit depends on how the bytes are split; check_head() decides.
    m_parser.header_limit(2 * limits.m_max_header_bytes);
    m_parser.body_limit(limits.m_max_body_bytes);
    m_parser.skip(method == http::verb::head);
}

// Without Beast's eager mode, put() parses the head, the line before a chunk, the data of a chunk,
// or the last chunk with its trailer. Each is checked as such, so that the result doesn't depend on
// how the bytes are split.
std::size_t answer_reader::parse(std::string_view bytes, error& reason) {
    std::size_t consumed = 0;
    m_started = m_started || !bytes.empty();
    while (!is_done() && consumed < bytes.size()) {
        const std::string_view rest = bytes.substr(consumed);
        const bool in_head = !m_parser.is_header_done();
        if (!in_head && m_parser.chunked() && rest.size() < last_chunk_bytes) {
            break;
        }
        const std::size_t body_before = m_parser.get().body().size();
        error_code failed;
        const std::size_t used =
            m_parser.put(boost::asio::buffer(rest.data(), rest.size()), failed);
        consumed += used;
        const bool incomplete = failed == http::error::need_more;
        if (failed == http::error::body_limit) {
            reason = {error_kind::answer_too_large, failed.message()};
            return consumed;
        }
        if (failed && !incomplete) {
            reject(reason, failed.message());
            return consumed;
        }
        const std::size_t pending = incomplete ? rest.size() - used : 0;
        const bool chunk_line =
            !in_head && m_parser.chunked() && m_parser.get().body().size() == body_before;
        if ((in_head || chunk_line) && has_continued_line(rest.substr(0, used))) {
            reject(reason, "a line begins with a blank");
            return consumed;
        }
        if ((in_head && !check_head(used, pending, reason)) ||
            (chunk_line && !check_chunk_line(used, pending, reason)) || incomplete) {
            return consumed;
        }
    }
    return consumed;
}

// Checks the size of the head so far, and the whole head once it is complete. used is the number of
// bytes that were parsed, pending the number of those that wait for more.
bool answer_reader::check_head(std::size_t used, std::size_t pending, error& reason) {
    m_head_bytes += used;
    if (m_head_bytes + pending > m_limits.m_max_header_bytes) {
        reject(reason, "the head is above the limit");
        return false;
    }
    if (!m_parser.is_header_done()) {
        return true;
    }
    const std::string_view fault = head_fault(m_parser.get());
    if (!fault.empty()) {
        reject(reason, fault);
    }
    return fault.empty();
}

// Checks the line before a chunk, or the last chunk with its trailer. The body must not consist
// mainly of framing: its bytes would take processor time without end while the body stays below its
// limit.
bool answer_reader::check_chunk_line(std::size_t used, std::size_t pending, error& reason) {
    m_framing_bytes += used;
    const std::uint64_t limit = m_limits.m_max_header_bytes;
    if (used + pending > limit ||
        m_framing_bytes > limit + framing_bytes_per_body_byte * m_parser.get().body().size()) {
        reject(reason, "the chunk framing is above the limit");
        return false;
    }
    return true;
}

bool answer_reader::end() {
    if (!m_started || is_done()) {
        return is_done();
    }
    error_code failed;
    m_parser.put_eof(failed);
    return !failed;
}

// A body without a declared length grows in steps, and up to the whole capacity is in use while it
// does. A declared length is reserved at once, but memory is in use only for the bytes received.
std::uint64_t answer_reader::held_bytes() const {
    const std::string& body = answer().body();
    const bool declared = m_parser.is_header_done() && m_parser.content_length().has_value();
    return m_head_bytes + m_framing_bytes + (declared ? body.size() : body.capacity());
}

bool answer_reader::keeps_connection() const {
    const bool body_left_out = answer().body().empty() && m_framing_bytes == 0 &&
                               (declared_length(answer()) > 0 || m_parser.chunked());
    return m_parser.keep_alive() && !m_parser.upgrade() && !body_left_out;
}

} // namespace caraway
