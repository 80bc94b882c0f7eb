// Failure detection: direct and indirect probes, suspicions, and checks of deaths that other tables
// claim.
#pragma once

#include "decide/membership.hpp"
#include "decide/membership_table.hpp"

namespace caraway::swim {

// Notices that this process was paused, and puts off all verdicts until what waits in the socket is
// read.
void detect_pause(membership_table& table, time_point now);

// Asks for indirect probes where no ack came in time, and ends probes that are over.
void advance_probes(membership_table& table, time_point now, actions& out);

// Declares due suspects dead and forgets members that are gone for long.
void expire_timers(membership_table& table, time_point now, actions& out);

// Probes the next member of the round when that is due.
void probe_next(membership_table& table, time_point now, actions& out);

// Pings a member whose death is claimed elsewhere or held here, together with that claim.
void check_death_claims(membership_table& table, time_point now, actions& out);

// Pings one dead member now and then. Without this the halves of a long partition would never
// find each other again.
void ping_dead_member(membership_table& table, time_point now, actions& out);

// Pings the target for another node, and tells that node at once that the request arrived, so that
// it can tell a dead target from a broken path of its own.
void relay_ping(membership_table& table, const packet& received, const ip_endpoint& from,
                time_point now, actions& out);

// Settles the probe that the ack belongs to. An ack by another instance than the target confirms a
// ping request, or comes from an instance that took over the target's address.
void handle_probe_ack(membership_table& table, const packet& received, time_point now,
                      actions& out);

} // namespace caraway::swim
