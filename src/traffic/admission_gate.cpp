#include "traffic/admission_gate.hpp"

#include <algorithm>

#include "observe/action_text.hpp"
#include "observe/log.hpp"
#include "observe/recorder.hpp"

namespace caraway {
namespace {

// Interval at which waiting calls are checked, so that an expired call is answered before its
// caller gives up, and a server that can take calls again is used at once.
constexpr milliseconds tick_interval{10};
// A wait is abnormal above this many times the best latency. Admission treats a server as cold if
// its responses take that long.
constexpr int abnormal_wait_factor = 3;

constexpr std::string_view recorded_component = "admission";

// Records a drain or a tick and the calls that it released. A tick that released no call changed
// nothing and is not recorded.
void record_release(const admission_state& state, std::string_view input, time_point now,
                    const released_calls& release) {
    const bool released_none = release.m_run.empty() && release.m_expired.empty();
    if (is_recording() && !(released_none && input == "tick")) {
        record_input(recorded_component, input, now, {}, action_text(state, release));
    }
}

} // namespace

admission_gate::admission_gate(boost::asio::io_context& io, const clock_source& clock,
                               bool measure_speed)
    : m_clock(clock), m_measure_speed(measure_speed), m_timer(io), m_state(make_admission({})) {}

void admission_gate::set_limits(std::uint64_t config_version, const service_spec& spec,
                                const own_server_view& server) {
    const std::lock_guard lock(m_mutex);
    if (config_version < m_config_version ||
        (config_version == m_config_version && server == m_server)) {
        return;
    }
    m_config_version = config_version;
    if (server.m_server != m_server.m_server) {
        m_speed = server_speed{}; // another incarnation may run at another speed
    }
    m_server = server;
    const bool reports = server.m_slots != 0;
    admission_limits limits;
    // Each running call needs its own connection.
    limits.m_slots = std::min(reports ? server.m_slots : spec.m_slots, spec.m_connections);
    limits.m_queue = spec.m_queue;
    limits.m_detect_cold_start = !reports;
    limits.m_cold_until = server.m_cold_until;
    limits.m_cold_calls_per_second = spec.m_warmup_calls_per_second;
    set_admission_limits(m_state, limits);
    if (is_recording()) {
        record_input(recorded_component, "limits", m_clock.now(),
                     {{"slots", m_state.m_limits.m_slots}, {"queue", m_state.m_limits.m_queue}},
                     action_text(m_state, released_calls{}));
    }
    update_load();
}

bool admission_gate::acquire_slot(call_control& control, const admission_request& request,
                                  bool& cold, duration& retry_after,
                                  boost::asio::yield_context yield, error& reason) {
    auto waiting = std::make_shared<waiting_call>();
    std::uint64_t call = 0;
    {
        const std::lock_guard lock(m_mutex);
        call = m_next_call++;
        const time_point now = m_clock.now();
        cold = is_cold(m_state, now);
        const time_point deadline = control.deadline();
        const call_offer offer{call,
                               request.m_urgency,
                               deadline,
                               request.m_useful_until,
                               request.m_route,
                               request.m_onward};
        const admission_result offer_result = admission_offer(m_state, offer, now);
        if (is_recording()) {
            record_input(recorded_component, "offer", now,
                         {{"call", call},
                          {"urgency", static_cast<std::uint32_t>(request.m_urgency)},
                          {"deadline_ns", to_ns(deadline.time_since_epoch())}},
                         action_text(m_state, offer_result));
        }
        if (offer_result.m_displaced != 0) {
            set_verdict(offer_result.m_displaced, verdict::displaced);
        }
        update_load();
        if (offer_result.m_verdict == admission_verdict::run) {
            return true;
        }
        if (offer_result.m_verdict == admission_verdict::refuse) {
            retry_after = offer_result.m_retry_after;
            fail(reason, offer_result.m_reason, "the backend server takes no more calls now");
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
        return true; // an ended call is detected before it is sent
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
        record_input(recorded_component, "cancel", m_clock.now(), {{"call", call}},
                     action_text(m_state, released_calls{}));
    }
    update_load();
    fail(reason, control.end_reason(false), "the call ended in the queue");
    return false;
}

void admission_gate::release_slot(const call_sample& sample) {
    const std::lock_guard lock(m_mutex);
    const time_point now = m_clock.now();
    const released_calls release = admission_finish(m_state, sample, now);
    record_speed(sample, now);
    if (is_recording()) {
        record_input(recorded_component, "finish", now,
                     {{"latency_ns", to_ns(sample.m_latency)},
                      {"failed", sample.m_failed},
                      {"shed", sample.m_shed},
                      {"cancelled", sample.m_cancelled}},
                     action_text(m_state, release));
    }
    apply_release(release);
}

bool admission_gate::is_abnormal_wait(duration waited) const {
    const std::lock_guard lock(m_mutex);
    return waited > abnormal_wait_factor * m_state.m_best_latency;
}

server_quality admission_gate::quality() const {
    const std::lock_guard lock(m_mutex);
    return admission_quality(m_state, m_clock.now());
}

speed_report admission_gate::speed(std::string_view route) const {
    const std::lock_guard lock(m_mutex);
    speed_report report = report_speed(m_speed, route, m_clock.now());
    report.m_slots = admission_load_bound(m_state);
    return report;
}

void admission_gate::drain() {
    const std::lock_guard lock(m_mutex);
    const released_calls release = admission_drain(m_state);
    record_release(m_state, "drain", m_clock.now(), release);
    apply_release(release);
}

admission_gate::load_counts admission_gate::current_load() const {
    const std::lock_guard lock(m_mutex);
    return {m_state.m_running, static_cast<std::uint32_t>(m_state.m_queue.size()),
            static_cast<std::uint32_t>(m_state.m_cold_limit),
            admission_background_slots(m_state, m_clock.now())};
}

void admission_gate::set_verdict(std::uint64_t call, verdict value) {
    const auto found = m_waiting.find(call);
    if (found == m_waiting.end()) {
        return;
    }
    found->second->m_verdict = value;
    found->second->m_control->wake();
    m_waiting.erase(found);
}

void admission_gate::apply_release(const released_calls& release) {
    for (const std::uint64_t call : release.m_run) {
        set_verdict(call, verdict::run);
    }
    for (const std::uint64_t call : release.m_expired) {
        set_verdict(call, verdict::expired);
    }
    update_load();
}

void admission_gate::update_load() {
    const time_point now = m_clock.now();
    const std::uint32_t load = admission_load_permille(m_state, now);
    if (m_measure_speed) {
        record_load(m_speed, load, now);
    }
    m_load.store(load, std::memory_order_relaxed);
}

// Adds a successful answer to the estimate of the speed, and logs when the server becomes slow and
// when it is as fast as usual again.
void admission_gate::record_speed(const call_sample& sample, time_point now) {
    if (!m_measure_speed || sample.m_failed || sample.m_shed || sample.m_cancelled) {
        return;
    }
    record_run_time(m_speed, sample.m_route, sample.m_latency, now);
    const speed_report report = report_speed(m_speed, {}, now);
    if (is_slow(report, m_slow) == m_slow) {
        return;
    }
    m_slow = !m_slow;
    log_event(log_level::info, m_slow ? "server_slow" : "server_usual",
              {{"slowness_permille", report.m_slowness_permille},
               {"mean_load_permille", report.m_mean_load_permille},
               {"running", m_state.m_running}});
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
    const released_calls release = admission_tick(m_state, now);
    record_release(m_state, "tick", now, release);
    apply_release(release);
    if (!m_waiting.empty()) {
        start_ticking();
    }
}

} // namespace caraway
