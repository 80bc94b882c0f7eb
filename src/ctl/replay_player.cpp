#include "ctl/replay_player.hpp"

#include <array>

#include <boost/json.hpp>
#include <fmt/format.h>

#include "base/hash.hpp"
#include "observe/action_text.hpp"
#include "observe/recorder.hpp"

namespace caraway {
namespace {

// Converts nanoseconds of the monotonic clock.
time_point time_point_from_ns(std::int64_t value) {
    return time_point(std::chrono::duration_cast<duration>(std::chrono::nanoseconds(value)));
}

wall_time wall_time_from_ms(std::int64_t unix_milliseconds) {
    return wall_time(milliseconds(unix_milliseconds));
}

error_kind error_kind_of(const replay_input& input) {
    return error_kind_from_name(input.text("kind")).value_or(error_kind::internal);
}

std::string replay_lease(replayed_process& process, const replay_input& input) {
    const std::string key = input.text("key");
    if (input.m_input_name == "begin") {
        process.m_leases[key] = make_lease_keeper(
            key, input.text("value"), milliseconds(input.number("period_ms")), input.count("seed"));
        return {};
    }
    lease_keeper& keeper = process.m_leases[key];
    if (input.m_input_name == "tick") {
        const lease_request request = lease_tick(keeper, input.flag("wanted"), input.m_now);
        return action_text(keeper, request);
    }
    if (input.m_input_name == "restored") {
        lease_store_restored(keeper, input.m_now);
        return action_text(keeper, lease_request::none);
    }
    lease_receive(
        keeper,
        {error_kind_of(input), input.text("lease"), input.count("revision"), input.text("value")},
        input.m_now);
    return action_text(keeper, lease_request::none);
}

// Returns a substitute for a configuration text, since texts are not recorded. Substitutes with
// different versions or hashes differ, and the content hash matches if and only if it matched in
// the recording.
config_text substitute_text(const replay_input& input) {
    config_text text;
    text.m_version = input.count("version");
    text.m_text = std::make_shared<const std::string>(
        fmt::format("{} {}", text.m_version, input.count("hash")));
    text.m_hash = hash_bytes(*text.m_text) + (input.flag("intact") ? 0 : 1);
    return text;
}

// Passes one input to the distribution state machine and returns its actions.
std::vector<distribution_action> replay_distribution_input(distribution_state& state,
                                                           const replay_input& input) {
    const std::string& name = input.m_input_name;
    const time_point now = input.m_now;
    if (name == "fetch_failed") {
        return distribution_fetch_failed(state, now);
    }
    if (name == "gone") {
        distribution_peer_gone(state, input.text("from_instance"));
        return {};
    }
    const std::size_t live = input.count("live");
    if (name == "tick") {
        return distribution_tick(state, live, now);
    }
    const std::uint64_t version = input.count("version");
    if (name == "parsed") {
        return distribution_parsed(state, version, input.flag("valid"), live, now);
    }
    if (name == "store_read") {
        const bool has_text = version != 0;
        return distribution_store_read(
            state, has_text ? std::optional(substitute_text(input)) : std::nullopt, live, now);
    }
    const std::string instance = input.text("from_instance");
    if (name == "received") {
        return distribution_text_received(state, instance, substitute_text(input), live, now);
    }
    if (name == "joined") {
        return distribution_join_reply(state, instance, version, input.count("predecessor_version"),
                                       live, now);
    }
    return distribution_peer_version(state, instance, version, live, now);
}

std::string replay_distribution(replayed_process& process, const replay_input& input) {
    if (input.m_input_name == "begin") {
        process.m_distribution =
            make_distribution(process.m_instance, milliseconds(input.number("fetch_timeout_ms")),
                              input.count("seed"));
        return {};
    }
    process.m_actions = replay_distribution_input(process.m_distribution, input);
    return action_text(process.m_actions);
}

std::string replay_admission(replayed_process& process, const replay_input& input) {
    admission_state& state = process.m_admission;
    const std::string& name = input.m_input_name;
    if (name == "offer") {
        const call_offer offer{input.count("call"), static_cast<urgency>(input.count("urgency")),
                               time_point_from_ns(input.number("deadline_ns"))};
        const admission_result result = admission_offer(state, offer, input.m_now);
        process.m_started_calls = result.m_verdict == admission_verdict::run ? 1 : 0;
        return action_text(state, result);
    }
    released_calls release;
    if (name == "limits") {
        admission_limits limits;
        limits.m_slots = static_cast<std::uint32_t>(input.count("slots"));
        limits.m_queue = static_cast<std::uint32_t>(input.count("queue"));
        set_admission_limits(state, limits);
    } else if (name == "cancel") {
        admission_cancel(state, input.count("call"));
    } else if (name == "finish") {
        call_sample sample;
        sample.m_latency = time_point_from_ns(input.number("latency_ns")).time_since_epoch();
        sample.m_failed = input.flag("failed");
        sample.m_shed = input.flag("shed");
        sample.m_cancelled = input.flag("cancelled");
        release = admission_finish(state, sample, input.m_now);
    } else if (name == "drain") {
        release = admission_drain(state);
    } else {
        release = admission_tick(state, input.m_now);
    }
    process.m_started_calls = release.m_run.size();
    return action_text(state, release);
}

std::string replay_facts(replayed_process& process, const replay_input& input) {
    fact_table& facts = process.m_facts;
    if (input.m_input_name == "prune") {
        prune_facts(facts, {input.text("keep")}, [](std::string_view) { return true; });
        return {};
    }
    if (input.m_input_name == "suspension") {
        merge_suspension(facts,
                         {input.text("move"), input.text("service"), input.text("version"),
                          input.text("seen_by"), input.text("reason"), input.number("at_ms")});
    } else if (const auto record = decode_move(input.text("record"), input.count("revision"))) {
        merge_record(facts, *record);
    }
    return std::to_string(new_version_weight_permille(facts, process.m_service, process.m_move_id));
}

// Adds one route's counts to the report they belong to. The field "first" marks the first route of
// a report.
void add_report(replayed_process& process, const replay_input& input) {
    if (input.flag("first") || process.m_reports.empty()) {
        evidence_report report;
        report.m_instance = input.text("from_instance");
        report.m_service = process.m_service;
        report.m_version = input.text("version");
        process.m_reports.push_back(std::move(report));
    }
    process.m_reports.back().m_routes[input.text("route")] =
        parse_counts(input.text("counts")).value_or(arm_counts{});
}

// Replays a step or a takeover of a move, whose input is the move's record.
std::string replay_record(replayed_process& process, const replay_input& input) {
    const auto record = decode_move(input.text("record"), input.count("revision"));
    if (!record) {
        return "record is damaged";
    }
    move_step step{move_step::kind::write, {}};
    if (input.m_input_name == "takeover") {
        step.m_record = take_over_move(*record, process.m_instance);
    } else {
        const bool suspended = input.flag("suspended");
        process.m_suspension_matches =
            suspended == is_suspended(process.m_facts, process.m_move_id);
        step = step_move(*record, process.m_evidence, suspended,
                         wall_time_from_ms(input.number("wall_ms")));
    }
    if (step.m_kind == move_step::kind::write) {
        process.m_written_record = step.m_record;
    }
    return action_text(step);
}

std::string replay_move(replayed_process& process, const replay_input& input) {
    const std::string& name = input.m_input_name;
    if (name == "report") {
        add_report(process, input);
    } else if (name == "evidence") {
        add_evidence(process.m_evidence, process.m_reports, input.text("from"), input.text("to"));
        process.m_reports.clear();
        return action_text(evaluate_evidence(process.m_evidence));
    } else if (name == "local_evidence") {
        process.m_local_evidence.m_instances = static_cast<std::uint32_t>(input.count("instances"));
        add_evidence(process.m_local_evidence, process.m_reports, input.text("from"),
                     input.text("to"));
        process.m_reports.clear();
        std::string reason;
        return is_locally_bad(process.m_local_evidence, reason) ? "bad " + reason : "not bad";
    } else if (name == "stage") {
        begin_stage(process.m_evidence);
    } else if (name == "local_stage") {
        begin_stage(process.m_local_evidence);
    } else if (name == "change") {
        process.m_move_id = input.text("move");
        process.m_evidence = {};
        process.m_local_evidence = {};
    } else if (name == "start") {
        process.m_written_record =
            start_move(input.text("move"), input.text("service"), input.text("from"),
                       input.text("to"), wall_time_from_ms(input.number("deadline_ms")),
                       process.m_instance, wall_time_from_ms(input.number("wall_ms")),
                       excluded_versions(process.m_facts, input.text("service")));
        return action_text(move_step{move_step::kind::write, *process.m_written_record});
    } else {
        return replay_record(process, input);
    }
    return {};
}

} // namespace

std::optional<replay_input> replay_input::parse(std::string_view line) {
    boost::system::error_code failed;
    const boost::json::value parsed =
        boost::json::parse(boost::json::string_view(line.data(), line.size()), failed);
    if (failed || !parsed.is_object()) {
        return std::nullopt;
    }
    replay_input input;
    for (const auto& [key, value] : parsed.get_object()) {
        const std::string name(key.data(), key.size());
        if (value.is_string()) {
            input.m_texts[name] = std::string(value.get_string().data(), value.get_string().size());
        } else if (value.is_int64()) {
            input.m_numbers[name] = value.get_int64();
        } else if (value.is_uint64()) {
            input.m_numbers[name] = static_cast<std::int64_t>(value.get_uint64());
        } else if (value.is_bool()) {
            input.m_numbers[name] = value.get_bool() ? 1 : 0;
        }
    }
    const auto event = input.m_texts.find("event");
    if (event == input.m_texts.end() ||
        (event->second != decision_event && event->second != dropped_decisions_event)) {
        return std::nullopt;
    }
    input.m_instance = input.text("instance");
    input.m_logged_ms = input.number("time");
    if (event->second == dropped_decisions_event) {
        input.m_component = dropped_decisions_event;
        return input;
    }
    input.m_component = input.text("part");
    input.m_input_name = input.text("input");
    input.m_action = input.text("action");
    input.m_now = time_point_from_ns(input.number("now_ns"));
    return input;
}

std::string replay_input::text(std::string_view name) const {
    const auto found = m_texts.find(name);
    m_damaged = m_damaged || found == m_texts.end();
    return found == m_texts.end() ? std::string{} : found->second;
}

std::int64_t replay_input::number(std::string_view name) const {
    const auto found = m_numbers.find(name);
    m_damaged = m_damaged || found == m_numbers.end();
    return found == m_numbers.end() ? 0 : found->second;
}

std::uint64_t replay_input::count(std::string_view name) const {
    return static_cast<std::uint64_t>(number(name));
}

bool replay_input::flag(std::string_view name) const {
    return number(name) != 0;
}

std::string replay(replayed_process& process, const replay_input& input) {
    process.m_actions.clear();
    process.m_started_calls = 0;
    process.m_written_record.reset();
    process.m_suspension_matches = true;
    if (input.m_component == "lease") {
        return replay_lease(process, input);
    }
    if (input.m_component == "distribution") {
        return replay_distribution(process, input);
    }
    if (input.m_component == "admission") {
        return replay_admission(process, input);
    }
    if (input.m_component == "facts") {
        return replay_facts(process, input);
    }
    if (input.m_component == "version_move") {
        return replay_move(process, input);
    }
    return {};
}

} // namespace caraway
