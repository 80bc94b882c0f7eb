#include "decide/pushback.hpp"

#include <algorithm>

namespace caraway {
namespace {

// Bounds of the time in which a server that refused is not asked. A slot becomes free every few
// milliseconds, and what a node states is an estimate; after the longest time it is asked anew.
constexpr milliseconds shortest_pushback{10};
constexpr milliseconds longest_pushback{250};

// Callers that may still be answered in time come back within this time, spread so that they don't
// return in step.
constexpr milliseconds soon_least{40};
constexpr milliseconds soon_spread{80};
// A caller needs about this share of its useful time for the answer itself.
constexpr double answer_share = 0.5;
// Callers that will be late anyway come back in this part of the time that they have left.
constexpr double late_least_share = 0.2;
constexpr double late_most_share = 0.33;
// A version or data centre that takes no calls any more: the next attempt goes elsewhere.
constexpr milliseconds elsewhere_wait{20};
// Callers of a leaving node come back when it has been replaced or they have found another one;
// ones told to return at once used up their attempts within 40 ms.
constexpr milliseconds replacement_wait{500};
// A node without a configuration gets one within some hundred milliseconds.
constexpr milliseconds start_wait{250};

// Differences of deadlines below this are the callers' own handling.
constexpr milliseconds deadline_tolerance{20};

duration share_of(duration whole, double share) {
    return std::chrono::duration_cast<duration>(whole * share);
}

} // namespace

bool is_overload(error_kind reason) {
    return reason == error_kind::queue_full || reason == error_kind::cold_start_limit;
}

void note_refusal(refusal_memory& memory, urgency level, duration wait, time_point now) {
    const time_point until = now + std::clamp<duration>(wait, shortest_pushback, longest_pushback);
    for (auto i = static_cast<std::size_t>(level); i < urgency_levels; ++i) {
        memory.m_until[i] = std::max(memory.m_until[i], until);
    }
}

void note_acceptance(refusal_memory& memory, urgency level) {
    for (std::size_t i = 0; i <= static_cast<std::size_t>(level); ++i) {
        memory.m_until[i] = time_point{};
    }
}

bool is_refusing(const refusal_memory& memory, urgency level, time_point now) {
    return now < memory.m_until[static_cast<std::size_t>(level)];
}

void note_deadline(caller_history& history, milliseconds stated) {
    history.m_longest_deadline = std::max(history.m_longest_deadline, stated);
}

void note_refused_caller(caller_history& history, duration left, time_point now) {
    history.m_refused_until = std::max(history.m_refused_until, now + left);
}

duration time_before(const caller_history& history, milliseconds stated, time_point now) {
    const milliseconds missing = history.m_longest_deadline - stated;
    return now < history.m_refused_until && missing > deadline_tolerance ? missing : duration{};
}

duration advise_return(error_kind reason, duration useful_left, duration left,
                       random_source& random) {
    if (reason == error_kind::draining) {
        return std::max<duration>(soon_least, std::min<duration>(replacement_wait, left / 3));
    }
    if (reason == error_kind::version_suspended || reason == error_kind::version_not_served ||
        reason == error_kind::data_centre_out) {
        return elsewhere_wait;
    }
    if (reason == error_kind::node_not_ready) {
        return start_wait;
    }
    const duration soon = soon_least + share_of(soon_spread, random.unit());
    if (soon < share_of(useful_left, answer_share)) {
        return soon;
    }
    const double share = late_least_share + (late_most_share - late_least_share) * random.unit();
    return std::max<duration>(soon_least, share_of(left, share));
}

} // namespace caraway
