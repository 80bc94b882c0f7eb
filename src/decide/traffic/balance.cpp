#include "decide/traffic/balance.hpp"

#include <algorithm>

namespace caraway {
namespace {

// Permille in one unit.
constexpr std::uint32_t weight_unit = 1000;

// Reported load from which a backend server counts as close to queueing calls (1000 means that all
// slots are busy). Load reports lag by one answer, so calls go to other data centres before all
// local slots are busy.
constexpr double spill_load_permille = 800;
// A remote server must report a load lower than the local ones by this much; otherwise calls would
// move between equally loaded data centres.
constexpr double spill_margin_permille = 100;
// Age at which a reported load no longer counts: a slot runs several calls per second.
constexpr std::chrono::duration<double> load_lifetime{1.0};

constexpr std::uint32_t breaker_threshold = 3; // a single cut connection is ordinary
constexpr milliseconds breaker_min_backoff{200};
constexpr milliseconds breaker_max_backoff{10'000};
// The breaker admits another trial call after this time if the result of the trial was never
// recorded, such as when its caller disconnected.
constexpr milliseconds breaker_trial_timeout{2'000};

// A failed call costs its caller as much as this many successful calls.
constexpr double failure_cost = 10;
// Age at which a reported failure share no longer counts, so that a recovered server is tried
// again.
constexpr std::chrono::duration<double> failure_lifetime{4.0};
// Age at which a reported latency is replaced by the mean of the other candidates.
constexpr std::chrono::duration<double> latency_lifetime{10.0};
// Number of random candidates compared for each call.
constexpr std::size_t sample_size = 3;

// Returns the weight of the last report by its age, decreasing linearly from 1 to 0 over the
// lifetime.
double freshness(const candidate& server, std::chrono::duration<double> lifetime) {
    return std::clamp(1 - std::chrono::duration<double>(server.m_load_age) / lifetime, 0.0, 1.0);
}

// Returns the reported load in permille, scaled down with its age.
double decayed_load(const candidate& server) {
    return server.m_load_permille * freshness(server, load_lifetime);
}

// Returns the latency in seconds, or default_latency if it is unknown or too old.
double latency_or(const candidate& server, double default_latency) {
    const bool known = server.m_latency > duration{} && freshness(server, latency_lifetime) > 0;
    return known ? std::chrono::duration<double>(server.m_latency).count() : default_latency;
}

// Returns the mean of the known latencies in seconds, or 1 if none is known.
double mean_known_latency(std::span<const candidate> candidates) {
    double sum = 0;
    std::size_t known = 0;
    for (const candidate& server : candidates) {
        const double latency = latency_or(server, 0);
        sum += latency;
        known += latency > 0 ? 1 : 0;
    }
    return known == 0 ? 1 : sum / static_cast<double>(known);
}

// Returns the expected cost of one more call on a candidate; the lowest is chosen.
double cost(const candidate& server, double default_latency) {
    const double failures =
        server.m_failure_permille * freshness(server, failure_lifetime) / weight_unit;
    return latency_or(server, default_latency) * (1.0 + server.m_outstanding) *
           (weight_unit + decayed_load(server)) * (1 + failure_cost * failures);
}

// Returns true if a candidate belongs to a tier. The tiers are tried in this order: own data
// centre, then others; then the same with open breakers.
bool in_tier(const candidate& server, bool own, bool breaker_open) {
    return server.m_usable && !server.m_tried && !server.m_refusing &&
           server.m_own_data_centre == own && server.m_breaker_open == breaker_open;
}

// Returns the cheapest of a few distinct random candidates of a tier.
std::optional<std::size_t> best_of_sample(std::span<const candidate> candidates, bool own,
                                          bool breaker_open, double default_latency,
                                          random_source& random) {
    std::vector<std::size_t> tier;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (in_tier(candidates[i], own, breaker_open)) {
            tier.push_back(i);
        }
    }
    std::optional<std::size_t> best;
    for (std::size_t n = 0; n < sample_size && n < tier.size(); ++n) {
        std::swap(tier[n], tier[n + random.below(tier.size() - n)]);
        if (!best ||
            cost(candidates[tier[n]], default_latency) < cost(candidates[*best], default_latency)) {
            best = tier[n];
        }
    }
    return best;
}

} // namespace

// Stays in the own data centre until the best of the sampled local candidates is close to queueing
// calls. Comparing only a few candidates limits herding of many callers onto the one server that
// last reported a low load.
std::optional<std::size_t> choose_candidate(std::span<const candidate> candidates,
                                            random_source& random) {
    const double default_latency = mean_known_latency(candidates);
    for (const bool breaker_open : {false, true}) {
        const auto local = best_of_sample(candidates, true, breaker_open, default_latency, random);
        if (local && decayed_load(candidates[*local]) < spill_load_permille) {
            return local;
        }
        const auto remote =
            best_of_sample(candidates, false, breaker_open, default_latency, random);
        if (local && remote) {
            const bool spill = decayed_load(candidates[*remote]) + spill_margin_permille <
                               decayed_load(candidates[*local]);
            return spill ? remote : local;
        }
        if (local || remote) {
            return local ? local : remote;
        }
    }
    return std::nullopt;
}

bool is_overloaded(std::span<const candidate> candidates) {
    bool refusing = false;
    for (const candidate& server : candidates) {
        if (!server.m_usable) {
            continue;
        }
        if (!server.m_tried && !server.m_refusing && !server.m_breaker_open) {
            return false;
        }
        refusing = refusing || server.m_refusing;
    }
    return refusing;
}

// One call can pass both the selected position of its unit and that of the next unit; the second
// selection is then assigned to the next call.
bool choose_new_version(version_share& share, std::uint32_t weight_permille,
                        random_source& random) {
    if (weight_permille >= weight_unit) {
        share = version_share{};
        return true;
    }
    if (!share.m_initialised) {
        share.m_initialised = true;
        share.m_selected_position = static_cast<std::uint32_t>(random.below(weight_unit));
    }
    std::uint32_t end = share.m_unit_position + weight_permille;
    share.m_pending_selections +=
        share.m_selected_position >= share.m_unit_position && share.m_selected_position < end ? 1
                                                                                              : 0;
    if (end >= weight_unit) {
        end -= weight_unit;
        share.m_selected_position = static_cast<std::uint32_t>(random.below(weight_unit));
        share.m_pending_selections += share.m_selected_position < end ? 1 : 0;
    }
    share.m_unit_position = end;
    if (share.m_pending_selections == 0) {
        return false;
    }
    --share.m_pending_selections;
    return true;
}

std::size_t choose_weighted(weighted_round_robin& choice, std::span<const std::uint32_t> weights) {
    if (choice.m_current_weights.size() != weights.size()) {
        choice.m_current_weights.assign(weights.size(), 0);
    }
    std::int64_t total = 0;
    std::size_t best = 0;
    for (std::size_t i = 0; i < weights.size(); ++i) {
        choice.m_current_weights[i] += weights[i];
        total += weights[i];
        best = choice.m_current_weights[i] > choice.m_current_weights[best] ? i : best;
    }
    choice.m_current_weights[best] -= total;
    return best;
}

bool breaker_is_open(const circuit_breaker& breaker, time_point now) {
    return breaker.m_failures >= breaker_threshold && now < breaker.m_open_until;
}

// A trial call moves m_open_until forward, so that the breaker stays open for all other calls
// meanwhile.
bool breaker_try_call(circuit_breaker& breaker, time_point now) {
    if (breaker.m_failures < breaker_threshold) {
        return true;
    }
    if (now < breaker.m_open_until) {
        return false;
    }
    breaker.m_trial = true;
    breaker.m_open_until = now + breaker_trial_timeout;
    return true;
}

void breaker_record_success(circuit_breaker& breaker) {
    breaker = circuit_breaker{};
}

void breaker_record_unreachable(circuit_breaker& breaker, time_point now) {
    breaker.m_failures = std::max(breaker.m_failures, breaker_threshold - 1);
    breaker_record_failure(breaker, now);
}

void breaker_record_failure(circuit_breaker& breaker, time_point now) {
    breaker.m_trial = false;
    ++breaker.m_failures;
    if (breaker.m_failures < breaker_threshold) {
        return;
    }
    // The backoff doubles up to six times; a larger shift would exceed the maximum backoff anyway.
    const auto steps = std::min<std::uint32_t>(breaker.m_failures - breaker_threshold, 6);
    breaker.m_open_until = now + std::min(breaker_min_backoff * (1U << steps), breaker_max_backoff);
}

} // namespace caraway
