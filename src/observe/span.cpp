#include "observe/span.hpp"

#include <array>
#include <charconv>

#include <fmt/format.h>

#include "observe/log.hpp"

namespace caraway {
namespace {

// Layout of a version 00 traceparent: "00-", 32 hexadecimal digits, "-", 16 digits, "-", 2 digits.
constexpr std::size_t traceparent_length = 55;
constexpr std::size_t trace_high_offset = 3;
constexpr std::size_t trace_low_offset = 19;
constexpr std::size_t span_offset = 36;
constexpr std::size_t flags_offset = 53;

// Parses lower-case hexadecimal digits. Returns nothing for other characters, since the standard
// doesn't allow upper case.
std::optional<std::uint64_t> parse_hex(std::string_view digits) {
    for (const char c : digits) {
        if ((c < '0' || c > '9') && (c < 'a' || c > 'f')) {
            return std::nullopt;
        }
    }
    std::uint64_t value = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
    return value;
}

// Returns a random identifier other than 0, which the standard defines as invalid.
std::uint64_t random_identifier(random_source& random) {
    const std::uint64_t value = random();
    return value == 0 ? 1 : value;
}

std::optional<trace_context> parse_traceparent(std::string_view text) {
    // Later versions may append fields after another dash, but the first four keep their positions.
    if (text.size() < traceparent_length || text[2] != '-' || text[span_offset - 1] != '-' ||
        text[flags_offset - 1] != '-' || text.substr(0, 2) == "ff") {
        return std::nullopt;
    }
    if (text.size() > traceparent_length &&
        (text.substr(0, 2) == "00" || text[traceparent_length] != '-')) {
        return std::nullopt;
    }
    const auto version = parse_hex(text.substr(0, 2));
    const auto high = parse_hex(text.substr(trace_high_offset, 16));
    const auto low = parse_hex(text.substr(trace_low_offset, 16));
    const auto parent = parse_hex(text.substr(span_offset, 16));
    const auto flags = parse_hex(text.substr(flags_offset, 2));
    if (!version || !high || !low || !parent || !flags || (*high == 0 && *low == 0) ||
        *parent == 0) {
        return std::nullopt;
    }
    return trace_context{*high, *low, 0, *parent, (*flags & 1U) != 0};
}

} // namespace

trace_context continue_trace(std::string_view traceparent, random_source& random) {
    trace_context context;
    if (const auto parsed = parse_traceparent(traceparent)) {
        context = *parsed;
    } else {
        context.m_trace_high = random_identifier(random);
        context.m_trace_low = random_identifier(random);
    }
    context.m_span = random_identifier(random);
    return context;
}

std::string format_traceparent(const trace_context& context) {
    return fmt::format("00-{:016x}{:016x}-{:016x}-{:02x}", context.m_trace_high,
                       context.m_trace_low, context.m_span, context.m_sampled ? 1 : 0);
}

void write_span(const trace_context& context, const span_record& record) {
    if (!context.m_sampled) {
        return;
    }
    std::array<char, 32> trace{};
    std::array<char, 16> span{};
    std::array<char, 16> parent{};
    fmt::format_to(trace.data(), "{:016x}{:016x}", context.m_trace_high, context.m_trace_low);
    fmt::format_to(span.data(), "{:016x}", context.m_span);
    fmt::format_to(parent.data(), "{:016x}", context.m_parent);
    const auto start_us =
        std::chrono::duration_cast<std::chrono::microseconds>(record.m_start.time_since_epoch());
    const auto duration_us =
        std::chrono::duration_cast<std::chrono::microseconds>(record.m_span_duration);
    log_event(log_level::info, "span",
              {{"trace", std::string_view(trace.data(), trace.size())},
               {"span", std::string_view(span.data(), span.size())},
               {"parent", context.m_parent == 0 ? std::string_view()
                                                : std::string_view(parent.data(), parent.size())},
               {"name", record.m_name},
               {"service", record.m_service},
               {"route", record.m_route},
               {"peer", record.m_peer},
               {"outcome", record.m_outcome},
               {"reason", record.m_reason},
               {"start_us", static_cast<std::int64_t>(start_us.count())},
               {"took_us", static_cast<std::int64_t>(duration_us.count())}});
}

} // namespace caraway
