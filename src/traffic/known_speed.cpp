#include "traffic/known_speed.hpp"

#include <algorithm>

namespace caraway {
namespace {

std::int64_t in_us(duration value) {
    return std::chrono::duration_cast<std::chrono::microseconds>(value).count();
}

} // namespace

void fill_speed(const backend_counters& counters, candidate& entry) {
    entry.m_slots = counters.m_slots.load(std::memory_order_relaxed);
    entry.m_mean_load_permille = counters.m_mean_load_permille.load(std::memory_order_relaxed);
    entry.m_slowness_permille = counters.m_slowness_permille.load(std::memory_order_relaxed);
    // Calls that ended without a report are not subtracted from the counter.
    entry.m_unreported =
        std::min(entry.m_outstanding, counters.m_unreported.load(std::memory_order_relaxed));
    entry.m_speed_factor = counters.m_speed_factor.load(std::memory_order_relaxed);
    entry.m_network_time =
        std::chrono::microseconds(counters.m_network_us.load(std::memory_order_relaxed));
}

void update_known_speed(backend_counters& counters, const http_response& answer,
                        std::string_view route, duration waited, std::mutex& mutex,
                        route_references& references) {
    counters.m_unreported.store(0, std::memory_order_relaxed);
    const auto report = parse_speed_report(header_value(answer, header::speed));
    if (!report) {
        return;
    }
    counters.m_slots.store(report->m_slots, std::memory_order_relaxed);
    counters.m_mean_load_permille.store(report->m_mean_load_permille, std::memory_order_relaxed);
    counters.m_slowness_permille.store(report->m_slowness_permille, std::memory_order_relaxed);
    const std::lock_guard lock(mutex);
    if (waited > duration{}) {
        const std::chrono::microseconds known(
            counters.m_network_us.load(std::memory_order_relaxed));
        counters.m_network_us.store(in_us(update_network_time(known, waited, report->m_held)),
                                    std::memory_order_relaxed);
    }
    const double factor = counters.m_speed_factor.load(std::memory_order_relaxed);
    counters.m_speed_factor.store(
        learn_speed_factor(references, route, report->m_usual_run, factor),
        std::memory_order_relaxed);
}

} // namespace caraway
