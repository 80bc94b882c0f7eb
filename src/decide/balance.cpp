#include "decide/balance.hpp"

#include <algorithm>

namespace caraway {
namespace {

// Weights are in permille.
constexpr std::uint32_t weight_unit = 1000;

// Reported load from which a backend server counts as close to its queue (all slots busy is 1000).
// Spilling over at 800 leaves the load reports, which are an answer old, time to arrive.
constexpr double spill_load_permille = 800;
// A remote server must be this much less loaded than the local ones, or calls would travel between
// data centres that are equally full.
constexpr double spill_margin_permille = 100;
// A reported load fades to nothing within this age: slots turn over several times in a second.
constexpr std::chrono::duration<double> load_lifetime{1.0};

constexpr std::uint32_t breaker_threshold = 3; // single cut connections are ordinary
constexpr milliseconds breaker_min_backoff{200};
constexpr milliseconds breaker_max_backoff{10'000};
// A trial call that never reports back (its caller went away) frees the breaker after this time.
constexpr milliseconds breaker_trial_timeout{2'000};

// A failed call costs its caller as much as this many served ones take.
constexpr double failure_cost = 10;
// Reported failures fade to nothing within this age, so that a server that recovered is tried
// again.
constexpr std::chrono::duration<double> failure_lifetime{4.0};
// Reported latencies are compared for this long; an older one is taken for the usual one.
constexpr std::chrono::duration<double> latency_lifetime{10.0};
// Candidates compared for a call.
constexpr std::size_t sample_size = 3;

// What is left of a figure of the given age, from 1 down to 0.
double freshness(const candidate& server, std::chrono::duration<double> lifetime) {
    return std::clamp(1 - std::chrono::duration<double>(server.m_load_age) / lifetime, 0.0, 1.0);
}

// Reported load in permille, less the older it is.
double decayed_load(const candidate& server) {
    return server.m_load_permille * freshness(server, load_lifetime);
}

// Latency in seconds as far as known, else the given usual one.
double latency_or(const candidate& server, double default_latency) {
    const bool known = server.m_latency > duration{} && freshness(server, latency_lifetime) > 0;
    return known ? std::chrono::duration<double>(server.m_latency).count() : default_latency;
}

// Mean of the known latencies, in seconds; 1 if none is known.
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

// Cost of one more call on a candidate; the smaller is chosen.
double cost(const candidate& server, double default_latency) {
    const double failures =
        server.m_failure_permille * freshness(server, failure_lifetime) / weight_unit;
    return latency_or(server, default_latency) * (1.0 + server.m_outstanding) *
           (weight_unit + decayed_load(server)) * (1 + failure_cost * failures);
}

// Tiers are tried in this order: own data centre, others; then the same with open breakers.
bool in_tier(const candidate& server, bool own, bool breaker_open) {
    return server.m_usable && !server.m_tried && !server.m_refusing &&
           server.m_own_data_centre == own && server.m_breaker_open == breaker_open;
}

// The best of a few different random candidates of a tier.
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

// Stays in the own data centre until the best of a few local candidates nears its queue. Comparing
// only a few bounds the herding of many callers on the one server that last reported a low load.
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

// A call can pass the place of its unit and that of the next one; the second choice is then made
// with the next call.
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

// The trial moves m_open_until forward, so that the breaker is open to all other calls meanwhile.
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
    // Doubling stops after six steps; a larger shift would exceed the longest wait anyway.
    const auto steps = std::min<std::uint32_t>(breaker.m_failures - breaker_threshold, 6);
    breaker.m_open_until = now + std::min(breaker_min_backoff * (1U << steps), breaker_max_backoff);
}

} // namespace caraway
