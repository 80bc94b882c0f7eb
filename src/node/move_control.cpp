#include <algorithm>
#include <array>
#include <utility>

#include <fmt/format.h>

#include "base/hash.hpp"
#include "node/control.hpp"
#include "node/recorded.hpp"
#include "observe/log.hpp"
#include "store/store_version.hpp"

namespace caraway {
namespace {

// Interval at which nodes report evidence and the evidence is evaluated. The evidence test needs at
// least two intervals, so with intervals of 1 s a version that failed under load was suspended a
// second later.
constexpr milliseconds evidence_interval{500};
// Interval at which the holder of a move checks whether the next step is due. With an interval of a
// second, each of the last four stages lost up to a second of the time that remains after a store
// outage.
constexpr milliseconds step_interval{200};
constexpr milliseconds store_retry_pause{500};
// Maximum number of reports kept between two evaluations: several per instance of a large service.
constexpr std::size_t max_reports = 4'096;

std::string record_key(const control& state, std::string_view service) {
    return state.m_adapter.m_move_key_prefix + std::string(service);
}

// Returns this node's service if the current configuration contains a move of it, otherwise null.
const service_spec* find_own_moving_service(const control& state) {
    if (!state.m_mesh) {
        return nullptr;
    }
    const auto found = state.m_mesh->m_services.find(state.m_own_view.m_service);
    const bool moving = found != state.m_mesh->m_services.end() && found->second.m_move;
    return moving ? &found->second : nullptr;
}

// Returns true once this node knows that the move has ended.
bool is_move_finished(const control& state, const std::string& id) {
    const auto found = state.m_facts.m_records.find(state.m_own_view.m_service);
    return found != state.m_facts.m_records.end() && found->second.m_move_id == id &&
           found->second.m_state != move_state::running;
}

// Resets the state of the move when the text has another move, or none any more.
void reset_on_new_move(control& state, const service_spec* service) {
    move_role& role = state.m_move;
    const std::string id =
        service != nullptr ? move_id(service->m_name, *service->m_move) : std::string{};
    if (id == role.m_move_id) {
        return;
    }
    role.m_move_id = id;
    role.m_first_seen_at = state.now();
    role.m_holds_record = false;
    role.m_record_current = false;
    role.m_record.reset();
    role.m_stored_version = 0;
    role.m_evidence = {};
    role.m_local_evidence = {};
    role.m_reports.clear();
    role.m_old_version_sum = {};
    role.m_received_old_version_sum = {};
    role.m_local_stage = 0;
    role.m_evidence_stage = 0;
    record_move_change(state);
    if (service != nullptr && !role.m_lease) {
        role.m_lease.emplace();
        role.m_lease->m_keeper =
            create_lease_keeper("caraway/lease/move/" + service->m_name, state.m_settings,
                                state.m_random(), state.now());
    }
}

// Suspends the move's new version on this node and spreads the suspension.
void suspend_version(control& state, const service_spec& service, const std::string& reason) {
    const suspension value{
        state.m_move.m_move_id,      service.m_name, service.m_move->m_to,
        state.m_settings.m_instance, reason,         unix_ms(state.m_clock.wall_now())};
    merge_facts(state, std::span(&value, 1), {}, true);
    refresh_snapshot(state);
}

// Writes the verdict of a finished move to the store once, and again if the write failed. Nothing
// is written where operators read the move record itself.
void write_verdict(control& state, const move_record& record) {
    if (record.m_state == move_state::running ||
        !state.m_move.m_verdicts_written.insert(record.m_move_id).second) {
        return;
    }
    if (state.reads_operator_items()) {
        return; // operators read the record itself
    }
    const std::string key =
        fmt::format("caraway/verdict/move/{}/{}", record.m_service, record.m_move_id);
    state.m_store->put(key, encode_move(record), 0, {},
                       [&state, id = record.m_move_id](const store_reply& reply) {
                           const bool written = reply.m_kind == error_kind::none ||
                                                reply.m_kind == error_kind::store_conflict;
                           if (!written) {
                               state.m_move.m_verdicts_written.erase(id);
                           }
                       });
}

// Makes a record that was read from or written to the store this node's current move record, and
// spreads it to the members. stored_version is the version under which the store holds it now.
void adopt_record(control& state, const move_record& record, std::uint64_t stored_version) {
    move_role& role = state.m_move;
    role.m_record = record;
    role.m_stored_version = stored_version;
    role.m_record_current = true;
    role.m_holds_record = record.m_holder == state.m_settings.m_instance;
    merge_facts(state, {}, std::span(&record, 1), true);
    refresh_snapshot(state);
}

// Reads the move record from the store. A malformed one, which another writer left, is logged and
// counts as absent, so that it is overwritten.
void read_record(control& state, const std::string& service) {
    state.m_move.m_call_pending = true;
    state.m_store->get(record_key(state, service), [&state](const store_reply& reply) {
        move_role& role = state.m_move;
        role.m_call_pending = false;
        role.m_retry_at = state.now() + store_retry_pause;
        if (reply.m_kind != error_kind::none && reply.m_kind != error_kind::store_not_found) {
            return;
        }
        const bool present = reply.m_kind == error_kind::none;
        const auto record =
            present ? state.m_adapter.m_decode_move(reply.m_value, reply.m_revision) : std::nullopt;
        if (!record) {
            if (present) {
                log_event(log_level::error, "move_record_malformed",
                          {{"revision", reply.m_revision}});
            }
            role.m_record_current = true;
            role.m_holds_record = false;
            role.m_record.reset();
            role.m_stored_version = present ? reply.m_revision : 0;
            return;
        }
        role.m_retry_at = state.now();
        adopt_record(state, *record, reply.m_revision);
    });
}

// Writes a record by compare-and-swap on the version that was read last. Unless the write
// succeeds, the record is read again before the next decision.
void write_record(control& state, move_record record) {
    move_role& role = state.m_move;
    role.m_call_pending = true;
    record.m_revision = make_version(state.m_store->era(), 0);
    const std::uint64_t if_revision = role.m_stored_version;
    state.m_store->put_fenced(record_key(state, record.m_service),
                              state.m_adapter.m_encode_move(record), if_revision, {}, role.m_fence,
                              [&state, record](const store_reply& reply) {
                                  move_role& current_role = state.m_move;
                                  current_role.m_call_pending = false;
                                  if (record.m_move_id != current_role.m_move_id) {
                                      return; // the text has another move by now
                                  }
                                  if (reply.m_kind != error_kind::none) {
                                      current_role.m_record_current = false;
                                      current_role.m_holds_record = false;
                                      current_role.m_retry_at = state.now() + store_retry_pause;
                                      return;
                                  }
                                  move_record written = record;
                                  written.m_revision = reply.m_revision;
                                  log_event(log_level::info, "move_written",
                                            {{"service", written.m_service},
                                             {"move", written.m_move_id},
                                             {"state", move_state_name(written.m_state)},
                                             {"weight_permille", written.m_weight_permille},
                                             {"stage", written.m_stage},
                                             {"revision", written.m_revision},
                                             {"reason", written.m_reason}});
                                  if (current_role.m_evidence_stage != written.m_stage) {
                                      current_role.m_evidence_stage = written.m_stage;
                                      begin_evidence_stage(state);
                                  }
                                  adopt_record(state, written, reply.m_revision);
                              });
}

// Returns the sum of the reports of one version.
evidence_report sum_reports(std::span<const evidence_report> reports, const std::string& version) {
    evidence_report sum;
    sum.m_version = version;
    for (const evidence_report& report : reports) {
        if (report.m_version != version) {
            continue;
        }
        for (const auto& [route, counts] : report.m_routes) {
            arm_counts& total = sum.m_routes[route];
            total.m_calls += counts.m_calls;
            total.m_failures += counts.m_failures;
            total.m_cold_calls += counts.m_cold_calls;
            for (std::size_t i = 0; i < latency_buckets; ++i) {
                total.m_latency[i] += counts.m_latency[i];
            }
        }
    }
    return sum;
}

// Adds the reports of the last interval, including this node's own, to the evidence and evaluates
// it.
evidence_result evaluate_reports(control& state, const service_spec& service) {
    move_role& role = state.m_move;
    role.m_old_version_sum = sum_reports(role.m_reports, service.m_version);
    const std::vector<evidence_report> reports = std::exchange(role.m_reports, {});
    return decide_evidence(state, reports, service);
}

// Returns the record of the move in force if the store has lost it: it has none that can be read,
// or was restored from a copy and has an earlier one than this node knows. Otherwise returns null.
const move_record* find_lost_record(const control& state, const service_spec& service) {
    const move_role& role = state.m_move;
    const auto known = state.m_facts.m_records.find(service.m_name);
    if (known == state.m_facts.m_records.end() || known->second.m_move_id != role.m_move_id) {
        return nullptr;
    }
    if (!role.m_record) {
        return &known->second;
    }
    const bool restored = era_of(known->second.m_revision) < state.m_store->era();
    const bool is_later = known->second.m_revision > role.m_record->m_revision;
    return restored && is_later ? &known->second : nullptr;
}

// Lets the holder of the lease read the record again after a restoration of the store, also that of
// a finished move: the store may have lost it.
void reset_after_restoration(control& state) {
    move_role& role = state.m_move;
    const std::uint64_t era = state.m_store ? state.m_store->era() : 0;
    if (role.m_era == era) {
        return;
    }
    role.m_era = era;
    role.m_record_current = false;
    role.m_holds_record = false;
    role.m_verdicts_written.clear();
    role.m_fence = {};
}

// Reads the version of the claim's fence, which all writes of the record require.
void read_fence(control& state, const std::string& key) {
    state.m_move.m_call_pending = true;
    state.m_store->get(key, [&state, key](const store_reply& reply) {
        move_role& role = state.m_move;
        role.m_call_pending = false;
        if (reply.m_kind == error_kind::none) {
            role.m_fence = {key, reply.m_revision};
        } else {
            role.m_retry_at = state.now() + store_retry_pause;
        }
    });
}

// Performs one step of the lease holder: reads, creates, takes over or advances the record, or
// writes the verdict of a finished move. Writes the record again if the store has lost it.
void step_holder(control& state, const service_spec& service) {
    move_role& role = state.m_move;
    if (role.m_fence.m_key != role.m_lease->m_fence_key) {
        read_fence(state, role.m_lease->m_fence_key);
        return;
    }
    if (!role.m_record_current) {
        read_record(state, service.m_name);
        return;
    }
    if (const move_record* lost = find_lost_record(state, service)) {
        log_event(log_level::warning, "move_record_restored",
                  {{"service", lost->m_service},
                   {"move", lost->m_move_id},
                   {"state", move_state_name(lost->m_state)}});
        write_record(state, *lost);
        return;
    }
    if (!role.m_record || role.m_record->m_move_id != role.m_move_id) {
        write_record(state, create_first_move_record(state, service));
        return;
    }
    if (role.m_record->m_state != move_state::running) {
        write_verdict(state, *role.m_record);
        return;
    }
    if (!role.m_holds_record) {
        write_record(state, decide_move_takeover(state, *role.m_record));
        return;
    }
    const move_step step = decide_move_step(state, *role.m_record);
    if (step.m_kind == move_step::kind::write) {
        write_record(state, step.m_record);
    }
}

// Returns the members that may hold the move's lease, which can include this node. All of them
// receive the reports, so that the evidence is evaluated and the version suspended even while the
// holder is dead or paused, and the next holder already has the evidence.
std::vector<const member*> evidence_targets(const control& state, const service_spec& service) {
    const std::string role = "caraway/lease/move/" + service.m_name;
    std::vector<const member*> targets{&state.m_members.m_self};
    for (const member* live_member : live_members(state.m_members)) {
        if (live_member->m_service == service.m_name) {
            targets.push_back(live_member);
        }
    }
    const std::size_t target_count = std::min(targets.size(), lease_candidates);
    std::partial_sort(targets.begin(), targets.begin() + static_cast<std::ptrdiff_t>(target_count),
                      targets.end(), [&role](const member* a, const member* b) {
                          return rendezvous_weight(role, a->m_instance) >
                                 rendezvous_weight(role, b->m_instance);
                      });
    targets.resize(target_count);
    return targets;
}

// Sends the report to a candidate, which replies with the old version's sum of the last interval.
void send_report(control& state, const ip_endpoint& to, const evidence_report& own) {
    send_bulk(state, to, own, [&state](const std::optional<bulk_reply>& reply) {
        const auto* sum = reply ? std::get_if<evidence_report>(&*reply) : nullptr;
        if (sum != nullptr && !sum->m_routes.empty()) {
            state.m_move.m_received_old_version_sum = *sum;
        }
    });
}

// Compares the own server's calls of the interval with the old version's calls as received from the
// lease candidates, and suspends the version if they show that it is bad.
void evaluate_local_evidence(control& state, const service_spec& service,
                             const evidence_report& own, std::uint32_t stage) {
    move_role& role = state.m_move;
    if (stage != role.m_local_stage) {
        role.m_local_stage = stage;
        begin_local_evidence_stage(state);
    }
    std::uint32_t instances = 1;
    for (const member* live_member : live_members(state.m_members)) {
        const bool same_version = live_member->m_service == service.m_name &&
                                  live_member->m_version == state.m_own_view.m_version;
        instances += same_version ? 1 : 0;
    }
    role.m_local_evidence.m_instances = instances;
    const std::array reports{own, role.m_received_old_version_sum};
    role.m_received_old_version_sum = {};
    std::string reason;
    const bool is_bad = decide_local_evidence(state, reports, service, reason);
    if (is_bad && !is_suspended(state.m_facts, role.m_move_id)) {
        suspend_version(state, service, reason);
    }
}

// Reports the own server's counts to the candidates for the lease. If the server runs the new
// version, first evaluates the local evidence, which may suspend the version.
void report_evidence(control& state, const service_spec& service) {
    evidence_report own = state.m_traffic->take_evidence();
    own.m_instance = state.m_settings.m_instance;
    own.m_service = service.m_name;
    const bool is_old = is_old_version(service, state.m_own_view.m_version,
                                       excluded_versions(state.m_facts, service.m_name));
    own.m_version = is_old ? service.m_version : state.m_own_view.m_version;
    if (is_move_finished(state, state.m_move.m_move_id)) {
        return;
    }
    const auto record = state.m_facts.m_records.find(service.m_name);
    const std::uint32_t stage =
        record != state.m_facts.m_records.end() ? record->second.m_stage : 0;
    if (stage != state.m_move.m_evidence_stage) {
        state.m_move.m_evidence_stage = stage;
        begin_evidence_stage(state);
    }
    if (own.m_version == service.m_move->m_to) {
        if (state.m_move.m_received_old_version_sum.m_routes.empty()) {
            state.m_move.m_received_old_version_sum = state.m_move.m_old_version_sum;
        }
        evaluate_local_evidence(state, service, own, stage);
    }
    if (own.m_routes.empty()) {
        return;
    }
    for (const member* target : evidence_targets(state, service)) {
        if (target->m_instance == state.m_settings.m_instance) {
            receive_evidence(state, own);
        } else {
            send_report(state, target->m_bulk, own);
        }
    }
}

// Returns whether this node should hold or acquire the lease of the move.
bool wants_lease(control& state, const service_spec* service, time_point now) {
    lease_role& lease = *state.m_move.m_lease;
    // The lease of a finished move is still acquired once, so that the verdict is written even if
    // the holder died right after ending the move.
    if (service == nullptr || state.m_leaving ||
        state.m_move.m_verdicts_written.contains(state.m_move.m_move_id)) {
        return false;
    }
    const bool candidate =
        refresh_candidate(state, lease, now, [service](const member& candidate_member) {
            return candidate_member.m_service == service->m_name && !candidate_member.m_store_lost;
        });
    return lease.m_keeper.m_held || candidate;
}

} // namespace

void receive_evidence(control& state, const evidence_report& report) {
    if (report.m_service == state.m_own_view.m_service &&
        state.m_move.m_reports.size() < max_reports) {
        state.m_move.m_reports.push_back(report);
    }
}

void tick_move(control& state, time_point now) {
    const service_spec* service = find_own_moving_service(state);
    reset_on_new_move(state, service);
    reset_after_restoration(state);
    move_role& role = state.m_move;
    if (role.m_lease) {
        run_lease(state, *role.m_lease, wants_lease(state, service, now));
    }
    if (service == nullptr) {
        if (now >= state.m_next_evidence && state.m_traffic) {
            state.m_next_evidence = now + evidence_interval;
            state.m_traffic
                ->take_evidence(); // discards counts that are no evidence for a later move
        }
        return;
    }
    if (now >= state.m_next_evidence && state.m_traffic) {
        state.m_next_evidence = now + evidence_interval;
        report_evidence(state, *service);
        // Suspending needs no lease: bad evidence stops the version even while the store is down.
        const evidence_result result = evaluate_reports(state, *service);
        if (result.m_verdict == evidence_verdict::bad &&
            !is_suspended(state.m_facts, role.m_move_id) &&
            !is_move_finished(state, role.m_move_id)) {
            suspend_version(state, *service, result.m_reason);
        }
    }
    const bool held = role.m_lease && lease_held(role.m_lease->m_keeper, now);
    if (!held) {
        role.m_record_current = false; // the record is read again once the lease is acquired
        role.m_holds_record = false;
        return;
    }
    const bool must_stop = role.m_holds_record && role.m_record &&
                           role.m_record->m_state == move_state::running &&
                           is_suspended(state.m_facts, role.m_move_id);
    if (role.m_call_pending || now < role.m_retry_at || (now < role.m_next_step && !must_stop)) {
        return;
    }
    // The next step follows a finished store call immediately. Pauses of 1 s after the read and
    // after the takeover would cost a move close to its deadline two seconds after a store outage.
    step_holder(state, *service);
    if (!role.m_call_pending) {
        role.m_next_step = now + step_interval;
    }
}

} // namespace caraway
