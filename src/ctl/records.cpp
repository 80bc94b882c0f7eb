#include "ctl/records.hpp"

#include <boost/json.hpp>
#include <fmt/chrono.h>
#include <fmt/format.h>

namespace caraway {
namespace {

namespace json = boost::json;

std::optional<json::object> parse_object(std::string_view value) {
    json::error_code failure;
    json::value parsed = json::parse(json::string_view(value.data(), value.size()), failure);
    if (failure || !parsed.is_object()) {
        return std::nullopt;
    }
    return std::move(parsed.get_object());
}

// Returns a string field, or an empty string if it is absent or of another type.
std::string text_at(const json::object& object, json::string_view key) {
    const json::value* value = object.if_contains(key);
    if (value == nullptr || !value->is_string()) {
        return {};
    }
    const json::string& text = value->get_string();
    return {text.data(), text.size()};
}

// Returns a numeric field, or zero if it is absent, of another type or out of range.
template <typename number_type>
number_type number_at(const json::object& object, json::string_view key) {
    const json::value* value = object.if_contains(key);
    json::error_code failure;
    const number_type number = value != nullptr && value->is_number()
                                   ? value->to_number<number_type>(failure)
                                   : number_type{0};
    return failure ? number_type{0} : number;
}

} // namespace

std::optional<stored_acceptance> parse_accepted(std::string_view value) {
    const auto object = parse_object(value);
    if (!object || !object->contains("version")) {
        return std::nullopt;
    }
    stored_acceptance record;
    record.m_version = number_at<std::uint64_t>(*object, "version");
    record.m_source_revision = number_at<std::uint64_t>(*object, "source_revision");
    record.m_hash = text_at(*object, "hash");
    record.m_accepter = text_at(*object, "accepter");
    record.m_accepted_ms = number_at<std::int64_t>(*object, "accepted_ms");
    record.m_base_version = number_at<std::uint64_t>(*object, "base_version");
    record.m_base_hash = text_at(*object, "base_hash");
    return record;
}

std::optional<stored_refusal> parse_refused(std::string_view value) {
    const auto object = parse_object(value);
    if (!object || !object->contains("source_revision")) {
        return std::nullopt;
    }
    stored_refusal record;
    record.m_source_revision = number_at<std::uint64_t>(*object, "source_revision");
    const json::value* faults = object->if_contains("faults");
    if (faults == nullptr || !faults->is_array()) {
        return record;
    }
    for (const json::value& item : faults->get_array()) {
        if (const json::object* fault = item.if_object()) {
            record.m_faults.push_back({number_at<std::uint32_t>(*fault, "line"),
                                       number_at<std::uint32_t>(*fault, "column"),
                                       text_at(*fault, "found"), text_at(*fault, "expected")});
        }
    }
    return record;
}

std::optional<stored_move> parse_move(std::string_view value) {
    const auto object = parse_object(value);
    if (!object || !object->contains("move_id")) {
        return std::nullopt;
    }
    stored_move record;
    record.m_move_id = text_at(*object, "move_id");
    record.m_service = text_at(*object, "service");
    record.m_from = text_at(*object, "from");
    record.m_to = text_at(*object, "to");
    record.m_state = text_at(*object, "state");
    record.m_stage = number_at<std::uint64_t>(*object, "stage");
    record.m_weight_permille = number_at<std::uint64_t>(*object, "weight_permille");
    record.m_deadline_ms = number_at<std::int64_t>(*object, "deadline_ms");
    record.m_holder = text_at(*object, "holder");
    record.m_reason = text_at(*object, "reason");
    return record;
}

bool is_final(const stored_move& move) {
    return !move.m_state.empty() && move.m_state != "running";
}

std::optional<stored_config_verdict> parse_config_verdict(std::string_view value) {
    const auto object = parse_object(value);
    if (!object || !object->contains("version")) {
        return std::nullopt;
    }
    stored_config_verdict record;
    record.m_version = number_at<std::uint64_t>(*object, "version");
    record.m_in_force = number_at<std::uint64_t>(*object, "in_force");
    record.m_members = number_at<std::uint64_t>(*object, "members");
    if (const json::value* missing = object->if_contains("missing");
        missing != nullptr && missing->is_array()) {
        for (const json::value& name : missing->get_array()) {
            if (name.is_string()) {
                record.m_missing.emplace_back(name.get_string().data(), name.get_string().size());
            }
        }
    }
    const json::value* final_verdict = object->if_contains("final");
    record.m_final =
        final_verdict != nullptr && final_verdict->is_bool() && final_verdict->get_bool();
    return record;
}

bool is_in_force(const stored_config_verdict& verdict) {
    return verdict.m_members > 0 && verdict.m_in_force >= verdict.m_members;
}

std::string format_unix_ms(std::int64_t unix_milliseconds) {
    if (unix_milliseconds < 0 || unix_milliseconds > max_unix_ms) {
        return fmt::format("{} ms", unix_milliseconds);
    }
    const std::chrono::sys_time<milliseconds> time{milliseconds(unix_milliseconds)};
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                       std::chrono::floor<std::chrono::seconds>(time), unix_milliseconds % 1000);
}

std::string describe(const stored_acceptance& accepted) {
    return fmt::format("version {} accepted by {} at {} from revision {}", accepted.m_version,
                       accepted.m_accepter, format_unix_ms(accepted.m_accepted_ms),
                       accepted.m_source_revision);
}

std::string describe(const stored_move& move) {
    return fmt::format("move {} of {} from {} to {}: {}, stage {}, weight {} permille, deadline "
                       "{}, holder {}{}{}",
                       move.m_move_id, move.m_service, move.m_from, move.m_to, move.m_state,
                       move.m_stage, move.m_weight_permille, format_unix_ms(move.m_deadline_ms),
                       move.m_holder, move.m_reason.empty() ? "" : ": ", move.m_reason);
}

std::string describe(const stored_config_verdict& verdict) {
    return fmt::format("version {}: {} on {} of {} instances{}{}", verdict.m_version,
                       is_in_force(verdict) ? "in force"
                       : verdict.m_final    ? "not in force everywhere"
                                            : "in force so far",
                       verdict.m_in_force, verdict.m_members,
                       verdict.m_missing.empty() ? "" : "; missing ",
                       fmt::join(verdict.m_missing, ", "));
}

} // namespace caraway
