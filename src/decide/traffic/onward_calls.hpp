// Onward calls: the calls that the own backend server makes while it works on a call. An onward
// call inherits the terms of the call that it serves, so that work already done isn't wasted, and
// its waits count as waits of that call. Pure functions without I/O.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/clock.hpp"
#include "config/mesh.hpp"

namespace caraway {

// Terms that an onward call inherits from the call that it serves.
struct call_terms {
    urgency m_urgency = urgency::normal;
    std::uint32_t m_hop = 0; // depth in the chain of calls
    // The call, or one that it serves, had already reached a server in an earlier attempt.
    bool m_repeated = false;
};

// Waits for capacity that a call has had, including those of the onward calls made for it.
struct capacity_waits {
    duration m_waited{};     // waits of concurrent onward calls count once
    bool m_refused = false;  // an onward call was refused for lack of capacity
    time_point m_counted_to; // end of the last wait counted
};

// A call that the own backend server is working on.
struct served_call {
    call_terms m_terms;
    capacity_waits m_waits;
};

// Hash that also accepts views, so that a lookup copies no string.
struct text_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const {
        return std::hash<std::string_view>{}(text);
    }
};

// Calls that the own backend server is working on, by request number. Their number is limited by
// the server's slots.
using served_calls = std::unordered_map<std::string, served_call, text_hash, std::equal_to<>>;

// Returns the number of the call that an onward call serves: the part of its own number before the
// last separator. Returns an empty view if there is none, or if the separator is 0.
std::string_view parent_number(std::string_view request_number, char separator);

// Returns the terms of an onward call that serves a call with the parent's terms, or nothing if
// there is no such call in progress. own is the urgency of the onward call's route; the more urgent
// of both applies, since the caller waits for the whole.
std::optional<call_terms> inherited_terms(const served_calls& served, std::string_view parent,
                                          urgency own);

// Number of refusals for lack of capacity after which an onward call is sent once more without the
// limit of its route's target latency: only its deadline bounds its wait then. Before that, another
// server may have a free slot. After that, a refusal would waste the work done for the call that it
// serves.
constexpr std::uint32_t refusals_before_waiting = 2;

// Returns whether an onward call that was refused this many times, or for which all servers are
// known to refuse, may wait for its deadline.
bool may_wait_for_deadline(std::uint32_t refusals, bool all_refuse);

// Adds the waits of an onward call, which began at `began` and ended now, to those of its parent.
// Has no effect if the parent has ended.
void record_onward_waits(served_calls& served, std::string_view parent, const capacity_waits& waits,
                         time_point began, time_point now);

} // namespace caraway
