#include "decide/configuration/kept_items.hpp"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

#include "base/hash.hpp"
#include "store/store_version.hpp"

namespace caraway {
namespace {

const store_entry* find_item(const std::vector<store_entry>& items, std::string_view key) {
    const auto found = std::find_if(items.begin(), items.end(),
                                    [key](const store_entry& item) { return item.m_key == key; });
    return found == items.end() ? nullptr : &*found;
}

// Returns whether an item of the first text of an era was already in the copy, and was there when
// the base was read: what the base tells of its key is then later. A copy that was made in a later
// era than the base tells what this node doesn't know.
bool is_older_than_base(const item_list& first, const store_entry& item, const item_list& base) {
    const std::uint64_t complete_until = first.m_copy_complete_until;
    const std::uint64_t revision = revision_of(item.m_revision);
    if (complete_until == 0 || revision > revision_of(complete_until)) {
        return false;
    }
    const std::uint64_t copy_era = era_of(complete_until);
    const std::uint64_t base_era = era_of(base.m_version);
    return copy_era < base_era || (copy_era == base_era && revision <= revision_of(base.m_version));
}

// Returns whether the copy included an item that the base's store held.
bool was_in_copy(const item_list& first, const store_entry& stored, const item_list& base) {
    const std::uint64_t complete_until = first.m_copy_complete_until;
    return complete_until != 0 && era_of(complete_until) == era_of(base.m_version) &&
           revision_of(stored.m_revision) <= revision_of(complete_until);
}

kept_item superseded_item(std::uint64_t version, std::uint64_t listed_version) {
    return {version, kept_state::superseded, listed_version, false, {}};
}

// Decides on an item in force that the first text lacks. Either the copy lacked it, or it was
// deleted after the restoration. An item that was itself kept over the base was in no copy.
kept_item keep_unlisted_item(const store_entry& in_force, const item_list& base,
                             const item_list& first) {
    const store_entry* stored = find_item(base.m_items, in_force.m_key);
    if (stored != nullptr && was_in_copy(first, *stored, base)) {
        return superseded_item(in_force.m_revision, 0);
    }
    return {in_force.m_revision, kept_state::unconfirmed, 0, false, in_force.m_value};
}

// Decides on an item in force, given the item of the first text. Returns nothing if nothing needs
// to be kept.
std::optional<kept_item> keep_item(const store_entry& in_force, const store_entry* listed,
                                   const item_list& base, const item_list& first,
                                   const item_comparison& compare) {
    if (listed == nullptr) {
        return keep_unlisted_item(in_force, base, first);
    }
    kept_item kept{in_force.m_revision, kept_state::unconfirmed, listed->m_revision, false,
                   in_force.m_value};
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
    return is_older_than_base(first, *listed, base)
               ? kept
               : superseded_item(in_force.m_revision, listed->m_revision);
}

// Adds the deletions that the copy doesn't include: items of the copy that are not in force.
void keep_deletions(const item_list& base, const std::vector<store_entry>& in_force,
                    const item_list& first, kept_items& out) {
    for (const store_entry& listed : first.m_items) {
        if (out.m_items.size() >= max_kept_items || find_item(in_force, listed.m_key) != nullptr ||
            !is_older_than_base(first, listed, base)) {
            continue;
        }
        kept_item kept{out.m_base_version, kept_state::unconfirmed, listed.m_revision, true, {}};
        out.m_items.emplace(listed.m_key, std::move(kept));
    }
}

// Makes the table for the first text of an era, given the text in force and the table over it.
kept_items make_table(const item_list& base, const kept_items& kept, const item_list& first,
                      const item_comparison& compare) {
    kept_items out;
    out.m_era = era_of(first.m_version);
    out.m_base_version = base.m_version;
    const std::vector<store_entry> in_force = items_in_force(base, kept);
    for (const store_entry& item : in_force) {
        auto value = keep_item(item, find_item(first.m_items, item.m_key), base, first, compare);
        if (value && out.m_items.size() < max_kept_items) {
            out.m_items.emplace(item.m_key, std::move(*value));
        }
    }
    keep_deletions(base, in_force, first, out);
    return out;
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
        const bool is_kept = known != kept.m_items.end() && overrides_store(known->second);
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

// Updates the table by a text of its era, and returns whether the table changed.
bool update_table(kept_items& kept, const item_list& text, const item_comparison& compare) {
    if (kept.m_era != era_of(text.m_version)) {
        return false;
    }
    bool changed = false;
    for (auto& [key, item] : kept.m_items) {
        // A text older than the one from which the state follows says nothing new.
        if (!overrides_store(item) || text.m_version < item.m_listed_version) {
            continue;
        }
        const kept_item before = item;
        update_item(item, key, find_item(text.m_items, key), compare);
        changed |= item != before;
    }
    return changed;
}

// Returns the configuration that a table keeps, or nothing.
std::optional<kept_item> kept_configuration(const kept_item_state& state, const kept_items& table) {
    const auto found = table.m_items.find(state.m_configuration_key);
    const bool keeps = found != table.m_items.end() && overrides_store(found->second);
    return keeps ? std::optional(found->second) : std::nullopt;
}

// Merges the items of a table that was made from the same text, and returns whether that changed
// anything.
bool merge_items(kept_items& kept, const kept_items& other) {
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

// Merges a table of the same era into the own one, and returns whether that changed. Of two kept
// configurations the newer one stays, whatever the tables were made from.
bool merge_tables(const kept_item_state& state, kept_items& kept, const kept_items& other) {
    const std::optional<kept_item> own = kept_configuration(state, kept);
    const std::optional<kept_item> received = kept_configuration(state, other);
    const kept_items before = kept;
    if (kept.m_base_version < other.m_base_version) {
        kept = other;
    } else if (kept.m_base_version == other.m_base_version) {
        merge_items(kept, other);
    }
    const std::string& key = state.m_configuration_key;
    const bool own_is_newer =
        own && (!received ||
                state.m_compare(key, own->m_value, received->m_value) != item_relation::newer);
    if (own_is_newer) {
        kept.m_items[key] = *own;
    } else if (received) {
        kept.m_items[key] = *received;
    }
    return kept != before;
}

// Begins an era with its first text.
void begin_era(kept_item_state& state, const item_list* base, const item_list& first) {
    const std::uint64_t era = era_of(first.m_version);
    const kept_items before = std::exchange(state.m_table, {era, 0, {}});
    state.m_unconfirmed_since.clear();
    if (base != nullptr) {
        state.m_table = make_table(*base, before, first, state.m_compare);
    }
    if (state.m_next_era_table.m_era == era) {
        merge_tables(state, state.m_table, state.m_next_era_table);
    }
    if (state.m_next_era_table.m_era <= era) {
        state.m_next_era_table = {};
    }
}

} // namespace

std::string_view kept_state_name(kept_state value) {
    switch (value) {
    case kept_state::unconfirmed:
        return "unconfirmed";
    case kept_state::expired:
        return "expired";
    case kept_state::continued:
        return "continued";
    case kept_state::superseded:
        return "superseded";
    }
    return {};
}

bool overrides_store(const kept_item& item) {
    return item.m_state == kept_state::unconfirmed || item.m_state == kept_state::continued;
}

kept_item_state make_kept_item_state(std::string configuration_key, item_comparison compare) {
    kept_item_state state;
    state.m_configuration_key = std::move(configuration_key);
    state.m_compare = std::move(compare);
    return state;
}

bool advance_kept_items(kept_item_state& state, const item_list* base, const item_list& text) {
    const std::uint64_t era = era_of(text.m_version);
    const bool is_first = era > state.m_table.m_era;
    if (is_first) {
        begin_era(state, base, text);
    }
    std::vector<store_entry> in_force;
    const bool is_next = era > 0 && base != nullptr && era_of(base->m_version) == era &&
                         base->m_version < text.m_version;
    if (is_next) {
        in_force = items_in_force(*base, state.m_table);
    }
    const bool updated = update_table(state.m_table, text, state.m_compare);
    return keep_newer_items(in_force, text, state.m_compare, state.m_table) || updated || is_first;
}

bool note_deleted_item(kept_item_state& state, std::string_view key, std::uint64_t version) {
    const auto found = state.m_table.m_items.find(key);
    if (found == state.m_table.m_items.end() || era_of(version) != state.m_table.m_era) {
        return false;
    }
    kept_item& item = found->second;
    if (!overrides_store(item) || version <= item.m_listed_version) {
        return false;
    }
    item = superseded_item(item.m_version, version);
    return true;
}

bool merge_kept_items(kept_item_state& state, const kept_items& received) {
    if (received.m_era == state.m_table.m_era) {
        return merge_tables(state, state.m_table, received);
    }
    if (received.m_era > state.m_next_era_table.m_era && received.m_era > state.m_table.m_era) {
        state.m_next_era_table = received;
    } else if (received.m_era == state.m_next_era_table.m_era) {
        merge_tables(state, state.m_next_era_table, received);
    }
    return false;
}

std::vector<std::string> expire_kept_items(kept_item_state& state, time_point now) {
    std::vector<std::string> expired;
    std::map<std::string, time_point, std::less<>> unconfirmed_since;
    for (auto& [key, item] : state.m_table.m_items) {
        if (item.m_state != kept_state::unconfirmed || key == state.m_configuration_key) {
            continue;
        }
        const auto known = state.m_unconfirmed_since.find(key);
        const time_point since = known == state.m_unconfirmed_since.end() ? now : known->second;
        if (now - since < max_kept_time) {
            unconfirmed_since.emplace(key, since);
            continue;
        }
        item.m_state = kept_state::expired;
        item.m_value.clear();
        expired.push_back(key);
    }
    state.m_unconfirmed_since = std::move(unconfirmed_since);
    return expired;
}

std::vector<store_entry> items_in_force(const item_list& text, const kept_items& kept) {
    if (kept.m_era != era_of(text.m_version)) {
        return text.m_items;
    }
    std::vector<store_entry> out;
    out.reserve(text.m_items.size() + kept.m_items.size());
    for (const store_entry& item : text.m_items) {
        const auto found = kept.m_items.find(item.m_key);
        if (found == kept.m_items.end() || !overrides_store(found->second)) {
            out.push_back(item);
        }
    }
    for (const auto& [key, item] : kept.m_items) {
        if (overrides_store(item) && !item.m_deleted) {
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
