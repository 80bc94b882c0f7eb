// Records the inputs of the decision code and the resulting actions for replay
// (src/ctl/replay.hpp), as log lines with the event "decision". Disabled unless the setting
// log.record_lines is above 0.
#pragma once

#include <cstddef>
#include <initializer_list>
#include <string_view>

#include "base/clock.hpp"
#include "observe/log.hpp"

namespace caraway {

constexpr std::string_view decision_event = "decision";
// Reports inputs that were dropped because the queue was full. A replay counts the instance's lines
// from here to its next process start as breaches.
constexpr std::string_view dropped_decisions_event = "decisions_dropped";

// Starts recording, or stops it if max_lines is 0. At most max_lines lines are queued, and further
// ones are dropped and counted. Call after set_log_identity, before other threads start.
void start_recording(std::size_t max_lines);

// Returns whether inputs are recorded. Costs one relaxed load; call it before building the fields
// of an input.
bool is_recording();

// Queues one input: the component of the decision code, the input's name, the time passed to the
// decision code, the input's fields, and the action as text (see observe/action_text.hpp). Performs
// no I/O, so it is safe to call from any thread and while a lock is held. Lines keep the order of
// the calls.
void record_input(std::string_view component, std::string_view input, time_point now,
                  std::initializer_list<log_field> fields, std::string_view action);

// Writes the queued lines. The control loop calls it without holding a lock.
void flush_recording();

} // namespace caraway
