#include "observe/recorder.hpp"

#include <atomic>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace caraway {
namespace {

struct recording_state {
    std::atomic<bool> m_enabled{false};
    std::mutex m_mutex; // never held during I/O
    std::size_t m_max_queued_lines = 0;
    std::vector<std::string> m_lines;
    std::uint64_t m_dropped = 0;
};

recording_state& current_recording() {
    static recording_state value;
    return value;
}

} // namespace

void start_recording(std::size_t max_lines) {
    current_recording().m_max_queued_lines = max_lines;
    current_recording().m_enabled.store(max_lines > 0, std::memory_order_relaxed);
}

bool is_recording() {
    return current_recording().m_enabled.load(std::memory_order_relaxed);
}

void record_input(std::string_view component, std::string_view input, time_point now,
                  std::initializer_list<log_field> fields, std::string_view action) {
    recording_state& state = current_recording();
    std::vector<log_field> all_fields{
        {"part", component}, {"input", input}, {"now_ns", to_ns(now.time_since_epoch())}};
    all_fields.insert(all_fields.end(), fields.begin(), fields.end());
    all_fields.emplace_back("action", action);
    std::string line = format_event(log_level::info, decision_event, all_fields);
    const std::lock_guard lock(state.m_mutex);
    // After the first dropped line, drops all further ones until flush_recording reports the loss.
    // A replay couldn't use them: it skips an instance's lines from a loss to the next restart.
    if (state.m_dropped > 0 || state.m_lines.size() >= state.m_max_queued_lines) {
        ++state.m_dropped;
        return;
    }
    state.m_lines.push_back(std::move(line));
}

void flush_recording() {
    if (!is_recording()) {
        return;
    }
    recording_state& state = current_recording();
    std::vector<std::string> lines;
    std::uint64_t dropped = 0;
    {
        const std::lock_guard lock(state.m_mutex);
        lines.swap(state.m_lines);
        dropped = std::exchange(state.m_dropped, 0);
    }
    for (const std::string& line : lines) {
        write_log_line(line);
    }
    if (dropped > 0) {
        log_event(log_level::warning, dropped_decisions_event, {{"count", dropped}});
    }
}

} // namespace caraway
