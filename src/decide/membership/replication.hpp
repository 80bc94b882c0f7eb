// Copies of this node's own entry at other members. A promise that rests on the entry is given only
// once enough members have confirmed a copy, so that it outlives this process. Pure functions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/endpoint.hpp"
#include "base/random.hpp"
#include "decide/membership/membership.hpp"

namespace caraway {

// Members that are sent a copy at a time.
constexpr std::size_t max_replicas = 3;
// Confirmed copies that suffice; fewer if fewer members are alive. Two, so that the promise also
// survives the loss of one more node.
constexpr std::size_t sufficient_replicas = 2;

// Result of sending copies.
enum class replication_result : std::uint8_t {
    pending, // not decided yet, or decided by an earlier reply
    done,    // enough members have confirmed their copy
    failed,  // too few members can still confirm
};

// Replies to the copies that were sent at a time.
struct replication_round {
    std::size_t m_outstanding = 0; // copies sent without a reply yet
    std::size_t m_required = 0;    // confirmations still needed
    bool m_decided = false;
};

// Returns the bulk addresses of up to max_replicas live members, chosen at random, one of them in
// another data centre if there is one there.
std::vector<ip_endpoint> choose_replicas(const membership_table& table, random_source& random);

// Starts a round with this number of copies sent, at least one.
replication_round begin_round(std::size_t copies);

// Counts the reply of one member, or its absence. Returns done or failed once, with the reply that
// decides the round.
replication_result count_reply(replication_round& round, bool confirmed);

} // namespace caraway
