// Measures how long this node takes from learning of a configuration version until it is in force
// here, and in which phase the time passes. Plain functions with the time passed in.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

#include "base/clock.hpp"

namespace caraway {

// How a text arrived here.
enum class text_source_kind : std::uint8_t { store, member };

// Returns the name of a source in log lines.
std::string_view text_source_name(text_source_kind value);

// When the phases of one text ended here.
struct text_times {
    time_point m_received;
    time_point m_parsed;
    duration m_fetch{}; // from the request to the answer; 0 for one that was not requested
    text_source_kind m_source = text_source_kind::store;
};

// The versions on their way into force.
struct text_progress {
    std::optional<time_point> m_behind_since; // since when a version above that in force is known
    std::optional<time_point> m_requested;    // when the pending request for a text was sent
    std::map<std::uint64_t, text_times> m_texts;
};

// How long the phases of a version took.
struct text_phases {
    duration m_behind{}; // from the first news of a newer version until this one was in force
    duration m_fetch{};  // the member's answer to the request for the text
    duration m_parse{};  // from the text's arrival until it was parsed
    duration m_wait{};   // from then until it was in force
    text_source_kind m_source = text_source_kind::store;
};

// Upper bound of the texts measured at a time; the oldest is dropped.
constexpr std::size_t max_measured_texts = 16;

// Notes that a version above the one in force exists.
void note_newer_version(text_progress& progress, time_point now);
// Notes that a text was requested from a member.
void note_text_requested(text_progress& progress, time_point now);
// Notes that the text of a version arrived.
void note_text_received(text_progress& progress, std::uint64_t version, text_source_kind source,
                        time_point now);
// Notes that the text of a version was parsed.
void note_text_parsed(text_progress& progress, std::uint64_t version, time_point now);
// Ends the measurement of a version that is now in force, and of those before it. Goes on with the
// time since which the node is behind if is_latest is false.
text_phases finish_text(text_progress& progress, std::uint64_t version, bool is_latest,
                        time_point now);

} // namespace caraway
