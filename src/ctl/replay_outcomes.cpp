#include "ctl/replay_outcomes.hpp"

#include <algorithm>
#include <array>

#include <boost/json.hpp>
#include <fmt/format.h>

namespace caraway {
namespace {

// Share of the slots that a server in cold start may use, as the design states it.
constexpr std::uint32_t cold_divisor = 4;

constexpr std::array<std::string_view, 10> checks{
    "one_holder",          "steps_under_lease", "running_within_slots",
    "cold_start_share",    "one_final_state",   "no_weight_after_suspension",
    "version_never_falls", "move_ends",         "at_least",
    "suspended_within"};

double seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

bool read_field(std::string_view key, const boost::json::value& value, stated_outcome& outcome) {
    if (key == "by_deadline" && value.is_bool()) {
        outcome.m_by_deadline = value.get_bool();
        return true;
    }
    if (value.is_string()) {
        std::string text(value.get_string().data(), value.get_string().size());
        std::string* const target = key == "check"   ? &outcome.m_check
                                    : key == "state" ? &outcome.m_state
                                    : key == "of"    ? &outcome.m_of
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

std::optional<std::vector<stated_outcome>> parse_outcomes(std::string_view text, error& reason) {
    boost::system::error_code failed;
    const boost::json::value parsed =
        boost::json::parse(boost::json::string_view(text.data(), text.size()), failed);
    if (failed || !parsed.is_array()) {
        return fail(reason, error_kind::invalid_text, "outcomes: expected a JSON array");
    }
    std::vector<stated_outcome> outcomes;
    for (const boost::json::value& each : parsed.get_array()) {
        stated_outcome outcome;
        if (!each.is_object()) {
            return fail(reason, error_kind::invalid_text, "outcomes: expected objects");
        }
        for (const auto& [key, value] : each.get_object()) {
            if (!read_field({key.data(), key.size()}, value, outcome)) {
                return fail(reason, error_kind::invalid_text,
                            fmt::format("outcomes: unexpected field {}",
                                        std::string_view(key.data(), key.size())));
            }
        }
        if (std::find(checks.begin(), checks.end(), outcome.m_check) == checks.end()) {
            return fail(reason, error_kind::invalid_text,
                        fmt::format("outcomes: unknown check {}", outcome.m_check));
        }
        outcomes.push_back(std::move(outcome));
    }
    return outcomes;
}

void outcome_watch::observe(const process_map& processes, const replayed_process& process,
                            const replay_input& input, std::string_view action) {
    if (input.m_part == "node") {
        m_calls[process.m_instance] = {};
    } else if (input.m_part == "lease") {
        observe_lease(processes, process, input);
    } else if (input.m_part == "admission") {
        observe_admission(process, input);
    } else if (input.m_part == "distribution") {
        observe_distribution(process);
    } else if (input.m_part == "facts") {
        observe_facts(process, input, action);
    } else if (input.m_part == "version_move") {
        observe_move(process, input);
    }
}

// Between two inputs a lease can only end, so it is enough to compare the holders after each. All
// processes of a trace ran on one machine, whose monotonic clock they share.
void outcome_watch::observe_lease(const process_map& processes, const replayed_process& process,
                                  const replay_input& input) {
    const std::string key = input.text("key");
    if (input.m_input == "reply") {
        const std::string kind = input.text("kind");
        const bool failed = kind == error_info_for(error_kind::store_unreachable).m_name ||
                            kind == error_info_for(error_kind::store_outcome_unknown).m_name;
        m_store_errors += failed ? 1 : 0;
    }
    const auto holds = [&](const replayed_process& of) {
        const auto keeper = of.m_leases.find(key);
        return keeper != of.m_leases.end() && lease_held(keeper->second, input.m_now);
    };
    if (!holds(process)) {
        return;
    }
    std::string& last = m_last_holder[key];
    m_holds += last == process.m_instance ? 0 : 1;
    last = process.m_instance;
    for (const auto& [instance, other] : processes) {
        m_overlaps += instance != process.m_instance && holds(other) ? 1 : 0;
    }
}

void outcome_watch::observe_admission(const replayed_process& process, const replay_input& input) {
    calls& own = m_calls[process.m_instance];
    if (input.m_input == "finish") {
        own.m_running -= own.m_running > 0 ? 1 : 0;
        if (input.flag("failed")) {
            m_failed[process.m_version].push_back(input.m_now);
        } else if (!own.m_first_answer && !input.flag("shed") && !input.flag("cancelled")) {
            own.m_first_answer = input.m_now;
        }
    }
    if (process.m_started == 0) {
        return;
    }
    own.m_running += process.m_started;
    m_call_starts += process.m_started;
    const std::uint32_t slots = process.m_admission.m_limits.m_slots;
    m_over_slots += own.m_running > slots ? 1 : 0;
    m_most_running = std::max(m_most_running, own.m_running);
    if (!own.m_first_answer || input.m_now - *own.m_first_answer < m_cold_hold) {
        m_over_cold += own.m_running > std::max(1U, slots / cold_divisor) ? 1 : 0;
        m_most_cold = std::max(m_most_cold, own.m_running);
    }
}

void outcome_watch::observe_distribution(const replayed_process& process) {
    for (const distribution_action& action : process.m_actions) {
        if (action.m_kind == distribution_action::kind::apply) {
            std::uint64_t& applied = m_applied[process.m_instance];
            ++m_applies;
            m_falls += action.m_version < applied ? 1 : 0;
            applied = std::max(applied, action.m_version);
        } else if (action.m_kind == distribution_action::kind::ready) {
            ++m_readies[process.m_instance];
        }
    }
}

void outcome_watch::observe_facts(const replayed_process& process, const replay_input& input,
                                  std::string_view action) {
    if (input.m_input == "suspension") {
        m_suspended.try_emplace(input.text("version"), input.m_now);
    } else if (input.m_input == "record") {
        const std::uint64_t revision = input.count("revision");
        if (const auto record = decode_move(input.text("record"), revision)) {
            move& own = m_moves[record->m_move_id];
            own.m_records.try_emplace(revision, *record);
            own.m_learnt_ms.try_emplace(revision, input.m_logged_ms);
        }
    }
    if (input.m_input != "prune" && process.m_facts.m_suspensions.contains(process.m_move_id)) {
        ++m_weights;
        m_weights_after_suspension += action != "0" ? 1 : 0;
    }
}

void outcome_watch::observe_move(const replayed_process& process, const replay_input& input) {
    if (input.m_input != "step" && input.m_input != "start" && input.m_input != "takeover") {
        return;
    }
    ++m_steps;
    const auto keeper = process.m_leases.find("caraway/lease/move/" + process.m_service);
    const bool held = keeper != process.m_leases.end() && lease_held(keeper->second, input.m_now);
    m_steps_outside += held ? 0 : 1;
}

outcome_watch::verdict outcome_watch::judge(const stated_outcome& outcome) const {
    const std::string& check = outcome.m_check;
    if (check == "one_holder") {
        return {m_overlaps == 0 && m_holds > 0,
                fmt::format("{}: {} changes of holder, {} overlaps", check, m_holds, m_overlaps)};
    }
    if (check == "steps_under_lease") {
        return {m_steps_outside == 0 && m_steps > 0,
                fmt::format("{}: {} steps, {} without the lease", check, m_steps, m_steps_outside)};
    }
    if (check == "running_within_slots") {
        return {m_over_slots == 0 && m_call_starts > 0,
                fmt::format("{}: {} calls, at most {} at once, {} above the slots", check,
                            m_call_starts, m_most_running, m_over_slots)};
    }
    if (check == "cold_start_share") {
        return {
            m_over_cold == 0 && m_most_cold > 0,
            fmt::format("{}: at most {} at once in the first {:.1f} s, {} calls above a quarter",
                        check, m_most_cold, seconds(m_cold_hold), m_over_cold)};
    }
    if (check == "version_never_falls") {
        return {m_falls == 0 && m_applies > 0,
                fmt::format("{}: {} versions applied, {} falls", check, m_applies, m_falls)};
    }
    if (check == "no_weight_after_suspension") {
        return {m_weights_after_suspension == 0 && m_weights > 0,
                fmt::format("{}: {} times looked at, {} above 0", check, m_weights,
                            m_weights_after_suspension)};
    }
    if (check == "one_final_state") {
        return judge_finals();
    }
    if (check == "move_ends") {
        return judge_end(outcome);
    }
    return check == "suspended_within" ? judge_suspension(outcome) : judge_count(outcome);
}

outcome_watch::verdict outcome_watch::judge_finals() const {
    std::size_t finals = 0;
    std::size_t rewritten = 0;
    for (const auto& [id, each] : m_moves) {
        bool ended = false;
        for (const auto& [revision, record] : each.m_records) {
            rewritten += ended ? 1 : 0;
            ended = ended || record.m_state != move_state::running;
        }
        finals += ended ? 1 : 0;
    }
    return {
        rewritten == 0 && finals > 0,
        fmt::format("one_final_state: {} final states, {} records after one", finals, rewritten)};
}

outcome_watch::verdict outcome_watch::judge_end(const stated_outcome& outcome) const {
    std::string text = "move_ends:";
    bool kept = !m_moves.empty();
    for (const auto& [id, each] : m_moves) {
        const auto& [revision, last] = *each.m_records.rbegin();
        const double left =
            static_cast<double>(last.m_deadline_ms - each.m_learnt_ms.at(revision)) / 1'000;
        kept = kept && move_state_name(last.m_state) == outcome.m_state &&
               (!outcome.m_by_deadline || left >= 0);
        text += fmt::format(" {} {:.1f} s before its deadline ({})", move_state_name(last.m_state),
                            left, last.m_reason);
    }
    return {kept, text};
}

outcome_watch::verdict outcome_watch::judge_suspension(const stated_outcome& outcome) const {
    if (m_suspended.empty() || outcome.m_count == 0) {
        return {false, "suspended_within: never suspended"};
    }
    const auto& [version, at] = *m_suspended.begin();
    const auto failed = m_failed.find(version);
    if (failed == m_failed.end() || failed->second.size() < outcome.m_count) {
        return {false, "suspended_within: too few failed calls in the trace"};
    }
    std::vector<time_point> times = failed->second;
    std::sort(times.begin(), times.end());
    const duration took = at - times[outcome.m_count - 1];
    return {took <= outcome.m_limit,
            fmt::format("suspended_within: {:.2f} s after failed call {}, at most {:.1f} s",
                        seconds(took), outcome.m_count, seconds(outcome.m_limit))};
}

outcome_watch::verdict outcome_watch::judge_count(const stated_outcome& outcome) const {
    std::size_t count = 0;
    if (outcome.m_of == "takeovers") {
        for (const auto& [id, each] : m_moves) {
            std::set<std::string> holders;
            for (const auto& [revision, record] : each.m_records) {
                holders.insert(record.m_holder);
            }
            count += holders.size() - 1;
        }
    } else if (outcome.m_of == "restarts") {
        for (const auto& [instance, readies] : m_readies) {
            count += readies - 1;
        }
    } else if (outcome.m_of == "store_errors") {
        count = m_store_errors;
    } else if (outcome.m_of == "calls") {
        count = m_call_starts;
    }
    return {count >= outcome.m_count && outcome.m_count > 0,
            fmt::format("at_least: {} {}, stated {}", count, outcome.m_of, outcome.m_count)};
}

} // namespace caraway
