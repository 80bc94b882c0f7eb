// The departure of a backend server that the node beside it has acknowledged. Other members keep a
// copy in the entry of the node's instance, so that a restarted node learns of it before a late
// report of the server arrives. Pure functions.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace caraway {

// An incarnation of a backend server that is draining or stopping. Neither this one nor an earlier
// one of the same identity may get calls again. The identity is empty if there is none.
struct server_departure {
    std::string m_server;
    std::int64_t m_started_ms = 0; // latest possible start of the incarnation, Unix milliseconds
    friend bool operator==(const server_departure&, const server_departure&) = default;
};

// Returns the departure of the incarnation that started later. The result doesn't depend on the
// order of the arguments.
const server_departure& later_departure(const server_departure& first,
                                        const server_departure& second);

// Returns whether the incarnation of a server with this start time has departed.
bool has_departed(const server_departure& departure, std::string_view server,
                  std::int64_t started_ms);

} // namespace caraway
