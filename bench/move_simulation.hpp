// Simulates version moves: runs the decision code with a manual clock and generated calls. The
// benchmark and the unit tests share it. The seed determines every run completely.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <numbers>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.hpp"
#include "base/random.hpp"
#include "decide/traffic/balance.hpp"
#include "decide/versions/version_move.hpp"

namespace caraway::bench {

// Scenarios of a move: how the new version behaves, and what else goes wrong during the move.
enum class move_scenario : std::uint8_t {
    good,
    fails_at_once,
    fails_later,
    slow,
    bad_under_load,
    bad_on_one_route,
    good_under_overload,
    good_store_down,
    good_cold_starts,
    good_holder_dies,
    good_server_crashes,
    fails_store_down,
    fails_store_and_holder_down,
};

inline constexpr std::array move_scenarios{
    move_scenario::good,
    move_scenario::fails_at_once,
    move_scenario::fails_later,
    move_scenario::slow,
    move_scenario::bad_under_load,
    move_scenario::bad_on_one_route,
    move_scenario::good_under_overload,
    move_scenario::good_store_down,
    move_scenario::good_cold_starts,
    move_scenario::good_holder_dies,
    move_scenario::good_server_crashes,
    move_scenario::fails_store_down,
    move_scenario::fails_store_and_holder_down,
};

// Returns the name of the scenario in tables and JSON.
inline std::string_view scenario_name(move_scenario scenario) {
    constexpr std::array names{"good",
                               "fails at once",
                               "fails later",
                               "slow",
                               "bad only under load",
                               "bad on one route",
                               "good, general overload",
                               "good, store down a third",
                               "good, cold starts",
                               "good, holder dies",
                               "good, server crashes",
                               "fails, store down",
                               "fails, store+holder down"};
    return names[static_cast<std::size_t>(scenario)];
}

// Returns whether the new version of this scenario has no defect, so that its move must succeed.
inline bool is_good_scenario(move_scenario scenario) {
    return scenario == move_scenario::good || scenario == move_scenario::good_under_overload ||
           scenario == move_scenario::good_store_down ||
           scenario == move_scenario::good_cold_starts ||
           scenario == move_scenario::good_holder_dies ||
           scenario == move_scenario::good_server_crashes;
}

// Policy under test: the decision code, or a baseline of fixed steps with an error threshold of 5%.
enum class move_policy : std::uint8_t { sequential, fixed_steps };

struct simulation_options {
    double m_time_limit_s = 300; // from the start of the move to its deadline
    // Bounds of the service's calls per second. Each run draws a rate between them.
    double m_min_rate = 50;
    double m_max_rate = 500;
};

struct move_result {
    move_state m_state = move_state::running;
    double m_rate = 0;
    double m_ended_s = 0; // when the final state was written
    bool m_in_time = false;
    // Time of the third call harmed by the defect, which counts as visible from then on.
    std::optional<double> m_defect_visible_s;
    std::optional<double> m_traffic_stopped_s;     // time from which the new version gets no calls
    std::uint32_t m_max_weight_before_visible = 0; // permille
    double m_share_before_visible = 0; // share of all calls that the new version served until then
    std::uint64_t m_harmed_calls = 0;  // calls that failed or became slower because of the defect
    // Calls to the new version more than 3 s after the defect became visible.
    std::uint64_t m_calls_after_3s = 0;
    std::uint32_t m_final_state_writes = 0; // writes of a record with a final state
    bool m_suspended_locally = false;       // a node suspended the version on its local evidence
    std::string m_reason;
};

// Simulates one move of a service with 5 instances of each version and 4 routes that get unequal
// shares of the traffic.
class move_simulation {
public:
    move_simulation(move_scenario scenario, move_policy policy, std::uint64_t seed,
                    const simulation_options& options)
        : m_scenario(scenario), m_policy(policy), m_random(seed), m_options(options) {
        draw_parameters();
    }

