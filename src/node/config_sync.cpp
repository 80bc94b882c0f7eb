// Carries out the decisions of the configuration distribution: fetches, parses and applies texts.
#include <algorithm>
#include <utility>

#include "base/hash.hpp"
#include "node/control.hpp"
#include "node/recorded.hpp"
#include "observe/log.hpp"
#include "store/store_version.hpp"

namespace caraway {
namespace {

// Logs the first fault of a text that was rejected here.
void log_parse_failure(std::uint64_t version, const std::vector<text_fault>& faults) {
    const std::string first = faults.empty() ? "unknown" : format_fault("text", faults.front());
    log_event(log_level::error, "config_rejected", {{"version", version}, {"fault", first}});
}

// Parses an accepted text in the submitted format. The accepter has checked that the deadlines of
// moves were in the future. An accepted text stays valid however late it arrives, so the epoch is
// passed as the current time.
std::optional<mesh> parse_submitted_text(const control& state, std::uint64_t version,
                                         std::string_view text) {
    std::vector<text_fault> faults;
    auto parsed = parse_mesh(text, wall_time{}, state.m_mesh.get(), faults);
    if (!parsed) {
        log_parse_failure(version, faults);
    }
    return parsed;
}

// Returns the item of the configuration, or null.
store_entry* find_configuration(const control& state, std::vector<store_entry>& items) {
    const auto found = std::find_if(items.begin(), items.end(), [&state](const store_entry& item) {
        return item.m_key == state.m_adapter.m_configuration_key;
    });
    return found == items.end() ? nullptr : &*found;
}

// Parses the items with the last configuration that could be used, so that one that can't be used
// doesn't keep orders from being applied. Returns nothing if there is none.
std::optional<mesh> parse_with_usable_configuration(const control& state,
                                                    std::vector<store_entry> items,
                                                    const error& fault) {
    store_entry* configuration = find_configuration(state, items);
    if (configuration == nullptr || !state.m_usable_configuration) {
        return std::nullopt;
    }
    *configuration = *state.m_usable_configuration;
    error ignored;
    auto parsed = state.m_adapter.m_parse_items(items, ignored);
    if (parsed) {
        parsed->m_unusable_items.push_back(fault.m_text);
    }
    return parsed;
}

// Parses a text that lists the operators' items, using the platform adapter. Items that must stay
// in force after a restoration of the store take precedence over those of the text.
std::optional<mesh> parse_operator_items(control& state, std::uint64_t version,
                                         std::string_view text) {
    const auto items = decode_item_list(version, text);
    if (!items) {
        log_event(log_level::error, "config_rejected",
                  {{"version", version}, {"fault", "text is not a list of items"}});
        return std::nullopt;
    }
    std::vector<store_entry> in_force = resolve_items(state, *items);
    error reason;
    auto parsed = state.m_adapter.m_parse_items(in_force, reason);
    if (parsed) {
        if (const store_entry* configuration = find_configuration(state, in_force)) {
            state.m_usable_configuration = *configuration;
        }
        return parsed;
    }
    log_event(log_level::error, "config_rejected",
              {{"version", version}, {"fault", reason.m_text}});
    return parse_with_usable_configuration(state, std::move(in_force), reason);
}

// Parses the held text of a version and reports the result to the distribution.
void parse_version(control& state, std::uint64_t version) {
    const auto held_text = state.m_distribution.m_texts.find(version);
    if (held_text == state.m_distribution.m_texts.end()) {
        return;
    }
    auto parsed = state.reads_operator_items()
                      ? parse_operator_items(state, version, *held_text->second.m_text)
                      : parse_submitted_text(state, version, *held_text->second.m_text);
    note_text_parsed(state.m_text_progress, version, state.now());
    const bool valid = parsed.has_value();
    if (valid) {
        state.m_parsed_configs[version] = std::make_shared<const mesh>(std::move(*parsed));
    }
    perform(state, decide_text_parsed(state, version, valid));
}

// Logs data centres that the new version takes out of service or brings back; the audit evaluates
// these lines.
void log_data_centre_changes(const mesh* before, const mesh& after, std::uint64_t version) {
    for (const auto& [name, spec] : after.m_data_centres) {
        bool was_taken_out = false;
        if (before != nullptr) {
            const auto old_spec = before->m_data_centres.find(name);
            was_taken_out =
                old_spec != before->m_data_centres.end() && old_spec->second.m_out_of_service;
        }
        if (spec.m_out_of_service != was_taken_out) {
            log_event(log_level::info, spec.m_out_of_service ? "data_centre_out" : "data_centre_in",
                      {{"of", name}, {"version", version}});
        }
    }
}

// Number of unknown values, and of unusable items, of a configuration that are logged one by one.
constexpr std::size_t max_logged_values = 10;

// Logs the values of a configuration that this program doesn't know and serves with restrictions.
void report_unknown_values(control& state, const mesh& config, std::uint64_t version) {
    const std::vector<std::string>& values = config.m_unknown_values;
    state.m_metrics->set_unknown_config_values(values.size());
    for (std::size_t i = 0; i < std::min(values.size(), max_logged_values); ++i) {
        log_event(log_level::error, "config_value_unknown",
                  {{"version", version}, {"value", values[i]}, {"of", values.size()}});
    }
}

// Logs the operators' items that are not in force because they can't be used, unless they were
// left out before, too.
void report_unusable_items(control& state, const mesh* before, const mesh& config,
                           std::uint64_t version) {
    const std::vector<std::string>& items = config.m_unusable_items;
    state.m_metrics->set_unusable_items(items.size());
    if (before != nullptr && before->m_unusable_items == items) {
        return;
    }
    for (std::size_t i = 0; i < std::min(items.size(), max_logged_values); ++i) {
        log_event(log_level::warning, "operator_item_unusable",
                  {{"version", version}, {"item", items[i]}, {"of", items.size()}});
    }
}

// Returns the ids of all moves in a configuration.
std::vector<std::string> move_ids(const mesh& config) {
    std::vector<std::string> ids;
    for (const auto& [name, service] : config.m_services) {
        if (service.m_move) {
            ids.push_back(move_id(name, *service.m_move));
        }
    }
    return ids;
}

// Replaces the mesh in force, drops facts that it no longer needs, and rebuilds the snapshot.
void put_in_force(control& state, std::shared_ptr<const mesh> next, std::uint64_t version) {
    const std::shared_ptr<const mesh> before = std::exchange(state.m_mesh, std::move(next));
    log_data_centre_changes(before.get(), *state.m_mesh, version);
    report_unknown_values(state, *state.m_mesh, version);
    report_unusable_items(state, before.get(), *state.m_mesh, version);
    if (before) {
        note_replaced_orders(state.m_facts, *before, *state.m_mesh);
    }
    prune_and_record_facts(state, move_ids(*state.m_mesh));
    update_facts_digest(state);
    state.m_snapshot_dirty = true;
    refresh_snapshot(state);
}

// Logs and measures that a version is in force here.
void report_applied(control& state, std::uint64_t version, std::uint64_t previous_version) {
    const bool is_latest = version >= state.m_distribution.m_highest_known;
    const text_phases phases = finish_text(state.m_text_progress, version, is_latest, state.now());
    const auto in_ms = [](duration value) {
        return std::chrono::duration_cast<milliseconds>(value).count();
    };
    log_event(log_level::info, "config_applied",
              {{"version", version},
               {"previous", previous_version},
               {"source", text_source_name(phases.m_source)},
               {"behind_ms", in_ms(phases.m_behind)},
               {"fetch_ms", in_ms(phases.m_fetch)},
               {"parse_ms", in_ms(phases.m_parse)},
               {"wait_ms", in_ms(phases.m_wait)}});
    state.m_metrics->set_config_version(version);
    state.m_metrics->count_applied_config(phases);
}

// Puts a parsed version in force and announces it to the collector. Drops older parsed versions.
void apply_version(control& state, std::uint64_t version) {
    const auto parsed = state.m_parsed_configs.find(version);
    if (parsed == state.m_parsed_configs.end()) {
        return;
    }
    const std::shared_ptr<const mesh> next = parsed->second;
    state.m_parsed_configs.erase(state.m_parsed_configs.begin(), std::next(parsed));
    std::uint64_t previous_version = state.m_members.m_self.m_config_version;
    state.m_members.m_self.m_config_version = version;
    set_log_config_version(version);
    put_in_force(state, next, version);
    report_applied(state, version, previous_version);
    if (!state.reads_operator_items()) {
        announce_in_force(state);
    }
}

// Sends an instance the request for a text newer than `have_version`.
void request_text(control& state, const std::string& instance, const ip_endpoint& to,
                  std::uint64_t have_version) {
    const fetch_config_request request{state.m_settings.m_instance, have_version, have_version + 1};
    note_text_requested(state.m_text_progress, state.now());
    send_bulk(state, to, request, [&state, instance](const std::optional<bulk_reply>& reply) {
        const auto* fetched = reply ? std::get_if<fetch_config_reply>(&*reply) : nullptr;
        if (fetched == nullptr || !fetched->m_config) {
            perform(state, decide_fetch_failed(state));
            return;
        }
        receive_text(state, instance, *fetched->m_config);
    });
}

// Requests from an instance a text newer than `have_version`, the highest version that this node
// holds. A node that holds none gets the instance's facts first: a text alone doesn't tell which
// versions of a service were taken back.
void fetch_newer_text(control& state, const std::string& instance, std::uint64_t have_version) {
    const auto holder = state.m_members.m_members.find(instance);
    if (holder == state.m_members.m_members.end()) {
        perform(state, decide_fetch_failed(state));
        return;
    }
    const ip_endpoint to = holder->second.m_member.m_bulk;
    if (have_version != 0) {
        request_text(state, instance, to, have_version);
        return;
    }
    send_bulk(state, to, collect_facts(state),
              [&state, instance, to](const std::optional<bulk_reply>& reply) {
                  const auto* facts = reply ? std::get_if<facts_message>(&*reply) : nullptr;
                  if (facts == nullptr) {
                      perform(state, decide_fetch_failed(state));
                      return;
                  }
                  receive_facts(state, *facts, false);
                  request_text(state, instance, to, 0);
              });
}

} // namespace

void perform(control& state, std::span<const distribution_action> actions) {
    for (const distribution_action& action : actions) {
        switch (action.m_kind) {
        case distribution_action::kind::fetch:
            fetch_newer_text(state, action.m_instance, action.m_version);
            break;
        case distribution_action::kind::parse:
            parse_version(state, action.m_version);
            break;
        case distribution_action::kind::apply:
            apply_version(state, action.m_version);
            break;
        case distribution_action::kind::announce:
            // Every packet carries the version held here. Sending an urgent update of this node's
            // entry to the gossip fanout makes other members fetch that version.
            state.m_members.m_held_version = held_version(state.m_distribution);
            perform(state, membership_update_self(state.m_members, true, state.now()));
            break;
        case distribution_action::kind::ready:
            state.m_members.m_self.m_ready = state.m_own_view.m_refusal == error_kind::none;
            log_event(log_level::info, "node_ready", {{"version", state.m_distribution.m_applied}});
            perform(state, membership_update_self(state.m_members, true, state.now()));
            state.m_snapshot_dirty = true;
            break;
        }
    }
}

void handle_peer_version(control& state, std::string_view instance, std::uint64_t version) {
    if (version > state.m_distribution.m_applied) {
        note_newer_version(state.m_text_progress, state.now());
    }
    perform(state, decide_version_announced(state, instance, version));
}

std::optional<packed_text> pack_latest_text(control& state, std::uint64_t have_version,
                                            std::uint64_t want_version) {
    const auto& texts = state.m_distribution.m_texts;
    if (texts.empty()) {
        return std::nullopt;
    }
    const config_text& latest = texts.rbegin()->second;
    if (latest.m_version <= have_version || latest.m_version < want_version) {
        return std::nullopt;
    }
    if (state.m_packed_version != latest.m_version) {
        state.m_packed_version = latest.m_version;
        state.m_packed_texts.clear();
    }
    const auto base = texts.find(have_version);
    const std::uint64_t base_version = base == texts.end() ? 0 : have_version;
    auto packed = state.m_packed_texts.find(base_version);
    if (packed == state.m_packed_texts.end()) {
        const std::string_view base_text =
            base == texts.end() ? std::string_view{} : std::string_view(*base->second.m_text);
        packed = state.m_packed_texts
                     .emplace(base_version, pack_text(latest.m_version, latest.m_hash,
                                                      *latest.m_text, base_version, base_text))
                     .first;
    }
    return packed->second;
}

void receive_text(control& state, std::string_view instance, const packed_text& packed) {
    std::string_view base;
    if (packed.m_base_version != 0) {
        const auto held_text = state.m_distribution.m_texts.find(packed.m_base_version);
        if (held_text == state.m_distribution.m_texts.end()) {
            perform(state, decide_fetch_failed(state));
            return;
        }
        base = *held_text->second.m_text;
    }
    error reason;
    auto text = unpack_text(packed, base, reason);
    if (!text) {
        log_event(log_level::warning, "config_damaged",
                  {{"from", instance}, {"version", packed.m_version}});
        perform(state, decide_fetch_failed(state));
        return;
    }
    note_text_received(state.m_text_progress, packed.m_version, text_source_kind::member,
                       state.now());
    const config_text received_text{packed.m_version, packed.m_hash,
                                    std::make_shared<const std::string>(std::move(*text))};
    perform(state, decide_text_received(state, instance, received_text));
}

void apply_kept_items(control& state) {
    const std::uint64_t applied = state.m_distribution.m_applied;
    std::vector<std::uint64_t> versions{applied};
    for (const auto& [version, parsed] : state.m_parsed_configs) {
        versions.push_back(version);
    }
    for (const std::uint64_t version : versions) {
        const auto text = state.m_distribution.m_texts.find(version);
        if (text == state.m_distribution.m_texts.end() ||
            era_of(version) != state.m_kept_items.m_table.m_era) {
            continue;
        }
        auto parsed = parse_operator_items(state, version, *text->second.m_text);
        if (!parsed) {
            continue;
        }
        auto next = std::make_shared<const mesh>(std::move(*parsed));
        if (version == applied) {
            put_in_force(state, std::move(next), version);
        } else {
            state.m_parsed_configs[version] = std::move(next);
        }
    }
}

void tick_config(control& state, time_point now) {
    perform(state, decide_config_tick(state, now));
    refresh_snapshot(state);
}

void refresh_snapshot(control& state) {
    if (!state.m_snapshot_dirty) {
        return;
    }
    state.m_snapshot_dirty = false;
    snapshot_input input;
    input.m_config_version = state.m_distribution.m_applied;
    input.m_ready = state.m_distribution.m_ready;
    input.m_draining = state.m_draining;
    input.m_mesh = state.m_mesh;
    input.m_own_server_view = state.m_own_view;
    input.m_members = &state.m_members;
    input.m_facts = &state.m_facts;
    input.m_now = state.now();
    input.m_wall_now = state.m_clock.wall_now();
    state.m_snapshot.store(build_snapshot(input, state.m_counters));
    if (state.m_traffic) {
        state.m_traffic->snapshot_changed();
    }
}

} // namespace caraway
