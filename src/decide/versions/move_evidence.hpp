// Evidence for and against the new version of a version move, and the sequential test that
// evaluates it. Pure functions without I/O, called with the reports of each interval.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

#include "base/clock.hpp"

namespace caraway {

// Number of stages of a move. Each stage has its own share of the false-alarm bound.
constexpr std::size_t move_stages = 6;

// Number of latency buckets. The upper bounds grow by a factor of 1.5 from 100 microseconds; the
// last bucket has none.
constexpr std::size_t latency_buckets = 32;

// Call counts of one version (one arm of the comparison) on one route in one reporting interval.
struct arm_counts {
    std::uint32_t m_calls = 0;
    std::uint32_t m_failures = 0; // 5xx answers, cut connections, timeouts of the backend server
    std::array<std::uint32_t, latency_buckets>
        m_latency{};                // of successful calls outside cold start
    std::uint32_t m_cold_calls = 0; // served while the cold-start limit was below the slots
};

// Adds one finished call. cold marks a call served during cold start, whose latency is not counted.
void count_call(arm_counts& counts, bool failed, duration latency, bool cold);

// Evidence of one node beside a backend server for one reporting interval of half a second.
struct evidence_report {
    std::string m_instance;
    std::string m_service;
    std::string m_version; // version that the node's backend server runs
    std::map<std::string, arm_counts, std::less<>> m_routes;
};

enum class evidence_verdict : std::uint8_t { undecided, good, bad };

// Result of the test: the verdict and, if it is bad, the route and a readable reason with figures.
struct evidence_result {
    evidence_verdict m_verdict = evidence_verdict::undecided;
    std::string m_route;
    std::string m_reason;
};

// Number of alternative hypotheses for each measure; their likelihood ratios are averaged.
constexpr std::size_t failure_alternatives = 3;
constexpr std::size_t latency_alternatives = 4;

// Statistics of "worse than the old version" against "as good", one for each alternative of a
// measure. Each is a mixture of the likelihood ratios that start at every interval, see
// move_evidence.cpp.
template <std::size_t alternatives>
struct ratio_test {
    std::array<double, alternatives> m_ratios{};
    std::uint64_t m_informative_intervals = 0; // number of intervals with information so far
    bool m_stage_started = false;              // the current stage has had an informative interval
};

// Accumulated evidence of one route. Only move_evidence.cpp and tests access the fields.
struct route_test {
    ratio_test<failure_alternatives> m_failures;
    ratio_test<latency_alternatives> m_latency;
    // Log-likelihood ratios of "as good" to "worse" in the current stage.
    double m_failure_score = 0;
    double m_latency_score = 0;
    // Counts since the current stage began.
    std::uint64_t m_new_calls = 0;
    std::uint64_t m_old_calls = 0;
    std::uint64_t m_new_failures = 0;
    std::uint64_t m_old_failures = 0;
    // Counts not yet tested: consecutive intervals with few calls are tested together.
    arm_counts m_pending_old;
    arm_counts m_pending_new;
    std::uint32_t m_pending_intervals = 0;
    // Exponentially decayed counts, for thresholds and reasons; latencies are counted by bucket.
    std::array<double, latency_buckets> m_decayed_old_latency{};
    std::array<double, latency_buckets> m_decayed_new_latency{};
    double m_decayed_old_calls = 0;
    double m_decayed_old_failures = 0;
    // Counts of the old version since the move began. Failures that always occurred on a route are
    // no defect of the new version when, at full weight, there is no traffic of the old version to
    // compare with.
    std::uint64_t m_total_old_calls = 0;
    std::uint64_t m_total_old_failures = 0;
};

// Accumulated evidence for one move, at its holder or at one node beside a backend server.
struct move_evidence {
    std::map<std::string, route_test, std::less<>> m_routes;
    // The same tests over all routes together, for a defect that affects all of them.
    ratio_test<failure_alternatives> m_failures;
    ratio_test<latency_alternatives> m_latency;
    bool m_old_version_seen = false; // the old version has had calls on some route
    // The weight was increased after the last evaluated interval, so the next interval includes
    // calls from before and after the increase.
    bool m_weight_changed = false;
    // Number of instances that may suspend the new version on their own evidence. They share a part
    // of the false-alarm bound.
    std::uint32_t m_instances = 8;
};

// Upper bound of the probability that the test rolls back a good version in one move. At most 1 in
// 100 good versions may be rolled back; half of that is left for causes outside the test.
constexpr double false_alarm_bound = 0.005;

// Adds the reports of one interval from all instances of the service. Reports of other versions
// than the two are ignored.
void add_evidence(move_evidence& evidence, std::span<const evidence_report> reports,
                  std::string_view old_version, std::string_view new_version);

// Returns the verdict on the evidence of all routes so far: bad if a test reaches its threshold,
// good if every route with traffic has passed, otherwise undecided.
evidence_result evaluate_evidence(const move_evidence& evidence);

// Returns whether a stage, counted from 0, may end. late means that the schedule leaves no time to
// wait until every route has passed the test.
bool stage_passed(const move_evidence& evidence, std::size_t stage, bool late);

// Starts the evidence of a new stage. Must be called after every raise of the weight has been
// written, at the holder and for the local tests.
void begin_stage(move_evidence& evidence);

// Local test of a node on the calls of its own backend server. Returns true, and sets the reason,
// if the node must suspend the version at once; the bound is stricter because several nodes decide.
//
// The evidence is filled by add_evidence with the node's own report and, if the holder sent it, the
// sum of the old version's reports of the same interval. Without the latter only a very high
// failure share counts as bad, since an overload of both versions would look the same.
bool is_locally_bad(const move_evidence& own, std::string& reason);

} // namespace caraway
