// Calls into the decision code that are recorded for replay when recording is on. Each function
// calls the function of src/decide that its comment names and returns what that returned.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "node/control.hpp"

namespace caraway {

// Starts recording as the settings say, with a line that names the process; a replay forgets what
// it knew of the instance there.
void begin_recording(const node_settings& settings, time_point now);

// make_lease_keeper
lease_keeper create_lease_keeper(std::string key, const node_settings& settings, std::uint64_t seed,
                                 time_point now);
// lease_tick; ticks that change nothing are not recorded.
lease_request next_lease_request(lease_keeper& keeper, bool wanted, time_point now);
// lease_receive
void apply_lease_reply(lease_keeper& keeper, const lease_reply& reply, time_point now);

// make_distribution
distribution_state create_distribution(const node_settings& settings, std::uint64_t seed,
                                       time_point now);
// distribution_heard and distribution_tick; calls that can't change anything are not recorded.
std::vector<distribution_action> decide_version_announced(control& state, std::string_view instance,
                                                          std::uint64_t version);
std::vector<distribution_action> decide_config_tick(control& state, time_point now);
// distribution_received, distribution_fetch_failed, distribution_store_read, distribution_parsed,
// distribution_joined and distribution_gone
std::vector<distribution_action> decide_text_received(control& state, std::string_view instance,
                                                      const config_text& text);
std::vector<distribution_action> decide_fetch_failed(control& state);
std::vector<distribution_action> decide_store_read(control& state,
                                                   const std::optional<config_text>& text);
std::vector<distribution_action> decide_text_parsed(control& state, std::uint64_t version,
                                                    bool valid);
std::vector<distribution_action> decide_joined(control& state, std::string_view instance,
                                               std::uint64_t version,
                                               std::uint64_t predecessor_version);
void remove_text_holder(control& state, std::string_view instance);

// Records that the text names another move, for which all evidence starts empty.
void record_move_change(const control& state);
// Records facts of the own service that were new here, and those that were dropped since the text
// no longer names their move.
void record_fact(const control& state, const suspension& value);
void record_fact(const control& state, const move_record& value);
void prune_recorded_facts(control& state, const std::vector<std::string>& keep_move_ids);

// add_evidence, then judge_evidence: the evidence of all instances in one interval.
evidence_result decide_evidence(control& state, std::span<const evidence_report> reports,
                                const service_spec& service);
// add_evidence, then is_locally_bad: the own server's evidence.
bool decide_local_evidence(control& state, std::span<const evidence_report> reports,
                           const service_spec& service, std::string& reason);
// begin_stage, on the evidence of all instances or on the own server's.
void begin_evidence_stage(control& state);
void begin_local_evidence_stage(control& state);
// start_move, take_over_move and step_move
move_record decide_move_start(const control& state, const service_spec& service);
move_record decide_move_takeover(const control& state, const move_record& record);
move_step decide_move_step(const control& state, const move_record& record);

} // namespace caraway
