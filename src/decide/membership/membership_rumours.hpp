// Rumours (new information that is immediately forwarded to a few random members) and gossip of
// queued updates between the probes. Both have budgets that limit a node's control traffic.
#pragma once

#include <string_view>
#include <vector>

#include "decide/membership/membership.hpp"
#include "decide/membership/membership_groups.hpp"
#include "decide/membership/membership_table.hpp"

namespace caraway::swim {

// Fills the budgets of a new table.
void start_budgets(membership_table& table, time_point now);

// Consumes a token from one of the table's budgets. Returns false if it is empty.
bool take_token(membership_table& table, double& tokens, time_point now);

// Sends the rumour to as many members of the local group as the fanout, except the excluded one,
// and with scope all_data_centres also to one member of each other data centre. Packets to the
// local group are filled up with due updates.
void send_rumour(membership_table& table, const packet& rumour, gossip_scope scope,
                 std::string_view excluded, time_point now, actions& out);

// Announces this node's entry to the fanout immediately and with the next packets.
void announce_self(membership_table& table, time_point now, actions& out);

// Sends queued updates to one random member between the probes, so that they do not wait for the
// next probe. A changed header (held version or facts digest) is sent the same way.
void gossip(membership_table& table, time_point now, actions& out);

// On a gateway: sends the queued changes to the other data centres.
void gossip_remote(membership_table& table, time_point now, actions& out);

// Forwards the facts of a packet that were not forwarded before and the given member rumours. Adds
// a facts_received action for the new facts.
void forward_rumours(membership_table& table, const packet& received, std::vector<member> rumours,
                     time_point now, actions& out);

} // namespace caraway::swim
