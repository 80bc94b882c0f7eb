// Wrappers around the decision code that record their calls for replay when recording is enabled.
// The comment of each function names the functions of src/decide that it calls; unless it says
// otherwise, the wrapper returns their result. All of them run on the control thread.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "node/control.hpp"

namespace caraway {

// Starts recording if the settings enable it, with a line that names the process. At this line a
// replay discards the state that it has for the instance.
void begin_recording(const node_settings& settings, time_point now);

// Creates the state of a lease (make_lease_keeper). Makes no store call.
lease_keeper create_lease_keeper(std::string key, const node_settings& settings, std::uint64_t seed,
                                 time_point now);
// Returns the next store call for a lease (lease_tick). Ticks that change nothing are not recorded.
lease_request next_lease_request(lease_keeper& keeper, bool wanted, time_point now);
// Applies the reply to a store call for a lease (lease_receive).
void apply_lease_reply(lease_keeper& keeper, const lease_reply& reply, time_point now);
void handle_lease_restoration(lease_keeper& keeper, time_point now);

// Creates the state of the configuration distribution (make_distribution).
distribution_state create_distribution(const node_settings& settings, std::uint64_t seed,
                                       time_point now);
// Processes the announcement of a version by a peer (distribution_peer_version). Calls that can't
// change anything are not recorded.
std::vector<distribution_action> decide_version_announced(control& state, std::string_view instance,
                                                          std::uint64_t version);
// Processes the passage of time (distribution_tick). Calls that can't change anything are not
// recorded.
std::vector<distribution_action> decide_config_tick(control& state, time_point now);
// Processes a text fetched from a peer (distribution_text_received).
std::vector<distribution_action> decide_text_received(control& state, std::string_view instance,
                                                      const config_text& text);
// Processes the failure of the fetch under way (distribution_fetch_failed).
std::vector<distribution_action> decide_fetch_failed(control& state);
// Processes the accepted text read from the store, or that the store holds none
// (distribution_store_read).
std::vector<distribution_action> decide_store_read(control& state,
                                                   const std::optional<config_text>& text);
// Processes the result of parsing a held text (distribution_parsed).
std::vector<distribution_action> decide_text_parsed(control& state, std::uint64_t version,
                                                    bool valid);
// Processes a member's reply to a join request (distribution_join_reply). `predecessor_version` is
// the highest version that the previous process of this instance announced to that member.
std::vector<distribution_action> decide_join_reply(control& state, std::string_view instance,
                                                   std::uint64_t version,
                                                   std::uint64_t predecessor_version);
// Removes an instance that left the mesh from the known holders of texts (distribution_peer_gone).
// Calls for unknown instances are not recorded.
void remove_text_holder(control& state, std::string_view instance);

// Records that the configuration names another move, for which all evidence starts empty.
void record_move_change(const control& state);
// Records a fact that is new to this node. Only facts of this node's own service are recorded.
void record_fact(const control& state, const suspension& value);
void record_fact(const control& state, const move_record& value);
// Drops the facts that the configuration in force, with these moves, no longer needs (prune_facts).
// Records which move of the own service is kept.
void prune_and_record_facts(control& state, const std::vector<std::string>& move_ids);

// Adds the evidence of all instances for one interval and evaluates it (add_evidence, then
// evaluate_evidence).
evidence_result decide_evidence(control& state, std::span<const evidence_report> reports,
                                const service_spec& service);
// Adds the evidence of this node's own backend server and returns whether the new version is bad
// there, with the reason (add_evidence, then is_locally_bad).
bool decide_local_evidence(control& state, std::span<const evidence_report> reports,
                           const service_spec& service, std::string& reason);
// Starts a new stage (begin_stage) of the evidence of all instances, or of that of the own backend
// server.
void begin_evidence_stage(control& state);
void begin_local_evidence_stage(control& state);
// Creates the record of a new move (start_move). The deadline of a move given by a duration counts
// from the time when this node first saw the order.
move_record create_first_move_record(const control& state, const service_spec& service);
// Returns the record with this node as the holder of the move (take_over_move).
move_record decide_move_takeover(const control& state, const move_record& record);
// Returns the next step of a move that this node holds (step_move).
move_step decide_move_step(const control& state, const move_record& record);

} // namespace caraway
