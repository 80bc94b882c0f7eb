// Admission control of the own backend server, shared by the traffic threads. Suspends the calls
// that wait for a slot.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string_view>
#include <unordered_map>

#include "decide/traffic/admission.hpp"
#include "decide/traffic/server_speed.hpp"
#include "traffic/call_control.hpp"
#include "traffic/snapshot.hpp"

namespace caraway {

// A call that requests a slot.
struct admission_request {
    urgency m_urgency = urgency::normal;
    // When the answer loses most of its value to the caller; time_point{} if unknown.
    time_point m_useful_until;
    std::string_view m_route;
    bool m_onward = false; // see call_offer
};

// Queues calls until the own backend server has a free slot for them. Safe to use from any thread.
class admission_gate {
public:
    // measure_speed tells whether the gate estimates the server's speed.
    admission_gate(boost::asio::io_context& io, const clock_source& clock,
                   bool measure_speed = false);

    // Applies the limits of a configuration and the own server's report. Does nothing if the
    // configuration is older than the last one, or the same with an unchanged report.
    void set_limits(std::uint64_t config_version, const service_spec& spec,
                    const own_server_view& server = {});

    // Requests a slot and waits for it. Returns true if the call may run; release_slot() must then
    // follow. Returns false with the reason if the call was refused or ended while waiting. Sets
    // cold to whether the server may be in cold start (see is_cold), and retry_after to the
    // estimated time until a refused call could be admitted.
    bool acquire_slot(call_control& control, const admission_request& request, bool& cold,
                      duration& retry_after, boost::asio::yield_context yield, error& reason);
    // Records the end of a call that had a slot, and frees the slot.
    void release_slot(const call_sample& sample);

    // Returns true if a call that got no response within this time waited clearly longer than a
    // warm server needs. A shorter wait, due to the caller's own short deadline, gives no
    // information about the server.
    bool is_abnormal_wait(duration waited) const;

    // Refuses all calls from now on, including those that are waiting.
    void drain();

    // Returns the load of the backend server; see admission_load_permille.
    std::uint32_t load_permille() const { return m_load.load(std::memory_order_relaxed); }
    // Returns the figures about the backend server that every response carries.
    server_quality quality() const;
    // Returns the speed of the backend server for an answer to a call of the route; the caller sets
    // m_held.
    speed_report speed(std::string_view route) const;
    // Numbers of running and waiting calls, and the current concurrency limit.
    struct load_counts {
        std::uint32_t m_running = 0;
        std::uint32_t m_waiting = 0;
        std::uint32_t m_limit = 0;
        std::uint32_t m_background_slots = 0; // see admission_background_slots
    };
    load_counts current_load() const;

private:
    enum class verdict : std::uint8_t { pending, run, expired, displaced };
    struct waiting_call {
        std::shared_ptr<call_control> m_control;
        verdict m_verdict = verdict::pending;
    };
    // All of these except tick(), which locks m_mutex itself, require that m_mutex is held.
    void set_verdict(std::uint64_t call, verdict value);
    void apply_release(const released_calls& release);
    void update_load();
    void record_speed(const call_sample& sample, time_point now);
    void start_ticking();
    void tick();

    const clock_source& m_clock;
    const bool m_measure_speed;
    boost::asio::steady_timer m_timer;
    mutable std::mutex m_mutex; // never held during I/O
    bool m_ticking = false;
    std::uint64_t m_config_version = 0;
    own_server_view m_server;
    std::uint64_t m_next_call = 1;
    admission_state m_state;
    server_speed m_speed;
    bool m_slow = false; // as last logged
    std::unordered_map<std::uint64_t, std::shared_ptr<waiting_call>> m_waiting;
    std::atomic<std::uint32_t> m_load{0};
};

// Owns an acquired slot and releases it on destruction, so that it is freed on every path.
class admission_slot {
public:
    admission_slot(admission_gate& gate, urgency level) : m_gate(gate) {
        m_sample.m_cancelled = true;
        m_sample.m_urgency = level;
    }
    admission_slot(const admission_slot&) = delete;
    admission_slot& operator=(const admission_slot&) = delete;
    admission_slot(admission_slot&&) = delete;
    admission_slot& operator=(admission_slot&&) = delete;
    ~admission_slot() { m_gate.release_slot(m_sample); }
    // Result of the call that is passed to the gate; counts as cancelled until it is set.
    call_sample m_sample;

private:
    admission_gate& m_gate;
};

} // namespace caraway
