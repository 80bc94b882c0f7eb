#include <cstdint>

#include <boost/json.hpp>

#include "node/control.hpp"
#include "traffic/admin.hpp"

namespace caraway {
namespace {

namespace json = boost::json;

// Returns the keys of this node's leases and whether each is held.
json::object lease_list(const control& state) {
    json::object leases;
    const auto add = [&](const lease_role& role) {
        leases[role.m_keeper.m_key] = lease_held(role.m_keeper, state.now());
    };
    for (const auto& reader : state.m_readers) {
        add(reader->m_lease);
    }
    add(state.m_accepter.m_lease);
    if (state.m_move.m_lease) {
        add(*state.m_move.m_lease);
    }
    return leases;
}

// Returns the known members by instance.
json::object member_list(const control& state) {
    json::object members;
    for (const auto& [name, tracked] : state.m_members.m_members) {
        const member& known = tracked.m_member;
        members[name] = json::object{{"state", member_state_name(known.m_state)},
                                     {"config_version", known.m_config_version},
                                     {"ready", known.m_ready},
                                     {"service", known.m_service},
                                     {"version", known.m_version},
                                     {"data_centre", known.m_data_centre}};
    }
    return members;
}

// Returns the known version moves by service.
json::object move_list(const control& state) {
    json::object moves;
    for (const auto& [service, record] : state.m_facts.m_records) {
        moves[service] = json::object{{"move", record.m_move_id},
                                      {"state", move_state_name(record.m_state)},
                                      {"weight_permille", record.m_weight_permille},
                                      {"holder", record.m_holder},
                                      {"suspended", is_suspended(state.m_facts, record.m_move_id)}};
    }
    return moves;
}

// Returns the operators' items that are not in force because they can't be used, with the reasons.
json::array unusable_items(const control& state) {
    json::array items;
    if (state.m_mesh) {
        for (const std::string& item : state.m_mesh->m_unusable_items) {
            items.emplace_back(item);
        }
    }
    return items;
}

// Returns the items that are in force in place of what the store, restored from a copy, holds.
// "left_ms" is the time after which the store's item is in force if nobody writes the key again;
// absent for one without such an end.
json::object kept_item_list(const control& state) {
    json::object items;
    for (const auto& [key, item] : state.m_kept_items.m_table.m_items) {
        if (!overrides_store(item)) {
            continue;
        }
        json::object row{{"state", kept_state_name(item.m_state)},
                         {"deleted", item.m_deleted},
                         {"store_holds_version", item.m_listed_version}};
        const auto since = state.m_kept_items.m_unconfirmed_since.find(key);
        if (since != state.m_kept_items.m_unconfirmed_since.end()) {
            const duration left = since->second + max_kept_time - state.now();
            row["left_ms"] = std::chrono::duration_cast<milliseconds>(left).count();
        }
        items[key] = std::move(row);
    }
    return items;
}

std::string status_json(const control& state) {
    return json::serialize(json::object{
        {"instance", state.m_settings.m_instance},
        {"config_version", state.m_distribution.m_applied},
        {"config_highest_heard", state.m_distribution.m_highest_known},
        {"ready", state.m_distribution.m_ready},
        {"draining", state.m_draining},
        {"load_permille", state.m_traffic->load_permille()},
        {"calls_in_progress", static_cast<std::uint64_t>(state.m_traffic->calls_in_progress())},
        {"leases", lease_list(state)},
        {"moves", move_list(state)},
        {"unusable_items", unusable_items(state)},
        {"kept_items", kept_item_list(state)},
        {"members", member_list(state)}});
}

} // namespace

admin_answer answer_admin_request(const control& state, std::string_view path) {
    if (path == "/metrics") {
        return {200, "text/plain; version=0.0.4", state.m_metrics->render()};
    }
    if (path == "/healthz") {
        return {200, "text/plain", "ok\n"};
    }
    if (path == state.m_adapter.m_readiness_path) {
        const bool ready = state.m_distribution.m_ready && !state.m_leaving && !state.m_draining;
        return {static_cast<std::uint16_t>(ready ? 200 : 503), "text/plain",
                ready ? "ready\n" : "not ready\n"};
    }
    if (path == "/status") {
        return {200, "application/json", status_json(state)};
    }
    return {404, "text/plain", "not found\n"};
}

} // namespace caraway
