// Typed reading of TOML tables, with a fault for each invalid entry. Internal to src/config. Only
// the .cpp files include the TOML library's full header.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

// The library asserts conditions on table headers and values that an invalid text violates, and
// reports the syntax error immediately afterwards. With its assertions enabled, an operator's
// typing error would abort the process; with NDEBUG they would become assumptions of the optimiser.
#ifdef NDEBUG
#error "the TOML library's assumptions don't hold for every text; build without NDEBUG"
#endif
#ifndef TOML_ASSERT
#define TOML_ASSERT(expr) static_cast<void>(0)
#endif
#define TOML_EXCEPTIONS 0
#include <toml++/impl/forward_declarations.h>

#include "base/clock.hpp"
#include "config/mesh.hpp"

namespace caraway::text_check {

// Position of a value or key in the text, counted from 1; 0 if unknown.
struct position {
    std::uint32_t m_line = 0;
    std::uint32_t m_column = 0;
};

// Collects the first max_text_faults - 1 faults and counts the others.
class fault_sink {
public:
    // Adds a fault whose two parts are made printable and truncated.
    void add(position at, std::string_view found, std::string_view expected);
    bool empty() const { return m_faults.empty(); }
    // Moves the faults out, ordered by line and column. If faults were left out, a last one states
    // their number.
    std::vector<text_fault> take_sorted();

private:
    std::vector<text_fault> m_faults;
    std::uint64_t m_omitted = 0;
};

// Converts a text to one line of valid UTF-8 for logs and records. Escapes control characters,
// replaces invalid bytes with "?", and truncates the result to limit bytes followed by "...".
std::string to_printable(std::string_view text, std::size_t limit);

// Returns a part of the text in quotes for a message, printable and truncated.
std::string quote(std::string_view text);

// Returns the candidate with the smallest edit distance to the word, or nothing if every distance
// exceeds limit.
std::optional<std::string_view> find_nearest(std::string_view word,
                                             std::span<const std::string_view> candidates,
                                             std::size_t limit);

// Parses an unsigned number with the unit ms, s or m, such as "250ms".
std::optional<milliseconds> parse_duration(std::string_view text);
// Formats a duration in the largest of these units that gives an integer.
std::string format_duration(milliseconds value);

// Returns true for 1 to 64 characters from A-Z a-z 0-9 . _ - that begin with a letter or digit. The
// set is restricted because names become part of store keys, header values and log lines.
bool is_name(std::string_view text);

// A parsed document. Lines with syntax errors are left out, so that the rest of the text can be
// checked in the same pass.
struct document {
    std::shared_ptr<const toml::table> m_root;
    // If false, lines were left out, and an entry that is absent may still be in the text.
    bool m_complete = true;
};

// Parses a text and adds a fault for each syntax error, up to a limit.
document parse_document(std::string_view text, fault_sink& faults);

// Whether an entry may be absent.
enum class presence : std::uint8_t { optional, required };

// Reads the entries of one table. Unless stated otherwise, a read function returns true and sets
// its result only if the entry is present and valid. An invalid entry adds a fault, and so does a
// missing required one if the document is complete.
class table_reader {
public:
    // Adds a fault for each key that is not in known_keys. label names the table in messages and is
    // empty for the root. The table and faults must outlive the reader.
    table_reader(const toml::table& table, std::string label,
                 std::span<const std::string_view> known_keys, bool complete, fault_sink& faults);

    // Returns the position of the entry's value, or of the table if the entry is absent.
    position entry_position(std::string_view key) const;
    bool has(std::string_view key) const;

    bool read_name(std::string_view key, presence need, std::string& result) const;
    bool read_text(std::string_view key, presence need, std::string_view expected,
                   std::string& result) const;
    bool read_bool(std::string_view key, presence need, bool& result) const;
    bool read_integer(std::string_view key, presence need, std::uint64_t min_value,
                      std::uint64_t max_value, std::uint64_t& result) const;
    bool read_integer(std::string_view key, presence need, std::uint32_t min_value,
                      std::uint32_t max_value, std::uint32_t& result) const;
    bool read_number(std::string_view key, presence need, double min_value, double max_value,
                     double& result) const;
    bool read_duration(std::string_view key, presence need, milliseconds min_value,
                       milliseconds max_value, milliseconds& result) const;
    // Reads a date-time with an offset and truncates it to milliseconds.
    bool read_time(std::string_view key, presence need, wall_time& result) const;
    // Returns the table below key, or null if it is absent or the entry is not a table.
    const toml::table* read_table(std::string_view key, presence need) const;

    // A string of an array and its position.
    struct string_element {
        std::string m_text;
        position m_position;
    };
    // Reads an array of strings. If an element has another type, adds a fault and returns false,
    // but result still receives the strings.
    bool read_strings(std::string_view key, presence need, std::size_t max_count,
                      std::vector<string_element>& result) const;

    // A table within a table of tables ([service.NAME]) or an array of tables ([[route]]).
    struct subtable {
        std::string m_name;  // empty for an element of an array
        position m_position; // position of the name or of the element
        const toml::table* m_table = nullptr;
    };
    // Returns the tables below key, ordered by name. Adds a fault for each entry that is not a
    // table or has an invalid name, and one if there are more than max_count.
    std::vector<subtable> read_named_tables(std::string_view key, presence need,
                                            std::size_t max_count) const;
    // Returns the elements of an array of tables in the order of the text. Adds a fault for each
    // element that is not a table, and one if there are more than max_count.
    std::vector<subtable> read_table_array(std::string_view key, presence need,
                                           std::size_t max_count) const;

    // Adds a fault at the position of the entry.
    void add_fault(std::string_view key, std::string_view found, std::string_view expected) const;

private:
    // Returns the entry, or null if it is absent; adds a fault if it is required and the document
    // is complete.
    const toml::node* find(std::string_view key, presence need, std::string_view expected) const;
    void add_type_fault(const toml::node& node, std::string_view key,
                        std::string_view expected) const;

    const toml::table* m_table;
    std::string m_label;
    bool m_complete;
    fault_sink* m_faults;
};

} // namespace caraway::text_check
