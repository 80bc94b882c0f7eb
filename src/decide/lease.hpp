// Keeping one lease in the store: claim a key, renew, release, and know when it can no longer be
// relied on. Pure state machine; the adapter carries out the actions and reports the replies.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "base/random.hpp"

namespace caraway {

enum class lease_phase : std::uint8_t { idle, creating, claiming, held, renewing, releasing };

enum class lease_request : std::uint8_t { none, create, claim, renew, read_back, release };

// A lease that this node tries to hold. The key is attached to a store lease, so it vanishes when
// the store lease ends.
struct lease_keeper {
    std::string m_key;
    std::string m_value; // written under the key: the holder's name or address
    milliseconds m_period{5'000};
    lease_phase m_phase = lease_phase::idle;
    std::string m_lease;              // store lease id while one exists
    std::string m_other_holder_value; // another holder's value, as last read
    std::uint64_t m_revision = 0;     // revision of the key when it was claimed
    time_point m_valid_until;         // by the own clock, from before the request was sent
    time_point m_request_sent;
    time_point m_next_attempt;
    bool m_wanted = false; // false releases
    bool m_held = false;
    lease_request m_pending_request = lease_request::none;
    bool m_claim_outcome_unknown =
        false; // a claim under m_lease got no answer and may still take effect
    bool m_read_before_retry = false; // read the key before the next create or claim
    bool m_release_due = false;       // not wanted while a request was under way: release after it
    time_point m_release_deadline;    // an unanswered release is given up after this
    random_source m_random{1};
};

// Creates a keeper; nothing happens until wanted is set.
lease_keeper make_lease_keeper(std::string key, std::string value, milliseconds period,
                               std::uint64_t seed);

// Decides the next store call. At most one is under way at a time; failed attempts back off with
// jitter between a quarter and one whole lease period.
lease_request lease_tick(lease_keeper& keeper, bool wanted, time_point now);

// The reply of the store to the request under way. kind is none on success; store_conflict when
// another holder has the key; store_lease_lost when the store lease is gone; store_unreachable or
// store_outcome_unknown leave the lease as it is until its period is over, since an error of the
// store is not a lost lease. After an unknown outcome of a claim the key is read back first.
struct lease_reply {
    error_kind m_kind = error_kind::none;
    std::string m_lease;          // create: the new store lease
    std::uint64_t m_revision = 0; // claim, read_back: revision of the key
    std::string m_value;          // read_back: value found
};
void lease_receive(lease_keeper& keeper, const lease_reply& reply, time_point now);

// The value to write with a claim: the keeper's value and the store lease. A read after an unknown
// outcome must tell this claim from one that the same node made under an earlier lease, whose key
// vanishes with that lease.
std::string lease_claim_value(const lease_keeper& keeper);

// The name that another holder wrote, as last read; empty when none was read.
std::string_view other_holder(const lease_keeper& keeper);

// True while the lease can be relied on: granted, and its period counted from before the last
// successful request was sent has not passed. A process that was frozen sees false at once.
bool lease_held(const lease_keeper& keeper, time_point now);

} // namespace caraway