    // Runs the move until its final state or until 1.5 times the time limit. Call it only once.
    move_result run() {
        m_record = start_move("move", "service", "v1", "v2",
                              m_clock.wall_now() + to_ms(m_options.m_time_limit_s), "holder-0",
                              m_clock.wall_now());
        m_local_evidence.assign(instances, {});
        for (move_evidence& evidence : m_local_evidence) {
            evidence.m_instances = instances;
        }
        // Runs for 1.5 times the time limit, so that a verdict after the deadline is detected.
        const auto intervals = static_cast<int>(m_options.m_time_limit_s * 1.5 / interval_s);
        for (int interval = 0; interval < intervals && !has_ended(); ++interval) {
            serve_interval(interval * interval_s);
            m_clock.advance(to_ms(interval_s));
            const double now = (interval + 1) * interval_s;
            if (m_policy == move_policy::sequential) {
                decide_sequential(now);
            } else {
                decide_fixed_steps(now);
            }
        }
        m_result.m_state = m_record.m_state;
        m_result.m_in_time =
            m_record.m_state == move_state::done && m_result.m_ended_s <= m_options.m_time_limit_s;
        m_result.m_reason = m_record.m_reason;
        return m_result;
    }

private:
    static constexpr std::size_t instances = 5;
    static constexpr std::size_t entry_nodes = 4; // nodes that receive the callers' calls
    static constexpr std::size_t routes = 4;
    static constexpr std::array<double, routes> route_shares{0.6, 0.25, 0.1, 0.05};
    static constexpr std::array<const char*, routes> route_names{"/a", "/b", "/c", "/d"};
    // Time until a suspension rumour or a new record has reached all entry nodes.
    static constexpr double propagation_s = 0.5;
    static constexpr double cold_start_s = 20;
    static constexpr double interval_s = 0.5; // between evidence reports

    static milliseconds to_ms(double seconds) {
        return milliseconds(static_cast<std::int64_t>(seconds * 1000));
    }
    double uniform(double low, double high) { return low + (high - low) * m_random.unit(); }
    // Draws from the standard normal distribution (Box-Muller transform).
    double normal() {
        const double radius = std::sqrt(-2 * std::log(1 - m_random.unit()));
        return radius * std::cos(2 * std::numbers::pi * m_random.unit());
    }
    // Draws from a Poisson distribution; a mean above 50 uses the normal approximation.
    std::uint64_t poisson(double expected) {
        if (expected > 50) {
            return static_cast<std::uint64_t>(
                std::max(0.0, std::round(expected + std::sqrt(expected) * normal())));
        }
        const double limit = std::exp(-expected);
        std::uint64_t count = 0;
        for (double product = m_random.unit(); product > limit; product *= m_random.unit()) {
            ++count;
        }
        return count;
    }

    // Draws the parameters of the run. The order of the draws must not change, because it
    // determines the run that a seed produces.
    void draw_parameters() {
        const double time_limit_s = m_options.m_time_limit_s;
        m_result.m_rate = m_options.m_min_rate *
                          std::pow(m_options.m_max_rate / m_options.m_min_rate, m_random.unit());
        for (std::size_t i = 0; i < routes; ++i) {
            m_latency_ms[i] = uniform(5, 60);
            m_failure_share[i] = uniform(0.0, 0.005);
        }
        m_defect_share = uniform(0.1, 0.6);
        m_slow_factor = uniform(2, 6);
        m_defect_onset_s = uniform(0.05, 0.6) * time_limit_s;
        m_defect_min_weight = uniform(100, 800);
        m_defect_route = m_random.below(routes);
        m_disturbance_begin_s = uniform(0, 2.0 / 3) * time_limit_s;
        m_disturbance_end_s = m_disturbance_begin_s + time_limit_s / 3;
        m_overload_factor = uniform(4, 10);
        m_overload_failures = uniform(0.0, 0.04);
        for (auto& arm : m_cold_until_s) {
            arm.fill(0);
        }
        if (m_scenario == move_scenario::good_cold_starts) {
            m_cold_until_s[1].fill(cold_start_s);
        }
        if (m_scenario == move_scenario::fails_store_down ||
            m_scenario == move_scenario::fails_store_and_holder_down) {
            // The outage starts before the move can be done.
            m_disturbance_begin_s = uniform(0, 0.5) * time_limit_s;
            m_disturbance_end_s = m_disturbance_begin_s + time_limit_s / 3;
            m_defect_onset_s = m_disturbance_begin_s;
        }
    }

