// Structured log: one JSON object per line on standard output, with a stable event name.
// `carawayctl audit` reads nothing but these lines.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "base/clock.hpp"

namespace caraway {

enum class log_level : std::uint8_t { debug, info, warning, error };

// Key and value of a log line. The views must stay valid until the line is formatted.
struct log_field {
    std::string_view m_key;
    std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool> m_value;
    log_field(std::string_view key, std::string_view value) : m_key(key), m_value(value) {}
    log_field(std::string_view key, const char* value)
        : m_key(key), m_value(std::string_view(value)) {}
    log_field(std::string_view key, const std::string& value)
        : m_key(key), m_value(std::string_view(value)) {}
    log_field(std::string_view key, bool value) : m_key(key), m_value(value) {}
    log_field(std::string_view key, int value)
        : m_key(key), m_value(static_cast<std::int64_t>(value)) {}
    log_field(std::string_view key, std::int64_t value) : m_key(key), m_value(value) {}
    log_field(std::string_view key, std::uint32_t value)
        : m_key(key), m_value(static_cast<std::uint64_t>(value)) {}
    log_field(std::string_view key, std::uint64_t value) : m_key(key), m_value(value) {}
    log_field(std::string_view key, double value) : m_key(key), m_value(value) {}
};

// Sets the identity that every line of this process contains, and the lowest level that log_event
// writes. Call once, before other threads start.
void set_log_identity(std::string_view instance, std::string_view data_centre, log_level min_level);

// Sets the configuration version that all later lines contain. Safe to call from any thread.
void set_log_config_version(std::uint64_t version);

// Writes one line with time (Unix milliseconds), level, event, instance, data_centre,
// config_version and then the fields. Does nothing below the lowest level. Safe to call from any
// thread: lines are written whole, so they don't interleave.
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields);

// Returns one line as log_event writes it, with the newline and regardless of the level.
std::string format_event(log_level level, std::string_view event,
                         std::span<const log_field> fields);

// Writes a formatted line without blocking. Lines that standard output can't accept yet are kept in
// a bounded buffer. When the buffer is full, further lines are dropped and counted.
void write_log_line(std::string_view line);

// Turns batching on or off. With batching, lines wait for flush_log or for a full batch, which
// saves system calls. Without it, the default, each line is written immediately, so a killed
// process has already logged what it did.
void set_log_batching(bool batched);

// Writes the buffered lines until standard output accepts no more without blocking.
void flush_log();

// Bounded buffer of lines that are not written yet.
struct log_buffer {
    std::string m_pending;
    std::uint64_t m_dropped_lines = 0; // dropped since the last line that was appended
};
// Appends a line, or counts it as dropped if the buffer is full. Before the first line after a
// loss, appends a line that reports the number of dropped lines.
void append_to_log_buffer(log_buffer& buffer, std::string_view line);
// Returns the longest run of whole lines at the front of the buffer that fits into one atomic write
// to a pipe, so that it doesn't interleave with lines of other processes. A longer line is split.
std::string_view next_log_chunk(const log_buffer& buffer);

} // namespace caraway
