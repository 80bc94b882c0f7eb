#include "decide/traffic/retry.hpp"

#include <algorithm>

namespace caraway {
namespace {

// Maximum number of tokens of a budget, as a multiple of the initial burst.
constexpr double max_saved_bursts = 1.5;
// Lowest number of tokens of a budget, as a multiple of the maximum. Bounded so that one overload
// doesn't prevent retries long after its end.
constexpr double max_debt_factor = 10;

// Returns true for failures after which an idempotent call may be resent although it may have run.
// Other failures with unknown outcome would recur (answer too large) or leave no time (deadline,
// cancellation).
bool is_retryable_unknown(error_kind kind) {
    return kind == error_kind::connection_cut || kind == error_kind::answer_truncated ||
           kind == error_kind::answer_invalid;
}

} // namespace

retry_budget make_retry_budget(double percent, double burst) {
    retry_budget budget;
    budget.m_tokens_per_call = percent / 100;
    budget.m_tokens = burst;
    budget.m_max_tokens = max_saved_bursts * burst;
    return budget;
}

void budget_deposit(retry_budget& budget) {
    budget.m_tokens = std::min(budget.m_max_tokens, budget.m_tokens + budget.m_tokens_per_call);
}

void budget_charge(retry_budget& budget) {
    budget.m_tokens = std::max(-max_debt_factor * budget.m_max_tokens, budget.m_tokens - 1);
}

// The budget is checked last, so that a call that may not be retried for another reason takes no
// token.
bool may_retry(const attempt& failed, retry_budget& budget, time_point now) {
    const std::uint32_t limit =
        failed.m_reached_server ? failed.m_max_retries : max_refused_retries;
    if (failed.m_retries >= limit || failed.m_failed_downstream) {
        return false;
    }
    if (failed.m_deadline - now < min_retry_time) {
        return false;
    }
    const bool not_run = error_info_for(failed.m_failure).m_retry_elsewhere;
    if (!not_run && !(failed.m_idempotent && is_retryable_unknown(failed.m_failure))) {
        return false;
    }
    if (!failed.m_reached_server) {
        return true; // no extra load on any backend server
    }
    if (budget.m_tokens < 1) {
        return false;
    }
    budget.m_tokens -= 1;
    return true;
}

} // namespace caraway
