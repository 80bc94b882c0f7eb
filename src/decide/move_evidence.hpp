// The evidence for and against the new version of a move, and the sequential test that judges it.
// Pure; driven with the reports of each interval.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

#include "base/clock.hpp"

namespace caraway {

// Stages of a move; a part of the false-alarm bound is kept for each.
constexpr std::size_t move_stages = 6;

// Upper edges of the latency classes in microseconds grow by a factor of 1.5 from 100; the last
// class is open.
constexpr std::size_t latency_buckets = 32;

// Counts of one version on one route over one reporting interval.
struct arm_counts {
    std::uint32_t m_calls = 0;
    std::uint32_t m_failures = 0; // 5xx answers, cut connections, timeouts of the backend server
    std::array<std::uint32_t, latency_buckets>
        m_latency{};                // of successful calls outside cold start
    std::uint32_t m_cold_calls = 0; // served while the cold-start limit was below the slots
};

// Adds one finished call. cold marks a call served during cold start, whose latency is no evidence.
void count_call(arm_counts& counts, bool failed, duration latency, bool cold);

// Evidence of one backend-side node for one reporting interval (half a second).
struct evidence_report {
    std::string m_instance;
    std::string m_service;
    std::string m_version; // the version that this node's backend server runs
    std::map<std::string, arm_counts, std::less<>> m_routes;
};

enum class evidence_verdict : std::uint8_t { undecided, good, bad };

// Result of the test: the verdict, and for bad the route and the reason in words and figures.
struct evidence_result {
    evidence_verdict m_verdict = evidence_verdict::undecided;
    std::string m_route;
    std::string m_reason;
};

// Alternatives that each measure is tested against; their likelihood ratios are averaged.
constexpr std::size_t failure_alternatives = 3;
constexpr std::size_t latency_alternatives = 4;

// Restarted likelihood ratios of "worse than the old version" to "as good", one for each
// alternative of a measure.
template <std::size_t alternatives>
struct ratio_test {
    std::array<double, alternatives> m_ratios{};
    std::uint64_t m_informative_intervals = 0; // informative intervals so far
    bool m_stage_started = false;              // the current stage had an informative interval
};

// The accumulated evidence of one route. Opaque to callers but for tests; the fields are owned by
// move_evidence.cpp.
struct route_test {
    ratio_test<failure_alternatives> m_failures;
    ratio_test<latency_alternatives> m_latency;
    // Log-likelihood ratios of "as good" to "worse" in the current stage.
    double m_failure_score = 0;
    double m_latency_score = 0;
    std::uint64_t m_new_calls = 0; // since the current stage began
    std::uint64_t m_old_calls = 0;
    std::uint64_t m_new_failures = 0;
    std::uint64_t m_old_failures = 0;
    // Counts not tested yet: intervals with few calls are tested together.
    arm_counts m_pending_old;
    arm_counts m_pending_new;
    std::uint32_t m_pending_intervals = 0;
    // Decayed windows, for thresholds and reasons.
    std::array<double, latency_buckets> m_window_old{};
    std::array<double, latency_buckets> m_window_new{};
    double m_window_old_calls = 0;
    double m_window_old_failures = 0;
    // Of the old version since the move began: what was always so on a route is no defect of the
    // new version when at full weight there is no old traffic to compare with.
    std::uint64_t m_total_old_calls = 0;
    std::uint64_t m_total_old_failures = 0;
};

// The accumulated evidence for one move, at its holder or at one backend-side node.
struct move_evidence {
    std::map<std::string, route_test, std::less<>> m_routes;
    // The same tests over all routes together, for a defect that shows on all of them.
    ratio_test<failure_alternatives> m_failures;
    ratio_test<latency_alternatives> m_latency;
    bool m_old_version_seen = false; // the old version had calls on some route
    bool m_weight_changed = false;   // the next interval has calls from before and after a raise
    // Instances of the new version that may suspend it on their own evidence; they share a part of
    // the false-alarm bound.
    std::uint32_t m_instances = 8;
};

// Share of false take-backs that the test may cause per move. The users' bound is 1 in 100; half
// of it is left for causes outside the test.
constexpr double false_alarm_bound = 0.005;

// Adds the reports of one interval, from all instances of the service.
void add_evidence(move_evidence& evidence, std::span<const evidence_report> reports,
                  std::string_view old_version, std::string_view new_version);

// Judges the evidence of all routes so far.
evidence_result judge_evidence(const move_evidence& evidence);

// Whether a stage (counted from 0) may end. late: the schedule leaves no time to wait until every
// route has passed the test.
bool stage_passed(const move_evidence& evidence, std::size_t stage, bool late);

// Called after a written raise, at the holder and on the evidence of local tests: a new stage
// gathers its own evidence.
void begin_stage(move_evidence& evidence);

// The local test of a backend-side node on its own server's calls, with a stricter bound since
// several nodes decide: true when it must suspend the version at once. The evidence is filled by
// add_evidence with the node's own report and, where the holder told it, the sum of the old
// version's reports of the same interval; without the latter only a very high failure share is bad,
// since an overload of both versions would look the same.
bool is_locally_bad(const move_evidence& own, std::string& reason);

} // namespace caraway
