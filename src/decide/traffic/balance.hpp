// Load balancing on the calling side: choice of a backend server, of a version and of a split
// target, and circuit breakers.
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

// State of one backend server as known to the calling node at the time of choice.
struct candidate {
    bool m_own_data_centre = false;
    // Serves the chosen version and is not suspended, departed or out of service.
    bool m_usable = true;
    std::uint32_t m_outstanding = 0;      // calls in flight from this node
    std::uint32_t m_load_permille = 0;    // load reported with the last answer
    std::uint32_t m_failure_permille = 0; // share of failed calls, from the same report
    duration m_latency{};                 // mean of its calls, from the same report; 0 if unknown
    duration m_load_age{};                // age of the report; older reports have less weight
    bool m_breaker_open = false;
    bool m_refusing = false; // recently refused calls of this urgency as overloaded
    bool m_tried = false;    // has already been tried for this call
    // The following are used only by choose_by_expected_time.
    std::uint32_t m_slots = 0;                // from the same report; 0 if unknown
    std::uint32_t m_mean_load_permille = 0;   // mean of the last second, from the same report
    std::uint32_t m_slowness_permille = 1000; // present run times relative to usual ones
    // Calls from this node that the last report does not include yet.
    std::uint32_t m_unreported = 0;
    double m_speed_factor = 0; // usual run times relative to other servers; 0 if unknown
    duration m_network_time{}; // to the server and back; 0 if unknown
};

// Picks the candidate with the lowest expected cost from a small random sample; the cost combines
// latency, calls in flight, reported load and failures. Candidates in the own data centre are
// preferred until they are close to queueing calls. Candidates with an open breaker are used only
// if there are no others. Returns an index into candidates, or nothing if none can be used.
std::optional<std::size_t> choose_candidate(std::span<const candidate> candidates,
                                            random_source& random);

// Picks the candidate that is expected to answer first, out of a small random sample in which
// faster servers are more frequent. The expected time consists of the waiting time for a slot, the
// run time of this call and the network time; failures raise it. A call leaves the own data centre
// if waiting there costs clearly more than the way to another one, with a probability that rises
// with the gain. Candidates with an open breaker are used only if there are no others. usual_run is
// the reference run time of the call's route, 0 if unknown. Returns an index into candidates, or
// nothing if none can be used.
std::optional<std::size_t> choose_by_expected_time(std::span<const candidate> candidates,
                                                   duration usual_run, random_source& random);

// Returns true if at least one usable candidate refuses calls as overloaded and every other one has
// been tried or has an open breaker. Another attempt would then cost a server and the caller time
// to no effect.
bool is_overloaded(std::span<const candidate> candidates);

// One node's selection between the two versions of a service. Each call advances a position by the
// new version's weight in permille; in every unit of 1000 the new version is selected once, at a
// random position.
struct version_share {
    std::uint32_t m_unit_position = 0; // position within the current unit
    // Position in the current unit at which the new version is selected.
    std::uint32_t m_selected_position = 0;
    bool m_initialised = false;             // m_selected_position has been drawn
    std::uint32_t m_pending_selections = 0; // selections passed but not yet assigned to a call
};

// Returns true if a call goes to the new version, which receives weight_permille of the calls,
// exact to about one call at any time. With independent random choices at a weight of 50, the new
// version received more than 5% of some 900 calls. If every n-th call were selected, a periodic
// pattern in a caller's requests could keep the new version off a route.
bool choose_new_version(version_share& share, std::uint32_t weight_permille, random_source& random);

// State of one node's smooth weighted round robin over the services of a split route.
struct weighted_round_robin {
    std::vector<std::int64_t> m_current_weights; // by target
};

// Returns the index of the next target by smooth weighted round robin; the shares are exact to
// about one call at any time. At least one weight must be above 0. The state is reset if the number
// of weights changes.
std::size_t choose_weighted(weighted_round_robin& choice, std::span<const std::uint32_t> weights);

// Circuit breaker for one backend server. It opens after consecutive connection failures and lets
// one trial call through after a backoff.
struct circuit_breaker {
    std::uint32_t m_failures = 0;
    time_point m_open_until;
    bool m_trial = false; // the trial call of the half-open breaker is in flight
};
// Returns true while calls should avoid the server.
bool breaker_is_open(const circuit_breaker& breaker, time_point now);
// Returns true if a call may be made. On a half-open breaker the call becomes its trial call, and
// other calls are rejected while it is in flight.
bool breaker_try_call(circuit_breaker& breaker, time_point now);
// Closes the breaker.
void breaker_record_success(circuit_breaker& breaker);
// Records a failure to reach the server; opens the breaker after several consecutive ones.
void breaker_record_failure(circuit_breaker& breaker, time_point now);
// Records that no connection could be established. The breaker opens at once, since each such call
// costs its caller the whole connection timeout.
void breaker_record_unreachable(circuit_breaker& breaker, time_point now);

} // namespace caraway
