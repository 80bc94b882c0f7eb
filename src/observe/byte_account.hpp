// The bytes that a node's exchanges with others move, by purpose and by whether they leave its data
// centre. Each exchange is counted at the node that began it, so that a sum over nodes counts
// nothing twice; what a node serves for others is counted apart.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace caraway {

enum class byte_purpose : std::uint8_t {
    probe,  // pings and their answers
    rumour, // news between the probes
    join,   // member tables of joining nodes
    table,  // comparisons of member tables
    text,   // configuration texts and differences
    facts,  // suspensions and move records
    other,  // evidence and version counts
    call,   // calls to backend servers beside other nodes
};
constexpr std::size_t byte_purpose_count = 8;

// Returns the word for a purpose in logs and metrics.
std::string_view byte_purpose_name(byte_purpose value);

enum class byte_scope : std::uint8_t {
    own_data_centre,
    other_data_centre,
    served, // to and from a node that began the exchange
};
constexpr std::size_t byte_scope_count = 3;

// Returns the word for a scope in logs and metrics.
std::string_view byte_scope_name(byte_scope value);

// Counters since the start of the process; safe from any thread.
class byte_account {
public:
    void add(byte_purpose purpose, byte_scope scope, std::uint64_t bytes) {
        counter(purpose, scope).fetch_add(bytes, std::memory_order_relaxed);
    }
    std::uint64_t bytes(byte_purpose purpose, byte_scope scope) const {
        return m_bytes[index(purpose, scope)].load(std::memory_order_relaxed);
    }

private:
    static std::size_t index(byte_purpose purpose, byte_scope scope) {
        return static_cast<std::size_t>(purpose) * byte_scope_count +
               static_cast<std::size_t>(scope);
    }
    std::atomic<std::uint64_t>& counter(byte_purpose purpose, byte_scope scope) {
        return m_bytes[index(purpose, scope)];
    }

    std::array<std::atomic<std::uint64_t>, byte_purpose_count * byte_scope_count> m_bytes{};
};

// Writes one log line with all counters that are not 0.
void log_byte_counters(const byte_account& account);

} // namespace caraway
