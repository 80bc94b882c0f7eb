#include "decide/versions/facts.hpp"

#include <algorithm>
#include <array>
#include <set>
#include <tuple>

#include "base/hash.hpp"

namespace caraway {
namespace {

// Order of suspensions of the same move. All fields are compared, so that two different reports
// never compare equal and the smaller one is kept in every order of arrival.
auto suspension_order(const suspension& value) {
    return std::tie(value.m_at_ms, value.m_instance, value.m_service, value.m_version,
                    value.m_reason);
}

// Order of records of the same service, by revision. The other fields only break ties between
// records with the same revision, which a correct store never produces.
auto record_order(const move_record& value) {
    return std::tie(value.m_revision, value.m_state, value.m_move_id, value.m_stage,
                    value.m_weight_permille, value.m_from, value.m_to, value.m_started_ms,
                    value.m_raised_ms, value.m_deadline_ms, value.m_holder, value.m_reason,
                    value.m_excluded_versions);
}

// Appends a field to the input of a digest. The separator keeps adjacent fields apart.
void append_field(std::string& bytes, std::string_view text) {
    bytes += text;
    bytes += '\0';
}

void append_field(std::string& bytes, std::uint64_t number) {
    append_field(bytes, std::to_string(number));
}

// Hashes only the move id. Which of several reports of the same move a node keeps has no effect on
// calls, and must not make all nodes fetch facts from each other.
std::uint64_t suspension_hash(const suspension& value) {
    return hash_bytes(value.m_move_id, 1);
}

// Hashes the service, move and revision, which identify a record, and its state and weight. The
// store determines the other fields.
std::uint64_t record_hash(const move_record& value) {
    std::string bytes;
    append_field(bytes, value.m_service);
    append_field(bytes, value.m_move_id);
    append_field(bytes, value.m_revision);
    append_field(bytes, static_cast<std::uint64_t>(value.m_state));
    append_field(bytes, value.m_weight_permille);
    return hash_bytes(bytes, 2);
}

// Appends a version unless it is there.
void add_version(std::vector<std::string>& versions, const std::string& version) {
    if (std::find(versions.begin(), versions.end(), version) == versions.end()) {
        versions.push_back(version);
    }
}

// From the record of a move on, the record says whether its target is excluded.
void forget_unrecorded_target(fact_table& facts, const move_record& record) {
    const auto found = facts.m_unrecorded_targets.find(record.m_service);
    if (found == facts.m_unrecorded_targets.end()) {
        return;
    }
    std::erase(found->second, record.m_to);
    if (found->second.empty()) {
        facts.m_unrecorded_targets.erase(found);
    }
}

// Drops the earliest records of services that are not listed, if there are too many of them.
void drop_unlisted_records(fact_table& facts, const service_filter& is_listed) {
    std::vector<const move_record*> unlisted;
    for (const auto& [service, record] : facts.m_records) {
        if (!is_listed(service)) {
            unlisted.push_back(&record);
        }
    }
    if (unlisted.size() <= max_unlisted_records) {
        return;
    }
    std::sort(unlisted.begin(), unlisted.end(), [](const move_record* a, const move_record* b) {
        return record_order(*b) < record_order(*a);
    });
    std::vector<std::string> dropped;
    for (std::size_t i = max_unlisted_records; i < unlisted.size(); ++i) {
        dropped.push_back(unlisted[i]->m_service);
        facts.m_service_by_move.erase(unlisted[i]->m_move_id);
    }
    for (const std::string& service : dropped) {
        facts.m_records.erase(service);
    }
}

} // namespace

std::string_view move_state_name(move_state value) {
    static constexpr std::array<std::string_view, 3> names{"running", "done", "taken_back"};
    return names[static_cast<std::size_t>(value)];
}

bool merge_suspension(fact_table& facts, const suspension& value) {
    const auto found = facts.m_suspensions.find(value.m_move_id);
    if (found == facts.m_suspensions.end()) {
        if (facts.m_suspensions.size() >= max_facts) {
            return false;
        }
        facts.m_suspensions.emplace(value.m_move_id, value);
        return true;
    }
    if (suspension_order(value) < suspension_order(found->second)) {
        found->second = value;
        return true;
    }
    return false;
}

bool merge_record(fact_table& facts, const move_record& value) {
    const auto found = facts.m_records.find(value.m_service);
    if (found == facts.m_records.end()) {
        if (facts.m_records.size() >= max_facts) {
            return false;
        }
        forget_unrecorded_target(facts, value);
        facts.m_records.emplace(value.m_service, value);
        facts.m_service_by_move[value.m_move_id] = value.m_service;
        return true;
    }
    if (record_order(found->second) < record_order(value)) {
        forget_unrecorded_target(facts, value);
        facts.m_service_by_move.erase(found->second.m_move_id);
        found->second = value;
        facts.m_service_by_move[value.m_move_id] = value.m_service;
        return true;
    }
    return false;
}

// The digest is a sum of hashes, so that it doesn't depend on order and is zero for an empty table.
std::uint64_t facts_digest(const fact_table& facts) {
    std::uint64_t digest = 0;
    for (const auto& [move_id, value] : facts.m_suspensions) {
        digest += suspension_hash(value);
    }
    for (const auto& [service, value] : facts.m_records) {
        digest += record_hash(value);
    }
    return digest;
}

std::uint32_t new_version_weight_permille(const fact_table& facts, std::string_view service,
                                          std::string_view move_id) {
    if (facts.m_suspensions.contains(move_id)) {
        return 0;
    }
    const auto found = facts.m_records.find(service);
    if (found == facts.m_records.end() || found->second.m_move_id != move_id) {
        return 0;
    }
    switch (found->second.m_state) {
    case move_state::taken_back:
        return 0;
    case move_state::done:
        return 1000;
    case move_state::running:
        break;
    }
    return found->second.m_weight_permille;
}

bool is_suspended(const fact_table& facts, std::string_view move_id) {
    if (facts.m_suspensions.contains(move_id)) {
        return true;
    }
    const auto service = facts.m_service_by_move.find(move_id);
    if (service == facts.m_service_by_move.end()) {
        return false;
    }
    const auto record = facts.m_records.find(service->second);
    return record != facts.m_records.end() && record->second.m_state == move_state::taken_back;
}

std::vector<std::string> excluded_versions(const move_record& record) {
    std::vector<std::string> versions = record.m_excluded_versions;
    if (record.m_state != move_state::done) {
        std::erase(versions, record.m_to);
        versions.push_back(record.m_to);
    }
    return versions;
}

std::vector<std::string> excluded_versions(const fact_table& facts, std::string_view service) {
    std::vector<std::string> versions;
    if (const auto found = facts.m_records.find(service); found != facts.m_records.end()) {
        versions = excluded_versions(found->second);
    }
    if (const auto found = facts.m_unrecorded_targets.find(service);
        found != facts.m_unrecorded_targets.end()) {
        for (const std::string& target : found->second) {
            add_version(versions, target);
        }
    }
    return versions;
}

void note_replaced_orders(fact_table& facts, const mesh& before, const mesh& after) {
    for (const auto& [name, service] : before.m_services) {
        if (!service.m_move || !service.m_version.empty()) {
            continue;
        }
        const auto next = after.m_services.find(name);
        const bool in_force = next != after.m_services.end() && next->second.m_move &&
                              *next->second.m_move == *service.m_move;
        // A record from after the order is that of its move, or states what became of its target.
        const auto record = facts.m_records.find(name);
        const bool recorded = record != facts.m_records.end() &&
                              record->second.m_revision > service.m_move->m_order_revision;
        if (in_force || recorded) {
            continue;
        }
        std::vector<std::string>& targets = facts.m_unrecorded_targets[name];
        add_version(targets, service.m_move->m_to);
        if (targets.size() > max_excluded_versions) {
            targets.erase(targets.begin());
        }
    }
}

std::vector<std::string> inherit_exclusions(std::vector<std::string> excluded,
                                            std::string_view target) {
    std::erase(excluded, target);
    if (excluded.size() > max_excluded_versions) {
        excluded.erase(excluded.begin(),
                       excluded.end() - static_cast<std::ptrdiff_t>(max_excluded_versions));
    }
    return excluded;
}

void prune_facts(fact_table& facts, const std::vector<std::string>& move_ids,
                 const service_filter& is_listed) {
    drop_unlisted_records(facts, is_listed);
    const std::set<std::string_view> in_force(move_ids.begin(), move_ids.end());
    std::erase_if(facts.m_suspensions, [&](const auto& entry) {
        return !in_force.contains(entry.first) && !facts.m_service_by_move.contains(entry.first);
    });
    if (facts.m_unrecorded_targets.size() > max_facts) {
        std::erase_if(facts.m_unrecorded_targets,
                      [&](const auto& entry) { return !is_listed(entry.first); });
    }
}

} // namespace caraway