    // Returns whether the store is unreachable at this time.
    bool store_down(double now) const {
        return (m_scenario == move_scenario::good_store_down ||
                m_scenario == move_scenario::fails_store_down ||
                m_scenario == move_scenario::fails_store_and_holder_down) &&
               now >= m_disturbance_begin_s && now < m_disturbance_end_s;
    }

    // Returns whether the defect affects calls to the new version on this route at this time.
    bool is_defect_active(std::size_t route, double now) const {
        switch (m_scenario) {
        case move_scenario::fails_at_once:
        case move_scenario::slow:
            return true;
        case move_scenario::fails_later:
        case move_scenario::fails_store_down:
        case move_scenario::fails_store_and_holder_down:
            return now >= m_defect_onset_s;
        case move_scenario::bad_under_load:
            return m_record.m_weight_permille > m_defect_min_weight;
        case move_scenario::bad_on_one_route:
            return route == m_defect_route;
        default:
            return false;
        }
    }

    // Generates the calls of one report interval and fills m_reports with their outcomes.
    void serve_interval(double begin) {
        m_reports.clear();
        for (std::size_t arm = 0; arm < 2; ++arm) {
            for (std::size_t i = 0; i < instances; ++i) {
                evidence_report report;
                report.m_instance = (arm == 0 ? "old-" : "new-") + std::to_string(i);
                report.m_service = "service";
                report.m_version = arm == 0 ? "v1" : "v2";
                m_reports.push_back(report);
            }
        }
        if (m_scenario == move_scenario::good_cold_starts && m_random.unit() < 0.02 * interval_s) {
            // A server of either version becomes cold without warning.
            m_cold_until_s[m_random.below(2)][m_random.below(instances)] = begin + cold_start_s;
        }
        for (std::size_t route = 0; route < routes; ++route) {
            std::array<arm_counts*, 2 * instances> counts{};
            for (std::size_t i = 0; i < 2 * instances; ++i) {
                counts[i] = &m_reports[i].m_routes[route_names[route]];
            }
            const std::uint64_t calls = poisson(m_result.m_rate * route_shares[route] * interval_s);
            for (std::uint64_t i = 0; i < calls; ++i) {
                serve_call(route, begin + interval_s * m_random.unit(), counts);
            }
        }
        if (m_scenario == move_scenario::good_server_crashes &&
            m_random.unit() < 0.01 * interval_s) {
            // A server of either version crashes, which fails the calls in its slots (up to 12).
            evidence_report& report = m_reports[m_random.below(2 * instances)];
            for (auto& [route, counts] : report.m_routes) {
                const std::uint32_t aborted = std::min<std::uint32_t>(counts.m_calls, 12);
                counts.m_failures = std::max(counts.m_failures, aborted);
            }
        }
    }

