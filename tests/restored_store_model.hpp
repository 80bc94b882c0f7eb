// A store that is restored from copies, and nodes that read it, for tests without a network. The
// nodes run the real decisions, with the glue of the control loop.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/hash.hpp"
#include "decide/configuration/copy_marker.hpp"
#include "decide/configuration/distribution.hpp"
#include "decide/configuration/item_list.hpp"
#include "decide/configuration/kept_items.hpp"
#include "platform/operator_items.hpp"
#include "store/store_version.hpp"

namespace caraway {

inline const std::string config_key = "op/config";
inline const std::string evacuation_key = "op/evacuate/north";
inline const std::string order_key = "op/rollout/stock";

inline std::string config_value(unsigned version) {
    return fmt::format(R"({{"version":"{:08x}"}})", version);
}

inline std::string order_value(unsigned target, std::string_view duration_s = "12") {
    return "{\"service\":\"stock\",\"target_version\":\"v" + std::to_string(target) +
           "\",\"duration_s\":" + std::string(duration_s) + "}";
}

// A write of the operators; an empty value deletes the key.
struct operator_write {
    std::string m_key;
    std::string m_value;
};

using item_map = std::map<std::string, store_entry>;

// The store as its clients see it.
struct store_model {
    item_map m_items;
    std::uint64_t m_era = 0;
    std::uint64_t m_revision = 1;
    std::uint64_t m_changed = 1;          // revision of the operators' latest change
    std::vector<store_entry> m_deletions; // with their revisions, for watches

    void write(const operator_write& write) {
        if (write.m_value.empty() && !m_items.contains(write.m_key)) {
            return;
        }
        ++m_revision;
        if (!write.m_key.starts_with(marker_prefix)) {
            m_changed = m_revision;
        }
        if (write.m_value.empty()) {
            m_items.erase(write.m_key);
            m_deletions.push_back({write.m_key, m_revision, {}, true});
            return;
        }
        m_items[write.m_key] = {write.m_key, m_revision, write.m_value, false};
    }

    // Writes a marker after the latest change unless one follows it, as the node does that this
    // task falls to.
    void write_marker() {
        const std::string value = encode_marker(make_version(m_era, m_changed));
        const auto marker = m_items.find(marker_key(m_era));
        if (marker == m_items.end() || marker->second.m_value != value) {
            write({marker_key(m_era), value});
        }
    }

    // Returns the items whose keys have a prefix, with versions.
    std::vector<store_entry> list(std::string_view prefix) const {
        std::vector<store_entry> items;
        for (const auto& [key, item] : m_items) {
            if (key.starts_with(prefix)) {
                items.push_back(item);
                items.back().m_revision = make_version(m_era, item.m_revision);
            }
        }
        return items;
    }

    // Returns up to which version the copy of this era is known to be complete.
    std::uint64_t dated_copy() const { return copy_complete_until(list(marker_prefix), m_era); }

    // Returns the deletions after a version of this era.
    std::vector<store_entry> deletions_after(std::uint64_t version) const {
        std::vector<store_entry> out;
        for (const store_entry& deletion : m_deletions) {
            if (deletion.m_revision > revision_of(version)) {
                out.push_back(deletion);
                out.back().m_revision = make_version(m_era, deletion.m_revision);
            }
        }
        return out;
    }

    // Returns what a node reads: all items with versions. The text's version is that of the latest
    // change, as that of a watching node.
    config_text read() const {
        const item_list list_read{make_version(m_era, m_changed), list("op/"), dated_copy()};
        auto text = std::make_shared<const std::string>(encode_item_list(list_read));
        return {list_read.m_version, hash_bytes(*text), text};
    }
};

// A node that reads the store: the real decisions, with the glue of the control loop.
struct reading_node {
    distribution_state m_config;
    kept_item_state m_kept = make_kept_item_state(config_key, platform::compare_items);
    item_map m_in_force;
    std::uint64_t m_watched = 0; // version up to which it has read the store's changes

    reading_node() : m_config(make_distribution("n", milliseconds(1'000), 1)) {
        m_config.m_required_replicas = 0;
    }

    static item_list decoded(const config_text& text) {
        return *decode_item_list(text.m_version, *text.m_text);
    }

    void put_in_force() {
        const config_text& text = m_config.m_texts.at(m_config.m_applied);
        m_in_force.clear();
        for (store_entry& item : items_in_force(decoded(text), m_kept.m_table)) {
            m_in_force.emplace(item.m_key, std::move(item));
        }
    }

    void advance(const config_text& text) {
        std::optional<item_list> base;
        if (m_config.m_applied != 0) {
            base = decoded(m_config.m_texts.at(m_config.m_applied));
        }
        advance_kept_items(m_kept, base ? &*base : nullptr, decoded(text));
    }

    // Puts the text in force again after a change of the kept items.
    void apply_kept() {
        if (m_config.m_applied != 0) {
            advance(m_config.m_texts.at(m_config.m_applied));
            put_in_force();
        }
    }

    void perform(const std::vector<distribution_action>& actions) {
        for (const distribution_action& action : actions) {
            if (action.m_kind == distribution_action::kind::parse) {
                advance(m_config.m_texts.at(action.m_version));
                perform(distribution_parsed(m_config, action.m_version, true, 0, {}));
            } else if (action.m_kind == distribution_action::kind::apply) {
                put_in_force();
            }
        }
    }

    void receive(const config_text& text) {
        perform(distribution_store_read(m_config, text, 0, {}));
    }

    // Reads the items, and the deletions since the last read or, in a new era, since the copy.
    void read_store(const store_model& store) {
        const bool same_era = era_of(m_watched) == store.m_era;
        const std::uint64_t after = same_era ? m_watched : store.dated_copy();
        receive(store.read());
        m_watched = make_version(store.m_era, store.m_revision);
        bool changed = false;
        for (const store_entry& deletion :
             after == 0 ? std::vector<store_entry>{} : store.deletions_after(after)) {
            changed |= note_deleted_item(m_kept, deletion.m_key, deletion.m_revision);
        }
        if (changed) {
            apply_kept();
        }
    }

    void merge(const kept_items& kept) {
        if (merge_kept_items(m_kept, kept)) {
            apply_kept();
        }
    }

    // Receives what a member knows: its kept items, then its latest text.
    void exchange(const reading_node& member) {
        merge(member.m_kept.m_table);
        if (!member.m_config.m_texts.empty()) {
            receive(member.m_config.m_texts.rbegin()->second);
        }
    }

    void expire(time_point now) {
        if (!expire_kept_items(m_kept, now).empty()) {
            apply_kept();
        }
    }
};

// Returns the operators' items, by key and without versions.
inline std::map<std::string, std::string> values(const item_map& items) {
    std::map<std::string, std::string> out;
    for (const auto& [key, item] : items) {
        if (!key.starts_with(marker_prefix)) {
            out.emplace(key, item.m_value);
        }
    }
    return out;
}

} // namespace caraway
