// Structured log: one JSON object a line on standard output, with a stable event name. The auditor
// works from these lines alone.
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

// One key with its value.
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

// Sets the fields that every line of this process carries. Call once, before other threads start.
void set_log_identity(std::string_view instance, std::string_view data_centre, log_level min_level);

// Sets the configuration version that lines carry from now on.
void set_log_config_version(std::uint64_t version);

// Writes one line: time (Unix milliseconds), level, event, instance, data_centre, config_version,
// then the fields. Safe from any thread; one write call per line, so lines don't mix.
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields);

// Formats one line as log_event writes it, whatever its level, with the newline.
std::string format_event(log_level level, std::string_view event,
                         std::span<const log_field> fields);

// Writes a formatted line. Never blocks: lines that standard output doesn't take wait in a bounded
// buffer, and those beyond it are counted and dropped.
void write_log_line(std::string_view line);

// True: lines wait for flush_log or for a full batch, which spares system calls. False, as at
// first: each line is written at once, so that a killed process has said what it did.
void set_log_batching(bool batched);

// Writes what waits, as far as standard output takes it.
void flush_log();

// The bounded buffer of lines that are not written yet.
struct log_buffer {
    std::string m_pending;
    std::uint64_t m_dropped_lines = 0; // lines since the last one that was kept
};
// Adds a line, or counts it as dropped when the buffer is full. The first line kept after a loss
// is preceded by one that tells the number.
void append_to_log_buffer(log_buffer& buffer, std::string_view line);
// The longest run of whole lines from the front that one write to a pipe takes without mixing with
// those of other processes.
std::string_view next_log_chunk(const log_buffer& buffer);

} // namespace caraway
