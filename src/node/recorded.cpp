#include "node/recorded.hpp"

#include <tuple>

#include "base/hash.hpp"
#include "observe/action_text.hpp"
#include "observe/recorder.hpp"

namespace caraway {
namespace {

// Names of the decision components in the recorded lines.
constexpr std::string_view lease_component = "lease";
constexpr std::string_view config_component = "distribution";
constexpr std::string_view move_component = "version_move";
constexpr std::string_view facts_component = "facts";

// Returns the fields that a tick of a lease may change. Keys and periods are fixed, and the random
// generator advances only with a reply.
auto tick_fields(const lease_keeper& keeper) {
    return std::tuple(keeper.m_phase, keeper.m_wanted, keeper.m_held, keeper.m_pending_request,
                      keeper.m_release_due, keeper.m_read_before_retry,
                      keeper.m_claim_outcome_unknown, keeper.m_lease.empty(),
                      keeper.m_next_attempt);
}

// Returns whether a fetch is pending, a version newer than the ones held is known, or a held
// version waits to be applied.
bool has_pending_work(const distribution_state& state) {
    return state.m_fetch_from || state.m_highest_known > held_version(state) ||
           !state.m_candidates.empty();
}

// Returns the latest version that a peer announced, or 0 if it announced none.
std::uint64_t announced_version(const distribution_state& state, std::string_view instance) {
    const auto found = state.m_peer_versions.find(instance);
    return found == state.m_peer_versions.end() ? 0 : found->second;
}

// Returns whether the text is present and matches its hash.
bool is_intact(const config_text& text) {
    return text.m_text != nullptr && hash_bytes(*text.m_text) == text.m_hash;
}

void record_config(std::string_view input, time_point now, std::initializer_list<log_field> fields,
                   std::span<const distribution_action> actions) {
    if (is_recording()) {
        record_input(config_component, input, now, fields, action_text(actions));
    }
}

// Returns the number of live members other than this node.
std::uint64_t live_member_count(const control& state) {
    return state.m_members.m_live;
}

// Records one line for each route, since a single line for a service with many routes would exceed
// the maximum line length.
void record_reports(time_point now, std::span<const evidence_report> reports) {
    for (const evidence_report& report : reports) {
        bool first = true;
        for (const auto& [route, counts] : report.m_routes) {
            record_input(move_component, "report", now,
                         {{"from_instance", report.m_instance},
                          {"version", report.m_version},
                          {"first", first},
                          {"route", route},
                          {"counts", format_counts(counts)}},
                         {});
            first = false;
        }
    }
}

// Returns the share of the own service's calls that the new version gets, in permille, according to
// the facts known to this node.
std::uint64_t local_move_weight(const control& state) {
    return new_version_weight_permille(state.m_facts, state.m_settings.m_service,
                                       state.m_move.m_move_id);
}

} // namespace

void begin_recording(const node_settings& settings, time_point now) {
    start_recording(settings.m_record_lines);
    if (is_recording()) {
        record_input("node", "start", now,
                     {{"service", settings.m_service}, {"version", settings.m_version}}, {});
    }
}

lease_keeper create_lease_keeper(std::string key, const node_settings& settings, std::uint64_t seed,
                                 time_point now) {
    if (is_recording()) {
        record_input(lease_component, "begin", now,
                     {{"key", key},
                      {"value", settings.m_instance},
                      {"period_ms", static_cast<std::int64_t>(settings.m_lease_period.count())},
                      {"seed", seed}},
                     {});
    }
    return make_lease_keeper(std::move(key), settings.m_instance, settings.m_lease_period, seed);
}

lease_request next_lease_request(lease_keeper& keeper, bool wanted, time_point now) {
    if (!is_recording()) {
        return lease_tick(keeper, wanted, now);
    }
    const auto before = tick_fields(keeper);
    const lease_request request = lease_tick(keeper, wanted, now);
    if (request != lease_request::none || tick_fields(keeper) != before) {
        record_input(lease_component, "tick", now, {{"key", keeper.m_key}, {"wanted", wanted}},
                     action_text(keeper, request));
    }
    return request;
}

void apply_lease_reply(lease_keeper& keeper, const lease_reply& reply, time_point now) {
    lease_receive(keeper, reply, now);
    if (is_recording()) {
        record_input(lease_component, "reply", now,
                     {{"key", keeper.m_key},
                      {"kind", error_info_for(reply.m_kind).m_name},
                      {"lease", reply.m_lease},
                      {"revision", reply.m_revision},
                      {"value", reply.m_value}},
                     action_text(keeper, lease_request::none));
    }
}

void handle_lease_restoration(lease_keeper& keeper, time_point now) {
    lease_store_restored(keeper, now);
    if (is_recording()) {
        record_input(lease_component, "restored", now, {{"key", keeper.m_key}},
                     action_text(keeper, lease_request::none));
    }
}

distribution_state create_distribution(const node_settings& settings, std::uint64_t seed,
                                       time_point now) {
    if (is_recording()) {
        record_input(
            config_component, "begin", now,
            {{"fetch_timeout_ms", static_cast<std::int64_t>(settings.m_fetch_timeout.count())},
             {"seed", seed}},
            {});
    }
    return make_distribution(settings.m_instance, settings.m_fetch_timeout, seed);
}

std::vector<distribution_action> decide_version_announced(control& state, std::string_view instance,
                                                          std::uint64_t version) {
    distribution_state& distribution = state.m_distribution;
    const time_point now = state.now();
    const bool recorded =
        is_recording() && (has_pending_work(distribution) || version > held_version(distribution) ||
                           announced_version(distribution, instance) != version);
    auto actions =
        distribution_peer_version(distribution, instance, version, live_member_count(state), now);
    if (recorded) {
        record_config(
            "heard", now,
            {{"from_instance", instance}, {"version", version}, {"live", live_member_count(state)}},
            actions);
    }
    return actions;
}

std::vector<distribution_action> decide_config_tick(control& state, time_point now) {
    distribution_state& distribution = state.m_distribution;
    const bool had_pending_work = has_pending_work(distribution);
    const bool store_waited_before = distribution.m_store_wait_over;
    auto actions = distribution_tick(distribution, live_member_count(state), now);
    if (had_pending_work || distribution.m_store_wait_over != store_waited_before) {
        record_config("tick", now, {{"live", live_member_count(state)}}, actions);
    }
    return actions;
}

std::vector<distribution_action> decide_text_received(control& state, std::string_view instance,
                                                      const config_text& text) {
    const time_point now = state.now();
    auto actions = distribution_text_received(state.m_distribution, instance, text,
                                              live_member_count(state), now);
    record_config("received", now,
                  {{"from_instance", instance},
                   {"version", text.m_version},
                   {"hash", text.m_hash},
                   {"intact", is_recording() && is_intact(text)},
                   {"live", live_member_count(state)}},
                  actions);
    return actions;
}

std::vector<distribution_action> decide_fetch_failed(control& state) {
    const time_point now = state.now();
    auto actions = distribution_fetch_failed(state.m_distribution, now);
    record_config("fetch_failed", now, {}, actions);
    return actions;
}

std::vector<distribution_action> decide_store_read(control& state,
                                                   const std::optional<config_text>& text) {
    const time_point now = state.now();
    auto actions =
        distribution_store_read(state.m_distribution, text, live_member_count(state), now);
    record_config("store_read", now,
                  {{"version", text ? text->m_version : 0},
                   {"hash", text ? text->m_hash : 0},
                   {"intact", is_recording() && text && is_intact(*text)},
                   {"live", live_member_count(state)}},
                  actions);
    return actions;
}

std::vector<distribution_action> decide_text_parsed(control& state, std::uint64_t version,
                                                    bool valid) {
    const time_point now = state.now();
    auto actions =
        distribution_parsed(state.m_distribution, version, valid, live_member_count(state), now);
    record_config("parsed", now,
                  {{"version", version}, {"valid", valid}, {"live", live_member_count(state)}},
                  actions);
    return actions;
}

std::vector<distribution_action> decide_join_reply(control& state, std::string_view instance,
                                                   std::uint64_t version,
                                                   std::uint64_t predecessor_version) {
    const time_point now = state.now();
    auto actions = distribution_join_reply(state.m_distribution, instance, version,
                                           predecessor_version, live_member_count(state), now);
    record_config("joined", now,
                  {{"from_instance", instance},
                   {"version", version},
                   {"predecessor_version", predecessor_version},
                   {"live", live_member_count(state)}},
                  actions);
    return actions;
}

void remove_text_holder(control& state, std::string_view instance) {
    const bool was_known = announced_version(state.m_distribution, instance) != 0;
    distribution_peer_gone(state.m_distribution, instance);
    if (was_known) {
        record_config("gone", state.now(), {{"from_instance", instance}}, {});
    }
}

void record_move_change(const control& state) {
    if (is_recording()) {
        record_input(move_component, "change", state.now(), {{"move", state.m_move.m_move_id}}, {});
    }
}

void record_fact(const control& state, const suspension& value) {
    if (is_recording() && value.m_service == state.m_settings.m_service) {
        record_input(facts_component, "suspension", state.now(),
                     {{"move", value.m_move_id},
                      {"service", value.m_service},
                      {"version", value.m_version},
                      {"seen_by", value.m_instance},
                      {"reason", value.m_reason},
                      {"at_ms", value.m_at_ms}},
                     std::to_string(local_move_weight(state)));
    }
}

void record_fact(const control& state, const move_record& value) {
    if (is_recording() && value.m_service == state.m_settings.m_service) {
        record_input(facts_component, "record", state.now(),
                     {{"record", encode_move(value)}, {"revision", value.m_revision}},
                     std::to_string(local_move_weight(state)));
    }
}

void prune_and_record_facts(control& state, const std::vector<std::string>& move_ids) {
    prune_facts(state.m_facts, move_ids, [&state](std::string_view service) {
        return state.m_mesh->m_services.contains(service);
    });
    if (!is_recording()) {
        return;
    }
    std::string kept_move_id;
    const auto service = state.m_mesh->m_services.find(state.m_settings.m_service);
    if (service != state.m_mesh->m_services.end() && service->second.m_move) {
        kept_move_id = move_id(service->first, *service->second.m_move);
    }
    record_input(facts_component, "prune", state.now(), {{"keep", kept_move_id}}, {});
}

evidence_result decide_evidence(control& state, std::span<const evidence_report> reports,
                                const service_spec& service) {
    move_evidence& evidence = state.m_move.m_evidence;
    add_evidence(evidence, reports, service.m_version, service.m_move->m_to);
    evidence_result result = evaluate_evidence(evidence);
    if (is_recording()) {
        const time_point now = state.now();
        record_reports(now, reports);
        record_input(move_component, "evidence", now,
                     {{"from", service.m_version}, {"to", service.m_move->m_to}},
                     action_text(result));
    }
    return result;
}

bool decide_local_evidence(control& state, std::span<const evidence_report> reports,
                           const service_spec& service, std::string& reason) {
    move_evidence& evidence = state.m_move.m_local_evidence;
    add_evidence(evidence, reports, service.m_version, service.m_move->m_to);
    const bool bad = is_locally_bad(evidence, reason);
    if (is_recording()) {
        const time_point now = state.now();
        record_reports(now, reports);
        record_input(move_component, "local_evidence", now,
                     {{"from", service.m_version},
                      {"to", service.m_move->m_to},
                      {"instances", evidence.m_instances}},
                     bad ? "bad " + reason : std::string("not bad"));
    }
    return bad;
}

void begin_evidence_stage(control& state) {
    begin_stage(state.m_move.m_evidence);
    if (is_recording()) {
        record_input(move_component, "stage", state.now(), {}, {});
    }
}

void begin_local_evidence_stage(control& state) {
    begin_stage(state.m_move.m_local_evidence);
    if (is_recording()) {
        record_input(move_component, "local_stage", state.now(), {}, {});
    }
}

move_record create_first_move_record(const control& state, const service_spec& service) {
    const wall_time wall_time_now = state.m_clock.wall_now();
    const std::string& id = state.m_move.m_move_id;
    // A duration counts from the time at which this node first saw the order.
    const auto time_since_order =
        std::chrono::duration_cast<milliseconds>(state.now() - state.m_move.m_first_seen_at);
    const wall_time deadline = service.m_move->m_order_revision == 0
                                   ? service.m_move->m_deadline
                                   : wall_time_now + service.m_move->m_duration - time_since_order;
    move_record record = start_move(id, service.m_name, service.m_version, service.m_move->m_to,
                                    deadline, state.m_settings.m_instance, wall_time_now,
                                    excluded_versions(state.m_facts, service.m_name));
    if (is_recording()) {
        record_input(move_component, "start", state.now(),
                     {{"move", id},
                      {"service", service.m_name},
                      {"from", service.m_version},
                      {"to", service.m_move->m_to},
                      {"deadline_ms", unix_ms(deadline)},
                      {"wall_ms", unix_ms(wall_time_now)}},
                     action_text(move_step{move_step::kind::write, record}));
    }
    return record;
}

move_record decide_move_takeover(const control& state, const move_record& record) {
    move_record new_record = take_over_move(record, state.m_settings.m_instance);
    if (is_recording()) {
        record_input(move_component, "takeover", state.now(),
                     {{"record", encode_move(record)}, {"revision", record.m_revision}},
                     action_text(move_step{move_step::kind::write, new_record}));
    }
    return new_record;
}

move_step decide_move_step(const control& state, const move_record& record) {
    const wall_time wall_time_now = state.m_clock.wall_now();
    const bool suspended = is_suspended(state.m_facts, state.m_move.m_move_id);
    move_step step = step_move(record, state.m_move.m_evidence, suspended, wall_time_now);
    if (is_recording()) {
        record_input(move_component, "step", state.now(),
                     {{"record", encode_move(record)},
                      {"revision", record.m_revision},
                      {"suspended", suspended},
                      {"wall_ms", unix_ms(wall_time_now)}},
                     action_text(step));
    }
    return step;
}

} // namespace caraway
