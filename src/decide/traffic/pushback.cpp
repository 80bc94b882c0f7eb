#include "decide/traffic/pushback.hpp"

#include <algorithm>

namespace caraway {
namespace {

// Bounds of the time for which a server that refused a call is not tried. A slot becomes free every
// few milliseconds and the stated wait is only an estimate, so the server is tried again after the
// maximum at the latest.
constexpr milliseconds min_pushback{10};
constexpr milliseconds max_pushback{250};

// Callers that can still be answered in time retry after the minimum plus a random part of the
// jitter, so that they don't retry in lockstep.
constexpr milliseconds early_retry_min{40};
constexpr milliseconds early_retry_jitter{80};
// Share of the useful time within which an early retry must begin; the rest is for the answer.
constexpr double answer_share = 0.5;
// Callers that will be late anyway retry after a random share of their remaining time between these
// bounds.
constexpr double late_retry_min_share = 0.2;
constexpr double late_retry_max_share = 0.33;
// Delay after a refusal by a version or data centre that is out of service: the next attempt goes
// elsewhere.
constexpr milliseconds reroute_delay{20};
// Delay after a refusal by a draining node, until it has been replaced or another one is found.
// Callers that were told to retry at once used up their attempts within 40 ms.
constexpr milliseconds replacement_delay{500};
// Delay after a refusal by a node without a configuration, which receives one within some hundred
// milliseconds.
constexpr milliseconds startup_delay{250};

// Differences between deadlines below this come from processing at the callers.
constexpr milliseconds deadline_tolerance{20};

duration share_of(duration whole, double share) {
    return std::chrono::duration_cast<duration>(whole * share);
}

} // namespace

bool is_overload_refusal(error_kind reason) {
    return reason == error_kind::queue_full || reason == error_kind::cold_start_limit;
}

void record_refusal(refusal_state& refusals, urgency level, duration wait, time_point now) {
    const time_point until = now + std::clamp<duration>(wait, min_pushback, max_pushback);
    for (auto i = static_cast<std::size_t>(level); i < urgency_levels; ++i) {
        refusals.m_until[i] = std::max(refusals.m_until[i], until);
    }
}

void record_acceptance(refusal_state& refusals, urgency level) {
    for (std::size_t i = 0; i <= static_cast<std::size_t>(level); ++i) {
        refusals.m_until[i] = time_point{};
    }
}

bool is_refusing(const refusal_state& refusals, urgency level, time_point now) {
    return now < refusals.m_until[static_cast<std::size_t>(level)];
}

void record_deadline(caller_history& history, milliseconds stated) {
    history.m_max_deadline = std::max(history.m_max_deadline, stated);
}

void record_refused_caller(caller_history& history, duration left, time_point now) {
    history.m_retrying_until = std::max(history.m_retrying_until, now + left);
}

duration elapsed_before_attempt(const caller_history& history, milliseconds stated,
                                time_point now) {
    const milliseconds shortfall = history.m_max_deadline - stated;
    return now < history.m_retrying_until && shortfall > deadline_tolerance ? shortfall
                                                                            : duration{};
}

duration suggest_retry_delay(error_kind reason, duration useful_left, duration left,
                             random_source& random) {
    if (reason == error_kind::draining) {
        return std::max<duration>(early_retry_min, std::min<duration>(replacement_delay, left / 3));
    }
    if (reason == error_kind::version_suspended || reason == error_kind::version_not_served ||
        reason == error_kind::data_centre_out) {
        return reroute_delay;
    }
    if (reason == error_kind::node_not_ready) {
        return startup_delay;
    }
    const duration early_delay = early_retry_min + share_of(early_retry_jitter, random.unit());
    if (early_delay < share_of(useful_left, answer_share)) {
        return early_delay;
    }
    const double share =
        late_retry_min_share + (late_retry_max_share - late_retry_min_share) * random.unit();
    return std::max<duration>(early_retry_min, share_of(left, share));
}

} // namespace caraway
