// The commands status and verdicts, which only read the store.
#include "ctl/commands.hpp"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include <boost/json.hpp>
#include <fmt/format.h>

#include "config/mesh.hpp"
#include "ctl/current_text.hpp"
#include "ctl/records.hpp"

namespace caraway {
namespace {

namespace json = boost::json;

constexpr std::string_view accepted_key = "caraway/state/accepted";
constexpr std::string_view refused_key = "caraway/state/refused";
constexpr std::string_view move_prefix = "caraway/state/move/";
constexpr std::string_view lease_prefix = "caraway/lease/";
constexpr std::string_view verdict_prefix = "caraway/verdict/";
constexpr std::string_view move_verdict_prefix = "caraway/verdict/move/";
constexpr std::string_view config_verdict_prefix = "caraway/verdict/config/";

// Prints a failed store call and returns the exit code.
int report_store_failure(const console& out, const store_reply& reply) {
    const std::string text =
        fmt::format("store: {} ({})", error_info_for(reply.m_kind).m_name, reply.m_text);
    if (out.m_json) {
        out.m_out(json::serialize(json::object{{"result", "unreachable"}, {"text", text}}));
    } else {
        out.m_err(text);
    }
    return exit_unreachable;
}

json::object to_json(const stored_acceptance& accepted) {
    return {{"version", accepted.m_version},
            {"source_revision", accepted.m_source_revision},
            {"hash", accepted.m_hash},
            {"accepter", accepted.m_accepter},
            {"accepted_ms", accepted.m_accepted_ms}};
}

json::object to_json(const stored_move& move) {
    return {{"service", move.m_service},
            {"move_id", move.m_move_id},
            {"from", move.m_from},
            {"to", move.m_to},
            {"state", move.m_state},
            {"stage", move.m_stage},
            {"weight_permille", move.m_weight_permille},
            {"deadline_ms", move.m_deadline_ms},
            {"holder", move.m_holder},
            {"reason", move.m_reason}};
}

json::object to_json(const stored_config_verdict& verdict) {
    json::array missing;
    for (const std::string& name : verdict.m_missing) {
        missing.push_back(json::string(name));
    }
    return {{"version", verdict.m_version},   {"in_force_everywhere", is_in_force(verdict)},
            {"in_force", verdict.m_in_force}, {"members", verdict.m_members},
            {"missing", std::move(missing)},  {"final", verdict.m_final}};
}

json::object to_json(const stored_refusal& refused) {
    json::array faults;
    for (const text_fault& fault : refused.m_faults) {
        faults.push_back(json::object{{"line", fault.m_line},
                                      {"column", fault.m_column},
                                      {"found", fault.m_found},
                                      {"expected", fault.m_expected}});
    }
    return {{"source_revision", refused.m_source_revision}, {"faults", std::move(faults)}};
}

// The state of the mesh as read from the store.
struct mesh_status {
    std::uint64_t m_text_revision = 0; // 0: no text submitted yet
    std::optional<stored_acceptance> m_accepted;
    std::optional<stored_refusal> m_refused; // last refusal, perhaps of an earlier text
    std::vector<stored_move> m_moves;
    std::optional<stored_config_verdict> m_verdict;
    std::vector<std::pair<std::string, std::string>> m_leases; // key without lease_prefix, holder
};

// Returns whether the refusal applies to the text that is in the store now.
bool is_current_text_refused(const mesh_status& status) {
    return status.m_refused && status.m_refused->m_source_revision == status.m_text_revision;
}

// Reads the status from the store. Returns the failed reply if the store can't be read, otherwise
// nothing.
std::optional<store_reply> read_status(const store_interface& store, mesh_status& status) {
    const store_reply states = store.m_list("caraway/state/");
    if (states.m_kind != error_kind::none) {
        return states;
    }
    for (const store_entry& entry : states.m_entries) {
        if (entry.m_key == accepted_key) {
            status.m_accepted = parse_accepted(entry.m_value);
        } else if (entry.m_key == refused_key) {
            status.m_refused = parse_refused(entry.m_value);
        } else if (entry.m_key.starts_with(move_prefix)) {
            if (auto move = parse_move(entry.m_value)) {
                status.m_moves.push_back(std::move(*move));
            }
        }
    }
    const store_reply leases = store.m_list(lease_prefix);
    if (leases.m_kind != error_kind::none) {
        return leases;
    }
    for (const store_entry& entry : leases.m_entries) {
        // The value consists of the holder's name and the lease's id, separated by a blank.
        status.m_leases.emplace_back(entry.m_key.substr(lease_prefix.size()),
                                     entry.m_value.substr(0, entry.m_value.find(' ')));
    }
    const store_reply text = store.m_get("caraway/text");
    if (text.m_kind == error_kind::none) {
        status.m_text_revision = text.m_revision;
    } else if (text.m_kind != error_kind::store_not_found) {
        return text;
    }
    if (status.m_accepted) {
        const store_reply verdict =
            store.m_get(fmt::format("{}{}", config_verdict_prefix, status.m_accepted->m_version));
        if (verdict.m_kind == error_kind::none) {
            status.m_verdict = parse_config_verdict(verdict.m_value);
        } else if (verdict.m_kind != error_kind::store_not_found) {
            return verdict;
        }
    }
    return std::nullopt;
}

json::object to_json(const mesh_status& status) {
    json::object object{{"text_revision", status.m_text_revision}};
    object["accepted"] = status.m_accepted ? json::value(to_json(*status.m_accepted)) : nullptr;
    object["refused"] =
        is_current_text_refused(status) ? json::value(to_json(*status.m_refused)) : nullptr;
    object["verdict"] = status.m_verdict ? json::value(to_json(*status.m_verdict)) : nullptr;
    json::array moves;
    for (const stored_move& move : status.m_moves) {
        moves.push_back(to_json(move));
    }
    object["moves"] = std::move(moves);
    json::array leases;
    for (const auto& [key, holder] : status.m_leases) {
        leases.push_back(json::object{{"lease", key}, {"holder", holder}});
    }
    object["leases"] = std::move(leases);
    return object;
}

void print_status(const console& out, const mesh_status& status) {
    out.m_out(status.m_accepted ? fmt::format("accepted: {}", describe(*status.m_accepted))
                                : std::string("accepted: nothing yet"));
    if (is_current_text_refused(status)) {
        out.m_out(fmt::format("refused: revision {}", status.m_text_revision));
        for (const text_fault& fault : status.m_refused->m_faults) {
            out.m_out(fmt::format("  {}", format_fault("text", fault)));
        }
    } else if (status.m_text_revision != 0 &&
               (!status.m_accepted ||
                status.m_accepted->m_source_revision != status.m_text_revision)) {
        out.m_out(fmt::format("pending: revision {} is neither accepted nor refused yet",
                              status.m_text_revision));
    }
    if (status.m_accepted) {
        out.m_out(status.m_verdict ? fmt::format("verdict: {}", describe(*status.m_verdict))
                                   : fmt::format("verdict: none yet for version {}",
                                                 status.m_accepted->m_version));
    }
    for (const stored_move& move : status.m_moves) {
        out.m_out(describe(move));
    }
    for (const auto& [key, holder] : status.m_leases) {
        out.m_out(fmt::format("lease {}: held by {}", key, holder));
    }
}

// Returns the service from the key of a move. The service follows the prefix, as in
// caraway/verdict/move/SERVICE/MOVEID.
std::string_view service_of(std::string_view key, std::string_view prefix) {
    key.remove_prefix(prefix.size());
    return key.substr(0, key.find('/'));
}

// Output and state of show_verdicts.
struct verdict_printer {
    const console* m_out = nullptr;
    const verdict_options* m_options = nullptr;
    std::set<std::string> m_printed_move_ids; // moves whose final state was printed
    std::optional<stored_move> m_last_final;  // the final state printed last
};

void print_move(const verdict_printer& printer, const stored_move& move) {
    const console& out = *printer.m_out;
    if (out.m_json) {
        json::object object = to_json(move);
        object["kind"] = is_final(move) ? "move_verdict" : "move_progress";
        out.m_out(json::serialize(object));
    } else {
        out.m_out(describe(move));
    }
}

void print_verdict(const verdict_printer& printer, const stored_config_verdict& verdict) {
    const console& out = *printer.m_out;
    if (out.m_json) {
        json::object object = to_json(verdict);
        object["kind"] = verdict.m_final ? "config_verdict" : "config_progress";
        out.m_out(json::serialize(object));
    } else {
        out.m_out(describe(verdict));
    }
}

// Prints a stored entry if it is a verdict or a move record that the options select.
void print_entry(verdict_printer& printer, const store_entry& entry) {
    const std::string& service = printer.m_options->m_service;
    if (entry.m_deleted) {
        return;
    }
    if (entry.m_key.starts_with(config_verdict_prefix)) {
        const auto verdict = parse_config_verdict(entry.m_value);
        if (verdict && service.empty() && (verdict->m_final || printer.m_options->m_follow)) {
            print_verdict(printer, *verdict);
        }
        return;
    }
    const bool is_verdict_key = entry.m_key.starts_with(move_verdict_prefix);
    if (!is_verdict_key && !entry.m_key.starts_with(move_prefix)) {
        return;
    }
    const std::string_view entry_service =
        service_of(entry.m_key, is_verdict_key ? move_verdict_prefix : move_prefix);
    if (!service.empty() && entry_service != service) {
        return;
    }
    const auto move = parse_move(entry.m_value);
    // The store holds a final state twice, in the move's record and in its verdict. It is printed
    // once.
    if (!move || (is_final(*move) && !printer.m_printed_move_ids.insert(move->m_move_id).second) ||
        (!is_final(*move) && !printer.m_options->m_follow)) {
        return;
    }
    print_move(printer, *move);
    if (is_final(*move)) {
        printer.m_last_final = move;
    }
}

// Prints the verdicts and move records in the store, oldest first. Returns the store's revision, or
// nothing after a failure, which it prints.
std::optional<std::uint64_t> print_stored(const console& out, const store_interface& store,
                                          verdict_printer& printer) {
    store_reply listed = store.m_list(verdict_prefix);
    const store_reply moves =
        listed.m_kind == error_kind::none ? store.m_list(move_prefix) : store_reply{};
    const store_reply& last = listed.m_kind == error_kind::none ? moves : listed;
    if (last.m_kind != error_kind::none) {
        report_store_failure(out, last);
        return std::nullopt;
    }
    listed.m_entries.insert(listed.m_entries.end(), moves.m_entries.begin(), moves.m_entries.end());
    std::sort(listed.m_entries.begin(), listed.m_entries.end(),
              [](const auto& a, const auto& b) { return a.m_revision < b.m_revision; });
    for (const store_entry& entry : listed.m_entries) {
        print_entry(printer, entry);
    }
    return listed.m_revision;
}

} // namespace

int show_status(const console& out, const store_interface& store) {
    mesh_status status;
    if (const auto failure = read_status(store, status)) {
        return report_store_failure(out, *failure);
    }
    if (out.m_json) {
        out.m_out(json::serialize(to_json(status)));
    } else {
        print_status(out, status);
    }
    if (is_current_text_refused(status)) {
        return exit_refused;
    }
    const bool negative =
        status.m_verdict && status.m_verdict->m_final && !is_in_force(*status.m_verdict);
    return negative ? exit_negative : exit_done;
}

int show_verdicts(const console& out, const store_interface& store,
                  const verdict_options& options) {
    verdict_printer printer{&out, &options, {}, {}};
    const auto revision = print_stored(out, store, printer);
    if (!revision) {
        return exit_unreachable;
    }
    const auto exit_code = [&] {
        const bool negative = printer.m_last_final && printer.m_last_final->m_state != "done";
        return !options.m_service.empty() && negative ? exit_negative : exit_done;
    };
    if (!options.m_follow) {
        return exit_code();
    }
    // With a service, following ends with the verdict on the move in the accepted text. The stored
    // move record is not enough to identify this move: right after an acceptance it may still be
    // the previous move's record.
    std::string awaited_move_id;
    if (!options.m_service.empty()) {
        accepted_config current;
        if (const auto failure = read_accepted_config(store, current)) {
            return report_store_failure(out, *failure);
        }
        if (current.m_mesh) {
            const auto service = current.m_mesh->m_services.find(options.m_service);
            if (service != current.m_mesh->m_services.end() && service->second.m_move) {
                awaited_move_id = move_id(options.m_service, *service->second.m_move);
            }
        }
        if (awaited_move_id.empty() || printer.m_printed_move_ids.contains(awaited_move_id)) {
            return exit_code();
        }
    }
    const std::array<std::string, 2> prefixes{std::string(verdict_prefix),
                                              std::string(move_prefix)};
    const error_kind follow_result =
        store.m_follow(prefixes, *revision, options.m_timeout, [&](const store_entry& entry) {
            print_entry(printer, entry);
            return awaited_move_id.empty() || !printer.m_printed_move_ids.contains(awaited_move_id);
        });
    if (follow_result != error_kind::none && !awaited_move_id.empty()) {
        out.m_err(
            fmt::format("no verdict on the move of {} within the timeout", options.m_service));
        return exit_negative;
    }
    return exit_code();
}

} // namespace caraway
