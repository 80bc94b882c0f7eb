// Decides which connections are rejected when a node holds too many bytes for its clients, and by
// when a client must have sent more of its request. Pure functions: no I/O, clocks or threads.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "base/clock.hpp"

namespace caraway {

// Limits of the bytes that a node holds.
struct held_bytes_limits {
    std::uint64_t m_total = 0;
    std::uint64_t m_per_connection = 0;
    std::uint64_t m_per_address = 0; // all connections of one client address together
};

// Connections that hold fewer bytes than this are never rejected for the bytes they hold, so that
// an ordinary small request isn't affected by clients that hold many.
constexpr std::uint64_t min_rejected_bytes = 16U << 10U;

// Returns the limit of held bytes for an instance with this much memory: half of it, which leaves
// the other half for the process, the stacks of its connections and its control state. A body of
// 64 MiB fits from 154 MB of memory upwards.
std::uint64_t held_bytes_for_memory(std::uint64_t memory_bytes);

// Returns the limits for a total. One connection and one address each get at most seven eighths, so
// that the rest remains for the requests of others.
held_bytes_limits limits_for_total(std::uint64_t total_bytes);

// A connection that holds at least min_rejected_bytes.
struct bytes_holder {
    std::uint64_t m_bytes = 0;
    std::uint64_t m_address = 0;   // identifies the client address
    duration m_without_progress{}; // since more of a request was received or an answer was sent
    // The client is sending a request or receiving an answer. A request that has been passed on
    // can't be refused truthfully, so its connection isn't rejected while it runs.
    bool m_rejectable = false;
};

// Cause of a rejection.
enum class rejection_cause : std::uint8_t {
    none,
    total_bytes,      // the limit of the node
    connection_bytes, // the share of one connection
    address_bytes,    // the share of one client address
    no_progress,      // the client sent or received too slowly
    surplus,          // a connection without a request gave way to a new connection
};
constexpr std::size_t rejection_cause_count = 6;

// Returns the name of a cause as used in logs and metrics.
std::string_view rejection_cause_name(rejection_cause cause);

// A holder that has to be rejected: its index and the cause.
struct bytes_rejection {
    std::size_t m_holder = 0;
    rejection_cause m_cause = rejection_cause::none;
    friend bool operator==(const bytes_rejection&, const bytes_rejection&) = default;
};

// Chooses the holders to reject so that all limits hold again, as far as holders can be rejected.
// Those that hold the most bytes and have made no progress for the longest time come first. total
// is the sum over all connections, including those that hold too little to be listed.
std::vector<bytes_rejection> choose_rejections(std::span<const bytes_holder> holders,
                                               std::uint64_t total,
                                               const held_bytes_limits& limits);

// Limits of the time that a client takes to send a request.
struct receive_limits {
    duration m_head_time{};   // from the first byte to the end of the head
    duration m_pause{};       // without any progress of the body
    std::uint64_t m_rate = 0; // lowest mean rate of the body in bytes per second, after m_pause
};

// How much of a request has arrived.
struct receive_progress {
    time_point m_started_at;    // first byte
    time_point m_progressed_at; // latest bytes
    std::uint64_t m_bytes = 0;  // received so far, including the framing of chunks
    bool m_head_complete = false;
};

// Returns the time at which the connection is closed unless more of the request arrives.
time_point receive_deadline(const receive_progress& progress, const receive_limits& limits);

} // namespace caraway
