// Carries the operators' items over a restoration of the store from a copy: what must stay in force
// is decided by decide/configuration/kept_items, and exchanged between members with the facts.
#include "node/control.hpp"
#include "observe/log.hpp"
#include "store/store_version.hpp"

namespace caraway {
namespace {

// Returns the text in force as items, or nothing if there is none.
std::optional<item_list> item_list_in_force(const control& state) {
    const std::uint64_t applied = state.m_distribution.m_applied;
    const auto text = state.m_distribution.m_texts.find(applied);
    if (text == state.m_distribution.m_texts.end()) {
        return std::nullopt;
    }
    return decode_item_list(applied, *text->second.m_text);
}

void log_kept_items(const kept_items& kept) {
    log_event(log_level::info, "items_kept",
              {{"era", kept.m_era},
               {"base_version", kept.m_base_version},
               {"items", kept.m_items.size()},
               {"unconfirmed", unconfirmed_items(kept)}});
}

// Called after each change of the kept items.
void kept_items_changed(control& state) {
    update_facts_digest(state);
    state.m_metrics->set_kept_items(unconfirmed_items(state.m_kept_items.m_table));
    log_kept_items(state.m_kept_items.m_table);
}

} // namespace

std::vector<store_entry> resolve_items(control& state, const item_list& text) {
    // In era 0 nothing is kept, so the text in force isn't needed.
    const auto base = era_of(text.m_version) == 0 ? std::nullopt : item_list_in_force(state);
    const bool changed = advance_kept_items(state.m_kept_items, base ? &*base : nullptr, text);
    if (changed) {
        kept_items_changed(state);
    }
    return items_in_force(text, state.m_kept_items.m_table);
}

void merge_kept_items(control& state, const kept_items& received) {
    if (!state.reads_operator_items() || !merge_kept_items(state.m_kept_items, received)) {
        return;
    }
    kept_items_changed(state);
    apply_kept_items(state);
}

void note_deleted_items(control& state, std::span<const store_entry> changes) {
    bool changed = false;
    for (const store_entry& entry : changes) {
        if (entry.m_deleted &&
            note_deleted_item(state.m_kept_items, entry.m_key, entry.m_revision)) {
            log_event(log_level::info, "kept_item_deleted",
                      {{"key", entry.m_key}, {"version", entry.m_revision}});
            changed = true;
        }
    }
    if (changed) {
        kept_items_changed(state);
        apply_kept_items(state);
    }
}

void tick_kept_items(control& state, time_point now) {
    const std::vector<std::string> expired = expire_kept_items(state.m_kept_items, now);
    for (const std::string& key : expired) {
        log_event(log_level::warning, "kept_item_expired",
                  {{"key", key}, {"era", state.m_kept_items.m_table.m_era}});
    }
    if (!expired.empty()) {
        kept_items_changed(state);
        apply_kept_items(state);
    }
}

} // namespace caraway