    // Routes one call to a version and an instance and counts its outcome.
    void serve_call(std::size_t route, double at, std::array<arm_counts*, 2 * instances>& counts) {
        ++m_all_calls;
        const bool is_new = choose_new_version(m_version_shares[m_random.below(entry_nodes)],
                                               weight_at(at), m_random);
        const std::size_t instance = m_random.below(instances);
        double latency = m_latency_ms[route] * std::exp(0.5 * normal());
        double failure = m_failure_share[route];
        if (m_scenario == move_scenario::good_under_overload && at >= m_disturbance_begin_s &&
            at < m_disturbance_end_s) {
            latency *= m_overload_factor;
            failure += m_overload_failures;
        }
        const bool cold = m_cold_until_s[is_new ? 1 : 0][instance] > at;
        if (cold) {
            latency *= 4;
        }
        bool failed = m_random.unit() < failure;
        if (is_new) {
            ++m_new_version_calls;
            if (m_result.m_defect_visible_s && at > *m_result.m_defect_visible_s + 3) {
                ++m_result.m_calls_after_3s;
            }
            if (is_defect_active(route, at)) {
                bool harmed = false;
                if (m_scenario == move_scenario::slow) {
                    latency *= m_slow_factor;
                    harmed = true;
                } else if (m_random.unit() < m_defect_share) {
                    failed = true;
                    harmed = true;
                }
                if (harmed && ++m_result.m_harmed_calls == 3) {
                    m_result.m_defect_visible_s = at;
                    m_result.m_max_weight_before_visible = m_largest_weight;
                    m_result.m_share_before_visible =
                        static_cast<double>(m_new_version_calls) / static_cast<double>(m_all_calls);
                }
            }
        }
        count_call(*counts[(is_new ? instances : 0) + instance], failed,
                   std::chrono::microseconds(static_cast<std::int64_t>(latency * 1000)), cold);
    }

    // Returns the weight that the entry nodes use; a change takes effect after propagation_s.
    std::uint32_t weight_at(double at) const {
        return at < m_weight_visible_s ? m_previous_weight : m_weight;
    }

    void set_weight(std::uint32_t weight, double now) {
        if (weight == m_weight) {
            return;
        }
        m_previous_weight = m_weight;
        m_weight = weight;
        m_weight_visible_s = now + propagation_s;
        m_largest_weight = std::max(m_largest_weight, weight);
        if (weight == 0 && !m_result.m_traffic_stopped_s) {
            m_result.m_traffic_stopped_s = now + propagation_s;
        }
    }

    bool has_ended() const { return m_record.m_state != move_state::running; }

    // Runs on one interval of reports the decision of the node that holds the move's lease (the
    // holder) and the local test of every new-version node. While the store is down, the holder can
    // suspend the version but writes nothing. While there is no holder, only the local tests run,
    // without the reports of the old version.
    void decide_sequential(double now) {
        const bool is_down = store_down(now);
        const bool no_holder =
            (is_down && m_scenario == move_scenario::fails_store_and_holder_down) ||
            now < m_next_holder_s;
        evidence_report old_sum;
        old_sum.m_version = "v1";
        for (std::size_t i = 0; i < instances && !no_holder; ++i) {
            for (const auto& [route, counts] : m_reports[i].m_routes) {
                arm_counts& sum = old_sum.m_routes[route];
                sum.m_calls += counts.m_calls;
                sum.m_failures += counts.m_failures;
                for (std::size_t bucket = 0; bucket < latency_buckets; ++bucket) {
                    sum.m_latency[bucket] += counts.m_latency[bucket];
                }
            }
        }
        for (std::size_t i = 0; i < instances; ++i) {
            const std::array reports{m_reports[instances + i], old_sum};
            add_evidence(m_local_evidence[i], reports, "v1", "v2");
            std::string reason;
            if (!m_suspended && is_locally_bad(m_local_evidence[i], reason)) {
                m_suspended = true;
                m_result.m_suspended_locally = true;
                set_weight(0, now);
            }
        }
        if (m_scenario == move_scenario::good_holder_dies && m_random.unit() < 0.01 * interval_s) {
            // The next holder takes over after a lease period of 5 s and starts without evidence.
            m_next_holder_s = now + 5;
            m_evidence = {};
            m_record = take_over_move(m_record, "holder-" + std::to_string(++m_holder_count));
        }
        if (no_holder) {
            return;
        }
        add_evidence(m_evidence, m_reports, "v1", "v2");
        if (is_down) {
            if (evaluate_evidence(m_evidence).m_verdict == evidence_verdict::bad) {
                m_suspended = true;
                set_weight(0, now);
            }
            return;
        }
        const move_step step = step_move(m_record, m_evidence, m_suspended, m_clock.wall_now());
        if (step.m_kind == move_step::kind::write) {
            write(step.m_record, now);
        }
    }

