// When a call may be tried again, and the budget that keeps retries from multiplying load.
#pragma once

#include <cstdint>

#include "base/clock.hpp"
#include "base/error.hpp"

namespace caraway {

// Token bucket for one service: every call adds a fraction of a token, every retry takes one.
struct retry_budget {
    double m_tokens = 10; // lets a quiet service retry a few calls
    double m_tokens_per_call = 0.1;
    double m_max_tokens = 100;
};

// A budget of percent retries of the calls that begins with the burst. What a quiet time saves is
// bounded near the burst: all nodes may spend theirs within seconds when a service fails, and with
// ten bursts each, ten nodes exceeded a fifth of the calls of a small service.
retry_budget make_retry_budget(double percent, double burst);

// Counts one first attempt.
void budget_deposit(retry_budget& budget);

// Retries of one call at further backend servers, unless its route allows more.
constexpr std::uint32_t max_retries = 1;
// Retries after nodes that refused the call before it reached their backend servers.
constexpr std::uint32_t max_refused_retries = 2;

// What is known of the attempt that failed.
struct attempt {
    error_kind m_failure = error_kind::none;
    bool m_idempotent = false;
    std::uint32_t m_retries = 0; // made so far in this layer, after failures of the same sort
    // The request reached a backend server, so that another try is one more arrival there.
    bool m_reached_server = true;
    std::uint32_t m_max_retries = max_retries; // counts if m_reached_server
    // The next hop itself already retried or is an intermediate answer of a deeper hop: only the
    // layer next to the refusal retries.
    bool m_failed_downstream = false;
    time_point m_deadline;
};

// A retry with less time left than this can't succeed and is not made.
constexpr milliseconds min_retry_time{2};

// True if the call may be tried again now; takes a token from the budget if so. Only after a
// refusal known to be "not run" that another backend server may not share, or for an idempotent
// call whose outcome is unknown.
bool may_retry(const attempt& failed, retry_budget& budget, time_point now);

} // namespace caraway
