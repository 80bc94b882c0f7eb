// Counts the bytes that a node exchanges with other nodes, by purpose and by whether they leave its
// data centre. The sender of a packet and the node that starts an exchange count the bytes under
// own_data_centre or other_data_centre, so a sum of these two scopes over all nodes counts no byte
// twice. The node that serves a bulk request counts it under served.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace caraway {

enum class byte_purpose : std::uint8_t {
    probe,  // pings and their replies
    rumour, // packets of gossip alone; gossip inside pings and replies counts as probe
    join,   // member tables sent to joining nodes
    table,  // comparisons of member tables
    text,   // configuration texts and deltas
    facts,  // suspensions of versions and records of version moves
    other,  // evidence for version moves, and counts of members with a version in force
    call,   // calls forwarded to other nodes, with their answers
};
constexpr std::size_t byte_purpose_count = 8;

// Returns the name of a purpose as it appears in logs and metrics.
std::string_view byte_purpose_name(byte_purpose value);

enum class byte_scope : std::uint8_t {
    own_data_centre,
    other_data_centre,
    served, // bulk request that another node started
};
constexpr std::size_t byte_scope_count = 3;

// Returns the name of a scope as it appears in logs and metrics.
std::string_view byte_scope_name(byte_scope value);

// Counts bytes since the start of the process. Safe to use from any thread.
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

// Writes one log line with all non-zero counters, each named "PURPOSE.SCOPE".
void log_byte_counters(const byte_account& account);

} // namespace caraway
