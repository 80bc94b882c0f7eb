#include "config/item_text.hpp"

#include <boost/json.hpp>

namespace caraway {

std::string encode_items(std::span<const store_entry> items) {
    boost::json::array rows;
    for (const store_entry& item : items) {
        rows.push_back(boost::json::array{item.m_key, item.m_revision, item.m_value});
    }
    return boost::json::serialize(rows);
}

std::optional<std::vector<store_entry>> decode_items(std::string_view text) {
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

} // namespace caraway