    // Stores the record, as the holder does, and resets the evidence if the stage has changed.
    void write(const move_record& record, double now) {
        if (record.m_stage != m_record.m_stage) {
            begin_stage(m_evidence);
            for (move_evidence& evidence : m_local_evidence) {
                begin_stage(evidence);
            }
        }
        m_record = record;
        ++m_record.m_revision;
        if (has_ended()) {
            ++m_result.m_final_state_writes;
            m_result.m_ended_s = now;
        }
        set_weight(m_record.m_weight_permille, now);
    }

    // Baseline policy: five steps of equal length over two thirds of the time limit. Takes the
    // move back when more than 5% of the new version's calls failed within the last 10 s, given at
    // least 20 calls.
    void decide_fixed_steps(double now) {
        constexpr std::array<std::uint32_t, 5> weights{10, 50, 250, 500, 1000};
        std::uint64_t calls = 0;
        std::uint64_t failures = 0;
        for (std::size_t i = instances; i < 2 * instances; ++i) {
            for (const auto& [route, counts] : m_reports[i].m_routes) {
                calls += counts.m_calls;
                failures += counts.m_failures;
            }
        }
        m_fixed_window.emplace_back(calls, failures);
        if (static_cast<double>(m_fixed_window.size()) * interval_s > 10) {
            m_fixed_window.pop_front();
        }
        if (store_down(now)) {
            return;
        }
        calls = 0;
        failures = 0;
        for (const auto& [window_calls, window_failures] : m_fixed_window) {
            calls += window_calls;
            failures += window_failures;
        }
        move_record record = m_record;
        const double step = m_options.m_time_limit_s * 2 / 3 / weights.size();
        const auto stage = static_cast<std::size_t>(now / step);
        if (calls >= 20 && 20 * failures > calls) {
            record.m_state = move_state::taken_back;
            record.m_weight_permille = 0;
        } else if (stage >= weights.size()) {
            record.m_state = move_state::done;
        } else {
            record.m_stage = static_cast<std::uint32_t>(stage);
            record.m_weight_permille = weights[stage];
        }
        if (!(record == m_record)) {
            write(record, now);
        }
    }

    move_scenario m_scenario;
    move_policy m_policy;
    random_source m_random;
    simulation_options m_options;
    manual_clock m_clock;
    move_record m_record;
    move_evidence m_evidence;
    std::vector<move_evidence> m_local_evidence;
    std::vector<evidence_report> m_reports;
    std::deque<std::pair<std::uint64_t, std::uint64_t>> m_fixed_window;
    move_result m_result;
    bool m_suspended = false;
    double m_next_holder_s = 0;
    int m_holder_count = 0;
    std::uint32_t m_weight = stage_weights_permille[0];
    std::uint32_t m_previous_weight = stage_weights_permille[0];
    std::uint32_t m_largest_weight = stage_weights_permille[0];
    double m_weight_visible_s = 0;
    std::array<version_share, entry_nodes> m_version_shares;
    std::uint64_t m_all_calls = 0;
    std::uint64_t m_new_version_calls = 0;
    std::array<double, routes> m_latency_ms{};
    std::array<double, routes> m_failure_share{};
    double m_defect_share = 0;
    double m_slow_factor = 1;
    double m_defect_onset_s = 0;
    double m_defect_min_weight = 0;
    std::size_t m_defect_route = 0;
    double m_disturbance_begin_s = 0;
    double m_disturbance_end_s = 0;
    double m_overload_factor = 1;
    double m_overload_failures = 0;
    // By version (0: old, 1: new) and instance.
    std::array<std::array<double, instances>, 2> m_cold_until_s{};
};

// Runs one simulated move and returns its result.
inline move_result simulate_move(move_scenario scenario, move_policy policy, std::uint64_t seed,
                                 const simulation_options& options) {
    return move_simulation(scenario, policy, seed, options).run();
}

} // namespace caraway::bench
