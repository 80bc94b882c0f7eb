#include "observe/action_text.hpp"

#include <array>
#include <charconv>
#include <cmath>
#include <iterator>

#include <fmt/format.h>

#include "base/hash.hpp"

namespace caraway {
namespace {

// Longer texts are replaced by their hash, since values of log lines are cut at 1,000 bytes.
constexpr std::size_t max_action_bytes = 900;

std::string bounded(std::string text) {
    if (text.size() <= max_action_bytes) {
        return text;
    }
    return fmt::format("{} bytes with hash {:016x}", text.size(), hash_bytes(text));
}

// The limit in thousandths, so that the text doesn't depend on how a number is printed.
std::string admission_text(const admission_state& state) {
    return fmt::format("running {} waiting {} limit {}", state.m_running, state.m_queue.size(),
                       std::llround(state.m_cold_limit * 1'000));
}

void append_calls(std::string& text, std::string_view word, std::span<const std::uint64_t> calls) {
    if (calls.empty()) {
        return;
    }
    text += word;
    for (const std::uint64_t call : calls) {
        fmt::format_to(std::back_inserter(text), " {}", call);
    }
    text += "; ";
}

// Reads a number up to the separator or the end, and removes both from the text.
bool take_number(std::string_view& text, char separator, std::uint32_t& value) {
    const char* const end = text.data() + text.size();
    const auto [rest, failed] = std::from_chars(text.data(), end, value);
    if (failed != std::errc{} || (rest != end && *rest != separator)) {
        return false;
    }
    text.remove_prefix(static_cast<std::size_t>(rest - text.data()) + (rest == end ? 0 : 1));
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
        text = fmt::format("refuse {}; ", answer_for(result.m_reason).m_name);
        break;
    }
    if (result.m_displaced != 0) {
        text += fmt::format("displaced {}; ", result.m_displaced);
    }
    return text + admission_text(state);
}

std::string action_text(const admission_state& state, const released_calls& release) {
    std::string text;
    append_calls(text, "run", release.m_run);
    append_calls(text, "expired", release.m_expired);
    return bounded(text + admission_text(state));
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
    return bounded(std::move(text));
}

std::string action_text(const evidence_result& result) {
    static constexpr std::array<std::string_view, 3> verdicts{"undecided", "good", "bad"};
    return bounded(fmt::format("{} {} {}", verdicts[static_cast<std::size_t>(result.m_verdict)],
                               result.m_route, result.m_reason));
}

std::string action_text(const move_step& step) {
    return step.m_kind == move_step::kind::wait ? "wait"
                                                : bounded("write " + encode_move(step.m_record));
}

std::string counts_text(const arm_counts& counts) {
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
    if (!take_number(text, ' ', counts.m_calls) || !take_number(text, ' ', counts.m_failures) ||
        !take_number(text, ' ', counts.m_cold_calls)) {
        return std::nullopt;
    }
    while (!text.empty()) {
        std::uint32_t index = 0;
        std::uint32_t count = 0;
        if (!take_number(text, ':', index) || index >= latency_buckets ||
            !take_number(text, ' ', count)) {
            return std::nullopt;
        }
        counts.m_latency[index] = count;
    }
    return counts;
}

} // namespace caraway
