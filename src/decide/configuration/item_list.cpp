#include "decide/configuration/item_list.hpp"

#include <algorithm>
#include <span>
#include <utility>

#include <boost/json.hpp>

namespace caraway {
namespace {

// Key of the row of a text that states m_copy_complete_until. No operators' item has it.
constexpr std::string_view copy_row_key = "caraway/copy-complete-until";

// Encodes items as rows of key, version and value.
std::string encode_rows(std::span<const store_entry> items) {
    boost::json::array rows;
    for (const store_entry& item : items) {
        rows.push_back(boost::json::array{item.m_key, item.m_revision, item.m_value});
    }
    return boost::json::serialize(rows);
}

// Returns the items of such rows, or nothing if the text is malformed.
std::optional<std::vector<store_entry>> decode_rows(std::string_view text) {
    boost::json::error_code parse_error;
    const boost::json::value parsed =
        boost::json::parse(boost::json::string_view(text.data(), text.size()), parse_error);
    if (parse_error || !parsed.is_array()) {
        return std::nullopt;
    }
    std::vector<store_entry> items;
    for (const boost::json::value& row_value : parsed.get_array()) {
        const auto* row = row_value.if_array();
        if (row == nullptr || row->size() != 3 || !(*row)[0].is_string() ||
            !(*row)[2].is_string()) {
            return std::nullopt;
        }
        store_entry item;
        item.m_key = std::string((*row)[0].get_string());
        item.m_revision = (*row)[1].to_number<std::uint64_t>(parse_error);
        item.m_value = std::string((*row)[2].get_string());
        if (parse_error) {
            return std::nullopt;
        }
        items.push_back(std::move(item));
    }
    return items;
}

} // namespace

std::string encode_item_list(const item_list& list) {
    if (list.m_copy_complete_until == 0) {
        return encode_rows(list.m_items);
    }
    std::vector<store_entry> rows = list.m_items;
    rows.push_back({std::string(copy_row_key), list.m_copy_complete_until, {}, false});
    return encode_rows(rows);
}

std::optional<item_list> decode_item_list(std::uint64_t version, std::string_view text) {
    auto rows = decode_rows(text);
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
