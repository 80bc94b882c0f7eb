// Shares the admission state of the own backend server between the traffic threads, and suspends
// calls that wait for a slot.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string_view>
#include <unordered_map>

#include "decide/admission.hpp"
#include "traffic/call_control.hpp"
#include "traffic/snapshot.hpp"

namespace caraway {

// A call that asks for a slot.
struct admission_request {
    urgency m_urgency = urgency::normal;
    time_point m_useful_until; // when an answer loses most of its worth; not known if long past
    std::string_view m_route;
};

class admission_gate {
public:
    admission_gate(boost::asio::io_context& io, const clock_source& clock);

    // Applies the limits of a configuration version if it is newer than the last one.
    void set_limits(std::uint64_t config_version, const service_spec& spec,
                    const own_server_view& server = {});

    // Waits for a slot. False with the reason when the call is refused or ended while waiting;
    // true when it may run, and then leave() must follow. cold tells whether the cold-start limit
    // was below the slots, retry_after when a refused call might be taken.
    bool acquire_slot(call_control& control, const admission_request& request, bool& cold,
                      duration& retry_after, boost::asio::yield_context yield, error& reason);
    // A call that entered has ended.
    void release_slot(const call_sample& sample);

    // True when a call that got no answer in this time waited clearly longer than a warm server
    // needs. A shorter wait, by a caller's own short deadline, says nothing about the server.
    bool is_abnormal_wait(duration waited) const;

    // Refuses every call from now on, the waiting ones included.
    void drain();

    std::uint32_t load_permille() const { return m_load.load(std::memory_order_relaxed); }
    // What answers tell of the backend server.
    server_quality quality() const;
    // Running and waiting calls and the present limit.
    struct load_counts {
        std::uint32_t m_running = 0;
        std::uint32_t m_waiting = 0;
        std::uint32_t m_limit = 0;
    };
    load_counts current_load() const;

private:
    enum class verdict : std::uint8_t { pending, run, expired, displaced };
    struct waiting_call {
        std::shared_ptr<call_control> m_control;
        verdict m_verdict = verdict::pending;
    };
    // All of these need the mutex.
    void set_verdict(std::uint64_t call, verdict value);
    void apply_release(const admission_release& release);
    void update_load();
    void start_ticking();
    void tick();

    const clock_source& m_clock;
    boost::asio::steady_timer m_timer;
    mutable std::mutex m_mutex; // never held over input or output
    bool m_ticking = false;
    std::uint64_t m_config_version = 0;
    own_server_view m_server;
    std::uint64_t m_next_call = 1;
    admission_state m_state;
    std::unordered_map<std::uint64_t, std::shared_ptr<waiting_call>> m_waiting;
    std::atomic<std::uint32_t> m_load{0};
};

// Gives the slot back when the call ends on any path.
class admission_slot {
public:
    explicit admission_slot(admission_gate& gate) : m_gate(gate) { m_sample.m_cancelled = true; }
    admission_slot(const admission_slot&) = delete;
    admission_slot& operator=(const admission_slot&) = delete;
    admission_slot(admission_slot&&) = delete;
    admission_slot& operator=(admission_slot&&) = delete;
    ~admission_slot() { m_gate.release_slot(m_sample); }
    // What the gate learns of the call; a cancelled one until set.
    call_sample m_sample;

private:
    admission_gate& m_gate;
};

} // namespace caraway
