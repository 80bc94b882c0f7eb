// Use of the decisions on overload at the entry side: terms and waits of onward calls, and the
// limit of routes whose answers come too late because calls wait for capacity
// (docs/design/overload.md).
#pragma once

#include "traffic/entry_call.hpp"

namespace caraway {

// Applies the terms of the call that this one serves, if the own backend server is working on it.
// Returns whether that is so.
bool inherit_terms(traffic_context& context, entry_call& call, urgency own);

// Returns whether a call that doesn't serve another one may enter its route.
bool may_enter_route(traffic_context& context, call_control& control, const entry_call& call,
                     time_point now);

// Returns the waits for capacity that the next node reports in its headers.
capacity_waits reported_waits(const http_response& answer);

// Records the waits of a call that has ended: with the call that it serves, or for its route. Calls
// without a known useful time give no information about their route.
void record_waits(traffic_context& context, const entry_call& call, const call_reply& reply,
                  time_point began);

} // namespace caraway
