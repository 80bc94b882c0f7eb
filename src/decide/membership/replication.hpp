// Copies of this node's own entry at other members, beside the updates that spread by gossip. Pure
// functions.
#pragma once

#include <cstddef>
#include <vector>

#include "base/endpoint.hpp"
#include "base/random.hpp"
#include "decide/membership/membership.hpp"

namespace caraway {

// Members that are sent a copy at a time.
constexpr std::size_t max_replicas = 3;

// Returns the bulk addresses of up to max_replicas live members, chosen at random, one of them in
// another data centre if there is one there.
std::vector<ip_endpoint> choose_replicas(const membership_table& table, random_source& random);

} // namespace caraway
