#include "observe/log.hpp"

#include <array>
#include <atomic>
#include <cmath>
#include <mutex>
#include <poll.h>
#include <unistd.h>

#include <boost/json.hpp>
#include <fmt/format.h>

namespace caraway {
namespace {

// Longer values are truncated. With a small number of fields, this keeps a line below 4 KiB, the
// limit of an atomic write to a pipe, so lines of several threads and processes don't interleave.
constexpr std::size_t max_value_bytes = 1'000;

// Holds a line of usual length without a heap allocation.
using line_buffer = fmt::basic_memory_buffer<char, 1'024>;

// Identity in every line, and the lowest level that log_event writes.
struct process_identity {
    std::string m_instance;
    std::string m_data_centre;
    log_level m_min_level = log_level::info;
};

process_identity& current_identity() {
    static process_identity value;
    return value;
}

std::atomic<std::uint64_t>& current_config_version() {
    static std::atomic<std::uint64_t> value{0};
    return value;
}

std::string_view level_name(log_level level) {
    switch (level) {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        break;
    }
    return "error";
}

// Returns whether the text is valid between the quotes of a JSON string without escaping.
bool needs_no_escaping(std::string_view text) {
    for (const char c : text) {
        if (c < ' ' || c > '~' || c == '"' || c == '\\') {
            return false;
        }
    }
    return true;
}

// Returns the text as a quoted JSON string. If the text isn't valid UTF-8, as a caller's header may
// be, replaces all non-ASCII bytes with '?', because an invalid one makes a JSON parser reject the
// whole line.
std::string quote_and_escape(std::string_view text) {
    std::string escaped = boost::json::serialize(boost::json::string(text));
    boost::json::error_code parse_error;
    boost::json::parse(escaped, parse_error);
    if (!parse_error) {
        return escaped;
    }
    std::string ascii_text(text);
    for (char& c : ascii_text) {
        if (static_cast<unsigned char>(c) >= 0x80U) {
            c = '?';
        }
    }
    return boost::json::serialize(boost::json::string(ascii_text));
}

void append_text(line_buffer& line, std::string_view text) {
    text = text.substr(0, max_value_bytes);
    if (!needs_no_escaping(text)) {
        line.append(quote_and_escape(text));
        return;
    }
    line.push_back('"');
    line.append(text);
    line.push_back('"');
}

void append_value(line_buffer& line, std::string_view value) {
    append_text(line, value);
}
void append_value(line_buffer& line, bool value) {
    line.append(value ? std::string_view("true") : std::string_view("false"));
}
void append_value(line_buffer& line, double value) {
    // JSON can't represent infinity or NaN.
    if (!std::isfinite(value)) {
        line.append(std::string_view("null"));
        return;
    }
    fmt::format_to(fmt::appender(line), "{}", value);
}
template <typename Integer>
void append_value(line_buffer& line, Integer value) {
    fmt::format_to(fmt::appender(line), "{}", value);
}

} // namespace

void set_log_identity(std::string_view instance, std::string_view data_centre,
                      log_level min_level) {
    current_identity() = {std::string(instance), std::string(data_centre), min_level};
}

void set_log_config_version(std::uint64_t version) {
    current_config_version().store(version, std::memory_order_relaxed);
}

namespace {

// Capacity of the buffer for lines that standard output doesn't accept yet.
constexpr std::size_t max_pending_bytes = 1U << 20U;
// A batch of this size is written without waiting for flush_log.
constexpr std::size_t batch_bytes = 32U << 10U;
// Largest write to a pipe that is atomic. A pipe that poll reports as writable accepts it without
// blocking.
constexpr std::size_t atomic_pipe_write_bytes = 4'096;

struct log_output {
    std::mutex m_mutex;
    log_buffer m_buffer;
    bool m_batched = false;
};

log_output& standard_output() {
    static log_output value;
    return value;
}

// Returns whether a write to the descriptor wouldn't block now.
bool is_writable(int descriptor) {
    pollfd state{descriptor, POLLOUT, 0};
    return ::poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

// Writes buffered lines until standard output would block. The mutex must be held. Write errors are
// ignored, because the log has no other place to report them; the lines stay buffered.
void write_pending(log_buffer& buffer) {
    while (!buffer.m_pending.empty() && is_writable(STDOUT_FILENO)) {
        const std::string_view chunk = next_log_chunk(buffer);
        const ssize_t written = ::write(STDOUT_FILENO, chunk.data(), chunk.size());
        if (written <= 0) {
            return;
        }
        buffer.m_pending.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace

void append_to_log_buffer(log_buffer& buffer, std::string_view line) {
    if (buffer.m_pending.size() + line.size() > max_pending_bytes) {
        ++buffer.m_dropped_lines;
        return;
    }
    if (buffer.m_dropped_lines != 0) {
        const std::array fields{log_field("lines", buffer.m_dropped_lines)};
        buffer.m_dropped_lines = 0;
        buffer.m_pending += format_event(log_level::warning, "log_lines_dropped", fields);
    }
    buffer.m_pending += line;
}

std::string_view next_log_chunk(const log_buffer& buffer) {
    const std::string_view pending = buffer.m_pending;
    if (pending.size() <= atomic_pipe_write_bytes) {
        return pending;
    }
    const std::size_t end = pending.rfind('\n', atomic_pipe_write_bytes - 1);
    return pending.substr(0, end == std::string_view::npos ? atomic_pipe_write_bytes : end + 1);
}

void write_log_line(std::string_view line) {
    log_output& out = standard_output();
    const std::lock_guard lock(out.m_mutex);
    append_to_log_buffer(out.m_buffer, line);
    if (!out.m_batched || out.m_buffer.m_pending.size() >= batch_bytes) {
        write_pending(out.m_buffer);
    }
}

void set_log_batching(bool batched) {
    log_output& out = standard_output();
    const std::lock_guard lock(out.m_mutex);
    out.m_batched = batched;
}

void flush_log() {
    log_output& out = standard_output();
    const std::lock_guard lock(out.m_mutex);
    write_pending(out.m_buffer);
}

namespace {

void append_event(line_buffer& line, log_level level, std::string_view event,
                  std::span<const log_field> fields) {
    const process_identity& process = current_identity();
    fmt::format_to(fmt::appender(line), R"({{"time":{},"level":"{}","event":)",
                   unix_ms(std::chrono::system_clock::now()), level_name(level));
    append_text(line, event);
    line.append(std::string_view(R"(,"instance":)"));
    append_text(line, process.m_instance);
    line.append(std::string_view(R"(,"data_centre":)"));
    append_text(line, process.m_data_centre);
    fmt::format_to(fmt::appender(line), R"(,"config_version":{})",
                   current_config_version().load(std::memory_order_relaxed));
    for (const log_field& field : fields) {
        line.push_back(',');
        append_text(line, field.m_key);
        line.push_back(':');
        std::visit([&line](const auto& value) { append_value(line, value); }, field.m_value);
    }
    line.append(std::string_view("}\n"));
}

} // namespace

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields) {
    if (level < current_identity().m_min_level) {
        return;
    }
    line_buffer line;
    append_event(line, level, event, std::span(fields.begin(), fields.size()));
    write_log_line({line.data(), line.size()});
}

std::string format_event(log_level level, std::string_view event,
                         std::span<const log_field> fields) {
    line_buffer line;
    append_event(line, level, event, fields);
    return {line.data(), line.size()};
}

} // namespace caraway
