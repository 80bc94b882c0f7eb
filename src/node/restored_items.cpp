// Carries the operators' items over a restoration of the store from a copy: what must stay in force
// is decided by decide/configuration/kept_items, and exchanged between members with the facts.
#include "config/item_text.hpp"
#include "node/control.hpp"
#include "observe/log.hpp"
#include "store/store_version.hpp"

namespace caraway {
namespace {

// Returns what the handling of a text needs of the texts held here: for the first text of an era
// all those of the era in force, the one in force last; for others, from era 1 on, the one in
// force.
std::vector<item_list> relevant_item_lists(const control& state, std::uint64_t next_version) {
    std::vector<item_list> out;
    const distribution_state& distribution = state.m_distribution;
    const std::uint64_t applied = distribution.m_applied;
    const bool is_first = era_of(next_version) > era_of(applied);
    if (era_of(next_version) == 0) {
        return out;
    }
    for (const auto& [version, text] : distribution.m_texts) {
        const bool same_era = version <= applied && era_of(version) == era_of(applied);
        const bool relevant = is_first ? same_era : version == applied;
        if (!relevant) {
            continue;
        }
        if (auto items = decode_items(*text.m_text)) {
            out.push_back({version, std::move(*items)});
        }
    }
    return out;
}

void log_kept_items(const control& state) {
    log_event(log_level::info, "items_kept",
              {{"era", state.m_kept_items.m_era},
               {"base_version", state.m_kept_items.m_base_version},
               {"items", state.m_kept_items.m_items.size()},
               {"unconfirmed", unconfirmed_items(state.m_kept_items)}});
}

// Called after each change of the kept items.
void kept_items_changed(control& state) {
    update_facts_digest(state);
    state.m_metrics->set_kept_items(unconfirmed_items(state.m_kept_items));
    log_kept_items(state);
}

} // namespace

std::vector<store_entry> resolve_items(control& state, std::uint64_t version,
                                       std::vector<store_entry> items) {
    const item_list text{version, std::move(items)};
    const std::vector<item_list> history = relevant_item_lists(state, version);
    const bool changed =
        advance_kept_items(state.m_kept_items, history, text, state.m_adapter.m_compare_items);
    if (changed) {
        kept_items_changed(state);
    }
    return items_in_force(text, state.m_kept_items);
}

void merge_kept_items(control& state, const kept_items& received) {
    if (!state.reads_operator_items() || !merge_kept_items(state.m_kept_items, received)) {
        return;
    }
    kept_items_changed(state);
    apply_kept_items(state);
}

} // namespace caraway
