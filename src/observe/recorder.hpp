// Records the inputs of decisions with the actions that came out, as log lines of the event
// "decision", for replay (src/ctl/replay.hpp). Off unless the setting log.record_lines is above 0.
#pragma once

#include <cstddef>
#include <initializer_list>
#include <string_view>

#include "base/clock.hpp"
#include "observe/log.hpp"

namespace caraway {

constexpr std::string_view decision_event = "decision";
// Written in the place of inputs that were dropped because too many waited; a replay ends there.
constexpr std::string_view dropped_decisions_event = "decisions_dropped";

// Starts recording for the rest of the process. At most max_lines wait to be written, further ones
// are dropped and counted. Call after set_log_identity, before other threads start.
void start_recording(std::size_t max_lines);

// True when inputs are recorded. Costs one relaxed load; callers check it before they build fields.
bool is_recording();

// Queues one input: the part of the decision code, the input's name, the time that the decision
// saw, the input's fields, and the action in text form (see observe/action_text.hpp). Safe from any
// thread and under a lock, since it writes nothing. Lines keep the order of the calls.
void record_input(std::string_view component, std::string_view input, time_point now,
                  std::initializer_list<log_field> fields, std::string_view action);

// Writes the queued lines. Called by the control loop, with no lock held.
void flush_recording();

} // namespace caraway
