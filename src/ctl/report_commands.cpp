// The commands that only read the store: status and verdicts.
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

json::object to_json(const accepted_view& accepted) {
    return {{"version", accepted.m_version},
            {"source_revision", accepted.m_source_revision},
            {"hash", accepted.m_hash},
            {"accepter", accepted.m_accepter},
            {"accepted_ms", accepted.m_accepted_ms}};
}

json::object to_json(const move_view& move) {
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

json::object to_json(const config_verdict_view& verdict) {
    json::array missing;
    for (const std::string& name : verdict.m_missing) {
        missing.push_back(json::string(name));
    }
    return {{"version", verdict.m_version},   {"in_force_everywhere", is_in_force(verdict)},
            {"in_force", verdict.m_in_force}, {"members", verdict.m_members},
            {"missing", std::move(missing)},  {"final", verdict.m_final}};
}

json::object to_json(const refused_view& refused) {
    json::array faults;
    for (const text_fault& fault : refused.m_faults) {
        faults.push_back(json::object{{"line", fault.m_line},
                                      {"column", fault.m_column},
                                      {"found", fault.m_found},
                                      {"expected", fault.m_expected}});
    }
    return {{"source_revision", refused.m_source_revision}, {"faults", std::move(faults)}};
}

// What status shows, as read from the store.
struct mesh_status {
    std::uint64_t m_text_revision = 0; // 0: no text yet
    std::optional<accepted_view> m_accepted;
    std::optional<refused_view> m_refused;
    std::vector<move_view> m_moves;
    std::optional<config_verdict_view> m_verdict;
    std::vector<std::pair<std::string, std::string>> m_leases; // key below the prefix, holder
};

// True when the refusal concerns the text that stands in the store now.
bool is_refused_now(const mesh_status& status) {
    return status.m_refused && status.m_refused->m_source_revision == status.m_text_revision;
}

// Reads everything; returns the failed reply when the store can't be read.
std::optional<store_reply> read_status(const store_calls& store, mesh_status& status) {
    const store_reply states = store.m_list("caraway/state/");
    if (states.m_kind != error_kind::none) {
        return states;
    }
    for (const store_entry& entry : states.m_entries) {
        if (entry.m_key == accepted_key) {
            status.m_accepted = read_accepted(entry.m_value);
        } else if (entry.m_key == refused_key) {
            status.m_refused = read_refused(entry.m_value);
        } else if (entry.m_key.starts_with(move_prefix)) {
            if (auto move = read_move(entry.m_value)) {
                status.m_moves.push_back(std::move(*move));
            }
        }
    }
    const store_reply leases = store.m_list(lease_prefix);
    if (leases.m_kind != error_kind::none) {
        return leases;
    }
    for (const store_entry& entry : leases.m_entries) {
        // The value is the holder's name and the lease's identity.
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
            status.m_verdict = read_config_verdict(verdict.m_value);
        } else if (verdict.m_kind != error_kind::store_not_found) {
            return verdict;
        }
    }
    return std::nullopt;
}

