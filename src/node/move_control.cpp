#include <algorithm>
#include <array>
#include <utility>

#include <fmt/format.h>

#include "base/hash.hpp"
#include "node/control.hpp"
#include "node/recorded.hpp"
#include "observe/log.hpp"

namespace caraway {
namespace {

// Backend sides report, and the evidence is weighed, once in this interval. The test needs at least
// two; with intervals of 1 s a version that failed under load was suspended a second later.
constexpr milliseconds evidence_interval{500};
// The holder looks at the record this often. With whole seconds, each of the last four stages lost
// up to a second of the time that an outage of the store leaves.
constexpr milliseconds step_interval{200};
constexpr milliseconds store_retry_pause{500};
// Reports kept between two steps: several per instance of a large service.
constexpr std::size_t max_reports = 4'096;

std::string record_key(const control& state, std::string_view service) {
    return state.m_adapter.m_move_prefix + std::string(service);
}

// The own service with its move, or null when no move of it is in the text.
const service_spec* own_move(const control& state) {
    if (!state.m_mesh) {
        return nullptr;
    }
    const auto found = state.m_mesh->m_services.find(state.m_own_view.m_service);
    const bool moving = found != state.m_mesh->m_services.end() && found->second.m_move;
    return moving ? &found->second : nullptr;
}

// True once this node knows that the move has ended.
bool is_final(const control& state, const std::string& id) {
    const auto found = state.m_facts.m_records.find(state.m_own_view.m_service);
    return found != state.m_facts.m_records.end() && found->second.m_move_id == id &&
           found->second.m_state != move_state::running;
}

// Starts afresh when the text names another move.
void follow_text(control& state, const service_spec* service) {
    move_role& role = state.m_move;
    const std::string id =
        service != nullptr ? move_id(service->m_name, *service->m_move) : std::string{};
    if (id == role.m_move_id) {
        return;
    }
    role.m_move_id = id;
    role.m_ordered_at = state.now();
    role.m_own = false;
    role.m_fresh = false;
    role.m_record.reset();
    role.m_evidence = {};
    role.m_local = {};
    role.m_reports.clear();
    role.m_old_sum = {};
    role.m_told_old_sum = {};
    role.m_local_stage = 0;
    role.m_evidence_stage = 0;
    record_move_change(state);
    if (service != nullptr && !role.m_lease) {
        role.m_lease.emplace();
        role.m_lease->m_keeper = begin_lease("caraway/lease/move/" + service->m_name,
                                             state.m_settings, state.m_random(), state.now());
    }
}

void suspend(control& state, const service_spec& service, const std::string& reason) {
    const suspension value{
        state.m_move.m_move_id,      service.m_name, service.m_move->m_to,
        state.m_settings.m_instance, reason,         unix_ms(state.m_clock.wall_now())};
    learn_facts(state, std::span(&value, 1), {}, true);
    refresh_snapshot(state);
}

void write_verdict(control& state, const move_record& record) {
    if (record.m_state == move_state::running ||
        !state.m_move.m_verdicts_written.insert(record.m_move_id).second) {
        return;
    }
    if (state.reads_operator_items()) {
        return; // the record itself is what operators read
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

// Takes over a record as the store holds it.
void adopt_record(control& state, const move_record& record) {
    move_role& role = state.m_move;
    role.m_record = record;
    role.m_fresh = true;
    role.m_own = record.m_holder == state.m_settings.m_instance;
    learn_facts(state, {}, std::span(&record, 1), true);
    refresh_snapshot(state);
}

void read_record(control& state, const std::string& service) {
    state.m_move.m_busy = true;
    state.m_store->get(record_key(state, service), [&state](const store_reply& reply) {
        move_role& role = state.m_move;
        role.m_busy = false;
        role.m_retry_at = state.now() + store_retry_pause;
        if (reply.m_kind == error_kind::store_not_found) {
            role.m_fresh = true;
            role.m_own = false;
            role.m_record.reset();
            return;
        }
        if (reply.m_kind != error_kind::none) {
            return;
        }
        const auto record = state.m_adapter.m_decode_move(reply.m_value, reply.m_revision);
        if (!record) {
            log_event(log_level::error, "move_record_malformed", {{"revision", reply.m_revision}});
            return;
        }
        role.m_retry_at = state.now();
        adopt_record(state, *record);
    });
}

// Writes a record by compare-and-swap on the revision read before. Whatever the reply was unless
// it is success, the record is read again before the next decision.
void write_record(control& state, move_record record, std::uint64_t if_revision) {
    move_role& role = state.m_move;
    role.m_busy = true;
    state.m_store->put(record_key(state, record.m_service), state.m_adapter.m_encode_move(record),
                       if_revision, {}, [&state, record](const store_reply& reply) {
                           move_role& writer = state.m_move;
                           writer.m_busy = false;
                           if (record.m_move_id != writer.m_move_id) {
                               return; // the text names another move by now
                           }
                           if (reply.m_kind != error_kind::none) {
                               writer.m_fresh = false;
                               writer.m_own = false;
                               writer.m_retry_at = state.now() + store_retry_pause;
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
                           if (writer.m_evidence_stage != written.m_stage) {
                               writer.m_evidence_stage = written.m_stage;
                               begin_evidence_stage(state);
                           }
                           adopt_record(state, written);
                       });
}

// Adds up the reports of one version.
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

// The reports of the last interval, the own one included, go into the evidence.
evidence_result weigh_reports(control& state, const service_spec& service) {
    move_role& role = state.m_move;
    role.m_old_sum = sum_reports(role.m_reports, service.m_version);
    const std::vector<evidence_report> reports = std::exchange(role.m_reports, {});
    return decide_evidence(state, reports, service);
}

// One step of the holder: create or take over the record, then advance it.
void step_holder(control& state, const service_spec& service) {
    move_role& role = state.m_move;
    if (!role.m_fresh) {
        read_record(state, service.m_name);
        return;
    }
    if (!role.m_record || role.m_record->m_move_id != role.m_move_id) {
        const std::uint64_t revision = role.m_record ? role.m_record->m_revision : 0;
        write_record(state, decide_start(state, service), revision);
        return;
    }
    if (role.m_record->m_state != move_state::running) {
        write_verdict(state, *role.m_record);
        return;
    }
    if (!role.m_own) {
        write_record(state, decide_takeover(state, *role.m_record), role.m_record->m_revision);
        return;
    }
    const move_step step = decide_step(state, *role.m_record);
    if (step.m_kind == move_step::kind::write) {
        write_record(state, step.m_record, role.m_record->m_revision);
    }
}

// The members that may hold the move's lease, this node included. All of them get the reports, so
// that evidence is weighed and the version suspended also while the holder is dead or paused, and
// the next holder knows what the last one knew.
std::vector<const member*> evidence_targets(const control& state, const service_spec& service) {
    const std::string role = "caraway/lease/move/" + service.m_name;
    std::vector<const member*> targets{&state.m_members.m_self};
    for (const member* each : live_members(state.m_members)) {
        if (each->m_service == service.m_name) {
            targets.push_back(each);
        }
    }
    const std::size_t kept = std::min(targets.size(), lease_candidates);
    std::partial_sort(targets.begin(), targets.begin() + static_cast<std::ptrdiff_t>(kept),
                      targets.end(), [&role](const member* a, const member* b) {
                          return rendezvous_weight(role, a->m_instance) >
                                 rendezvous_weight(role, b->m_instance);
                      });
    targets.resize(kept);
    return targets;
}

// Sends the report; the reply is the old version's sum of the last interval.
void send_report(control& state, const ip_endpoint& to, const evidence_report& own) {
    send_bulk(state, to, own, [&state](const std::optional<bulk_reply>& reply) {
        const auto* sum = reply ? std::get_if<evidence_report>(&*reply) : nullptr;
        if (sum != nullptr && !sum->m_routes.empty()) {
            state.m_move.m_told_old_sum = *sum;
        }
    });
}

// Tests the own server's calls of the interval against the old version's, as the holder told them.
void test_locally(control& state, const service_spec& service, const evidence_report& own,
                  std::uint32_t stage) {
    move_role& role = state.m_move;
    if (stage != role.m_local_stage) {
        role.m_local_stage = stage;
        begin_local_stage(state);
    }
    std::uint32_t instances = 1;
    for (const member* each : live_members(state.m_members)) {
        const bool counts =
            each->m_service == service.m_name && each->m_version == state.m_own_view.m_version;
        instances += counts ? 1 : 0;
    }
    role.m_local.m_instances = instances;
    const std::array reports{own, role.m_told_old_sum};
    role.m_told_old_sum = {};
    std::string reason;
    const bool bad = decide_locally(state, reports, service, reason);
    if (bad && !is_suspended(state.m_facts, role.m_move_id)) {
        suspend(state, service, reason);
    }
}

// Reports the own server's counts to the candidates for the lease, and suspends the version at once
// when they show by themselves that it is bad.
void report_evidence(control& state, const service_spec& service) {
    evidence_report own = state.m_traffic->take_evidence();
    own.m_instance = state.m_settings.m_instance;
    own.m_service = service.m_name;
    own.m_version = is_old_version(service, state.m_own_view.m_version)
                        ? service.m_version
                        : state.m_own_view.m_version;
    if (is_final(state, state.m_move.m_move_id)) {
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
        if (state.m_move.m_told_old_sum.m_routes.empty()) {
            state.m_move.m_told_old_sum = state.m_move.m_old_sum;
        }
        test_locally(state, service, own, stage);
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

bool wants_lease(control& state, const service_spec* service, time_point now) {
    lease_role& lease = *state.m_move.m_lease;
    // The lease of an ended move is still taken once, so that the verdict is written even if the
    // holder died right after it had ended the move.
    if (service == nullptr || state.m_leaving ||
        state.m_move.m_verdicts_written.contains(state.m_move.m_move_id)) {
        return false;
    }
    const bool candidate = refresh_candidate(state, lease, now, [service](const member& m) {
        return m.m_service == service->m_name && !m.m_store_lost;
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
    const service_spec* service = own_move(state);
    follow_text(state, service);
    move_role& role = state.m_move;
    if (role.m_lease) {
        run_lease(state, *role.m_lease, wants_lease(state, service, now));
    }
    if (service == nullptr) {
        if (now >= state.m_next_evidence && state.m_traffic) {
            state.m_next_evidence = now + evidence_interval;
            state.m_traffic->take_evidence(); // old counts are no evidence for a later move
        }
        return;
    }
    if (now >= state.m_next_evidence && state.m_traffic) {
        state.m_next_evidence = now + evidence_interval;
        report_evidence(state, *service);
        // Stopping needs no lease: bad evidence suspends the version also while the store is down.
        const evidence_result result = weigh_reports(state, *service);
        if (result.m_verdict == evidence_verdict::bad &&
            !is_suspended(state.m_facts, role.m_move_id) && !is_final(state, role.m_move_id)) {
            suspend(state, *service, result.m_reason);
        }
    }
    const bool held = role.m_lease && lease_held(role.m_lease->m_keeper, now);
    if (!held) {
        role.m_fresh = false; // the record is read again after the lease is won
        role.m_own = false;
        return;
    }
    const bool stop_now = role.m_own && role.m_record &&
                          role.m_record->m_state == move_state::running &&
                          is_suspended(state.m_facts, role.m_move_id);
    if (role.m_busy || now < role.m_retry_at || (now < role.m_next_step && !stop_now)) {
        return;
    }
    // The next step follows a finished store call at once: with a pause after the read and after
    // the takeover, a move with a near deadline would lose two seconds after an outage of the
    // store.
    step_holder(state, *service);
    if (!role.m_busy) {
        role.m_next_step = now + step_interval;
    }
}

} // namespace caraway
