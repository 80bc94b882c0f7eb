// Version moves: the stages of a move and their schedule. Pure functions without I/O; the holder's
// adapter reads and writes the record.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "decide/versions/facts.hpp"
#include "decide/versions/move_evidence.hpp"

namespace caraway {

// Weights of the stages in permille. The first two stay below the target of 5% until every route
// with traffic has passed the test. At 900, nearly the whole load is on the new version while the
// old one still serves enough calls for a comparison.
constexpr std::array<std::uint32_t, move_stages> stage_weights_permille{10,  40,  250,
                                                                        500, 900, 1000};

// Next action of the holder of a move: wait, or write a new move record.
struct move_step {
    enum class kind : std::uint8_t { wait, write };
    kind m_kind = kind::wait;
    // For write: the new record, to be written by compare-and-swap on the revision read.
    move_record m_record;
};

// Creates the first record of a move. If the deadline is not after now, the record is taken_back
// from the start and the version gets no traffic. The record keeps the versions that earlier moves
// excluded, except its own target.
move_record start_move(std::string_view move_id, std::string_view service, std::string_view from,
                       std::string_view to, wall_time deadline, std::string_view holder,
                       wall_time now, std::vector<std::string> excluded = {});

// Returns the record with a new holder. The new holder must write it before any other change, which
// fences the old holder.
move_record take_over_move(const move_record& record, std::string_view holder);

// Returns the next step, decided from the record, the evidence and whether the version is
// suspended. The weight rises when the evidence suffices for the stage and the schedule allows its
// end; the schedule reaches 1000 within two thirds of the time between start and deadline. The
// state becomes taken_back on bad evidence, on suspension, or at the deadline unless the weight was
// raised to 1000 before it. It becomes done when the evidence suffices for the last stage, or at
// the deadline if the weight was raised to 1000 before it.
move_step step_move(const move_record& record, const move_evidence& evidence, bool suspended,
                    wall_time now);

// Encode and decode the record as stored: a JSON object on one line. decode_move returns nothing if
// a field is missing or out of range. The text states the era of the record's version, in which it
// was written. After a restoration of the store, a record that comes from the copy therefore keeps
// its version, and doesn't replace a later one that the copy lacks.
std::string encode_move(const move_record& record);
std::optional<move_record> decode_move(std::string_view value, std::uint64_t revision);

} // namespace caraway
