#include "decide/versions/version_move.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include <boost/json.hpp>
#include <fmt/format.h>

#include "store/store_version.hpp"

namespace caraway {
namespace {

// Schedule of the stages. It is derived from the target that a good version is done by its deadline
// even if the store is unavailable for a third of the time given (the time from start to deadline).
// A stage may end at earliest_stage_end_ms if every route has passed, and at latest_stage_end_ms if
// evidence is scarce but none is against the version. The last stage ends at 0.62 of the time
// given, and each earlier stage takes at least min_dwell. An outage that begins just before one of
// these times delays the rest by a third and still leaves 0.04 before the deadline. Nearly half of
// the time is spent at 40 permille, where a defect that appears late harms few calls.
constexpr double last_end_share = 0.62;
// After an outage the lease must be acquired again and the record read, which takes the same time
// however short the time given is; with 40 s, last_end_share alone left too little. The lease is
// retried every 0.5 s to 1 s, and each of the four raises after it may be delayed by one evidence
// interval.
constexpr double outage_share = 1.0 / 3;
constexpr double outage_reserve_ms = 3'000;
constexpr double largest_reserve_share = 0.1;

// Returns the latest end of the last stage in milliseconds from the start of the move.
double last_stage_end_ms(double given_ms) {
    const double reserve_ms = std::min(outage_reserve_ms, largest_reserve_share * given_ms);
    return std::min(last_end_share * given_ms, (1 - outage_share) * given_ms - reserve_ms);
}

// A stage may end before its latest end by at most this share of the time given, even with good
// evidence; this also bounds the time cut from the stage at 40 permille.
constexpr double max_early_share = 0.06;
constexpr double first_stage_share = 0.08;
// Minimum duration of a stage: 3% of the time given, but at least eight evidence intervals if the
// time given allows it. The test needs two or more, and the first includes calls from before the
// raise.
constexpr double min_dwell_share = 0.03;
constexpr double min_dwell_ms = 4'000;
constexpr double max_dwell_share = 1.0 / 15;

// Returns the minimum duration of a stage in milliseconds.
double min_dwell(double given_ms) {
    return std::max(min_dwell_share * given_ms, std::min(min_dwell_ms, max_dwell_share * given_ms));
}

// Returns the latest end of a stage, if there is no evidence against the version, in milliseconds
// from the start of the move.
double latest_stage_end_ms(std::size_t stage, double given_ms) {
    const double remaining = static_cast<double>(stage_weights_permille.size() - 1 - stage);
    const double end = last_stage_end_ms(given_ms) - remaining * min_dwell(given_ms);
    return stage == 0 ? std::min(first_stage_share * given_ms, end) : end;
}

// Returns the earliest end of a stage, if every route has passed, in milliseconds from the start of
// the move.
double earliest_stage_end_ms(std::size_t stage, double given_ms) {
    const bool last = stage + 1 == stage_weights_permille.size();
    return latest_stage_end_ms(stage, given_ms) -
           (last || stage == 0 ? 0 : max_early_share * given_ms);
}

// Returns a step that writes a final state, with full weight if done and no weight otherwise.
move_step make_final_step(const move_record& record, move_state state, std::string reason) {
    move_step step{move_step::kind::write, record};
    step.m_record.m_state = state;
    step.m_record.m_weight_permille = state == move_state::done ? 1000 : 0;
    step.m_record.m_reason = std::move(reason);
    return step;
}

constexpr std::array move_states{move_state::running, move_state::done, move_state::taken_back};

} // namespace

move_record start_move(std::string_view move_id, std::string_view service, std::string_view from,
                       std::string_view to, wall_time deadline, std::string_view holder,
                       wall_time now, std::vector<std::string> excluded) {
    move_record record;
    record.m_move_id = move_id;
    record.m_service = service;
    record.m_from = from;
    record.m_to = to;
    record.m_started_ms = unix_ms(now);
    record.m_raised_ms = record.m_started_ms;
    record.m_deadline_ms = unix_ms(deadline);
    record.m_holder = holder;
    record.m_excluded_versions = inherit_exclusions(std::move(excluded), to);
    if (deadline <= now) {
        record.m_state = move_state::taken_back;
        record.m_reason = "the deadline had passed before the move began";
        return record;
    }
    record.m_weight_permille = stage_weights_permille[0];
    record.m_reason = "started";
    return record;
}

move_record take_over_move(const move_record& record, std::string_view holder) {
    move_record next = record;
    next.m_holder = holder;
    return next;
}

// Final states are written only from a running record. After the deadline the weight is not raised:
// the weight that the record had before decides.
move_step step_move(const move_record& record, const move_evidence& evidence, bool suspended,
                    wall_time now) {
    if (record.m_state != move_state::running) {
        return {};
    }
    if (suspended) {
        return make_final_step(record, move_state::taken_back, "the version is suspended");
    }
    const evidence_result result = evaluate_evidence(evidence);
    if (result.m_verdict == evidence_verdict::bad) {
        return make_final_step(record, move_state::taken_back, result.m_reason);
    }
    const std::int64_t now_ms = unix_ms(now);
    const bool full = record.m_weight_permille == 1000;
    if (now_ms >= record.m_deadline_ms) {
        if (full && record.m_raised_ms < record.m_deadline_ms) {
            return make_final_step(record, move_state::done,
                                   "all traffic since before the deadline, nothing against it");
        }
        return make_final_step(
            record, move_state::taken_back,
            fmt::format("too little evidence by the deadline: weight {} permille",
                        record.m_weight_permille));
    }
    const auto stage = static_cast<std::size_t>(record.m_stage);
    if (stage >= stage_weights_permille.size()) {
        return {};
    }
    const auto given_ms = static_cast<double>(record.m_deadline_ms - record.m_started_ms);
    const auto elapsed_ms = static_cast<double>(now_ms - record.m_started_ms);
    const auto dwell_ms = static_cast<double>(now_ms - record.m_raised_ms);
    const auto remaining_ms = static_cast<double>(record.m_deadline_ms - now_ms);
    if (elapsed_ms < earliest_stage_end_ms(stage, given_ms) || dwell_ms < min_dwell(given_ms)) {
        return {};
    }
    const bool late = elapsed_ms >= latest_stage_end_ms(stage, given_ms);
    if (!stage_passed(evidence, stage, late)) {
        return {};
    }
    if (stage + 1 == stage_weights_permille.size()) {
        return make_final_step(record, move_state::done, "every stage passed");
    }
    if (remaining_ms < min_dwell(given_ms)) {
        return {}; // no time left to observe another stage before the deadline
    }
    move_step step{move_step::kind::write, record};
    ++step.m_record.m_stage;
    step.m_record.m_weight_permille = stage_weights_permille[stage + 1];
    step.m_record.m_raised_ms = now_ms;
    step.m_record.m_reason = late ? "nothing against the version by the end of the stage"
                                  : "every route with traffic passed";
    return step;
}

std::string encode_move(const move_record& record) {
    boost::json::object object;
    object["move_id"] = record.m_move_id;
    object["service"] = record.m_service;
    object["from"] = record.m_from;
    object["to"] = record.m_to;
    object["state"] = move_state_name(record.m_state);
    object["stage"] = record.m_stage;
    object["weight_permille"] = record.m_weight_permille;
    object["started_ms"] = record.m_started_ms;
    object["raised_ms"] = record.m_raised_ms;
    object["deadline_ms"] = record.m_deadline_ms;
    object["holder"] = record.m_holder;
    object["reason"] = record.m_reason;
    if (!record.m_excluded_versions.empty()) {
        object["excluded_versions"] = boost::json::value_from(record.m_excluded_versions);
    }
    if (const std::uint64_t era = era_of(record.m_revision); era != 0) {
        object["era"] = era;
    }
    return boost::json::serialize(object);
}

std::optional<move_record> decode_move(std::string_view value, std::uint64_t revision) {
    boost::system::error_code parse_error;
    const boost::json::value parsed =
        boost::json::parse(boost::json::string_view(value.data(), value.size()), parse_error);
    if (parse_error || !parsed.is_object()) {
        return std::nullopt;
    }
    const boost::json::object& object = parsed.get_object();
    bool complete = true;
    const auto text = [&](std::string_view key) {
        const auto* found = object.if_contains(key);
        if (found == nullptr || !found->is_string()) {
            complete = false;
            return std::string{};
        }
        return std::string(found->get_string().data(), found->get_string().size());
    };
    const auto number = [&](std::string_view key, std::int64_t largest) {
        const auto* found = object.if_contains(key);
        if (found == nullptr || !found->is_int64() || found->get_int64() < 0 ||
            found->get_int64() > largest) {
            complete = false;
            return std::int64_t{0};
        }
        return found->get_int64();
    };
    const auto texts = [&](std::string_view key) {
        std::vector<std::string> values;
        const auto* found = object.if_contains(key);
        if (found == nullptr) {
            return values; // left out if empty
        }
        complete =
            complete && found->is_array() && found->get_array().size() <= max_excluded_versions;
        for (std::size_t i = 0; complete && i < found->get_array().size(); ++i) {
            const boost::json::value& entry = found->get_array()[i];
            complete = entry.is_string();
            values.emplace_back(complete ? std::string(entry.get_string()) : std::string{});
        }
        return values;
    };
    constexpr std::int64_t max_value = std::numeric_limits<std::int64_t>::max();
    move_record record;
    record.m_move_id = text("move_id");
    record.m_service = text("service");
    record.m_from = text("from");
    record.m_to = text("to");
    const std::string state_name = text("state");
    const auto* const state =
        std::find_if(move_states.begin(), move_states.end(),
                     [&](move_state known) { return move_state_name(known) == state_name; });
    record.m_stage = static_cast<std::uint32_t>(
        number("stage", static_cast<std::int64_t>(stage_weights_permille.size()) - 1));
    record.m_weight_permille = static_cast<std::uint32_t>(number("weight_permille", 1000));
    record.m_started_ms = number("started_ms", max_value);
    record.m_raised_ms = number("raised_ms", max_value);
    record.m_deadline_ms = number("deadline_ms", max_value);
    record.m_holder = text("holder");
    record.m_reason = text("reason");
    record.m_excluded_versions = texts("excluded_versions");
    if (!complete || state == move_states.end()) {
        return std::nullopt;
    }
    const bool has_era = object.contains("era");
    const std::int64_t era = has_era ? number("era", static_cast<std::int64_t>(max_era)) : 0;
    if (!complete) {
        return std::nullopt;
    }
    record.m_state = *state;
    record.m_revision = make_version(static_cast<std::uint64_t>(era), revision_of(revision));
    return record;
}

} // namespace caraway
