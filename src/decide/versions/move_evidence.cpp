#include "decide/versions/move_evidence.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>

#include <fmt/format.h>

namespace caraway {
namespace {

// Sequential test of one route and measure
//
// Each interval gives a table of two rows: the calls of the old and of the new version on one
// route, split into harmed ones (failed, or slower than a threshold) and others. Given the margins
// of the table, the number x of harmed calls of the new version is hypergeometric if both versions
// are equally good, whatever the rate is at that moment, so an overload that slows both gives no
// evidence. The alternative is Fisher's noncentral hypergeometric distribution with odds ratio r.
// The likelihood ratio L of the two has expectation 1 for a good version.
//
// The statistic R(k) = (R(k-1) + w(k)) * L(k), with the sum of all w(k) at most 1, is a mixture of
// likelihood ratios that start at every interval k. Good intervals before the start don't count, so
// a defect that appears later is not diluted. R minus the sum of the w is a supermartingale for a
// good version, so the probability that R ever reaches 1/a is at most a (Ville's inequality).
//
// There is one test for each route with evidence and one over all routes together, each for
// failures and for latency. The bound of 0.5% per move is divided: four fifths for the holder, and
// one fifth for the instances that may suspend on their own and see fewer calls. Each part is
// divided equally among its tests, and the second also among the instances. The quotient is a;
// log_threshold returns log(1/a).

// Share of the false-alarm bound assigned to the holder.
constexpr double holder_share = 0.8;

// Weights w(k): a tenth of the mass starts with each of the six stages, since a raise exposes most
// defects. The rest is spread as K / ((k + K) (k + K - 1)), which sums to 1 and is nearly uniform
// over the first K informative intervals.
constexpr double stage_start_mass = 0.1;
constexpr double spread_mass = 1 - stage_start_mass * move_stages;
constexpr double start_spread = 200;

// Odds ratios of the failure alternatives. The ratio of 100 decides after few failures while the
// new version has a small share of the calls. The lowest ratio is 3, so odds of failure that are
// less than about 1.7 times those of the old version fit "as good" better and are not detected.
constexpr std::array<double, failure_alternatives> failure_odds{3, 10, 100};

// If the old version has no traffic on a route, a failure share of up to 5% is assumed to be good.
// If the old version has had no calls at all, a bad version can't be distinguished from an overload
// in which calls time out, and 25% is assumed to be good. The alternatives exceed the good share by
// the listed amounts.
constexpr double assumed_good_failure_share = 0.05;
constexpr double assumed_good_failure_share_alone = 0.25;
constexpr std::array<double, failure_alternatives> failure_share_excesses{0.1, 0.25, 0.7};
constexpr double largest_bad_failure_share = 0.99;
// A new version cannot be shown to be worse on a route where the old one failed more often than
// this.
constexpr double largest_comparable_failure_share = 0.85;

// Latency alternatives: calls above the bucket that m_slow_share of the old version's recent calls
// exceed, with an odds ratio. A share of a quarter detects a shift of the whole distribution, a
// twentieth detects occasional slow calls.
struct latency_alternative {
    double m_slow_share;
    double m_odds;
};
constexpr std::array<latency_alternative, latency_alternatives> latency_tests{
    {{0.25, 3}, {0.25, 20}, {0.05, 3}, {0.05, 20}}};
// Servers of one service differ in speed, and a version may have few of them: calls of the new
// version count as slow only this many buckets (a factor of 1.5 each) above the threshold of the
// old version.
constexpr std::size_t server_speed_buckets = 1;
// Decayed number of the old version's calls required before a threshold is derived from them.
constexpr double threshold_min_calls = 20;
// Decay of counts per interval. It averages over about 40 intervals, so that thresholds follow the
// time of day.
constexpr double count_decay = 0.975;

// Ratios decay by 1% per interval, so that one crashed server early in a long move doesn't add up
// with another much later. A defect that fails one call per minute still accumulates.
constexpr double ratio_decay = 0.99;

// Intervals with fewer calls of the old version than this are tested together with the next ones,
// up to max_pending_intervals: a comparison with one or two old calls gives no information.
constexpr std::uint32_t pending_min_old_calls = 10;
constexpr std::uint32_t max_pending_intervals = 10;

// Failures that a single server may have in one interval beyond those of the second worst. Above
// zero, so that a version whose servers crash one after the other still accumulates evidence.
constexpr std::uint32_t single_server_failures = 1;

// A stage doesn't end while the log of a ratio is above this share of the log threshold.
constexpr double doubt_share = 0.6;

// Score at which a route passes, a log-likelihood ratio of ln 20. For failures, it compares an
// unchanged failure share with one that is 10 percentage points higher; for latency, unchanged odds
// of a slow call with three times these odds. 29 calls without a failure reach it for failures.
constexpr double pass_score = 3.0;
constexpr double bad_failure_excess = 0.10;
// Bounds of the scores, so that the effect of a burst (one crashed server) can be compensated
// later.
constexpr double min_score = -5;
constexpr double max_score = 10;

// Minimum calls of the new version in a stage: for the first stage to end, for later stages to end,
// and for a route to be evaluated.
constexpr std::uint64_t first_stage_min_calls = 3;
constexpr std::uint64_t stage_min_calls = 10;
constexpr std::uint64_t route_min_calls = 5;
// Minimum for a route up to the second stage. At its weight of 40 permille, a route with a third of
// 50 calls a second gets 3 calls in 5 s; the next stage brings more while the new version's share
// is still small.
constexpr std::uint64_t early_route_min_calls = 2;
constexpr std::size_t last_early_stage = 1;
// When a stage is late, routes with too few calls to be evaluated are accepted only if together
// they have at most this share of the calls. They are tested at the higher weights, where they get
// more calls.
constexpr double rare_routes_share = 0.2;

// Returns the log of the likelihood ratio of odds r to odds 1 for x harmed calls of the new
// version, given the margins: n_new and n_old calls, of which s are harmed.
double log_likelihood_ratio(std::uint64_t x, std::uint64_t n_new, std::uint64_t n_old,
                            std::uint64_t s, double r) {
    const std::uint64_t low = s > n_old ? s - n_old : 0;
    const std::uint64_t high = std::min(s, n_new);
    // Sums of the unnormalised weights of the central (odds 1) and the noncentral (odds r)
    // hypergeometric distribution, relative to their value at low and rescaled when they become
    // large.
    double central = 1;
    double noncentral = 1;
    double central_sum = 1;
    double noncentral_sum = 1;
    double central_scale = 0;
    double noncentral_scale = 0;
    constexpr double large = 1e200;
    for (std::uint64_t i = low; i < high; ++i) {
        const double step = static_cast<double>(n_new - i) * static_cast<double>(s - i) /
                            (static_cast<double>(i + 1) * static_cast<double>(n_old + i + 1 - s));
        central *= step;
        noncentral *= step * r;
        central_sum += central;
        noncentral_sum += noncentral;
        if (central_sum > large) {
            central /= large;
            central_sum /= large;
            central_scale += std::log(large);
        }
        if (noncentral_sum > large) {
            noncentral /= large;
            noncentral_sum /= large;
            noncentral_scale += std::log(large);
        }
    }
    return static_cast<double>(x - low) * std::log(r) + std::log(central_sum) + central_scale -
           std::log(noncentral_sum) - noncentral_scale;
}

// Returns log(1/a) as explained above, the log of the value of R that decides. instances is 0 for
// the holder.
double log_threshold(std::size_t routes, std::uint32_t instances) {
    const double tests = 2.0 * static_cast<double>(routes + 1);
    if (instances == 0) {
        return std::log(tests / (holder_share * false_alarm_bound));
    }
    return std::log(tests * instances / ((1 - holder_share) * false_alarm_bound));
}

// Returns the largest log-likelihood ratio that one interval may add to a test. At least two
// intervals must agree, because a crashing server cuts all its calls within one interval, and
// because the reports of the two versions may be one interval apart when an overload begins.
// Lowering a ratio preserves the bound.
double interval_cap(std::size_t routes) {
    return (log_threshold(routes, 0) + std::log(start_spread / spread_mass)) / 2;
}

// Cap for the interval in which the weight changed, about ln 10. The new version's calls are
// concentrated in the later part of the interval, so an overload that begins within it harms more
// of them than of the old version's calls.
constexpr double mixed_interval_cap = 2.3;

double mean(std::span<const double> values) {
    double sum = 0;
    for (const double value : values) {
        sum += value;
    }
    return sum / static_cast<double>(values.size());
}

// Log-likelihood ratios of one interval for each alternative, and whether the interval had any
// information.
template <std::size_t alternatives>
struct interval_ratios {
    std::array<double, alternatives> m_log{};
    bool m_informative = false;
};

// R(k) = (R(k-1) + w(k)) * L(k), bounded to stay finite. `cap` limits the log of L(k).
template <std::size_t alternatives>
void update_ratios(ratio_test<alternatives>& test, const interval_ratios<alternatives>& interval,
                   double cap) {
    if (!interval.m_informative) {
        return;
    }
    constexpr double largest = 1e100;
    const auto k = static_cast<double>(++test.m_informative_intervals);
    double weight = spread_mass * start_spread / ((k + start_spread) * (k + start_spread - 1));
    if (!test.m_stage_started) {
        test.m_stage_started = true;
        weight += stage_start_mass;
    }
    for (std::size_t i = 0; i < alternatives; ++i) {
        test.m_ratios[i] = std::min(largest, (test.m_ratios[i] + weight) *
                                                 std::exp(std::min(interval.m_log[i], cap)));
    }
}

// Adds the log ratios of one route to those of all routes: the likelihood ratios of separate calls
// multiply.
template <std::size_t alternatives>
void combine(interval_ratios<alternatives>& sum, const interval_ratios<alternatives>& value) {
    sum.m_informative = sum.m_informative || value.m_informative;
    for (std::size_t i = 0; i < alternatives; ++i) {
        sum.m_log[i] += value.m_log[i];
    }
}

template <std::size_t alternatives>
void decay_ratios(ratio_test<alternatives>& test) {
    for (double& ratio : test.m_ratios) {
        ratio *= ratio_decay;
    }
}

// Adds a log ratio, limited to +-cap, to a score.
void add_to_score(double& score, double log_ratio, double cap) {
    score = std::clamp(score + std::clamp(log_ratio, -cap, cap), min_score, max_score);
}

std::uint64_t latency_calls(const arm_counts& counts) {
    std::uint64_t sum = 0;
    for (const std::uint32_t count : counts.m_latency) {
        sum += count;
    }
    return sum;
}

// Returns the number of calls in buckets above the given one.
std::uint64_t calls_above(const arm_counts& counts, std::size_t bucket) {
    std::uint64_t sum = 0;
    for (std::size_t i = bucket + 1; i < latency_buckets; ++i) {
        sum += counts.m_latency[i];
    }
    return sum;
}

// Returns the lowest bucket that at most slow_share of the calls exceed, or nothing while there are
// too few calls.
std::optional<std::size_t> slow_threshold(const std::array<double, latency_buckets>& histogram,
                                          double slow_share) {
    double total = 0;
    for (const double count : histogram) {
        total += count;
    }
    if (total < threshold_min_calls) {
        return std::nullopt;
    }
    double above = 0;
    std::size_t threshold = latency_buckets - 1;
    while (threshold > 0 && above + histogram[threshold] <= slow_share * total) {
        above += histogram[threshold];
        --threshold;
    }
    return threshold;
}

void add_counts(arm_counts& sum, const arm_counts& value) {
    sum.m_calls += value.m_calls;
    sum.m_failures += value.m_failures;
    sum.m_cold_calls += value.m_cold_calls;
    for (std::size_t i = 0; i < latency_buckets; ++i) {
        sum.m_latency[i] += value.m_latency[i];
    }
}

// The two largest failure counts of the new version's instances on one route in one interval. A
// single server that crashes or hangs says little about its version, so its failures beyond those
// of the second worst server plus single_server_failures are excluded. A bad version fails on all
// of its servers, so this removes little of its evidence.
struct failure_peaks {
    std::uint32_t m_largest = 0;
    std::uint32_t m_second = 0;
    std::uint32_t m_servers = 0; // that served calls; a single one has no peer to compare with
    void add(std::uint32_t failures) {
        ++m_servers;
        m_second = std::max(m_second, std::min(m_largest, failures));
        m_largest = std::max(m_largest, failures);
    }
    std::uint32_t excess() const {
        const std::uint32_t tolerated = m_second + single_server_failures;
        return m_servers > 1 && m_largest > tolerated ? m_largest - tolerated : 0;
    }
};

// Returns the log-likelihood ratios for the new version's failures in the pending intervals. They
// are compared with the old version's failures or, if it had no calls in these intervals, with an
// assumed failure share of a good version, or the old version's share since the move began if that
// is higher.
interval_ratios<failure_alternatives> test_failures(const route_test& test, bool old_version_seen) {
    interval_ratios<failure_alternatives> result;
    const std::uint64_t n_new = test.m_pending_new.m_calls;
    const std::uint64_t n_old = test.m_pending_old.m_calls;
    const std::uint64_t x = test.m_pending_new.m_failures;
    const std::uint64_t s = x + test.m_pending_old.m_failures;
    if (n_old > 0) {
        // If none or all of the calls are harmed, this is the only table with these margins.
        result.m_informative = s > 0 && s < n_new + n_old;
        for (std::size_t i = 0; i < failure_alternatives && result.m_informative; ++i) {
            result.m_log[i] = log_likelihood_ratio(x, n_new, n_old, s, failure_odds[i]);
        }
        return result;
    }
    const auto failures = static_cast<double>(x);
    const auto successes = static_cast<double>(n_new - x);
    double good = old_version_seen ? assumed_good_failure_share : assumed_good_failure_share_alone;
    if (test.m_total_old_calls > 0) {
        good = std::max(good, static_cast<double>(test.m_total_old_failures) /
                                  static_cast<double>(test.m_total_old_calls));
    }
    if (good > largest_comparable_failure_share) {
        return result;
    }
    result.m_informative = true;
    for (std::size_t i = 0; i < failure_alternatives; ++i) {
        const double bad = std::min(good + failure_share_excesses[i], largest_bad_failure_share);
        result.m_log[i] =
            failures * std::log(bad / good) + successes * std::log((1 - bad) / (1 - good));
    }
    return result;
}

// Returns the log-likelihood ratios for the latencies in the pending intervals. The thresholds come
// from the old version's earlier calls; those for the new version's calls are `tolerance` buckets
// higher.
interval_ratios<latency_alternatives> test_latency(const route_test& test, std::size_t tolerance) {
    interval_ratios<latency_alternatives> result;
    const std::uint64_t n_new = latency_calls(test.m_pending_new);
    const std::uint64_t n_old = latency_calls(test.m_pending_old);
    if (n_new == 0 || n_old == 0) {
        return result;
    }
    for (std::size_t i = 0; i < latency_alternatives; ++i) {
        const auto threshold =
            slow_threshold(test.m_decayed_old_latency, latency_tests[i].m_slow_share);
        if (!threshold) {
            return result;
        }
        const std::uint64_t x = calls_above(test.m_pending_new, *threshold + tolerance);
        const std::uint64_t s = x + calls_above(test.m_pending_old, *threshold);
        if (s > 0 && s < n_new + n_old) {
            result.m_informative = true;
            result.m_log[i] = log_likelihood_ratio(x, n_new, n_old, s, latency_tests[i].m_odds);
        }
    }
    return result;
}

// Updates the score for "the new version doesn't fail much more often than the old one did
// recently".
void score_failures(route_test& test, double cap) {
    // With a rate of zero, one ordinary failure of the new version would outweigh all other
    // evidence; with this rate, a single failure never blocks a late stage (ln 0.01/0.11 is above
    // -pass_score).
    constexpr double lowest_rate = 0.01;
    double good = assumed_good_failure_share;
    if (test.m_decayed_old_calls >= 1) {
        good =
            std::clamp(test.m_decayed_old_failures / test.m_decayed_old_calls, lowest_rate, 0.85);
    }
    const double bad = good + bad_failure_excess;
    const double failures = test.m_pending_new.m_failures;
    const double successes = test.m_pending_new.m_calls - failures;
    add_to_score(test.m_failure_score,
                 failures * std::log(good / bad) + successes * std::log((1 - good) / (1 - bad)),
                 cap);
}

// Tests the pending counts of a route once there are enough of them for a comparison.
void test_pending(route_test& test, bool old_version_seen, double cap,
                  interval_ratios<failure_alternatives>& all_failures,
                  interval_ratios<latency_alternatives>& all_latency) {
    const arm_counts& new_counts = test.m_pending_new;
    const bool old_absent = test.m_pending_old.m_calls == 0 && test.m_decayed_old_calls < 1;
    const bool enough = test.m_pending_old.m_calls >= pending_min_old_calls || old_absent;
    if ((new_counts.m_calls == 0 || !enough) && test.m_pending_intervals < max_pending_intervals) {
        return;
    }
    if (new_counts.m_calls > 0) {
        const auto failures = test_failures(test, old_version_seen);
        const auto latency = test_latency(test, server_speed_buckets);
        update_ratios(test.m_failures, failures, cap);
        update_ratios(test.m_latency, latency, cap);
        combine(all_failures, failures);
        combine(all_latency, latency);
        add_to_score(test.m_latency_score, -test_latency(test, 0).m_log[0], cap);
        score_failures(test, cap);
    }
    for (std::size_t i = 0; i < latency_buckets; ++i) {
        test.m_decayed_old_latency[i] += test.m_pending_old.m_latency[i];
        test.m_decayed_new_latency[i] += new_counts.m_latency[i];
    }
    test.m_decayed_old_calls += test.m_pending_old.m_calls;
    test.m_decayed_old_failures += test.m_pending_old.m_failures;
    test.m_pending_old = {};
    test.m_pending_new = {};
    test.m_pending_intervals = 0;
}

// Applies the decay of one interval to the ratios and counts of a route.
void decay_evidence(route_test& test) {
    decay_ratios(test.m_failures);
    decay_ratios(test.m_latency);
    for (std::size_t i = 0; i < latency_buckets; ++i) {
        test.m_decayed_old_latency[i] *= count_decay;
        test.m_decayed_new_latency[i] *= count_decay;
    }
    test.m_decayed_old_calls *= count_decay;
    test.m_decayed_old_failures *= count_decay;
}

// Returns the upper bound in milliseconds of the bucket that contains the median.
double median_ms(const std::array<double, latency_buckets>& histogram) {
    double total = 0;
    for (const double count : histogram) {
        total += count;
    }
    double cumulative = 0;
    double edge = 0.1;
    for (std::size_t i = 0; i < latency_buckets; ++i) {
        cumulative += histogram[i];
        if (2 * cumulative >= total) {
            break;
        }
        edge *= 1.5;
    }
    return edge;
}

// Returns the first test whose ratio reaches the threshold, with the reason. instances is 0 at the
// holder, otherwise the number of nodes with a local test. Local tests compare failures only: a
// single server that is slower than the others, or receives more of the calls, says nothing about
// its version's latency.
std::optional<evidence_result> find_bad(const move_evidence& evidence, std::uint32_t instances) {
    const double threshold = std::exp(log_threshold(evidence.m_routes.size(), instances));
    const bool compares_latency = instances == 0;
    const auto result = [&](std::string_view route, std::string_view what, double ratio) {
        return evidence_result{evidence_verdict::bad, std::string(route),
                               fmt::format("{}: {}; likelihood ratio {:.2g}, bound {:.2g}", route,
                                           what, ratio, threshold)};
    };
    for (const auto& [route, test] : evidence.m_routes) {
        const double failures = mean(test.m_failures.m_ratios);
        if (failures >= threshold) {
            return result(route,
                          fmt::format("fails more often, {} of {} calls in the new version, {} of "
                                      "{} in the old one in this stage",
                                      test.m_new_failures, test.m_new_calls, test.m_old_failures,
                                      test.m_old_calls),
                          failures);
        }
        const double latency = mean(test.m_latency.m_ratios);
        if (compares_latency && latency >= threshold) {
            return result(route,
                          fmt::format("slower, recent median at most {:.1f} ms in the new "
                                      "version, {:.1f} ms in the old one",
                                      median_ms(test.m_decayed_new_latency),
                                      median_ms(test.m_decayed_old_latency)),
                          latency);
        }
    }
    const double failures = mean(evidence.m_failures.m_ratios);
    if (failures >= threshold) {
        return result("all routes", "fails more often", failures);
    }
    const double latency = mean(evidence.m_latency.m_ratios);
    if (compares_latency && latency >= threshold) {
        return result("all routes", "slower", latency);
    }
    return std::nullopt;
}

// Returns true if a test gives evidence against the version that is too weak for a verdict.
template <std::size_t alternatives>
bool is_doubtful(const ratio_test<alternatives>& test, std::size_t routes) {
    return mean(test.m_ratios) >= std::exp(doubt_share * log_threshold(routes, 0));
}

bool is_doubtful(const route_test& test, std::size_t routes) {
    return is_doubtful(test.m_failures, routes) || is_doubtful(test.m_latency, routes);
}

// Returns true if the route has enough evidence that the new version is as good as the old one.
bool has_passed(const route_test& test, std::size_t routes) {
    // Without traffic of the old version, or if all calls are cold, there is no latency to compare.
    const bool latency = test.m_latency_score >= pass_score ||
                         (test.m_latency.m_informative_intervals == 0 && test.m_old_calls == 0);
    return test.m_failure_score >= pass_score && latency && !is_doubtful(test, routes);
}

bool has_traffic(const route_test& test) {
    return test.m_new_calls + test.m_old_calls > 0;
}

} // namespace

// Finds the latency bucket by its upper bound; latencies below the first bound are in bucket 0.
void count_call(arm_counts& counts, bool failed, duration latency, bool cold) {
    ++counts.m_calls;
    counts.m_cold_calls += cold ? 1 : 0;
    if (failed) {
        ++counts.m_failures;
        return;
    }
    if (cold) {
        return;
    }
    const double microseconds = std::chrono::duration<double, std::micro>(latency).count();
    std::size_t index = 0;
    for (double edge = 100; index + 1 < latency_buckets && microseconds > edge; edge *= 1.5) {
        ++index;
    }
    ++counts.m_latency[index];
}

// Sums the reports by route and version, then tests every route and all routes together.
void add_evidence(move_evidence& evidence, std::span<const evidence_report> reports,
                  std::string_view old_version, std::string_view new_version) {
    std::map<std::string_view, failure_peaks> peaks;
    for (const evidence_report& report : reports) {
        const bool is_new = report.m_version == new_version;
        if (!is_new && report.m_version != old_version) {
            continue;
        }
        for (const auto& [route, counts] : report.m_routes) {
            if (counts.m_calls == 0) {
                continue;
            }
            evidence.m_old_version_seen = evidence.m_old_version_seen || !is_new;
            route_test& test = evidence.m_routes[route];
            add_counts(is_new ? test.m_pending_new : test.m_pending_old, counts);
            (is_new ? test.m_new_calls : test.m_old_calls) += counts.m_calls;
            (is_new ? test.m_new_failures : test.m_old_failures) += counts.m_failures;
            test.m_total_old_calls += is_new ? 0 : counts.m_calls;
            test.m_total_old_failures += is_new ? 0 : counts.m_failures;
            if (is_new) {
                peaks[route].add(counts.m_failures);
            }
        }
    }
    const double cap =
        evidence.m_weight_changed ? mixed_interval_cap : interval_cap(evidence.m_routes.size());
    evidence.m_weight_changed = false;
    interval_ratios<failure_alternatives> all_failures;
    interval_ratios<latency_alternatives> all_latency;
    decay_ratios(evidence.m_failures);
    decay_ratios(evidence.m_latency);
    for (auto& [route, test] : evidence.m_routes) {
        if (const auto peak = peaks.find(route); peak != peaks.end()) {
            const std::uint32_t excess = peak->second.excess();
            test.m_pending_new.m_calls -= excess;
            test.m_pending_new.m_failures -= excess;
        }
        decay_evidence(test);
        ++test.m_pending_intervals;
        test_pending(test, evidence.m_old_version_seen, cap, all_failures, all_latency);
    }
    update_ratios(evidence.m_failures, all_failures, cap);
    update_ratios(evidence.m_latency, all_latency, cap);
}

evidence_result evaluate_evidence(const move_evidence& evidence) {
    if (auto bad = find_bad(evidence, 0)) {
        return *bad;
    }
    bool passed = false;
    for (const auto& [route, test] : evidence.m_routes) {
        if (!has_traffic(test)) {
            continue;
        }
        if (!has_passed(test, evidence.m_routes.size())) {
            return {evidence_verdict::undecided, route, {}};
        }
        passed = true;
    }
    return {passed ? evidence_verdict::good : evidence_verdict::undecided, {}, {}};
}

bool is_locally_bad(const move_evidence& own, std::string& reason) {
    auto bad = find_bad(own, std::max(1U, own.m_instances));
    if (!bad) {
        return false;
    }
    reason = std::move(bad->m_reason);
    return true;
}

// In a late stage, routes need only a few calls and no evidence against them, and rare routes none.
bool stage_passed(const move_evidence& evidence, std::size_t stage, bool late) {
    std::uint64_t new_calls = 0;
    std::uint64_t all_calls = 0;
    std::uint64_t rare_calls = 0;
    const bool first = stage == 0;
    const bool last = stage + 1 == move_stages;
    const std::uint64_t min_calls =
        stage <= last_early_stage ? early_route_min_calls : route_min_calls;
    if (is_doubtful(evidence.m_failures, evidence.m_routes.size()) ||
        is_doubtful(evidence.m_latency, evidence.m_routes.size())) {
        return false;
    }
    for (const auto& [route, test] : evidence.m_routes) {
        new_calls += test.m_new_calls;
        all_calls += test.m_new_calls + test.m_old_calls;
        if (!has_traffic(test)) {
            continue;
        }
        if (is_doubtful(test, evidence.m_routes.size())) {
            return false;
        }
        if (first || has_passed(test, evidence.m_routes.size())) {
            continue;
        }
        // At full weight there is no traffic of the old version to compare with; only the failure
        // share counts.
        if (last && test.m_failure_score >= pass_score) {
            continue;
        }
        if (!late) {
            return false;
        }
        if (test.m_new_calls < min_calls) {
            rare_calls += test.m_new_calls + test.m_old_calls;
        } else if (test.m_failure_score <= -pass_score) {
            return false;
        }
    }
    if (static_cast<double>(rare_calls) > rare_routes_share * static_cast<double>(all_calls)) {
        return false;
    }
    return new_calls >= (first ? first_stage_min_calls : stage_min_calls);
}

// The ratios for "worse" continue, so that evidence that accumulates across a raise is not lost.
// The decayed numbers of the old version's calls and failures restart: at full weight they must not
// be mistaken for current traffic.
void begin_stage(move_evidence& evidence) {
    evidence.m_weight_changed = true;
    evidence.m_failures.m_stage_started = false;
    evidence.m_latency.m_stage_started = false;
    for (auto& [route, test] : evidence.m_routes) {
        test.m_failures.m_stage_started = false;
        test.m_latency.m_stage_started = false;
        test.m_failure_score = 0;
        test.m_latency_score = 0;
        test.m_new_calls = 0;
        test.m_old_calls = 0;
        test.m_new_failures = 0;
        test.m_old_failures = 0;
        test.m_decayed_old_calls = 0;
        test.m_decayed_old_failures = 0;
    }
}

} // namespace caraway
