// Decides which of the operators' items stay in force after the store was restored from a copy. The
// copy may lack the latest items, hold older ones, or still hold deleted ones. Each node keeps what
// was in force, as a table over the store's items, until the operators have written it again. Nodes
// exchange these tables like facts; they merge in any order.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "store/store_codec.hpp"

namespace caraway {

// What the store's value of a key means beside the one kept.
enum class item_relation : std::uint8_t {
    same,      // both have the same effect
    continues, // the same order, whose identity includes its version: it goes on
    older,     // the store's value is older, whatever its revision
    newer,     // the store's value is newer, whatever its revision
    unordered, // only the revisions tell
};

// Compares the store's value of a key with the one kept.
using item_comparison = std::function<item_relation(std::string_view key, std::string_view kept,
                                                    std::string_view listed)>;

// What is known about a kept item; it only rises.
enum class kept_state : std::uint8_t {
    unconfirmed, // the store lacks it, or holds what the copy held
    continued,   // the store holds the same order again
    superseded,  // written otherwise, or deleted, after the restoration
};

// An item, or the deletion of one, that was in force before the restoration.
struct kept_item {
    std::uint64_t m_version = 0; // of the item; of the text without it if it was deleted
    kept_state m_state = kept_state::unconfirmed;
    // Version of the store's item from which m_state follows, 0 if the store has none.
    std::uint64_t m_listed_version = 0;
    bool m_deleted = false;
    std::string m_value; // empty once superseded
    friend bool operator==(const kept_item&, const kept_item&) = default;
};

// The items kept after the restoration that began an era.
struct kept_items {
    std::uint64_t m_era = 0;
    // Version of the configuration that was in force where the table was made. Of two tables of an
    // era the one with the later version replaces the other as a whole: a node that was cut off
    // before the restoration would otherwise bring back items that had been deleted.
    std::uint64_t m_base_version = 0;
    std::map<std::string, kept_item, std::less<>> m_items; // by key
    friend bool operator==(const kept_items&, const kept_items&) = default;
};

// Upper bound of the items of a table; further ones are dropped. A mesh has an order for each
// service and data centre at most.
constexpr std::size_t max_kept_items = 4'096;

// A configuration text as items, with its version.
struct item_list {
    std::uint64_t m_version = 0;
    std::vector<store_entry> m_items;
};

// Makes the table for the first text of an era. history holds the texts of the era before that this
// node has, the one in force last; kept is the table of that era. An item of the copy is recognised
// by the history: a revision that the history has for this key with the same value, or one from
// before the history.
kept_items keep_items(std::span<const item_list> history, const kept_items& kept,
                      const item_list& first, const item_comparison& compare);

// Updates the table by a text of its era, and returns whether the table changed.
bool update_kept_items(kept_items& kept, const item_list& text, const item_comparison& compare);

// Handles a text before it is parsed, and returns whether the table changed. Makes the table if the
// text is the first one of an era here; history is then as for keep_items. Otherwise updates it,
// and from era 1 on adds items in force, those of the last text of the history, of which the text
// has an older value.
bool advance_kept_items(kept_items& kept, std::span<const item_list> history, const item_list& text,
                        const item_comparison& compare);

// Merges a table into another and returns whether that changed. Tables merge in any order.
bool merge_kept_items(kept_items& kept, const kept_items& other);

// Returns the items in force: those of the text, with the kept ones over them.
std::vector<store_entry> items_in_force(const item_list& text, const kept_items& kept);

// Returns the number of items that the store lacks.
std::size_t unconfirmed_items(const kept_items& kept);

// Returns a digest of the table, 0 for one of era 0. Equal tables have equal digests.
std::uint64_t kept_items_digest(const kept_items& kept);

} // namespace caraway
