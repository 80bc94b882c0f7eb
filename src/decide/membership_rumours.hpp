// Rumours (news forwarded at once to a random few) and gossip of queued updates between the probes,
// both within budgets that bound a node's control bytes.
#pragma once

#include <string_view>
#include <vector>

#include "decide/membership.hpp"
#include "decide/membership_groups.hpp"
#include "decide/membership_table.hpp"

namespace caraway::swim {

// Fills the budgets of a new table.
void start_budgets(membership_table& table, time_point now);

// Takes a token from one of the table's budgets. Returns false when it is empty.
bool take_token(membership_table& table, double& tokens, time_point now);

// Sends the rumour to the fanout nearby, but for one member, and, if it is for everyone, to one
// member of each other data centre. The rest of the packets nearby carries owed updates.
void send_rumour(membership_table& table, const packet& rumour, gossip_scope scope,
                 std::string_view excluded, time_point now, actions& out);

// Announces the own entry to the fanout at once and with the next packets.
void announce_self(membership_table& table, time_point now, actions& out);

// Sends queued updates to one random member between the probes, so that news doesn't wait for them.
// A changed header is news too.
void gossip(membership_table& table, time_point now, actions& out);

// As carrier: sends what has changed in the own data centre to the others.
void gossip_remote(membership_table& table, time_point now, actions& out);

// Forwards new facts and the given member rumours of a packet once, and reports new facts.
void forward_rumours(membership_table& table, const packet& received, std::vector<member> rumours,
                     time_point now, actions& out);

} // namespace caraway::swim
