// Failure detection: direct and indirect probes, suspicions, and verification of deaths claimed by
// other tables.
#pragma once

#include "decide/membership/membership.hpp"
#include "decide/membership/membership_table.hpp"

namespace caraway::swim {

// Detects a pause of this process. After one it drops this node's own probes and declares nobody
// dead for two probe intervals, so that the packets that wait in the socket are read first.
void detect_pause(membership_table& table, time_point now);

// Requests indirect probes where no ack arrived in time, and ends expired probes.
void advance_probes(membership_table& table, time_point now, actions& out);

// Declares expired suspects dead, turns members past their retention into tombstones and erases old
// tombstones.
void expire_timers(membership_table& table, time_point now, actions& out);

// Probes the next member of the local group when due, and on a gateway also the next member of
// another data centre.
void probe_next(membership_table& table, time_point now, actions& out);

// Verifies death claims: pings each member that the claim or this table lists as dead. The ping
// contains the claim, so that the member can refute it.
void check_death_claims(membership_table& table, time_point now, actions& out);

// Pings one dead member occasionally, and some recently lost members in each interval. Without this
// the halves of a long partition would never find each other again.
void ping_dead_member(membership_table& table, time_point now, actions& out);

// Pings the target for another node and immediately acknowledges the request to that node, so that
// it can distinguish a dead target from a broken path of its own.
void relay_ping(membership_table& table, const packet& received, const ip_endpoint& from,
                time_point now, actions& out);

// Completes the probe that the ack belongs to. An ack from another instance than the target
// confirms a ping request, or comes from an instance that took over the target's address.
void handle_probe_ack(membership_table& table, const packet& received, time_point now,
                      actions& out);

} // namespace caraway::swim
