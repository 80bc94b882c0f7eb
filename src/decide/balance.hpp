// Choice of a backend server at the calling side.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "base/random.hpp"

namespace caraway {

// What the calling side knows of one backend server at the moment of choice.
struct candidate {
    bool m_own_data_centre = false;
    bool m_usable = true;            // serves the chosen version, not suspended, not left, not out
    std::uint32_t m_outstanding = 0; // calls under way from this node
    std::uint32_t m_load_permille = 0;    // last load that an answer carried back
    std::uint32_t m_failure_permille = 0; // share of its calls that failed, from that answer
    duration m_latency{};                 // of its calls, from that answer; 0: not known
    duration m_load_age{};                // since that answer; what is old counts less
    bool m_breaker_open = false;
    bool m_refusing = false; // has just refused such calls for want of room
    bool m_tried = false;    // already refused this call
};

// Chooses among a few random candidates by the time that a call is expected to take there: latency,
// outstanding calls, reported load and failures; the own data centre first, others when the local
// ones are close to their queues. Candidates with an open
// breaker are used only when nothing else is left. Returns an index into candidates.
std::optional<std::size_t> choose_candidate(std::span<const candidate> candidates,
                                            random_source& random);

// True when those that may be asked are left only because they are taken to refuse the call, or
// have an open breaker: another attempt would cost a server and the caller time for nothing.
bool is_overloaded(std::span<const candidate> candidates);

// One node's choices between the two versions of a service. Every call covers its weight of a unit
// of 1000; in each unit the new version is chosen once, at a random place.
struct version_share {
    std::uint32_t m_unit_position = 0;      // of the current unit
    std::uint32_t m_selected_position = 0;  // in the current unit, where the new version is chosen
    bool m_initialised = false;             // m_selected_position is drawn
    std::uint32_t m_pending_selections = 0; // places passed whose choice is still to be made
};

// Chooses the version of a call: true for the new version, which gets weight_permille of the calls,
// exact to about one call at any moment. Independent choices exceeded 5% of some 900 calls at a
// weight of 50; a fixed distance between the choices would let a caller's periodic pattern keep the
// new version off a route.
bool choose_new_version(version_share& share, std::uint32_t weight_permille, random_source& random);

// One node's choices between the services of a split route.
struct weighted_round_robin {
    std::vector<std::int64_t> m_current_weights; // by part
};

// Chooses a part by its weight: smooth weighted round robin, exact to about one call at any moment.
// weights holds at least one that is above 0; a choice with other numbers of parts starts afresh.
std::size_t choose_weighted(weighted_round_robin& choice, std::span<const std::uint32_t> weights);

// A circuit breaker for one backend server: opens after consecutive failures to reach it and lets
// one call through after a backoff.
struct circuit_breaker {
    std::uint32_t m_failures = 0;
    time_point m_open_until;
    bool m_trial = false; // the one call of a half-open breaker is under way
};
bool breaker_is_open(const circuit_breaker& breaker, time_point now);
// Marks the one trial call of a half-open breaker; returns false if another one is under way.
bool breaker_try_call(circuit_breaker& breaker, time_point now);
void breaker_record_success(circuit_breaker& breaker);
void breaker_record_failure(circuit_breaker& breaker, time_point now);
// A connection could not be made: the breaker opens at once, since each such call costs its caller
// the whole time that a connection is waited for.
void breaker_record_unreachable(circuit_breaker& breaker, time_point now);

} // namespace caraway
