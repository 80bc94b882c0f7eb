#include "node/snapshot_builder.hpp"

#include <algorithm>

namespace caraway {
namespace {

// Returns true if the data centre accepts new work: the text lists it as in service. Unlisted ones
// accept work, too, if m_lists_data_centres is false.
bool accepts_work(const mesh& config, std::string_view data_centre) {
    const auto found = config.m_data_centres.find(data_centre);
    return found == config.m_data_centres.end() ? !config.m_lists_data_centres
                                                : !found->second.m_out_of_service;
}

// Returns the counters of an instance, which are created on first use.
std::shared_ptr<backend_counters> find_or_add_counters(counter_map& counters,
                                                       const std::string& instance) {
    auto& entry = counters[instance];
    if (!entry) {
        entry = std::make_shared<backend_counters>();
    }
    return entry;
}

backend_view make_backend(const member& added, const member& self, counter_map& counters) {
    backend_view view;
    view.m_instance = added.m_instance;
    view.m_version = added.m_version;
    view.m_data_centre = added.m_data_centre;
    view.m_traffic = added.m_traffic;
    view.m_is_own = added.m_instance == self.m_instance;
    view.m_own_data_centre = added.m_data_centre == self.m_data_centre;
    view.m_counters = find_or_add_counters(counters, added.m_instance);
    return view;
}

service_view make_service(const service_spec& spec, const fact_table& facts) {
    service_view view;
    view.m_spec = spec;
    view.m_old_version = spec.m_version;
    view.m_excluded_versions = excluded_versions(facts, spec.m_name);
    if (spec.m_move) {
        view.m_new_version = spec.m_move->m_to;
        view.m_new_weight_permille =
            new_version_weight_permille(facts, spec.m_name, move_id(spec.m_name, *spec.m_move));
    }
    return view;
}

// Adds a member to its service's view: as a possible registrar of idempotency keys unless it has
// left, and as a backend server if it is reachable, ready and in a data centre that accepts work.
void add_member(routing_snapshot& snapshot, const member& added, const member& self,
                counter_map& counters) {
    const bool reachable =
        added.m_state == member_state::alive || added.m_state == member_state::suspect;
    if (reachable) {
        snapshot.m_member_traffic[added.m_instance] = added.m_traffic;
    }
    const auto service = snapshot.m_services.find(added.m_service);
    if (service == snapshot.m_services.end() || added.m_state == member_state::left) {
        return;
    }
    service->second.m_members.push_back({added.m_instance, added.m_first_incarnation});
    if (reachable && added.m_ready && accepts_work(*snapshot.m_mesh, added.m_data_centre)) {
        service->second.m_backends.push_back(make_backend(added, self, counters));
    }
}

// Adds the departure of a member that left on its own, with the wall-clock time at which this node
// learnt of it.
void add_departure(routing_snapshot& snapshot, const tracked_member& tracked,
                   const snapshot_input& input) {
    const auto service = snapshot.m_services.find(tracked.m_member.m_service);
    if (service == snapshot.m_services.end() || tracked.m_member.m_state != member_state::left ||
        !tracked.m_gone_since) {
        return;
    }
    const auto elapsed =
        std::chrono::duration_cast<wall_time::duration>(input.m_now - *tracked.m_gone_since);
    service->second.m_departures.push_back(
        {{tracked.m_member.m_instance, tracked.m_member.m_first_incarnation},
         input.m_wall_now - elapsed});
}

// Adds the periods in which a member was suspect or dead and which still continue or ended within
// the retention time.
void add_losses(routing_snapshot& snapshot, const tracked_member& tracked,
                const snapshot_input& input) {
    const auto service = snapshot.m_services.find(tracked.m_member.m_service);
    if (service == snapshot.m_services.end()) {
        return;
    }
    const std::int64_t oldest_ms =
        unix_ms(input.m_wall_now) - input.m_members->m_options.m_dead_retention.count();
    for (const loss_episode& episode : tracked.m_losses) {
        const auto until_ms = static_cast<std::int64_t>(episode.m_until_ms);
        if (until_ms == 0 || until_ms > oldest_ms) {
            service->second.m_losses.push_back(
                {static_cast<std::int64_t>(episode.m_from_ms),
                 until_ms == 0 ? std::nullopt : std::optional(until_ms)});
        }
    }
}

// Removes the counters of instances that are no longer in the member table.
void drop_forgotten_counters(counter_map& counters, const membership_table& members) {
    std::erase_if(counters, [&members](const auto& entry) {
        return entry.first != members.m_self.m_instance && !members.m_members.contains(entry.first);
    });
}

} // namespace

error_kind own_refusal(const mesh& config, const member& self, const fact_table& facts,
                       bool draining) {
    if (draining) {
        return error_kind::draining;
    }
    if (!accepts_work(config, self.m_data_centre)) {
        return error_kind::data_centre_out;
    }
    const auto found = config.m_services.find(self.m_service);
    if (found == config.m_services.end()) {
        return error_kind::version_not_served;
    }
    const service_spec& service = found->second;
    const std::vector<std::string> excluded = excluded_versions(facts, service.m_name);
    if (is_old_version(service, self.m_version, excluded)) {
        return error_kind::none;
    }
    const bool is_target = service.m_move && self.m_version == service.m_move->m_to;
    if (is_target && !is_suspended(facts, move_id(service.m_name, *service.m_move))) {
        return error_kind::none;
    }
    const bool is_excluded =
        std::find(excluded.begin(), excluded.end(), self.m_version) != excluded.end();
    return is_target || is_excluded ? error_kind::version_suspended
                                    : error_kind::version_not_served;
}

std::shared_ptr<const routing_snapshot> build_snapshot(const snapshot_input& input,
                                                       counter_map& counters) {
    auto snapshot = std::make_shared<routing_snapshot>();
    snapshot->m_config_version = input.m_config_version;
    snapshot->m_ready = input.m_ready && input.m_mesh != nullptr;
    snapshot->m_draining = input.m_draining;
    snapshot->m_mesh = input.m_mesh;
    snapshot->m_own_server = input.m_own_server_view;
    if (!input.m_mesh) {
        snapshot->m_own_refusal = error_kind::node_not_ready;
        return snapshot;
    }
    const membership_table& members = *input.m_members;
    for (const auto& [name, spec] : input.m_mesh->m_services) {
        snapshot->m_services.emplace(name, make_service(spec, *input.m_facts));
    }
    drop_forgotten_counters(counters, members);
    member self = members.m_self;
    self.m_ready = input.m_ready && input.m_own_server_view.m_refusal == error_kind::none;
    self.m_state = input.m_draining ? member_state::left : member_state::alive;
    add_member(*snapshot, self, members.m_self, counters);
    for (const auto& [name, tracked] : members.m_members) {
        if (!tracked.m_is_tombstone) {
            add_member(*snapshot, tracked.m_member, members.m_self, counters);
            add_departure(*snapshot, tracked, input);
            add_losses(*snapshot, tracked, input);
        }
    }
    snapshot->m_own_data_centre_out = !accepts_work(*input.m_mesh, self.m_data_centre);
    snapshot->m_own_refusal =
        own_refusal(*input.m_mesh, members.m_self, *input.m_facts, input.m_draining);
    if (input.m_own_server_view.m_refusal != error_kind::none) {
        snapshot->m_own_refusal = input.m_own_server_view.m_refusal;
    }
    return snapshot;
}

} // namespace caraway
