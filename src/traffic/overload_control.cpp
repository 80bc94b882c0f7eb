#include "traffic/overload_control.hpp"

#include <algorithm>

#include "decide/traffic/pushback.hpp"
#include "observe/log.hpp"

namespace caraway {
namespace {

// Returns the number of the call that this one serves, or an empty view.
std::string_view parent_of(const traffic_context& context, const entry_call& call) {
    return parent_number(call.m_info.m_request_number,
                         context.m_settings.m_edge_headers.m_onward_separator);
}

// Logs that the limit of a route has begun or ended.
void log_limit_change(const entry_call& call, const capacity_waits& waits, bool limited) {
    log_event(log_level::warning, limited ? "route_limited" : "route_unlimited",
              {{"route", call.m_info.m_route},
               {"service", call.m_info.m_service},
               {"waited_us", to_us(waits.m_waited)},
               {"onward_refused", waits.m_refused}});
}

// Adds the waits of an onward call to those of the call that it serves. A refusal of the onward
// call itself counts as well.
void record_waits_of_parent(traffic_context& context, const entry_call& call,
                            const call_reply& reply, time_point began, time_point now) {
    capacity_waits waits = reply.m_waits;
    waits.m_refused = waits.m_refused || is_overload_refusal(reply.m_reason);
    const std::lock_guard lock(context.m_served_mutex);
    record_onward_waits(context.m_served_calls, parent_of(context, call), waits, began, now);
}

} // namespace

bool inherit_terms(traffic_context& context, entry_call& call, urgency own) {
    const std::lock_guard lock(context.m_served_mutex);
    const auto terms = inherited_terms(context.m_served_calls, parent_of(context, call), own);
    if (!terms) {
        return false;
    }
    call.m_info.m_urgency = terms->m_urgency;
    call.m_info.m_urgency_inherited = true;
    call.m_info.m_hop = std::max(call.m_info.m_hop, terms->m_hop);
    call.m_info.m_repeated = terms->m_repeated;
    return true;
}

bool may_enter_route(traffic_context& context, call_control& control, const entry_call& call,
                     time_point now) {
    const std::lock_guard lock(context.m_entry_mutex);
    const auto found = context.m_route_throttles.find(route_name(*call.m_route));
    return found == context.m_route_throttles.end() ||
           may_enter(found->second, call.m_info.m_useful_until, now, control.random());
}

capacity_waits reported_waits(const http_response& answer) {
    capacity_waits waits;
    const auto waited = numeric_header_value(answer, header::waited_us).value_or(0);
    waits.m_waited = std::chrono::microseconds(std::min(waited, max_latency_us));
    waits.m_refused = answer.find(std::string(header::onward_refused)) != answer.end();
    return waits;
}

void record_waits(traffic_context& context, const entry_call& call, const call_reply& reply,
                  time_point began) {
    const time_point now = context.m_clock.now();
    if (call.m_serves_another) {
        record_waits_of_parent(context, call, reply, began, now);
        return;
    }
    const capacity_waits& waits = reply.m_waits;
    const bool shows_capacity = reply.m_reason == error_kind::none || waits.m_refused;
    if (!shows_capacity || call.m_info.m_useful_until == time_point{}) {
        return;
    }
    const std::lock_guard lock(context.m_entry_mutex);
    if (context.m_route_throttles.size() >= max_tracked_routes) {
        context.m_route_throttles.clear();
    }
    route_throttle& throttle = context.m_route_throttles[route_name(*call.m_route)];
    const bool was_limited = throttle.m_admitted_share < 1;
    record_answer(throttle, {began, call.m_info.m_useful_until, waits.m_waited, waits.m_refused},
                  now);
    const bool limited = throttle.m_admitted_share < 1;
    if (limited != was_limited) {
        log_limit_change(call, waits, limited);
    }
}

} // namespace caraway
