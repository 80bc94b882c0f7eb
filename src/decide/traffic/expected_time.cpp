// Choice of a backend server by the expected time until its answer; declared in balance.hpp.
#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>

#include "decide/traffic/balance.hpp"

namespace caraway {
namespace {

using seconds_real = std::chrono::duration<double>;

// Permille in one unit.
constexpr double permille = 1000;
// Number of random candidates of the own data centre that are compared for each call. With all of
// them, all callers would choose the server that last reported a low load. With 5 instead of 3, a
// seventh fewer calls waited at a load of 0.8 in the drives of tests/server_choice_test.cpp.
constexpr std::size_t sample_size = 5;
// The same for the other data centres. The lowest of several uncertain times is too low, so with
// more of them more calls leave although all data centres are equally loaded.
constexpr std::size_t remote_sample_size = 2;
// Age at which a reported slowness no longer counts: slow periods last about 600 ms.
constexpr seconds_real slowness_lifetime{1.0};
// Age up to which a reported mean load counts fully, unless the reports of the own data centre are
// older on average: that age takes its place, up to the maximum. At this multiple of the age, the
// load no longer counts. With a fixed age, many callers that each hear rarely from a server took
// all servers for idle and gave slow ones a sixth more than their share.
constexpr seconds_real min_load_hold{1.0};
constexpr seconds_real max_load_hold{10.0};
constexpr double load_lifetime_holds = 4;
// Age at which a reported failure share no longer counts, so that a recovered server is tried
// again; and the number of successful calls that one failed call costs.
constexpr seconds_real failure_lifetime{4.0};
constexpr double failure_cost = 10;
// Run time assumed if no server has reported any.
constexpr double default_run = 0.1;
// Slots assumed if the server has reported none.
constexpr double default_slots = 12;
// Run times of a server of mean speed by which a call that takes the last free slot delays later
// calls. Without this cost, all callers choose the fastest servers until their queues are as long
// as the difference in run time: 46 of 100 calls waited at a load of 0.8, and 23 with it. It is not
// relative to the server's own run time, since that would fill fast servers first.
constexpr double full_cost = 6;
// The same for the decision to leave the own data centre. It is lower because bytes between data
// centres cost.
constexpr double leave_full_cost = 3;
// A call leaves the own data centre only if it gains more than this share of its run time
// on a server of mean speed. It surely leaves at a gain larger than the margin by the second share;
// between the two, the share of leaving calls rises evenly, so that not all callers leave and
// return at the same time.
constexpr double leave_margin = 0.3;
constexpr double leave_range = 0.35;
// Sum of the weights of reports below which the load of the other data centres is taken to be lower
// than reported, so that they are tried again.
constexpr double min_known_loads = 0.5;
// Deviation of the load below which the load counts as certain.
constexpr double min_deviation = 1e-6;
// Lowest weight of the free capacity of a full server in another data centre. A report may be
// older than the load it states.
constexpr double min_free_share = 0.02;

// Mean values of the candidates that have reported figures; they stand in for missing ones.
struct service_means {
    double m_factor = 1;        // speed factor
    double m_run = default_run; // run time of the call, or of all calls, at a factor of 1
    seconds_real m_load_hold = min_load_hold; // of the own data centre's reports
    double m_other_load = 0; // load of the other data centres, as a share of the slots
};

// Returns the weight of the last report by its age, decreasing linearly from 1 to 0 over the
// lifetime.
double freshness(const candidate& server, seconds_real lifetime) {
    return std::clamp(1 - seconds_real(server.m_load_age) / lifetime, 0.0, 1.0);
}

// Returns the weight of the last reported mean load by its age.
double mean_load_weight(const candidate& server, seconds_real hold) {
    const double holds = seconds_real(server.m_load_age) / hold;
    return std::clamp((load_lifetime_holds - holds) / (load_lifetime_holds - 1), 0.0, 1.0);
}

// Returns the mean values; the run time is that of the call's route if known. Without a reference
// for the route, the mean latency of all routes is used; it is the same for all candidates and thus
// only scales the waiting and run times relative to network times.
service_means mean_values(std::span<const candidate> candidates, duration usual_run) {
    service_means means;
    double factors = 0;
    double known_factors = 0;
    double latencies = 0;
    double known_latencies = 0;
    double known_loads = 0;
    seconds_real ages{};
    double known_ages = 0;
    for (const candidate& server : candidates) {
        factors += server.m_speed_factor;
        known_factors += server.m_speed_factor > 0 ? 1 : 0;
        latencies += seconds_real(server.m_latency).count();
        known_latencies += server.m_latency > duration{} ? 1 : 0;
        if (!server.m_own_data_centre) {
            const double weight = mean_load_weight(server, min_load_hold);
            means.m_other_load += weight * server.m_mean_load_permille / permille;
            known_loads += weight;
        } else if (server.m_load_age < max_load_hold) {
            ages += server.m_load_age;
            known_ages += 1;
        }
    }
    if (known_ages > 0) {
        means.m_load_hold = std::max(min_load_hold, seconds_real(ages) / known_ages);
    }
    means.m_other_load /= std::max(known_loads, min_known_loads);
    means.m_factor = known_factors > 0 ? factors / known_factors : 1;
    if (usual_run > duration{}) {
        means.m_run = seconds_real(usual_run).count();
    } else if (known_latencies > 0) {
        means.m_run = latencies / known_latencies / means.m_factor;
    }
    return means;
}

// Returns the present run times of a server relative to a factor of 1.
double present_factor(const candidate& server, const service_means& means) {
    const double factor = server.m_speed_factor > 0 ? server.m_speed_factor : means.m_factor;
    const double slowness = server.m_slowness_permille / permille;
    return factor * (1 + (slowness - 1) * freshness(server, slowness_lifetime));
}

// Load of a server at the time of the choice, as a share of its slots.
struct predicted_load {
    double m_mean = 0;
    double m_deviation = 0;
    double m_slots = default_slots;
};

// Returns the mean load as a share of the slots. With the age of the report, the load becomes 0 in
// the own data centre, where other callers' choices resemble those of this node, and the mean of
// the others elsewhere, where this node's calls say nothing about the load.
double aged_mean_load(const candidate& server, const service_means& means) {
    const double weight = mean_load_weight(server, means.m_load_hold);
    return weight * server.m_mean_load_permille / permille +
           (1 - weight) * (server.m_own_data_centre ? 0 : means.m_other_load);
}

// Predicts the load from the last report. After about one run time other calls have the slots, so
// the reported load loses its weight, the mean load takes its place, and the deviation grows
// towards that of independent calls.
predicted_load predict_load(const candidate& server, const service_means& means, double run) {
    predicted_load load;
    load.m_slots = server.m_slots > 0 ? server.m_slots : default_slots;
    const double kept = std::exp(-seconds_real(server.m_load_age).count() / run);
    load.m_mean = kept * server.m_load_permille / permille +
                  (1 - kept) * aged_mean_load(server, means) + server.m_unreported / load.m_slots;
    load.m_deviation = std::sqrt((1 - kept * kept) * std::min(load.m_mean, 1.0) / load.m_slots);
    return load;
}

// Waiting at a server for a normally distributed load.
struct expected_waiting {
    double m_excess = 0; // mean load above all slots but the one that the call needs
    double m_full = 0;   // probability that there is no such slot
};

// Returns the waiting that a call meets at a predicted load.
expected_waiting expect_waiting(const predicted_load& load) {
    const double excess = load.m_mean - 1 + 1 / load.m_slots;
    if (load.m_deviation < min_deviation) {
        return {std::max(0.0, excess), excess > 0 ? 1.0 : 0.0};
    }
    const double z = excess / load.m_deviation;
    const double density = std::exp(-z * z / 2) * std::numbers::inv_sqrtpi / std::numbers::sqrt2;
    const double full = std::erfc(-z / std::numbers::sqrt2) / 2;
    return {std::max(0.0, load.m_deviation * density + excess * full), full};
}

// Expected time until the answer of one candidate, in seconds.
struct expected_answer {
    std::size_t m_index = 0;
    double m_wait = 0;
    double m_run = 0;
    double m_mean_run = 0; // of this call on a server of the mean speed
    double m_network = 0;
    double m_full = 0;     // probability that all slots are busy
    double m_failures = 1; // factor for the cost of failures
};

// Returns the expected time until the answer of a candidate. A slot becomes free after the mean run
// time divided by the slots, so each excess call per slot costs one run time.
expected_answer expect_answer(std::span<const candidate> candidates, std::size_t index,
                              const service_means& means) {
    const candidate& server = candidates[index];
    expected_answer answer;
    answer.m_index = index;
    answer.m_run = means.m_run * present_factor(server, means);
    answer.m_mean_run = means.m_run * means.m_factor;
    const expected_waiting waiting = expect_waiting(predict_load(server, means, answer.m_run));
    answer.m_wait = answer.m_run * waiting.m_excess;
    answer.m_full = waiting.m_full;
    answer.m_network = seconds_real(server.m_network_time).count();
    answer.m_failures = 1 + failure_cost * server.m_failure_permille / permille *
                                freshness(server, failure_lifetime);
    return answer;
}

// Returns the waiting time that the call meets and causes, in seconds.
double waiting_cost(const expected_answer& answer, double cost_if_full) {
    return answer.m_wait + cost_if_full * answer.m_full * answer.m_mean_run;
}

// Returns the cost of a choice in seconds: the expected time until the answer, the time that later
// calls wait because of this one, and failures.
double choice_cost(const expected_answer& answer, double cost_if_full) {
    return (waiting_cost(answer, cost_if_full) + answer.m_run + answer.m_network) *
           answer.m_failures;
}

// Returns the weight of a candidate in the random sample: its speed, and in other data centres also
// its free capacity.
double sample_weight(const candidate& server, const service_means& means) {
    const double free =
        server.m_own_data_centre ? 1 : std::max(min_free_share, 1 - aged_mean_load(server, means));
    return free / present_factor(server, means);
}

// Returns the cheapest of a few distinct candidates of a group that are drawn by weight.
std::optional<expected_answer> best_of_sample(std::span<const candidate> candidates, bool own,
                                              bool breaker_open, std::size_t draws,
                                              const service_means& means, random_source& random) {
    const auto usable = [&](const candidate& server) {
        return server.m_usable && !server.m_tried && !server.m_refusing &&
               server.m_own_data_centre == own && server.m_breaker_open == breaker_open;
    };
    std::array<std::size_t, sample_size> drawn{};
    std::optional<expected_answer> best;
    double total = 0;
    for (const candidate& server : candidates) {
        total += usable(server) ? sample_weight(server, means) : 0;
    }
    for (std::size_t n = 0; n < draws; ++n) {
        double position = total * random.unit();
        std::optional<std::size_t> found;
        double found_weight = 0;
        for (std::size_t i = 0; i < candidates.size() && position >= 0; ++i) {
            if (usable(candidates[i]) &&
                std::count(drawn.begin(), drawn.begin() + static_cast<std::ptrdiff_t>(n), i) == 0) {
                found = i;
                found_weight = sample_weight(candidates[i], means);
                position -= found_weight;
            }
        }
        if (!found) {
            break;
        }
        drawn.at(n) = *found;
        total = std::max(0.0, total - found_weight);
        const expected_answer answer = expect_answer(candidates, *found, means);
        if (!best || choice_cost(answer, full_cost) < choice_cost(*best, full_cost)) {
            best = answer;
        }
    }
    return best;
}

// Returns the probability with which a call leaves the own data centre. The gain is at most the
// local waiting minus the longer way: faster servers elsewhere alone are no reason to leave.
double leave_probability(const expected_answer& local, const expected_answer& remote) {
    const double gain =
        std::min(choice_cost(local, leave_full_cost) - choice_cost(remote, leave_full_cost),
                 waiting_cost(local, leave_full_cost) + local.m_network - remote.m_network);
    return std::clamp((gain / local.m_mean_run - leave_margin) / leave_range, 0.0, 1.0);
}

} // namespace

std::optional<std::size_t> choose_by_expected_time(std::span<const candidate> candidates,
                                                   duration usual_run, random_source& random) {
    const service_means means = mean_values(candidates, usual_run);
    for (const bool breaker_open : {false, true}) {
        const auto local =
            best_of_sample(candidates, true, breaker_open, sample_size, means, random);
        if (local && waiting_cost(*local, leave_full_cost) <= leave_margin * local->m_mean_run) {
            return local->m_index;
        }
        const auto remote = best_of_sample(candidates, false, breaker_open,
                                           local ? remote_sample_size : sample_size, means, random);
        if (local && remote) {
            return random.unit() < leave_probability(*local, *remote) ? remote->m_index
                                                                      : local->m_index;
        }
        if (local || remote) {
            return local ? local->m_index : remote->m_index;
        }
    }
    return std::nullopt;
}

} // namespace caraway
