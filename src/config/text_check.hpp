// Shared checks of TOML texts: typed reading of table entries with a fault for each wrong one.
// Internal to src/config; the TOML library's full header stays in the .cpp files.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

// The library asserts conditions on table headers and values that don't hold for every text, and
// reports a syntax error right after. Its assertions would end the process at an operator's typing
// error; with NDEBUG they would become assumptions of the optimizer.
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

// Where a value or key stands, from 1; 0 if unknown.
struct position {
    std::uint32_t m_line = 0;
    std::uint32_t m_column = 0;
};

// Collects faults up to max_text_faults and counts the rest.
class fault_sink {
public:
    void add(position at, std::string_view found, std::string_view expected);
    bool empty() const { return m_faults.empty(); }
    // Moves the faults out, ordered by line and column, with a last one for those left out.
    std::vector<text_fault> take_sorted();

private:
    std::vector<text_fault> m_faults;
    std::uint64_t m_omitted = 0;
};

// Returns the text on one line of valid UTF-8 for logs and records: control characters escaped,
// bytes that are no UTF-8 replaced, and cut with "..." after limit bytes.
std::string to_printable(std::string_view text, std::size_t limit);

// Quotes a piece of the text for a message.
std::string quote(std::string_view text);

// Returns the candidate with the smallest edit distance to the word, if that is at most limit.
std::optional<std::string_view> find_nearest(std::string_view word,
                                             std::span<const std::string_view> candidates,
                                             std::size_t limit);

// Reads an unsigned number with the unit ms, s or m, as in "250ms".
std::optional<milliseconds> parse_duration(std::string_view text);
// Writes a duration in the largest unit that gives a whole number.
std::string format_duration(milliseconds value);

// True for 1 to 64 of the characters A-Z a-z 0-9 . _ - beginning with a letter or digit. Names are
// parts of store keys, header values and log lines.
bool is_name(std::string_view text);

// A parsed document. A text with syntax errors is read as far as possible: the faulty lines are
// left out, so that the rest can be checked in the same pass.
struct document {
    std::shared_ptr<const toml::table> m_root;
    bool m_complete = true; // false: lines were left out, so that absence proves nothing
};
document parse_document(std::string_view text, fault_sink& faults);

enum class presence : std::uint8_t { optional, required };

// Reads the entries of one table. Every read function returns true and sets its result only when
// the entry is there and valid; a wrong entry adds a fault, as does the absence of a required one.
class table_reader {
public:
    // Adds a fault for each key that is not in known. label names the table in messages, empty for
    // the root.
    table_reader(const toml::table& table, std::string label,
                 std::span<const std::string_view> known_keys, bool complete, fault_sink& faults);

    // Position of the entry's value, or of the table when the entry is absent.
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
    bool read_duration(std::string_view key, presence need, milliseconds min_value,
                       milliseconds max_value, milliseconds& result) const;
    // An offset date-time, truncated to milliseconds.
    bool read_time(std::string_view key, presence need, wall_time& result) const;
    const toml::table* read_table(std::string_view key, presence need) const;

    // One string of an array with its position.
    struct string_element {
        std::string m_text;
        position m_position;
    };
    // An array of strings. False also when an element has another type.
    bool read_strings(std::string_view key, presence need, std::size_t max_count,
                      std::vector<string_element>& result) const;

    // One table of a table of tables ([service.NAME]) or of an array of tables ([[route]]).
    struct subtable {
        std::string m_name;  // empty in an array
        position m_position; // of the name, or of the element
        const toml::table* m_table = nullptr;
    };
    // The tables below key, in name order; faults for entries that are no tables or whose name is
    // no name, and one for more than most.
    std::vector<subtable> read_named_tables(std::string_view key, presence need,
                                            std::size_t max_count) const;
    // The elements of an array of tables, in the text's order.
    std::vector<subtable> read_table_array(std::string_view key, presence need,
                                           std::size_t max_count) const;

    void add_fault(std::string_view key, std::string_view found, std::string_view expected) const;

private:
    const toml::node* find(std::string_view key, presence need, std::string_view expected) const;
    void add_type_fault(const toml::node& node, std::string_view key,
                        std::string_view expected) const;

    const toml::table* m_table;
    std::string m_label;
    bool m_complete;
    fault_sink* m_faults;
};

} // namespace caraway::text_check
