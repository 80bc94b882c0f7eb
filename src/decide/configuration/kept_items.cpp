#include "decide/configuration/kept_items.hpp"

#include <algorithm>
#include <set>
#include <tuple>

#include "base/hash.hpp"
#include "store/store_version.hpp"

namespace caraway {
namespace {

const store_entry* find_item(const std::vector<store_entry>& items, std::string_view key) {
    const auto found = std::find_if(items.begin(), items.end(),
                                    [key](const store_entry& item) { return item.m_key == key; });
    return found == items.end() ? nullptr : &*found;
}

// Returns whether an item of the first text was already in the copy, as far as the history tells. A
// revision from before the history's first item of the key counts as the copy's, since keeping what
// is in force is the safe error.
bool is_from_copy(std::span<const item_list> history, const store_entry& item) {
    const std::uint64_t revision = revision_of(item.m_revision);
    bool key_known = false;
    std::uint64_t earliest = max_revision;
    for (const item_list& text : history) {
        const store_entry* known = find_item(text.m_items, item.m_key);
        if (known == nullptr) {
            continue;
        }
        const std::uint64_t known_revision = revision_of(known->m_revision);
        if (known_revision == revision && known->m_value == item.m_value) {
            return true;
        }
        key_known = true;
        earliest = std::min(earliest, known_revision);
    }
    return key_known && revision < earliest;
}

// Returns a revision that the copy is known to include: the highest one of an item that the first
// text and the history have in common.
std::uint64_t known_copy_revision(std::span<const item_list> history, const item_list& first) {
    std::uint64_t revision = 0;
    for (const store_entry& item : first.m_items) {
        for (const item_list& text : history) {
            const store_entry* known = find_item(text.m_items, item.m_key);
            if (known != nullptr && known->m_value == item.m_value &&
                revision_of(known->m_revision) == revision_of(item.m_revision)) {
                revision = std::max(revision, revision_of(item.m_revision));
            }
        }
    }
    return revision;
}

kept_item superseded_item(std::uint64_t version, std::uint64_t listed_version) {
    return {version, kept_state::superseded, listed_version, false, {}};
}

// Decides on an item in force, given the item of the first text. Returns nothing if nothing needs
// to be kept. An item that was itself kept over the text in force is judged by the revision of the
// store's item then, since its own is of an earlier era.
std::optional<kept_item> keep_item(const store_entry& in_force, const store_entry* listed,
                                   std::span<const item_list> history, std::uint64_t copy_revision,
                                   const item_comparison& compare) {
    const store_entry* stored = find_item(history.back().m_items, in_force.m_key);
    const std::uint64_t stored_revision = stored == nullptr ? 0 : revision_of(stored->m_revision);
    kept_item kept{in_force.m_revision, kept_state::unconfirmed,
                   listed == nullptr ? 0 : listed->m_revision, false, in_force.m_value};
    if (listed == nullptr) {
        // If the copy is known to include the item, it was deleted after the restoration.
        const bool was_in_copy = stored_revision != 0 && stored_revision <= copy_revision;
        return was_in_copy ? superseded_item(in_force.m_revision, 0) : kept;
    }
    const bool changed =
        revision_of(listed->m_revision) > stored_revision || !is_from_copy(history, *listed);
    switch (compare(in_force.m_key, in_force.m_value, listed->m_value)) {
    case item_relation::same:
        return std::nullopt;
    case item_relation::continues:
        kept.m_state = kept_state::continued;
        return kept;
    case item_relation::older:
        return kept;
    case item_relation::newer:
        return superseded_item(in_force.m_revision, listed->m_revision);
    case item_relation::unordered:
        break;
    }
    return changed ? superseded_item(in_force.m_revision, listed->m_revision) : kept;
}

// Adds the deletions that the copy doesn't include: keys of the history, or deleted ones of the
// table before, that are not in force and that the first text lists again.
void keep_deletions(std::span<const item_list> history, const std::vector<store_entry>& in_force,
                    const item_list& first, kept_items& out) {
    for (const store_entry& listed : first.m_items) {
        if (out.m_items.size() >= max_kept_items || find_item(in_force, listed.m_key) != nullptr ||
            !is_from_copy(history, listed)) {
            continue;
        }
        kept_item kept{out.m_base_version, kept_state::unconfirmed, listed.m_revision, true, {}};
        out.m_items.emplace(listed.m_key, std::move(kept));
    }
}

// Returns the item after a later text of the era.
void update_item(kept_item& kept, const std::string& key, const store_entry* listed,
                 const item_comparison& compare) {
    const auto supersede = [&kept, listed] {
        kept = superseded_item(kept.m_version,
                               listed == nullptr ? kept.m_listed_version : listed->m_revision);
    };
    if (listed == nullptr) {
        const bool never_listed =
            kept.m_state == kept_state::unconfirmed && kept.m_listed_version == 0;
        if (!never_listed) {
            supersede(); // deleted after the restoration
        }
        return;
    }
    if (listed->m_revision == kept.m_listed_version) {
        return;
    }
    const item_relation relation =
        kept.m_deleted ? item_relation::unordered : compare(key, kept.m_value, listed->m_value);
    if (relation == item_relation::continues) {
        kept.m_state = kept_state::continued;
    } else if (relation != item_relation::older) {
        supersede();
        return;
    }
    kept.m_listed_version = listed->m_revision;
}

// Keeps the items in force of which the text has an older value, and returns whether there are any.
// After a restoration, operators may write again what had been replaced.
bool keep_newer_items(const std::vector<store_entry>& in_force, const item_list& text,
                      const item_comparison& compare, kept_items& kept) {
    bool changed = false;
    for (const store_entry& item : in_force) {
        const store_entry* listed = find_item(text.m_items, item.m_key);
        const auto known = kept.m_items.find(item.m_key);
        const bool is_kept =
            known != kept.m_items.end() && known->second.m_state != kept_state::superseded;
        if (listed == nullptr || is_kept || listed->m_revision == item.m_revision ||
            (known == kept.m_items.end() && kept.m_items.size() >= max_kept_items) ||
            compare(item.m_key, item.m_value, listed->m_value) != item_relation::older) {
            continue;
        }
        kept.m_era = era_of(text.m_version);
        kept.m_items[item.m_key] = {item.m_revision, kept_state::unconfirmed, listed->m_revision,
                                    false, item.m_value};
        changed = true;
    }
    return changed;
}

// Order of what two nodes know about the same kept item.
auto knowledge_order(const kept_item& value) {
    return std::tie(value.m_version, value.m_state, value.m_listed_version, value.m_deleted,
                    value.m_value);
}

} // namespace

kept_items keep_items(std::span<const item_list> history, const kept_items& kept,
                      const item_list& first, const item_comparison& compare) {
    kept_items out;
    out.m_era = era_of(first.m_version);
    if (history.empty()) {
        return out;
    }
    out.m_base_version = history.back().m_version;
    const std::vector<store_entry> in_force = items_in_force(history.back(), kept);
    const std::uint64_t copy_revision = known_copy_revision(history, first);
    for (const store_entry& item : in_force) {
        auto value =
            keep_item(item, find_item(first.m_items, item.m_key), history, copy_revision, compare);
        if (value && out.m_items.size() < max_kept_items) {
            out.m_items.emplace(item.m_key, std::move(*value));
        }
    }
    keep_deletions(history, in_force, first, out);
    return out;
}

bool update_kept_items(kept_items& kept, const item_list& text, const item_comparison& compare) {
    if (kept.m_era != era_of(text.m_version)) {
        return false;
    }
    bool changed = false;
    for (auto& [key, item] : kept.m_items) {
        // A text older than the one from which the state follows says nothing new.
        if (item.m_state == kept_state::superseded || text.m_version < item.m_listed_version) {
            continue;
        }
        const kept_item before = item;
        update_item(item, key, find_item(text.m_items, key), compare);
        changed |= item != before;
    }
    return changed;
}

bool advance_kept_items(kept_items& kept, std::span<const item_list> history, const item_list& text,
                        const item_comparison& compare) {
    const std::uint64_t era = era_of(text.m_version);
    if (era == 0 || history.empty() || text.m_version <= history.back().m_version) {
        return update_kept_items(kept, text, compare);
    }
    if (era > era_of(history.back().m_version)) {
        const bool made = merge_kept_items(kept, keep_items(history, kept, text, compare));
        return update_kept_items(kept, text, compare) || made;
    }
    const std::vector<store_entry> in_force = items_in_force(history.back(), kept);
    const bool updated = update_kept_items(kept, text, compare);
    return keep_newer_items(in_force, text, compare, kept) || updated;
}

bool merge_kept_items(kept_items& kept, const kept_items& other) {
    const auto own = std::tie(kept.m_era, kept.m_base_version);
    const auto received = std::tie(other.m_era, other.m_base_version);
    if (received < own) {
        return false;
    }
    if (own < received) {
        kept = other;
        return true;
    }
    bool changed = false;
    for (const auto& [key, item] : other.m_items) {
        const auto found = kept.m_items.find(key);
        if (found == kept.m_items.end()) {
            if (kept.m_items.size() < max_kept_items) {
                kept.m_items.emplace(key, item);
                changed = true;
            }
        } else if (knowledge_order(found->second) < knowledge_order(item)) {
            found->second = item;
            changed = true;
        }
    }
    return changed;
}

std::vector<store_entry> items_in_force(const item_list& text, const kept_items& kept) {
    if (kept.m_era != era_of(text.m_version)) {
        return text.m_items;
    }
    std::vector<store_entry> out;
    out.reserve(text.m_items.size() + kept.m_items.size());
    for (const store_entry& item : text.m_items) {
        const auto found = kept.m_items.find(item.m_key);
        if (found == kept.m_items.end() || found->second.m_state == kept_state::superseded) {
            out.push_back(item);
        }
    }
    for (const auto& [key, item] : kept.m_items) {
        if (item.m_state != kept_state::superseded && !item.m_deleted) {
            out.push_back({key, item.m_version, item.m_value, false});
        }
    }
    // The same order as in the store, so that equal items make equal texts.
    std::sort(out.begin(), out.end(),
              [](const store_entry& a, const store_entry& b) { return a.m_key < b.m_key; });
    return out;
}

std::size_t unconfirmed_items(const kept_items& kept) {
    return static_cast<std::size_t>(
        std::count_if(kept.m_items.begin(), kept.m_items.end(), [](const auto& entry) {
            return entry.second.m_state == kept_state::unconfirmed;
        }));
}

std::uint64_t kept_items_digest(const kept_items& kept) {
    if (kept.m_era == 0) {
        return 0;
    }
    // The seed differs from those of the other facts, so that their hashes don't cancel out.
    constexpr std::uint64_t seed = 3;
    std::string bytes;
    const auto append = [&bytes](std::uint64_t number) {
        bytes += std::to_string(number);
        bytes += '\0';
    };
    append(kept.m_era);
    append(kept.m_base_version);
    for (const auto& [key, item] : kept.m_items) {
        bytes += key;
        bytes += '\0';
        append(item.m_version);
        append(static_cast<std::uint64_t>(item.m_state));
        append(item.m_listed_version);
    }
    return hash_bytes(bytes, seed);
}

} // namespace caraway
