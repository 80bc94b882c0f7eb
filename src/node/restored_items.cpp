// Carries the operators' items over a restoration of the store from a copy: what must stay in force
// is decided by decide/configuration/kept_items, and exchanged between members with the facts.
#include "config/item_text.hpp"
#include "node/control.hpp"
#include "observe/log.hpp"
#include "store/store_version.hpp"

namespace caraway {
namespace {

// Returns the texts of the era in force that are held here, the one in force last.
std::vector<item_list> held_item_lists(const control& state) {
    std::vector<item_list> out;
    const distribution_state& distribution = state.m_distribution;
    for (const auto& [version, text] : distribution.m_texts) {
        if (version > distribution.m_applied || era_of(version) != era_of(distribution.m_applied)) {
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
    const bool is_first = era_of(version) > era_of(state.m_distribution.m_applied);
    const std::vector<item_list> history =
        is_first ? held_item_lists(state) : std::vector<item_list>{};
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
