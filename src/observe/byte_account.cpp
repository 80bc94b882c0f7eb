#include "observe/byte_account.hpp"

#include <string>
#include <vector>

#include "observe/log.hpp"

namespace caraway {
namespace {

constexpr std::array<std::string_view, byte_purpose_count> purpose_names{
    "probe", "rumour", "join", "table", "text", "facts", "other", "call"};
constexpr std::array<std::string_view, byte_scope_count> scope_names{"own_data_centre",
                                                                     "other_data_centre", "served"};

} // namespace

std::string_view byte_purpose_name(byte_purpose value) {
    return purpose_names[static_cast<std::size_t>(value)];
}

std::string_view byte_scope_name(byte_scope value) {
    return scope_names[static_cast<std::size_t>(value)];
}

void log_byte_counters(const byte_account& account) {
    std::vector<std::string> keys;
    std::vector<std::uint64_t> values;
    for (std::size_t i = 0; i < byte_purpose_count * byte_scope_count; ++i) {
        const auto purpose = static_cast<byte_purpose>(i / byte_scope_count);
        const auto scope = static_cast<byte_scope>(i % byte_scope_count);
        const std::uint64_t bytes = account.bytes(purpose, scope);
        if (bytes != 0) {
            keys.push_back(
                std::string(byte_purpose_name(purpose)).append(".").append(byte_scope_name(scope)));
            values.push_back(bytes);
        }
    }
    std::vector<log_field> fields;
    for (std::size_t i = 0; i < keys.size(); ++i) {
        fields.emplace_back(keys[i], values[i]);
    }
    write_log_line(format_event(log_level::info, "bytes_moved", fields));
}

} // namespace caraway
