#include "observe/action_text.hpp"

#include <array>
#include <charconv>
#include <cmath>
#include <iterator>

#include <fmt/format.h>

#include "base/hash.hpp"

namespace caraway {
namespace {

// Longer texts are replaced by their size and hash, because values of log lines are truncated to
// 1,000 bytes.
constexpr std::size_t max_action_bytes = 900;

// Returns the text, or its size and hash if it is too long for a log line.
std::string hash_if_too_long(std::string text) {
    if (text.size() <= max_action_bytes) {
        return text;
    }
    return fmt::format("{} bytes with hash {:016x}", text.size(), hash_bytes(text));
}

// Formats the limit in thousandths, so that the text doesn't depend on floating-point formatting.
std::string admission_state_text(const admission_state& state) {
    return fmt::format("running {} waiting {} limit {}", state.m_running, state.m_queue.size(),
                       std::llround(state.m_cold_limit * 1'000));
}

void append_calls(std::string& text, std::string_view label, std::span<const std::uint64_t> calls) {
    if (calls.empty()) {
        return;
    }
    text += label;
    for (const std::uint64_t call : calls) {
        fmt::format_to(std::back_inserter(text), " {}", call);
    }
    text += "; ";
}

// Parses a number that ends at the separator or at the end of the text, and removes both from the
// text. Returns false if there is no such number.
bool consume_number(std::string_view& text, char separator, std::uint32_t& value) {
    const char* const end = text.data() + text.size();
    const auto [number_end, parse_error] = std::from_chars(text.data(), end, value);
    if (parse_error != std::errc{} || (number_end != end && *number_end != separator)) {
        return false;
    }
    text.remove_prefix(static_cast<std::size_t>(number_end - text.data()) +
                       (number_end == end ? 0 : 1));
    return true;
}

} // namespace

std::string action_text(const lease_keeper& keeper, lease_request request) {
    static constexpr std::array<std::string_view, 6> requests{"none",  "create",    "claim",
                                                              "renew", "read_back", "release"};
    static constexpr std::array<std::string_view, 6> phases{"idle", "creating", "claiming",
                                                            "held", "renewing", "releasing"};
    return fmt::format("{}; {} {} until {}", requests[static_cast<std::size_t>(request)],
                       phases[static_cast<std::size_t>(keeper.m_phase)],
                       keeper.m_held ? "held" : "not held",
                       to_ns(keeper.m_valid_until.time_since_epoch()));
}

std::string action_text(const admission_state& state, const admission_result& result) {
    std::string text;
    switch (result.m_verdict) {
    case admission_verdict::run:
        text = "run; ";
        break;
    case admission_verdict::wait:
        text = "wait; ";
        break;
    case admission_verdict::refuse:
        text = fmt::format("refuse {}; ", error_info_for(result.m_reason).m_name);
        break;
    }
    if (result.m_displaced != 0) {
        text += fmt::format("displaced {}; ", result.m_displaced);
    }
    return text + admission_state_text(state);
}

std::string action_text(const admission_state& state, const released_calls& release) {
    std::string text;
    append_calls(text, "run", release.m_run);
    append_calls(text, "expired", release.m_expired);
    return hash_if_too_long(text + admission_state_text(state));
}

std::string action_text(std::span<const distribution_action> actions) {
    static constexpr std::array<std::string_view, 5> kinds{"fetch", "parse", "apply", "announce",
                                                           "ready"};
    std::string text;
    for (const distribution_action& action : actions) {
        text += text.empty() ? "" : ";";
        text += kinds[static_cast<std::size_t>(action.m_kind)];
        text += action.m_instance.empty() ? "" : " " + action.m_instance;
        text += fmt::format(" {}", action.m_version);
    }
    return hash_if_too_long(std::move(text));
}

std::string action_text(const evidence_result& result) {
    static constexpr std::array<std::string_view, 3> verdicts{"undecided", "good", "bad"};
    return hash_if_too_long(fmt::format("{} {} {}",
                                        verdicts[static_cast<std::size_t>(result.m_verdict)],
                                        result.m_route, result.m_reason));
}

std::string action_text(const move_step& step) {
    return step.m_kind == move_step::kind::wait
               ? "wait"
               : hash_if_too_long("write " + encode_move(step.m_record));
}

std::string format_counts(const arm_counts& counts) {
    std::string text =
        fmt::format("{} {} {}", counts.m_calls, counts.m_failures, counts.m_cold_calls);
    for (std::size_t i = 0; i < latency_buckets; ++i) {
        if (counts.m_latency[i] != 0) {
            fmt::format_to(std::back_inserter(text), " {}:{}", i, counts.m_latency[i]);
        }
    }
    return text;
}

std::optional<arm_counts> parse_counts(std::string_view text) {
    arm_counts counts;
    if (!consume_number(text, ' ', counts.m_calls) ||
        !consume_number(text, ' ', counts.m_failures) ||
        !consume_number(text, ' ', counts.m_cold_calls)) {
        return std::nullopt;
    }
    while (!text.empty()) {
        std::uint32_t index = 0;
        std::uint32_t count = 0;
        if (!consume_number(text, ':', index) || index >= latency_buckets ||
            !consume_number(text, ' ', count)) {
            return std::nullopt;
        }
        counts.m_latency[index] = count;
    }
    return counts;
}

} // namespace caraway
