// State of one call at the entry side, shared by the files of the entry side.
#pragma once

#include <memory>
#include <vector>

#include "traffic/traffic_context.hpp"

namespace caraway {

// Upper bound for latencies and waiting times reported by other nodes; larger values are clamped.
constexpr std::uint64_t max_latency_us = 3'600'000'000;

// State of one call at the entry side, over all of its attempts.
struct entry_call {
    call_info m_info;
    std::shared_ptr<const routing_snapshot> m_snapshot;
    const service_view* m_service = nullptr;
    const route_spec* m_route = nullptr;
    bool m_serves_another = false; // made by the own backend server while it works on a call
    std::vector<bool> m_tried;
    std::uint32_t m_attempts = 0;
    std::uint32_t m_server_attempts = 0;  // attempts that reached a backend server
    std::uint32_t m_refused_attempts = 0; // attempts refused before they reached a backend server
    // Run times of the service's routes, protected by m_entry_mutex; null if the backend server is
    // not chosen by the expected time until the answer. Entries are never removed.
    route_references* m_references = nullptr;
    duration m_usual_run{}; // of this call's route; 0 if unknown
};

} // namespace caraway