json::object to_json(const mesh_status& status) {
    json::object object{{"text_revision", status.m_text_revision}};
    object["accepted"] = status.m_accepted ? json::value(to_json(*status.m_accepted)) : nullptr;
    object["refused"] = is_refused_now(status) ? json::value(to_json(*status.m_refused)) : nullptr;
    object["verdict"] = status.m_verdict ? json::value(to_json(*status.m_verdict)) : nullptr;
    json::array moves;
    for (const move_view& move : status.m_moves) {
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
    if (is_refused_now(status)) {
        out.m_out(fmt::format("refused: revision {}", status.m_text_revision));
        for (const text_fault& fault : status.m_refused->m_faults) {
            out.m_out(fmt::format("  {}", format_fault("text", fault)));
        }
    } else if (status.m_text_revision != 0 &&
               (!status.m_accepted ||
                status.m_accepted->m_source_revision != status.m_text_revision)) {
        out.m_out(fmt::format("pending: revision {} isn't judged yet", status.m_text_revision));
    }
    if (status.m_accepted) {
        out.m_out(status.m_verdict ? fmt::format("verdict: {}", describe(*status.m_verdict))
                                   : fmt::format("verdict: none yet on version {}",
                                                 status.m_accepted->m_version));
    }
    for (const move_view& move : status.m_moves) {
        out.m_out(describe(move));
    }
    for (const auto& [key, holder] : status.m_leases) {
        out.m_out(fmt::format("lease {}: held by {}", key, holder));
    }
}

// The service of a move's key below a prefix, as in caraway/verdict/move/SERVICE/MOVEID.
std::string_view service_of(std::string_view key, std::string_view prefix) {
    key.remove_prefix(prefix.size());
    return key.substr(0, key.find('/'));
}

// What show_verdicts prints and remembers while it follows.
struct verdict_feed {
    const console* m_out = nullptr;
    const verdict_options* m_options = nullptr;
    std::set<std::string> m_final_moves;   // move ids whose final state was printed
    std::optional<move_view> m_last_final; // the latest of them
};

void print_move(const verdict_feed& feed, const move_view& move) {
    const console& out = *feed.m_out;
    if (out.m_json) {
        json::object object = to_json(move);
        object["kind"] = is_final(move) ? "move_verdict" : "move_progress";
        out.m_out(json::serialize(object));
    } else {
        out.m_out(describe(move));
    }
}

void print_verdict(const verdict_feed& feed, const config_verdict_view& verdict) {
    const console& out = *feed.m_out;
    if (out.m_json) {
        json::object object = to_json(verdict);
        object["kind"] = verdict.m_final ? "config_verdict" : "config_progress";
        out.m_out(json::serialize(object));
    } else {
        out.m_out(describe(verdict));
    }
}

// Prints one verdict or one step of a move, if it was asked for.
void print_entry(verdict_feed& feed, const store_entry& entry) {
    const std::string& service = feed.m_options->m_service;
    if (entry.m_deleted) {
        return;
    }
    if (entry.m_key.starts_with(config_verdict_prefix)) {
        const auto verdict = read_config_verdict(entry.m_value);
        if (verdict && service.empty() && (verdict->m_final || feed.m_options->m_follow)) {
            print_verdict(feed, *verdict);
        }
        return;
    }
    const bool final_key = entry.m_key.starts_with(move_verdict_prefix);
    if (!final_key && !entry.m_key.starts_with(move_prefix)) {
        return;
    }
    const std::string_view named =
        service_of(entry.m_key, final_key ? move_verdict_prefix : move_prefix);
    if (!service.empty() && named != service) {
        return;
    }
    const auto move = read_move(entry.m_value);
    // A final state stands in the move's record and in its verdict, and is printed once.
    if (!move || (is_final(*move) && !feed.m_final_moves.insert(move->m_move_id).second) ||
        (!is_final(*move) && !feed.m_options->m_follow)) {
        return;
    }
    print_move(feed, *move);
    if (is_final(*move)) {
        feed.m_last_final = move;
    }
}

// Lists verdicts and move records, oldest first. Returns the store's revision.
std::optional<std::uint64_t> print_present(const console& out, const store_calls& store,
                                           verdict_feed& feed) {
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
        print_entry(feed, entry);
    }
    return listed.m_revision;
}

} // namespace

int show_status(const console& out, const store_calls& store) {
    mesh_status status;
    if (const auto failure = read_status(store, status)) {
        return report_store_failure(out, *failure);
    }
    if (out.m_json) {
        out.m_out(json::serialize(to_json(status)));
    } else {
        print_status(out, status);
    }
    if (is_refused_now(status)) {
        return exit_refused;
    }
    const bool negative =
        status.m_verdict && status.m_verdict->m_final && !is_in_force(*status.m_verdict);
    return negative ? exit_negative : exit_done;
}

int show_verdicts(const console& out, const store_calls& store, const verdict_options& options) {
    verdict_feed feed{&out, &options, {}, {}};
    const auto revision = print_present(out, store, feed);
    if (!revision) {
        return exit_unreachable;
    }
    const auto service_code = [&] {
        const bool negative = feed.m_last_final && feed.m_last_final->m_state != "done";
        return !options.m_service.empty() && negative ? exit_negative : exit_done;
    };
    if (!options.m_follow) {
        return service_code();
    }
    // With a service, following ends with the verdict on the move of the accepted text. The record
    // alone doesn't tell: right after an acceptance it may still be the former move's.
    std::string awaited;
    if (!options.m_service.empty()) {
        current_state current;
        if (const auto failure = read_current(store, current)) {
            return report_store_failure(out, *failure);
        }
        if (current.m_mesh) {
            const auto service = current.m_mesh->m_services.find(options.m_service);
            if (service != current.m_mesh->m_services.end() && service->second.m_move) {
                awaited = move_id(options.m_service, *service->second.m_move);
            }
        }
        if (awaited.empty() || feed.m_final_moves.contains(awaited)) {
            return service_code();
        }
    }
    const std::array<std::string, 2> prefixes{std::string(verdict_prefix),
                                              std::string(move_prefix)};
    const error_kind ended =
        store.m_follow(prefixes, *revision, options.m_limit, [&](const store_entry& entry) {
            print_entry(feed, entry);
            return awaited.empty() || !feed.m_final_moves.contains(awaited);
        });
    if (ended != error_kind::none && !awaited.empty()) {
        out.m_err(fmt::format("no verdict on {} in the time given", options.m_service));
        return exit_negative;
    }
    return service_code();
}

} // namespace caraway
