// Fuzz target of the answer reader: feeds an answer in many splits and checks that the result is
// always the same, that no invalid status is accepted, and that the bytes held stay below their
// limit.
#include <fmt/format.h>

#include "tests/fuzz/answer_pieces.hpp"
#include "tests/fuzz/targets.hpp"

namespace caraway {
namespace {

// Small limits, so that short inputs reach them.
constexpr exchange_limits fuzz_limits{300, 100};
// Number of splits into two for each input. Inputs of up to this size are split at every byte.
constexpr std::size_t max_splits = 400;
// An input that begins with this is the answer to a HEAD request.
constexpr std::string_view head_prefix = "HEAD ";

// Returns the fault of a result, or an empty text. piece_bytes is the size of the largest piece.
std::string check_result(std::string_view bytes, const read_result& result,
                         const read_result& whole, std::size_t piece_bytes) {
    const bool accepted = result.m_done && result.m_reason == error_kind::none;
    if (result.m_done != whole.m_done || (accepted && !(result == whole))) {
        return "the result depends on how the answer is split";
    }
    if (result.m_held > max_held_bytes(fuzz_limits, piece_bytes)) {
        return fmt::format("{} bytes were held", result.m_held);
    }
    if (!accepted) {
        return {};
    }
    // The status as stated in the start line "HTTP/1.1 200".
    const std::string_view status = bytes.substr(9, 3);
    if (status.size() != 3 || status < "100" || status > "599" ||
        status != std::to_string(result.m_status)) {
        return "an invalid status was accepted";
    }
    if (result.m_body.size() > fuzz_limits.m_max_body_bytes) {
        return "a body above the limit was accepted";
    }
    return {};
}

} // namespace

std::string check_answer(std::string_view bytes) {
    const bool to_head = bytes.starts_with(head_prefix);
    if (to_head) {
        bytes.remove_prefix(head_prefix.size());
    }
    const http::verb method = to_head ? http::verb::head : http::verb::get;
    for (const bool closed : {false, true}) {
        const auto read = [method, closed](const std::vector<std::string_view>& pieces) {
            return read_pieces(pieces, closed, method, fuzz_limits);
        };
        const read_result whole = read({bytes});
        std::string fault = check_result(bytes, whole, whole, bytes.size());
        std::vector<std::string_view> single;
        for (std::size_t i = 0; i < bytes.size() && fault.empty(); ++i) {
            single.push_back(bytes.substr(i, 1));
        }
        if (fault.empty()) {
            fault = check_result(bytes, read(single), whole, 1);
        }
        const std::size_t step = 1 + bytes.size() / max_splits;
        for (std::size_t at = 1; at < bytes.size() && fault.empty(); at += step) {
            const read_result split = read({bytes.substr(0, at), bytes.substr(at)});
            fault = check_result(bytes, split, whole, bytes.size());
        }
        if (!fault.empty()) {
            return fault;
        }
    }
    return {};
}

} // namespace caraway
