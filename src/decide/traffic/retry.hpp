// Retry policy: decides when a failed call may be retried, and limits retries by a budget so that
// they don't multiply the load.
#pragma once

#include <cstdint>

#include "base/clock.hpp"
#include "base/error.hpp"

namespace caraway {

// Token bucket for the retries of one service: every call adds a fraction of a token, every retry
// takes one.
struct retry_budget {
    double m_tokens = 10; // allows a service with few calls some retries
    double m_tokens_per_call = 0.1;
    double m_max_tokens = 100;
};

// Returns a budget that allows retries of `percent` of the calls and starts with `burst` tokens.
// The tokens that can be saved up are bounded near the burst: all nodes may spend theirs within
// seconds when a service fails, and with ten bursts each, the retries of ten nodes exceeded a fifth
// of a small service's calls.
retry_budget make_retry_budget(double percent, double burst);

// Adds the token share of one first attempt.
void budget_deposit(retry_budget& budget);

// Takes a token for an onward call of a repeated call, which adds an arrival at the service as a
// retry does. It is not refused without one; the retries of the service pay for it later.
void budget_charge(retry_budget& budget);

// Default limit on retries of one call that reached a backend server, for routes that set no other.
constexpr std::uint32_t max_retries = 1;
// Limit on retries after nodes refused the call before it reached their backend servers.
constexpr std::uint32_t max_refused_retries = 2;

// A failed attempt of a call.
struct attempt {
    error_kind m_failure = error_kind::none;
    bool m_idempotent = false;
    std::uint32_t m_retries = 0; // retries so far in this layer, after failures of the same kind
    // Whether the request reached a backend server, so that a retry adds another arrival there.
    bool m_reached_server = true;
    std::uint32_t m_max_retries = max_retries; // applies if m_reached_server
    // Whether the failure comes from further downstream: the next hop has already retried, or only
    // forwards the answer of a deeper hop. Only the layer next to the refusal retries.
    bool m_failed_downstream = false;
    time_point m_deadline;
};

// A retry with less remaining time than this cannot succeed and is not made.
constexpr milliseconds min_retry_time{2};

// Returns true if the call may be retried now, and takes a token from the budget if the attempt
// reached a backend server. A retry is allowed only if the call is known not to have run and
// another backend server may accept it, or if the call is idempotent and its outcome is unknown.
bool may_retry(const attempt& failed, retry_budget& budget, time_point now);

} // namespace caraway
