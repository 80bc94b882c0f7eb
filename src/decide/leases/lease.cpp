#include "decide/leases/lease.hpp"

#include <algorithm>
#include <utility>

namespace caraway {
namespace {

// A renewal is due after a third of the period, which leaves time for one lost renewal and its
// retry before the lease expires.
constexpr int renewal_divisor = 3;
// A failed renewal is retried after a tenth of the period, so that a short store outage doesn't end
// the lease.
constexpr int retry_divisor = 10;
// An unanswered release is repeated for two periods. The store has expired the lease by then.
constexpr int release_periods = 2;

// Delays the next attempt by between a quarter of the period and the whole period. The jitter keeps
// the candidates for a lease from colliding again.
void back_off(lease_keeper& keeper, time_point now) {
    const auto quarter = std::chrono::duration_cast<duration>(keeper.m_period) / 4;
    const auto jitter = std::chrono::duration_cast<duration>(quarter * 3 * keeper.m_random.unit());
    keeper.m_next_attempt = now + quarter + jitter;
}

// Delays the next attempt by between one and two tenths of the period.
void schedule_short_retry(lease_keeper& keeper, time_point now) {
    const auto tenth = std::chrono::duration_cast<duration>(keeper.m_period) / retry_divisor;
    const auto jitter = std::chrono::duration_cast<duration>(tenth * keeper.m_random.unit());
    keeper.m_next_attempt = now + tenth + jitter;
}

// Drops the store lease and everything known about it. m_other_holder_value is kept.
void reset_to_idle(lease_keeper& keeper) {
    keeper.m_phase = lease_phase::idle;
    keeper.m_held = false;
    keeper.m_lease.clear();
    keeper.m_revision = 0;
    keeper.m_claim_outcome_unknown = false;
    keeper.m_read_before_retry = false;
    keeper.m_doubtful = false;
}

// Starts the release of the lease. No later reply can make it held again.
void start_release(lease_keeper& keeper, time_point now) {
    keeper.m_held = false;
    keeper.m_phase = lease_phase::releasing;
    keeper.m_next_attempt = now;
    keeper.m_release_deadline = now + keeper.m_period * release_periods;
}

// Marks the lease as held and schedules its first renewal.
void mark_held(lease_keeper& keeper, std::uint64_t revision, time_point now) {
    keeper.m_phase = lease_phase::held;
    keeper.m_held = true;
    keeper.m_revision = revision;
    keeper.m_claim_outcome_unknown = false;
    keeper.m_read_before_retry = false;
    const time_point granted = keeper.m_valid_until - keeper.m_period;
    keeper.m_next_attempt = std::max(now, granted + keeper.m_period / renewal_divisor);
}

// Marks a lease that has outlived a restoration of the store as held from the next renewal on. The
// copy may hold an older expiry time than the keeper does.
void mark_held_if_renewed(lease_keeper& keeper, std::uint64_t revision, time_point now) {
    mark_held(keeper, revision, now);
    keeper.m_doubtful = false;
    keeper.m_valid_until = now;
    keeper.m_next_attempt = now;
}

// Lets the key be read before anything else is done with a lease from before a restoration.
void check_after_restoration(lease_keeper& keeper, time_point now) {
    keeper.m_held = false;
    if (keeper.m_lease.empty()) {
        return;
    }
    if (keeper.m_phase == lease_phase::releasing) {
        reset_to_idle(keeper); // the lease, if it still exists, expires
        keeper.m_next_attempt = now;
        return;
    }
    keeper.m_phase = lease_phase::claiming;
    keeper.m_doubtful = true;
    keeper.m_claim_outcome_unknown = false;
    keeper.m_read_before_retry = true;
    keeper.m_next_attempt = now;
}

// Handles a claim that failed because another holder has the key. The own store lease has no key
// and is left to expire, which needs no further request.
void handle_claim_conflict(lease_keeper& keeper, time_point now) {
    reset_to_idle(keeper);
    keeper.m_read_before_retry = true;
    back_off(keeper, now);
}

// Marks the request as pending and returns it.
lease_request begin_request(lease_keeper& keeper, lease_request request, time_point now) {
    keeper.m_pending_request = request;
    keeper.m_request_sent = now;
    return request;
}

void handle_create_reply(lease_keeper& keeper, const lease_reply& reply, time_point now) {
    if (reply.m_kind != error_kind::none) {
        // A lease whose create reply was lost carries no key and expires.
        reset_to_idle(keeper);
        back_off(keeper, now);
        return;
    }
    keeper.m_lease = reply.m_lease;
    keeper.m_valid_until = keeper.m_request_sent + keeper.m_period;
    keeper.m_phase = lease_phase::claiming;
    keeper.m_next_attempt = now;
}

void handle_claim_reply(lease_keeper& keeper, const lease_reply& reply, time_point now) {
    switch (reply.m_kind) {
    case error_kind::none:
        mark_held(keeper, reply.m_revision, now);
        return;
    case error_kind::store_conflict:
        // After an unanswered claim the key may be the one that this lease wrote.
        if (keeper.m_claim_outcome_unknown) {
            keeper.m_read_before_retry = true;
            keeper.m_next_attempt = now;
            return;
        }
        handle_claim_conflict(keeper, now);
        return;
    case error_kind::store_lease_lost:
        reset_to_idle(keeper);
        back_off(keeper, now);
        return;
    default:
        keeper.m_claim_outcome_unknown = true;
        keeper.m_read_before_retry = true;
        schedule_short_retry(keeper, now);
        return;
    }
}

// Without a store lease, the key belonged to another holder, and a new attempt is worth its
// requests only once the key is gone. With a store lease, the key is compared with what the claim
// would have written. An absent key means that the claim has not taken effect yet. It is sent again
// under the same lease; if the first claim arrives late, the second one conflicts and the key is
// read again.
void handle_read_reply(lease_keeper& keeper, const lease_reply& reply, time_point now) {
    const bool absent = reply.m_kind == error_kind::store_not_found;
    keeper.m_other_holder_value = reply.m_kind == error_kind::none ? reply.m_value : std::string{};
    if (absent && keeper.m_doubtful) {
        reset_to_idle(keeper);
        keeper.m_next_attempt = now;
        return;
    }
    if (absent) {
        keeper.m_read_before_retry = false;
        keeper.m_next_attempt = now;
        return;
    }
    if (keeper.m_lease.empty()) {
        back_off(keeper, now);
        return;
    }
    if (reply.m_kind != error_kind::none) {
        schedule_short_retry(keeper, now);
        return;
    }
    if (reply.m_value == lease_claim_value(keeper)) {
        keeper.m_other_holder_value.clear();
        if (keeper.m_doubtful) {
            mark_held_if_renewed(keeper, reply.m_revision, now);
        } else {
            mark_held(keeper, reply.m_revision, now);
        }
        return;
    }
    handle_claim_conflict(keeper, now);
}

// A store error doesn't end the lease: it stays as it is, and lease_held turns false by the local
// clock when the period is over. Only the store's reply that the lease is gone ends it. The holder
// then claims the key again at once: after a store outage it is the only candidate that needs no
// takeover, and the others are still backing off.
void handle_renew_reply(lease_keeper& keeper, const lease_reply& reply, time_point now) {
    if (reply.m_kind == error_kind::store_lease_lost) {
        reset_to_idle(keeper);
        keeper.m_next_attempt = now;
        return;
    }
    keeper.m_phase = lease_phase::held;
    if (reply.m_kind != error_kind::none) {
        schedule_short_retry(keeper, now);
        return;
    }
    keeper.m_valid_until = std::max(keeper.m_valid_until, keeper.m_request_sent + keeper.m_period);
    keeper.m_next_attempt =
        std::max(now, keeper.m_request_sent + keeper.m_period / renewal_divisor);
}

void handle_release_reply(lease_keeper& keeper, const lease_reply& reply, time_point now) {
    const bool gone = reply.m_kind == error_kind::none ||
                      reply.m_kind == error_kind::store_lease_lost ||
                      reply.m_kind == error_kind::store_not_found;
    if (gone) {
        reset_to_idle(keeper);
        keeper.m_next_attempt = now;
        return;
    }
    schedule_short_retry(keeper, now);
}

} // namespace

lease_keeper make_lease_keeper(std::string key, std::string value, milliseconds period,
                               std::uint64_t seed) {
    lease_keeper keeper;
    keeper.m_key = std::move(key);
    keeper.m_value = std::move(value);
    keeper.m_period = period;
    keeper.m_random = random_source(seed);
    return keeper;
}

lease_request lease_tick(lease_keeper& keeper, bool wanted, time_point now) {
    keeper.m_wanted = wanted;
    if (!wanted && keeper.m_phase != lease_phase::releasing) {
        // Waits for a pending request, which may still create a lease that must be released.
        keeper.m_held = false;
        if (keeper.m_pending_request != lease_request::none) {
            keeper.m_release_due = true;
            return lease_request::none;
        }
        if (keeper.m_lease.empty() || keeper.m_doubtful) {
            reset_to_idle(keeper);
            return lease_request::none;
        }
        start_release(keeper, now);
    }
    if (keeper.m_pending_request != lease_request::none || now < keeper.m_next_attempt) {
        return lease_request::none;
    }
    switch (keeper.m_phase) {
    case lease_phase::releasing:
        if (now >= keeper.m_release_deadline) {
            reset_to_idle(keeper);
            return lease_request::none;
        }
        return begin_request(keeper, lease_request::release, now);
    case lease_phase::held:
        keeper.m_phase = lease_phase::renewing;
        return begin_request(keeper, lease_request::renew, now);
    case lease_phase::claiming:
        if (now >= keeper.m_valid_until) {
            reset_to_idle(keeper);
            return lease_request::none;
        }
        return begin_request(
            keeper, keeper.m_read_before_retry ? lease_request::read_back : lease_request::claim,
            now);
    case lease_phase::idle:
        if (keeper.m_read_before_retry) {
            return begin_request(keeper, lease_request::read_back, now);
        }
        keeper.m_phase = lease_phase::creating;
        return begin_request(keeper, lease_request::create, now);
    case lease_phase::creating:
    case lease_phase::renewing:
        break;
    }
    return lease_request::none;
}

// If the lease stopped being wanted while the request was pending, the reply only settles the
// request, and the lease is released even if it is wanted again by now. It is no longer known to be
// held, and a new claim starts from a known state. A reply without a pending request is a duplicate
// and is ignored.
void lease_receive(lease_keeper& keeper, const lease_reply& reply, time_point now) {
    switch (std::exchange(keeper.m_pending_request, lease_request::none)) {
    case lease_request::none:
        return;
    case lease_request::create:
        handle_create_reply(keeper, reply, now);
        break;
    case lease_request::claim:
        handle_claim_reply(keeper, reply, now);
        break;
    case lease_request::read_back:
        handle_read_reply(keeper, reply, now);
        break;
    case lease_request::renew:
        handle_renew_reply(keeper, reply, now);
        break;
    case lease_request::release:
        handle_release_reply(keeper, reply, now);
        break;
    }
    if (std::exchange(keeper.m_restored_meanwhile, false)) {
        check_after_restoration(keeper, now);
    }
    if (std::exchange(keeper.m_release_due, false) && keeper.m_phase != lease_phase::releasing) {
        keeper.m_held = false;
        if (keeper.m_doubtful) {
            reset_to_idle(keeper);
        } else if (!keeper.m_lease.empty()) {
            start_release(keeper, now);
        }
    }
}

void lease_store_restored(lease_keeper& keeper, time_point now) {
    keeper.m_held = false;
    if (keeper.m_pending_request != lease_request::none) {
        keeper.m_restored_meanwhile = true;
        return;
    }
    check_after_restoration(keeper, now);
}

std::string lease_claim_value(const lease_keeper& keeper) {
    return keeper.m_value + ' ' + keeper.m_lease;
}

std::string_view other_holder(const lease_keeper& keeper) {
    return std::string_view(keeper.m_other_holder_value)
        .substr(0, keeper.m_other_holder_value.find(' '));
}

bool lease_held(const lease_keeper& keeper, time_point now) {
    return keeper.m_held && keeper.m_wanted && now < keeper.m_valid_until;
}

} // namespace caraway
