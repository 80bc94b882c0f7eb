#include "ctl/replay_outcomes.hpp"

#include <algorithm>
#include <array>

#include <boost/json.hpp>
#include <fmt/format.h>

namespace caraway {
namespace {

// The design allows a backend server in cold start a quarter of its slots, but at least one.
constexpr std::uint32_t cold_divisor = 4;

constexpr std::array<std::string_view, 10> known_checks{
    "one_holder",          "steps_under_lease", "running_within_slots",
    "cold_start_share",    "one_final_state",   "no_weight_after_suspension",
    "version_never_falls", "move_ends",         "at_least",
    "suspended_within"};

double seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

// Reads one field of an outcome. Returns false if its name or type is not expected.
bool read_field(std::string_view key, const boost::json::value& value, expected_outcome& outcome) {
    if (key == "by_deadline" && value.is_bool()) {
        outcome.m_by_deadline = value.get_bool();
        return true;
    }
    if (value.is_string()) {
        std::string text(value.get_string().data(), value.get_string().size());
        std::string* const target = key == "check"   ? &outcome.m_check
                                    : key == "state" ? &outcome.m_state
                                    : key == "of"    ? &outcome.m_quantity
                                                     : nullptr;
        if (target != nullptr) {
            *target = std::move(text);
        }
        return target != nullptr;
    }
    if (!value.is_int64() || value.get_int64() < 0) {
        return false;
    }
    if (key == "ms" || key == "hold_ms") {
        outcome.m_limit = milliseconds(value.get_int64());
        return true;
    }
    outcome.m_count = static_cast<std::size_t>(value.get_int64());
    return key == "count" || key == "failed_calls";
}

} // namespace

std::optional<std::vector<expected_outcome>> parse_outcomes(std::string_view text, error& reason) {
    boost::system::error_code failed;
    const boost::json::value parsed =
        boost::json::parse(boost::json::string_view(text.data(), text.size()), failed);
    if (failed || !parsed.is_array()) {
        return fail(reason, error_kind::invalid_text, "outcomes: expected a JSON array");
    }
    std::vector<expected_outcome> outcomes;
    for (const boost::json::value& item : parsed.get_array()) {
        expected_outcome outcome;
        if (!item.is_object()) {
            return fail(reason, error_kind::invalid_text, "outcomes: expected an array of objects");
        }
        for (const auto& [key, value] : item.get_object()) {
            if (!read_field({key.data(), key.size()}, value, outcome)) {
                return fail(reason, error_kind::invalid_text,
                            fmt::format("outcomes: unexpected field {}",
                                        std::string_view(key.data(), key.size())));
            }
        }
        if (std::find(known_checks.begin(), known_checks.end(), outcome.m_check) ==
            known_checks.end()) {
            return fail(reason, error_kind::invalid_text,
                        fmt::format("outcomes: unknown check {}", outcome.m_check));
        }
        outcomes.push_back(std::move(outcome));
    }
    return outcomes;
}

void outcome_checker::observe(const process_map& processes, const replayed_process& process,
                              const replay_input& input, std::string_view action) {
    if (input.m_component == "node") {
        m_calls[process.m_instance] = {};
    } else if (input.m_component == "lease") {
        observe_lease(processes, process, input);
    } else if (input.m_component == "admission") {
        observe_admission(process, input);
    } else if (input.m_component == "distribution") {
        observe_distribution(process);
    } else if (input.m_component == "facts") {
        observe_facts(process, input, action);
    } else if (input.m_component == "version_move") {
        observe_move(process, input);
    }
}

// Counts changes of the lease holder and other processes that hold the lease at the same time.
// Between two inputs a lease can only end, so comparing the holders after each input is enough. All
// processes of a trace ran on one machine and share its monotonic clock.
void outcome_checker::observe_lease(const process_map& processes, const replayed_process& process,
                                    const replay_input& input) {
    const std::string key = input.text("key");
    if (input.m_input_name == "reply") {
        const std::string kind = input.text("kind");
        const bool failed = kind == error_info_for(error_kind::store_unreachable).m_name ||
                            kind == error_info_for(error_kind::store_outcome_unknown).m_name;
        m_store_errors += failed ? 1 : 0;
    }
    const auto holds = [&](const replayed_process& candidate) {
        const auto keeper = candidate.m_leases.find(key);
        return keeper != candidate.m_leases.end() && lease_held(keeper->second, input.m_now);
    };
    if (!holds(process)) {
        return;
    }
    std::string& last_holder = m_last_holder[key];
    m_holder_changes += last_holder == process.m_instance ? 0 : 1;
    last_holder = process.m_instance;
    for (const auto& [instance, other] : processes) {
        m_lease_overlaps += instance != process.m_instance && holds(other) ? 1 : 0;
    }
}

void outcome_checker::observe_admission(const replayed_process& process,
                                        const replay_input& input) {
    call_state& instance_calls = m_calls[process.m_instance];
    if (input.m_input_name == "finish") {
        instance_calls.m_running -= instance_calls.m_running > 0 ? 1 : 0;
        if (input.flag("failed")) {
            m_failed_call_times[process.m_version].push_back(input.m_now);
        } else if (!instance_calls.m_first_answer && !input.flag("shed") &&
                   !input.flag("cancelled")) {
            instance_calls.m_first_answer = input.m_now;
        }
    }
    if (process.m_started_calls == 0) {
        return;
    }
    instance_calls.m_running += process.m_started_calls;
    m_call_starts += process.m_started_calls;
    const std::uint32_t slots = process.m_admission.m_limits.m_slots;
    m_calls_over_slots += instance_calls.m_running > slots ? 1 : 0;
    m_max_running = std::max(m_max_running, instance_calls.m_running);
    if (!instance_calls.m_first_answer ||
        input.m_now - *instance_calls.m_first_answer < m_cold_hold) {
        m_calls_over_cold_share +=
            instance_calls.m_running > std::max(1U, slots / cold_divisor) ? 1 : 0;
        m_max_running_cold = std::max(m_max_running_cold, instance_calls.m_running);
    }
}

void outcome_checker::observe_distribution(const replayed_process& process) {
    for (const distribution_action& action : process.m_actions) {
        if (action.m_kind == distribution_action::kind::apply) {
            std::uint64_t& applied = m_highest_applied[process.m_instance];
            ++m_apply_count;
            m_version_decreases += action.m_version < applied ? 1 : 0;
            applied = std::max(applied, action.m_version);
        } else if (action.m_kind == distribution_action::kind::ready) {
            ++m_ready_counts[process.m_instance];
        }
    }
}

void outcome_checker::observe_facts(const replayed_process& process, const replay_input& input,
                                    std::string_view action) {
    if (input.m_input_name == "suspension") {
        m_suspension_times.try_emplace(input.text("version"), input.m_now);
    } else if (input.m_input_name == "record") {
        const std::uint64_t revision = input.count("revision");
        if (const auto record = decode_move(input.text("record"), revision)) {
            move_history& history = m_moves[record->m_move_id];
            history.m_records.try_emplace(revision, *record);
            history.m_received_ms.try_emplace(revision, input.m_logged_ms);
        }
    }
    if (input.m_input_name != "prune" &&
        process.m_facts.m_suspensions.contains(process.m_move_id)) {
        ++m_weight_checks;
        m_nonzero_weights_after_suspension += action != "0" ? 1 : 0;
    }
}

void outcome_checker::observe_move(const replayed_process& process, const replay_input& input) {
    if (input.m_input_name != "step" && input.m_input_name != "start" &&
        input.m_input_name != "takeover") {
        return;
    }
    ++m_steps;
    const auto keeper = process.m_leases.find("caraway/lease/move/" + process.m_service);
    const bool held = keeper != process.m_leases.end() && lease_held(keeper->second, input.m_now);
    m_steps_without_lease += held ? 0 : 1;
}

outcome_checker::check_result outcome_checker::check(const expected_outcome& outcome) const {
    const std::string& check = outcome.m_check;
    if (check == "one_holder") {
        return {m_lease_overlaps == 0 && m_holder_changes > 0,
                fmt::format("{}: {} changes of the lease holder, {} overlaps", check,
                            m_holder_changes, m_lease_overlaps)};
    }
    if (check == "steps_under_lease") {
        return {m_steps_without_lease == 0 && m_steps > 0,
                fmt::format("{}: {} steps, {} without holding the lease", check, m_steps,
                            m_steps_without_lease)};
    }
    if (check == "running_within_slots") {
        return {m_calls_over_slots == 0 && m_call_starts > 0,
                fmt::format("{}: {} calls, at most {} at the same time, {} started above the slots",
                            check, m_call_starts, m_max_running, m_calls_over_slots)};
    }
    if (check == "cold_start_share") {
        return {m_calls_over_cold_share == 0 && m_max_running_cold > 0,
                fmt::format("{}: at most {} calls at the same time until {:.1f} s after the first "
                            "answer, {} started above a quarter of the slots",
                            check, m_max_running_cold, seconds(m_cold_hold),
                            m_calls_over_cold_share)};
    }
    if (check == "version_never_falls") {
        return {m_version_decreases == 0 && m_apply_count > 0,
                fmt::format("{}: {} versions applied, {} below an earlier one", check,
                            m_apply_count, m_version_decreases)};
    }
    if (check == "no_weight_after_suspension") {
        return {m_nonzero_weights_after_suspension == 0 && m_weight_checks > 0,
                fmt::format("{}: {} weights checked, {} above 0", check, m_weight_checks,
                            m_nonzero_weights_after_suspension)};
    }
    if (check == "one_final_state") {
        return check_final_states();
    }
    if (check == "move_ends") {
        return check_move_ends(outcome);
    }
    return check == "suspended_within" ? check_suspension_time(outcome) : check_count(outcome);
}

outcome_checker::check_result outcome_checker::check_final_states() const {
    std::size_t final_state_count = 0;
    std::size_t rewritten = 0;
    for (const auto& [id, history] : m_moves) {
        bool ended = false;
        for (const auto& [revision, record] : history.m_records) {
            rewritten += ended ? 1 : 0;
            ended = ended || record.m_state != move_state::running;
        }
        final_state_count += ended ? 1 : 0;
    }
    return {rewritten == 0 && final_state_count > 0,
            fmt::format("one_final_state: {} final states, {} records written after one",
                        final_state_count, rewritten)};
}

outcome_checker::check_result
outcome_checker::check_move_ends(const expected_outcome& outcome) const {
    std::string text = "move_ends:";
    bool passed = !m_moves.empty();
    for (const auto& [id, history] : m_moves) {
        const auto& [revision, last] = *history.m_records.rbegin();
        const double seconds_left =
            static_cast<double>(last.m_deadline_ms - history.m_received_ms.at(revision)) / 1'000;
        passed = passed && move_state_name(last.m_state) == outcome.m_state &&
                 (!outcome.m_by_deadline || seconds_left >= 0);
        text += fmt::format(" {} {:.1f} s before its deadline ({})", move_state_name(last.m_state),
                            seconds_left, last.m_reason);
    }
    return {passed, text};
}

outcome_checker::check_result
outcome_checker::check_suspension_time(const expected_outcome& outcome) const {
    if (m_suspension_times.empty() || outcome.m_count == 0) {
        return {false, "suspended_within: never suspended"};
    }
    const auto& [version, suspended_at] = *m_suspension_times.begin();
    const auto failed = m_failed_call_times.find(version);
    if (failed == m_failed_call_times.end() || failed->second.size() < outcome.m_count) {
        return {false, "suspended_within: the trace has fewer failed calls than failed_calls"};
    }
    std::vector<time_point> times = failed->second;
    std::sort(times.begin(), times.end());
    const duration delay = suspended_at - times[outcome.m_count - 1];
    return {delay <= outcome.m_limit,
            fmt::format("suspended_within: {:.2f} s after failed call {}, at most {:.1f} s",
                        seconds(delay), outcome.m_count, seconds(outcome.m_limit))};
}

outcome_checker::check_result outcome_checker::check_count(const expected_outcome& outcome) const {
    std::size_t count = 0;
    if (outcome.m_quantity == "takeovers") {
        for (const auto& [id, history] : m_moves) {
            std::set<std::string> holders;
            for (const auto& [revision, record] : history.m_records) {
                holders.insert(record.m_holder);
            }
            count += holders.size() - 1;
        }
    } else if (outcome.m_quantity == "restarts") {
        for (const auto& [instance, ready_count] : m_ready_counts) {
            count += ready_count - 1;
        }
    } else if (outcome.m_quantity == "store_errors") {
        count = m_store_errors;
    } else if (outcome.m_quantity == "calls") {
        count = m_call_starts;
    }
    return {count >= outcome.m_count && outcome.m_count > 0,
            fmt::format("at_least: {} {}, expected at least {}", count, outcome.m_quantity,
                        outcome.m_count)};
}

} // namespace caraway
