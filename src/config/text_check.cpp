#include "config/text_check.hpp"

#include <algorithm>
#include <charconv>
#include <limits>
#include <memory>
#include <utility>

#include <fmt/format.h>
#include <toml++/toml.h>

namespace caraway::text_check {
namespace {

// Maximum size of a part of the text quoted in a message.
constexpr std::size_t max_quoted_bytes = 64;

// Maximum size of the found part and of the expected part of a fault. Together with
// max_text_faults, it keeps the record of a refusal below the store's limit of one megabyte, even
// if each byte is escaped.
constexpr std::size_t max_message_bytes = 400;

// Each syntax error requires another parse of the text, at about 50 ms per megabyte. These limits
// prevent a text with many errors from blocking the accepter's control thread.
constexpr std::size_t max_syntax_errors = 20;
constexpr std::size_t max_reparsed_bytes = 4U << 20U;

position position_of(const toml::source_region& region) {
    return {static_cast<std::uint32_t>(region.begin.line),
            static_cast<std::uint32_t>(region.begin.column)};
}

std::string_view type_name(const toml::node& node) {
    switch (node.type()) {
    case toml::node_type::table:
        return "a table";
    case toml::node_type::array:
        return "an array";
    case toml::node_type::string:
        return "a string";
    case toml::node_type::integer:
        return "an integer";
    case toml::node_type::floating_point:
        return "a floating-point number";
    case toml::node_type::boolean:
        return "a boolean";
    case toml::node_type::date:
        return "a date";
    case toml::node_type::time:
        return "a time";
    case toml::node_type::date_time:
        return "a date-time";
    case toml::node_type::none:
        break;
    }
    return "nothing";
}

// Describes a value for a message: its type, and for a string, integer or boolean also its value (a
// long string is truncated).
std::string describe(const toml::node& node) {
    if (const auto* text = node.as_string()) {
        return fmt::format("the string {}", quote(text->get()));
    }
    if (const auto* number = node.as_integer()) {
        return fmt::format("the integer {}", number->get());
    }
    if (const auto* flag = node.as_boolean()) {
        return fmt::format("the boolean {}", flag->get());
    }
    return std::string(type_name(node));
}

// Returns the dotted name of a key in the table with the label, which is empty for the root.
std::string join_label(std::string_view label, std::string_view key) {
    return label.empty() ? std::string(key) : fmt::format("{}.{}", label, key);
}

// Returns the length of the UTF-8 sequence at the start of the text, or 0 if it is invalid. The
// text must not be empty.
std::size_t utf8_length(std::string_view text) {
    const auto lead = static_cast<unsigned char>(text[0]);
    const std::size_t length = lead < 0x80   ? 1
                               : lead < 0xc2 ? 0
                               : lead < 0xe0 ? 2
                               : lead < 0xf0 ? 3
                               : lead < 0xf5 ? 4
                                             : 0;
    if (length > text.size()) {
        return 0;
    }
    for (std::size_t i = 1; i < length; ++i) {
        if ((static_cast<unsigned char>(text[i]) & 0xc0U) != 0x80U) {
            return 0;
        }
    }
    return length;
}

// Converts a syntax error of the library to a fault. Drops the start of the library's message,
// which names the construct being parsed ("Error while parsing key-value pair: ..."), since the
// position already shows it.
text_fault syntax_fault(const toml::parse_error& failure) {
    std::string_view description = failure.description();
    constexpr std::string_view prefix = "Error while parsing ";
    if (description.starts_with(prefix)) {
        const std::size_t colon = description.find(": ");
        if (colon != std::string_view::npos) {
            description.remove_prefix(colon + 2);
        }
    }
    const position start = position_of(failure.source());
    constexpr std::string_view redefinition_prefix = "cannot redefine existing ";
    constexpr std::string_view expected_prefix = "expected ";
    constexpr std::string_view found_separator = ", saw ";
    const std::size_t separator_at = description.find(found_separator);
    if (description.starts_with(redefinition_prefix)) {
        return {start.m_line, start.m_column,
                fmt::format("a second {}", description.substr(redefinition_prefix.size())),
                "each name once"};
    }
    if (description.starts_with(expected_prefix) && separator_at != std::string_view::npos) {
        return {start.m_line, start.m_column,
                std::string(description.substr(separator_at + found_separator.size())),
                std::string(description.substr(expected_prefix.size(),
                                               separator_at - expected_prefix.size()))};
    }
    return {start.m_line, start.m_column, std::string(description), "valid TOML"};
}

// Returns the offset of a line, counted from 1, or the size of the text if it has fewer lines.
std::size_t line_begin(std::string_view text, std::uint32_t line) {
    std::size_t begin = 0;
    for (std::uint32_t i = 1; i < line; ++i) {
        const std::size_t end = text.find('\n', begin);
        if (end == std::string_view::npos) {
            return text.size();
        }
        begin = end + 1;
    }
    return begin;
}

// Overwrites the faulty line with spaces. If it is a table header, also overwrites the lines up to
// the next header, since they would otherwise be read into the wrong table. Returns false if
// nothing changed.
bool blank_out_line(std::string& text, std::uint32_t line) {
    if (line == 0) {
        return false;
    }
    const std::size_t begin = line_begin(text, line);
    const std::size_t first_character = text.find_first_not_of(" \t", begin);
    const bool is_table_header =
        first_character != std::string::npos && text[first_character] == '[';
    bool changed = false;
    std::size_t at = begin;
    while (at < text.size()) {
        std::size_t end = text.find('\n', at);
        end = end == std::string::npos ? text.size() : end;
        if (at != begin && text[at] == '[') {
            break;
        }
        for (; at < end; ++at) {
            changed = changed || text[at] != ' ';
            text[at] = ' ';
        }
        ++at;
        if (!is_table_header) {
            break;
        }
    }
    return changed;
}

} // namespace

std::string to_printable(std::string_view text, std::size_t limit) {
    std::string result;
    std::size_t at = 0;
    while (at < text.size()) {
        const std::size_t length = utf8_length(text.substr(at));
        std::string character(text.substr(at, length));
        if (length == 0) {
            character.assign(1, '?');
        } else if (static_cast<unsigned char>(character[0]) < 0x20 || character[0] == 0x7f) {
            character = fmt::format("\\x{:02x}", static_cast<unsigned char>(character[0]));
        }
        if (result.size() + character.size() > limit) {
            return result + "...";
        }
        result += character;
        at += std::max<std::size_t>(length, 1);
    }
    return result;
}

void fault_sink::add(position at, std::string_view found, std::string_view expected) {
    if (m_faults.size() + 1 >= max_text_faults) {
        ++m_omitted;
        return;
    }
    m_faults.push_back({at.m_line, at.m_column, to_printable(found, max_message_bytes),
                        to_printable(expected, max_message_bytes)});
}

std::vector<text_fault> fault_sink::take_sorted() {
    std::stable_sort(m_faults.begin(), m_faults.end(), [](const auto& a, const auto& b) {
        return std::pair(a.m_line, a.m_column) < std::pair(b.m_line, b.m_column);
    });
    if (m_omitted > 0) {
        m_faults.push_back(
            {0, 0, fmt::format("{} more faults", m_omitted), "a text without faults"});
        m_omitted = 0;
    }
    return std::exchange(m_faults, {});
}

std::string quote(std::string_view text) {
    return fmt::format("\"{}\"", to_printable(text, max_quoted_bytes));
}

std::optional<std::string_view> find_nearest(std::string_view word,
                                             std::span<const std::string_view> candidates,
                                             std::size_t limit) {
    std::optional<std::string_view> best;
    std::vector<std::size_t> row;
    word = word.substr(0, max_quoted_bytes);
    std::size_t best_distance = limit;
    for (const std::string_view candidate : candidates) {
        const std::size_t length_difference = candidate.size() > word.size()
                                                  ? candidate.size() - word.size()
                                                  : word.size() - candidate.size();
        if (length_difference > best_distance) {
            continue;
        }
        row.resize(candidate.size() + 1);
        for (std::size_t j = 0; j < row.size(); ++j) {
            row[j] = j;
        }
        for (std::size_t i = 1; i <= word.size(); ++i) {
            std::size_t diagonal = row[0];
            row[0] = i;
            for (std::size_t j = 1; j <= candidate.size(); ++j) {
                const std::size_t substitute = diagonal + (word[i - 1] == candidate[j - 1] ? 0 : 1);
                diagonal = row[j];
                row[j] = std::min({row[j] + 1, row[j - 1] + 1, substitute});
            }
        }
        if (row.back() < best_distance || (!best && row.back() == best_distance)) {
            best_distance = row.back();
            best = candidate;
        }
    }
    return best;
}

std::optional<milliseconds> parse_duration(std::string_view text) {
    std::int64_t count = 0;
    const char* const end = text.data() + text.size();
    if (text.empty() || text[0] < '0' || text[0] > '9') {
        return std::nullopt;
    }
    const auto [unit_begin, failure] = std::from_chars(text.data(), end, count);
    if (failure != std::errc{}) {
        return std::nullopt;
    }
    const std::string_view unit(unit_begin, static_cast<std::size_t>(end - unit_begin));
    const std::int64_t factor = unit == "ms" ? 1 : unit == "s" ? 1'000 : unit == "m" ? 60'000 : 0;
    if (factor == 0 || count > std::numeric_limits<std::int64_t>::max() / factor) {
        return std::nullopt;
    }
    return milliseconds(count * factor);
}

std::string format_duration(milliseconds value) {
    const std::int64_t count = value.count();
    if (count != 0 && count % 60'000 == 0) {
        return fmt::format("{}m", count / 60'000);
    }
    if (count % 1'000 == 0) {
        return fmt::format("{}s", count / 1'000);
    }
    return fmt::format("{}ms", count);
}

bool is_name(std::string_view text) {
    const auto is_alphanumeric = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    };
    if (text.empty() || text.size() > 64 || !is_alphanumeric(text[0])) {
        return false;
    }
    return std::all_of(text.begin(), text.end(), [&](char c) {
        return is_alphanumeric(c) || c == '.' || c == '_' || c == '-';
    });
}

document parse_document(std::string_view text, fault_sink& faults) {
    toml::parse_result result = toml::parse(text);
    if (result) {
        return {std::make_shared<const toml::table>(std::move(result).table()), true};
    }
    std::string remaining(text);
    for (std::size_t errors = 0; errors < max_syntax_errors; ++errors) {
        const text_fault syntax_error = syntax_fault(result.error());
        const std::uint32_t line = syntax_error.m_line;
        faults.add({syntax_error.m_line, syntax_error.m_column}, syntax_error.m_found,
                   syntax_error.m_expected);
        if (!blank_out_line(remaining, line) || (errors + 1) * text.size() > max_reparsed_bytes) {
            break;
        }
        result = toml::parse(std::string_view(remaining));
        if (result) {
            return {std::make_shared<const toml::table>(std::move(result).table()), false};
        }
    }
    return {std::make_shared<const toml::table>(), false};
}

table_reader::table_reader(const toml::table& table, std::string label,
                           std::span<const std::string_view> known_keys, bool complete,
                           fault_sink& faults)
    : m_table(&table), m_label(std::move(label)), m_complete(complete), m_faults(&faults) {
    for (const auto& [key, value] : table) {
        if (std::find(known_keys.begin(), known_keys.end(), key.str()) != known_keys.end()) {
            continue;
        }
        const auto suggestion =
            find_nearest(key.str(), known_keys, std::numeric_limits<std::size_t>::max());
        faults.add(position_of(key.source()),
                   fmt::format("unknown key {}{}", quote(key.str()),
                               m_label.empty() ? "" : fmt::format(" in {}", m_label)),
                   fmt::format("a known key; the nearest is \"{}\"", suggestion.value_or("")));
    }
}

position table_reader::entry_position(std::string_view key) const {
    const toml::node* node = m_table->get(key);
    return position_of(node != nullptr ? node->source() : m_table->source());
}

bool table_reader::has(std::string_view key) const {
    return m_table->get(key) != nullptr;
}

void table_reader::add_fault(std::string_view key, std::string_view found,
                             std::string_view expected) const {
    m_faults->add(entry_position(key), found, expected);
}

const toml::node* table_reader::find(std::string_view key, presence need,
                                     std::string_view expected) const {
    const toml::node* node = m_table->get(key);
    if (node == nullptr && need == presence::required && m_complete) {
        position at = position_of(m_table->source());
        // The root table has no header, so its fault refers to the start of the text.
        if (at.m_line == 0) {
            at = {1, 1};
        }
        m_faults->add(at, fmt::format("no {}", join_label(m_label, key)), expected);
    }
    return node;
}

void table_reader::add_type_fault(const toml::node& node, std::string_view key,
                                  std::string_view expected) const {
    m_faults->add(position_of(node.source()),
                  fmt::format("{} for {}", describe(node), join_label(m_label, key)), expected);
}

bool table_reader::read_text(std::string_view key, presence need, std::string_view expected,
                             std::string& result) const {
    const toml::node* node = find(key, need, expected);
    if (node == nullptr) {
        return false;
    }
    const auto* text = node->as_string();
    if (text == nullptr) {
        add_type_fault(*node, key, expected);
        return false;
    }
    result = text->get();
    return true;
}

bool table_reader::read_name(std::string_view key, presence need, std::string& result) const {
    constexpr std::string_view expected =
        "1 to 64 characters A-Z a-z 0-9 . _ -, beginning with a letter or digit";
    std::string text;
    if (!read_text(key, need, expected, text)) {
        return false;
    }
    if (!is_name(text)) {
        add_fault(key, fmt::format("{} for {}", quote(text), join_label(m_label, key)), expected);
        return false;
    }
    result = std::move(text);
    return true;
}

bool table_reader::read_bool(std::string_view key, presence need, bool& result) const {
    const toml::node* node = find(key, need, "true or false");
    if (node == nullptr) {
        return false;
    }
    const auto* flag = node->as_boolean();
    if (flag == nullptr) {
        add_type_fault(*node, key, "true or false");
        return false;
    }
    result = flag->get();
    return true;
}

bool table_reader::read_number(std::string_view key, presence need, double min_value,
                               double max_value, double& result) const {
    const std::string expected = fmt::format("a number from {} to {}", min_value, max_value);
    const toml::node* node = find(key, need, expected);
    if (node == nullptr) {
        return false;
    }
    const auto number = node->value<double>();
    if (!number || !(*number >= min_value && *number <= max_value)) {
        add_type_fault(*node, key, expected);
        return false;
    }
    result = *number;
    return true;
}

bool table_reader::read_integer(std::string_view key, presence need, std::uint64_t min_value,
                                std::uint64_t max_value, std::uint64_t& result) const {
    const std::string expected = fmt::format("an integer from {} to {}", min_value, max_value);
    const toml::node* node = find(key, need, expected);
    if (node == nullptr) {
        return false;
    }
    const auto* number = node->as_integer();
    if (number == nullptr || number->get() < 0 ||
        static_cast<std::uint64_t>(number->get()) < min_value ||
        static_cast<std::uint64_t>(number->get()) > max_value) {
        add_type_fault(*node, key, expected);
        return false;
    }
    result = static_cast<std::uint64_t>(number->get());
    return true;
}

bool table_reader::read_integer(std::string_view key, presence need, std::uint32_t min_value,
                                std::uint32_t max_value, std::uint32_t& result) const {
    std::uint64_t wide = 0;
    if (!read_integer(key, need, std::uint64_t{min_value}, std::uint64_t{max_value}, wide)) {
        return false;
    }
    result = static_cast<std::uint32_t>(wide);
    return true;
}

bool table_reader::read_duration(std::string_view key, presence need, milliseconds min_value,
                                 milliseconds max_value, milliseconds& result) const {
    const std::string expected =
        fmt::format("a string with a unit (ms, s, m) from \"{}\" to \"{}\"",
                    format_duration(min_value), format_duration(max_value));
    std::string text;
    if (!read_text(key, need, expected, text)) {
        return false;
    }
    const auto value = parse_duration(text);
    if (!value || *value < min_value || *value > max_value) {
        add_fault(key, fmt::format("{} for {}", quote(text), join_label(m_label, key)), expected);
        return false;
    }
    result = *value;
    return true;
}

bool table_reader::read_time(std::string_view key, presence need, wall_time& result) const {
    constexpr std::string_view expected =
        "a date-time with an offset between the years 2000 and 2200, as 2027-03-01T12:00:00Z";
    const toml::node* node = find(key, need, expected);
    if (node == nullptr) {
        return false;
    }
    const auto* value = node->as_date_time();
    if (value == nullptr) {
        add_type_fault(*node, key, expected);
        return false;
    }
    const toml::date_time& date_time = value->get();
    // Years far outside this range would overflow the system clock's 64-bit nanoseconds.
    if (!date_time.offset || date_time.date.year < 2000 || date_time.date.year > 2200) {
        m_faults->add(
            position_of(node->source()),
            date_time.offset
                ? fmt::format("the year {} for {}", date_time.date.year, join_label(m_label, key))
                : fmt::format("a date-time without an offset for {}", join_label(m_label, key)),
            expected);
        return false;
    }
    const std::chrono::year_month_day date{std::chrono::year(date_time.date.year),
                                           std::chrono::month(date_time.date.month),
                                           std::chrono::day(date_time.date.day)};
    const milliseconds time_of_day = std::chrono::hours(date_time.time.hour) +
                                     std::chrono::minutes(date_time.time.minute) +
                                     std::chrono::seconds(date_time.time.second) +
                                     milliseconds(date_time.time.nanosecond / 1'000'000);
    result =
        std::chrono::sys_days(date) + time_of_day - std::chrono::minutes(date_time.offset->minutes);
    return true;
}

const toml::table* table_reader::read_table(std::string_view key, presence need) const {
    const std::string expected = fmt::format("a table [{}]", join_label(m_label, key));
    const toml::node* node = find(key, need, expected);
    if (node == nullptr) {
        return nullptr;
    }
    if (!node->is_table()) {
        add_type_fault(*node, key, expected);
        return nullptr;
    }
    return node->as_table();
}

bool table_reader::read_strings(std::string_view key, presence need, std::size_t max_count,
                                std::vector<string_element>& result) const {
    const std::string expected = fmt::format("an array of at most {} strings", max_count);
    const toml::node* node = find(key, need, expected);
    if (node == nullptr) {
        return false;
    }
    const toml::array* elements = node->as_array();
    if (elements == nullptr) {
        add_type_fault(*node, key, expected);
        return false;
    }
    if (elements->size() > max_count) {
        m_faults->add(position_of(node->source()),
                      fmt::format("{} elements in {}", elements->size(), join_label(m_label, key)),
                      expected);
        return false;
    }
    bool valid = true;
    for (const toml::node& element : *elements) {
        if (const auto* text = element.as_string()) {
            result.push_back({text->get(), position_of(element.source())});
        } else {
            add_type_fault(element, key, expected);
            valid = false;
        }
    }
    return valid;
}

std::vector<table_reader::subtable>
table_reader::read_named_tables(std::string_view key, presence need, std::size_t max_count) const {
    std::vector<subtable> result;
    const std::string expected = fmt::format("1 to {} tables [{}.NAME]", max_count, key);
    const toml::node* node = find(key, need, expected);
    if (node == nullptr) {
        return result;
    }
    const toml::table* tables = node->as_table();
    if (tables == nullptr) {
        add_type_fault(*node, key, expected);
        return result;
    }
    if (tables->size() > max_count || (tables->empty() && need == presence::required)) {
        m_faults->add(position_of(node->source()),
                      fmt::format("{} tables below {}", tables->size(), key), expected);
    }
    for (const auto& [name, value] : *tables) {
        const position at = position_of(name.source());
        if (!value.is_table()) {
            add_type_fault(value, fmt::format("{}.{}", key, name.str()), expected);
        } else if (!is_name(name.str())) {
            m_faults->add(at, fmt::format("{} as the name of a {}", quote(name.str()), key),
                          "1 to 64 characters A-Z a-z 0-9 . _ -, beginning with a letter or digit");
        } else {
            result.push_back({std::string(name.str()), at, value.as_table()});
        }
    }
    return result;
}

std::vector<table_reader::subtable>
table_reader::read_table_array(std::string_view key, presence need, std::size_t max_count) const {
    std::vector<subtable> result;
    const std::string expected = fmt::format("at most {} tables [[{}]]", max_count, key);
    const toml::node* node = find(key, need, expected);
    if (node == nullptr) {
        return result;
    }
    const toml::array* elements = node->as_array();
    if (elements == nullptr) {
        add_type_fault(*node, key, expected);
        return result;
    }
    if (elements->size() > max_count) {
        m_faults->add(position_of(node->source()),
                      fmt::format("{} tables [[{}]]", elements->size(), key), expected);
    }
    for (const toml::node& element : *elements) {
        if (element.is_table()) {
            result.push_back({{}, position_of(element.source()), element.as_table()});
        } else {
            add_type_fault(element, key, expected);
        }
    }
    return result;
}

} // namespace caraway::text_check
