// Holds one lease in the store: claims a key, renews and releases the lease, and tells whether it
// is still valid. Pure state machine; the adapter sends the requests and passes the replies in.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "base/random.hpp"

namespace caraway {

// State of a lease keeper.
enum class lease_phase : std::uint8_t { idle, creating, claiming, held, renewing, releasing };

// A request to the store. read_back reads the key after a conflict or an unknown outcome.
enum class lease_request : std::uint8_t { none, create, claim, renew, read_back, release };

// A lease that this node tries to hold. The key is attached to a store lease, so it disappears when
// the store lease ends.
struct lease_keeper {
    std::string m_key;
    std::string m_value;          // written under the key: the holder's name or address
    milliseconds m_period{5'000}; // the lease expires if it isn't renewed within this time
    lease_phase m_phase = lease_phase::idle;
    std::string m_lease;              // store lease id; empty without a store lease
    std::string m_other_holder_value; // as last read; empty if none was read
    std::uint64_t m_revision = 0;     // revision of the key when it was claimed
    time_point m_valid_until; // by the local clock, counted from before the request was sent
    time_point m_request_sent;
    time_point m_next_attempt;
    bool m_wanted = false; // false makes the keeper release the lease
    bool m_held = false;
    lease_request m_pending_request = lease_request::none;
    // A claim under m_lease got no reply and may still take effect.
    bool m_claim_outcome_unknown = false;
    bool m_read_before_retry = false; // read the key before the next create or claim
    bool m_release_due = false; // not wanted while a request was pending: release after its reply
    // The store was restored from a copy. m_lease may be lost, or be the id of another holder's
    // lease by now, until the key has been read with this keeper's claim.
    bool m_doubtful = false;
    bool m_restored_meanwhile =
        false;                     // restored while a request was pending: check after its reply
    time_point m_release_deadline; // an unanswered release is abandoned after this time
    random_source m_random{1};
};

// Creates an idle keeper, which sends nothing until lease_tick is called with wanted set. The seed
// determines the jitter of its back-off.
lease_keeper make_lease_keeper(std::string key, std::string value, milliseconds period,
                               std::uint64_t seed);

// Returns the next request to send to the store, or none. At most one request is pending at a time.
// Failed attempts back off with jitter for between a quarter of the lease period and the whole
// period. With wanted false, the lease is released.
lease_request lease_tick(lease_keeper& keeper, bool wanted, time_point now);

// The store's reply to the pending request. m_kind is none on success, store_conflict if another
// holder has the key, and store_lease_lost if the store lease is gone. After store_unreachable or
// store_outcome_unknown the lease stays valid until its period is over, since a store error doesn't
// end a lease. After a claim with an unknown outcome the key is read back first.
struct lease_reply {
    error_kind m_kind = error_kind::none;
    std::string m_lease;          // create: id of the new store lease
    std::uint64_t m_revision = 0; // claim, read_back: revision of the key
    std::string m_value;          // read_back: value of the key
};
// Handles the reply to the pending request. A reply without a pending request is ignored.
void lease_receive(lease_keeper& keeper, const lease_reply& reply, time_point now);

// Handles the news that the store was restored from a copy. The lease is not held any more. If the
// key still has this keeper's claim, it is held again after a renewal, otherwise it is claimed
// again under a new store lease. The old one is neither renewed before nor released: its id may
// have been assigned again.
void lease_store_restored(lease_keeper& keeper, time_point now);

// Returns the value to write with a claim: the keeper's value and the store lease id. A read after
// an unknown outcome must distinguish this claim from one that the same node made under an earlier
// lease, whose key disappears with that lease.
std::string lease_claim_value(const lease_keeper& keeper);

// Returns the name that another holder wrote under the key, as last read. Empty if none was read.
std::string_view other_holder(const lease_keeper& keeper);

// Returns whether the lease is valid: it was granted, and less than one period has passed since the
// last successful request was sent. A process resumed after a pause therefore sees an expired lease
// at once.
bool lease_held(const lease_keeper& keeper, time_point now);

} // namespace caraway
