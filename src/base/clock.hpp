// Clock interface. Programs use the system clock; tests and replays use a manual clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace caraway {

using time_point = std::chrono::steady_clock::time_point;
using wall_time = std::chrono::system_clock::time_point;
using duration = std::chrono::steady_clock::duration;
using std::chrono::milliseconds;

// Source of the current time. Decision functions get the time as a parameter; only the adapters
// that call them hold a clock.
class clock_source {
public:
    clock_source() = default;
    clock_source(const clock_source&) = delete;
    clock_source& operator=(const clock_source&) = delete;
    clock_source(clock_source&&) = delete;
    clock_source& operator=(clock_source&&) = delete;
    virtual ~clock_source() = default;

    // Returns monotonic time, used for all intervals and timeouts.
    virtual time_point now() const = 0;
    // Returns wall-clock time. Used only for times that are compared with times of other processes
    // or read by people: move deadlines, incarnations, stored records, log lines, spans and the
    // x-caraway-first-sent header.
    virtual wall_time wall_now() const = 0;
};

// Reads the clocks of the operating system.
class system_clock_source final : public clock_source {
public:
    time_point now() const override { return std::chrono::steady_clock::now(); }
    wall_time wall_now() const override { return std::chrono::system_clock::now(); }
};

// A clock that moves only when a test or a replay advances it.
class manual_clock final : public clock_source {
public:
    time_point now() const override { return m_now; }
    wall_time wall_now() const override {
        return m_wall_start + std::chrono::duration_cast<wall_time::duration>(m_now - time_point{});
    }
    void advance(duration by) { m_now += by; }

private:
    time_point m_now{};
    wall_time m_wall_start{std::chrono::seconds{1'800'000'000}};
};

// Returns the milliseconds since the Unix epoch.
inline std::int64_t unix_ms(wall_time at) {
    return std::chrono::duration_cast<milliseconds>(at.time_since_epoch()).count();
}

// Converts a duration to nanoseconds.
inline std::int64_t to_ns(duration value) {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(value).count();
}

} // namespace caraway
