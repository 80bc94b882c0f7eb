// Tracing with W3C trace context. Each hop of a call writes one span as a JSON line of the log.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.hpp"
#include "base/random.hpp"

namespace caraway {

// Trace and span identifiers of one hop.
struct trace_context {
    std::uint64_t m_trace_high = 0;
    std::uint64_t m_trace_low = 0;
    std::uint64_t m_span = 0;
    std::uint64_t m_parent = 0; // 0: this hop started the trace
    bool m_sampled = true;
};

// Continues the trace of a traceparent header with a new span, or starts a new trace if the header
// is absent or malformed.
trace_context continue_trace(std::string_view traceparent, random_source& random);

// Returns the value of the traceparent header for the next hop.
std::string format_traceparent(const trace_context& context);

// Contents of a span besides its identifiers.
struct span_record {
    std::string_view m_name; // "entry" or "backend"
    std::string_view m_service;
    std::string_view m_route;
    std::string_view m_peer; // instance that the call was sent to
    std::string_view m_outcome;
    std::string_view m_reason;
    wall_time m_start;
    duration m_span_duration{};
};

// Writes the span as one log line with the event name "span". Does nothing if the trace isn't
// sampled.
void write_span(const trace_context& context, const span_record& record);

} // namespace caraway
