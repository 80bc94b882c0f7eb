// Decides which of the operators' items stay in force after the store was restored from a copy. The
// copy may lack the latest items, hold older ones, or still hold deleted ones. Each node keeps what
// was in force, as a table over the store's items, until the operators have written it again, but
// for max_kept_time at most. Nodes exchange these tables like facts; they merge in any order.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "decide/configuration/item_list.hpp"
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
    expired,     // was unconfirmed for max_kept_time: what the store holds is in force
    continued,   // the store holds the same order again
    superseded,  // written otherwise, or deleted, after the restoration
};

// Returns the name of a state in the status page.
std::string_view kept_state_name(kept_state value);

// How long a node prefers what was in force to what the restored store holds. The operators' tools
// write again what the store has lost; what none of them writes again in this time isn't wanted any
// more, or is kept by a wrong guess.
constexpr milliseconds max_kept_time{60'000};

// An item, or the deletion of one, that was in force before the restoration.
struct kept_item {
    std::uint64_t m_version = 0; // of the item; of the text without it if it was deleted
    kept_state m_state = kept_state::unconfirmed;
    // Version of the store's item from which m_state follows, 0 if the store has none.
    std::uint64_t m_listed_version = 0;
    bool m_deleted = false;
    std::string m_value; // empty once expired or superseded
    friend bool operator==(const kept_item&, const kept_item&) = default;
};

// Returns whether the kept item, and not the store's, is in force.
bool overrides_store(const kept_item& item);

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

// What a node knows about kept items.
struct kept_item_state {
    // The item that holds the configuration. Configurations are ordered by their own version, and
    // none is ever replaced by an older one.
    std::string m_configuration_key;
    item_comparison m_compare;
    kept_items m_table; // of the era of the latest text handled here
    // Received table of a later era. It is merged when the first text of its era arrives, since
    // until then m_table tells what is in force.
    kept_items m_next_era_table;
    // When this node learnt that an item is unconfirmed, by key.
    std::map<std::string, time_point, std::less<>> m_unconfirmed_since;
};

// Creates the state of a node that keeps nothing yet.
kept_item_state make_kept_item_state(std::string configuration_key, item_comparison compare);

// Handles a text before it is parsed, and returns whether the table changed. base is the text in
// force here, null if there is none. The first text of an era makes the table: an item in force
// stays, and one that isn't stays deleted, unless the store's item, or its absence, is later than
// the copy (m_copy_complete_until of the text). Later texts update the table, and from era 1 on
// items in force of which the text has an older value are added.
bool advance_kept_items(kept_item_state& state, const item_list* base, const item_list& text);

// Handles the deletion of a key that a watch has reported, and returns whether the table changed.
// An item that was written again and deleted at once is in no list.
bool note_deleted_item(kept_item_state& state, std::string_view key, std::uint64_t version);

// Merges a received table and returns whether the own one changed. Tables merge in any order.
bool merge_kept_items(kept_item_state& state, const kept_items& received);

// Lets items expire that have been unconfirmed for max_kept_time, and returns their keys. The
// configuration is kept without end.
std::vector<std::string> expire_kept_items(kept_item_state& state, time_point now);

// Returns the items in force: those of the text, with the kept ones over them.
std::vector<store_entry> items_in_force(const item_list& text, const kept_items& kept);

// Returns the number of items that the store lacks.
std::size_t unconfirmed_items(const kept_items& kept);

// Returns a digest of the table, 0 for one of era 0. Equal tables have equal digests.
std::uint64_t kept_items_digest(const kept_items& kept);

} // namespace caraway
