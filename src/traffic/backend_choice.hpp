// Choice of a backend server for a call, and what the results of attempts say about servers. Keeps
// the state of circuit breakers and refusals in the counters that the traffic threads share.
#pragma once

#include <cstddef>
#include <optional>

#include "traffic/entry_call.hpp"

namespace caraway {

// Result of the choice of a backend server: its index in the service, or the reason why there is
// none.
struct backend_choice {
    std::optional<std::size_t> m_backend;
    error_kind m_reason = error_kind::no_backend_server;
};

// Chooses the backend server for a call of the new or the old version. A call of the new version
// falls back to the old one if the new version has no usable backend server. The reverse is not
// done, since the new version would receive more than its share.
backend_choice choose_backend(entry_call& call, bool new_version, random_source& random,
                              time_point now);

// Makes the call the trial call of the server's circuit breaker if that is half open.
void begin_trial_call(backend_counters& counters, time_point now);

// Records the result of an attempt in the circuit breaker. A refusal counts as a success, since it
// shows that the node is reachable. connect_failed opens the breaker at once if the call went to
// another node, since that node or its backend server can't be connected to; for the own backend
// server it counts as one failure.
void update_breaker(backend_counters& counters, error_kind reason, bool own_server, time_point now);

// Records whether the backend server had capacity for the call.
void update_refusals(backend_counters& counters, const call_info& info, const call_reply& reply,
                     time_point now);

} // namespace caraway
