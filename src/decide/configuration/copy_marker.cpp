#include "decide/configuration/copy_marker.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "config/item_text.hpp"
#include "store/store_version.hpp"

namespace caraway {
namespace {

// Key of the row of a text that states m_copy_complete_until. No operators' item has it.
constexpr std::string_view copy_row_key = "caraway/copy-complete-until";

std::optional<std::uint64_t> parse_number(std::string_view text) {
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool complete = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
    return complete ? std::optional(number) : std::nullopt;
}

// Returns the era and revision of a marker of the copy. Returns nothing for a marker of the current
// era, and for one that isn't later than the change that it follows.
std::optional<std::uint64_t> marker_version(const store_entry& marker, std::uint64_t era) {
    if (!marker.m_key.starts_with(marker_prefix)) {
        return std::nullopt;
    }
    const auto marker_era =
        parse_number(std::string_view(marker.m_key).substr(marker_prefix.size()));
    const auto followed = parse_number(marker.m_value);
    if (!marker_era || !followed || *marker_era >= era || era_of(*followed) != *marker_era) {
        return std::nullopt;
    }
    const std::uint64_t version = make_version(*marker_era, revision_of(marker.m_revision));
    return version > *followed ? std::optional(version) : std::nullopt;
}

} // namespace

std::string marker_key(std::uint64_t era) {
    return std::string(marker_prefix) + std::to_string(era);
}

std::string encode_marker(std::uint64_t version) {
    return std::to_string(version);
}

std::uint64_t copy_complete_until(std::span<const store_entry> markers, std::uint64_t era) {
    std::uint64_t latest = 0;
    for (const store_entry& marker : markers) {
        latest = std::max(latest, marker_version(marker, era).value_or(0));
    }
    return latest;
}

std::string encode_item_list(const item_list& list) {
    if (list.m_copy_complete_until == 0) {
        return encode_items(list.m_items);
    }
    std::vector<store_entry> rows = list.m_items;
    rows.push_back({std::string(copy_row_key), list.m_copy_complete_until, {}, false});
    return encode_items(rows);
}

std::optional<item_list> decode_item_list(std::uint64_t version, std::string_view text) {
    auto rows = decode_items(text);
    if (!rows) {
        return std::nullopt;
    }
    item_list list{version, std::move(*rows), 0};
    const auto row =
        std::find_if(list.m_items.begin(), list.m_items.end(),
                     [](const store_entry& item) { return item.m_key == copy_row_key; });
    if (row != list.m_items.end()) {
        list.m_copy_complete_until = row->m_revision;
        list.m_items.erase(row);
    }
    return list;
}

} // namespace caraway
