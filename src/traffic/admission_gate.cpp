#include "traffic/admission_gate.hpp"

#include <algorithm>

#include "observe/action_text.hpp"
#include "observe/recorder.hpp"

namespace caraway {
namespace {

// Waiting calls are looked at this often, so that an expired one is answered before its caller
// gives up and a reopened server is used at once.
constexpr milliseconds tick_interval{10};
// Answers that take this many times the best latency are what admission takes for a cold server.
constexpr int abnormal_wait_factor = 3;

constexpr std::string_view part = "admission";

// Records what an ended, waiting or cancelled call or the passing of time did. A tick that did
// nothing changed nothing and is left out.
void record_release(const admission_state& state, std::string_view input, time_point now,
                    const admission_release& release) {
    const bool did_nothing = release.m_run.empty() && release.m_expired.empty();
    if (is_recording() && !(did_nothing && input == "tick")) {
        record_input(part, input, now, {}, action_text(state, release));
    }
}

} // namespace

admission_gate::admission_gate(boost::asio::io_context& io, const clock_source& clock)
    : m_clock(clock), m_timer(io), m_state(make_admission({})) {}

void admission_gate::set_limits(std::uint64_t config_version, const service_spec& spec,
                                const own_server_view& server) {
    const std::lock_guard lock(m_mutex);
    if (config_version < m_config_version ||
        (config_version == m_config_version && server == m_server)) {
        return;
    }
    m_config_version = config_version;
    m_server = server;
    const bool reports = server.m_slots != 0;
    admission_limits limits;
    // A running call needs a connection of its own.
    limits.m_slots = std::min(reports ? server.m_slots : spec.m_slots, spec.m_connections);
    limits.m_queue = spec.m_queue;
    limits.m_detect_cold_start = !reports;
    limits.m_cold_until = server.m_cold_until;
    limits.m_cold_calls_per_second = spec.m_warmup_per_second;
    set_admission_limits(m_state, limits);
    if (is_recording()) {
        record_input(part, "limits", m_clock.now(),
                     {{"slots", m_state.m_limits.m_slots}, {"queue", m_state.m_limits.m_queue}},
                     action_text(m_state, admission_release{}));
    }
    update_load();
}

bool admission_gate::enter(call_control& control, const admission_request& request, bool& cold,
                           duration& room_after, boost::asio::yield_context yield, error& reason) {
    auto waiting = std::make_shared<waiting_call>();
    std::uint64_t call = 0;
    {
        const std::lock_guard lock(m_mutex);
        call = m_next_call++;
        const time_point now = m_clock.now();
        cold = is_cold(m_state, now);
        const time_point deadline = control.deadline();
        const admission_result offered = admission_offer(
            m_state, call, request.m_level, deadline, now, request.m_useful_until, request.m_route);
        if (is_recording()) {
            record_input(part, "offer", now,
                         {{"call", call},
                          {"urgency", static_cast<std::uint32_t>(request.m_level)},
                          {"deadline_ns", to_ns(deadline.time_since_epoch())}},
                         action_text(m_state, offered));
        }
        if (offered.m_displaced != 0) {
            decide(offered.m_displaced, verdict::displaced);
        }
        update_load();
        if (offered.m_verdict == admission_verdict::run) {
            return true;
        }
        if (offered.m_verdict == admission_verdict::refuse) {
            room_after = offered.m_retry_after;
            fail(reason, offered.m_reason, "the backend server takes no more calls now");
            return false;
        }
        waiting->m_control = control.shared_from_this();
        m_waiting.emplace(call, waiting);
        start_ticking();
    }
    while (true) {
        {
            const std::lock_guard lock(m_mutex);
            if (waiting->m_verdict != verdict::pending || control.is_ended()) {
                break;
            }
        }
        control.wait(control.deadline(), yield);
    }
    const std::lock_guard lock(m_mutex);
    cold = is_cold(m_state, m_clock.now());
    switch (waiting->m_verdict) {
    case verdict::run:
        return true; // an ended call is noticed before it is sent
    case verdict::displaced:
        fail(reason, error_kind::queue_full, "a more urgent call took the place in the queue");
        return false;
    case verdict::expired:
        if (m_state.m_draining) {
            fail(reason, error_kind::draining, "the instance is leaving");
        } else {
            fail(reason, error_kind::queue_full, "too little time was left in the queue");
        }
        return false;
    case verdict::pending:
        break;
    }
    m_waiting.erase(call);
    admission_cancel(m_state, call);
    if (is_recording()) {
        record_input(part, "cancel", m_clock.now(), {{"call", call}},
                     action_text(m_state, admission_release{}));
    }
    update_load();
    fail(reason, control.ended_kind(false), "the call ended in the queue");
    return false;
}

void admission_gate::leave(const call_sample& sample) {
    const std::lock_guard lock(m_mutex);
    const time_point now = m_clock.now();
    const admission_release release = admission_finish(m_state, sample, now);
    if (is_recording()) {
        record_input(part, "finish", now,
                     {{"latency_ns", to_ns(sample.m_latency)},
                      {"failed", sample.m_failed},
                      {"shed", sample.m_shed},
                      {"cancelled", sample.m_cancelled}},
                     action_text(m_state, release));
    }
    apply(release);
}

bool admission_gate::is_abnormal_wait(duration waited) const {
    const std::lock_guard lock(m_mutex);
    return waited > abnormal_wait_factor * m_state.m_best_latency;
}

server_quality admission_gate::quality() const {
    const std::lock_guard lock(m_mutex);
    return admission_quality(m_state, m_clock.now());
}

void admission_gate::drain() {
    const std::lock_guard lock(m_mutex);
    const admission_release release = admission_drain(m_state);
    record_release(m_state, "drain", m_clock.now(), release);
    apply(release);
}

admission_gate::figures admission_gate::current() const {
    const std::lock_guard lock(m_mutex);
    return {m_state.m_running, static_cast<std::uint32_t>(m_state.m_queue.size()),
            static_cast<std::uint32_t>(m_state.m_cold_limit)};
}

void admission_gate::decide(std::uint64_t call, verdict value) {
    const auto found = m_waiting.find(call);
    if (found == m_waiting.end()) {
        return;
    }
    found->second->m_verdict = value;
    found->second->m_control->wake();
    m_waiting.erase(found);
}

void admission_gate::apply(const admission_release& release) {
    for (const std::uint64_t call : release.m_run) {
        decide(call, verdict::run);
    }
    for (const std::uint64_t call : release.m_expired) {
        decide(call, verdict::expired);
    }
    update_load();
}

void admission_gate::update_load() {
    m_load.store(admission_load_permille(m_state, m_clock.now()), std::memory_order_relaxed);
}

void admission_gate::start_ticking() {
    if (m_ticking) {
        return;
    }
    m_ticking = true;
    m_timer.expires_after(tick_interval);
    m_timer.async_wait([this](boost::system::error_code failed) {
        if (!failed) {
            tick();
        }
    });
}

void admission_gate::tick() {
    const std::lock_guard lock(m_mutex);
    m_ticking = false;
    const time_point now = m_clock.now();
    const admission_release release = admission_tick(m_state, now);
    record_release(m_state, "tick", now, release);
    apply(release);
    if (!m_waiting.empty()) {
        start_ticking();
    }
}

} // namespace caraway
