#include "decide/traffic/link_pacing.hpp"

#include <algorithm>

namespace caraway {
namespace {

// Part of the link that large answers may use. The rest is for small answers, requests and traffic
// between nodes, which then find the link's queue short.
constexpr double paced_share = 0.85;
constexpr double bytes_per_mbit = 125'000;
// Weight of a new answer in the mean size.
constexpr double smoothing_weight = 1.0 / 16;

duration time_for(double bytes, double bytes_per_s) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(bytes / bytes_per_s));
}

} // namespace

link_pacing make_link_pacing(double link_mbps) {
    link_pacing pacing;
    pacing.m_bytes_per_s = paced_share * link_mbps * bytes_per_mbit;
    return pacing;
}

time_point schedule_answer(link_pacing& pacing, std::size_t bytes, time_point now) {
    if (pacing.m_bytes_per_s <= 0) {
        return now;
    }
    const auto size = static_cast<double>(bytes);
    const double weight = pacing.m_mean_bytes == 0 ? 1 : smoothing_weight;
    pacing.m_mean_bytes += weight * (size - pacing.m_mean_bytes);
    const time_point start = std::max(pacing.m_free_at, now);
    pacing.m_free_at = start + time_for(size, pacing.m_bytes_per_s);
    return start;
}

time_point chunk_time(const link_pacing& pacing, time_point start, std::size_t offset) {
    return pacing.m_bytes_per_s <= 0
               ? start
               : start + time_for(static_cast<double>(offset), pacing.m_bytes_per_s);
}

duration expected_transfer(const link_pacing& pacing, time_point now) {
    if (pacing.m_bytes_per_s <= 0) {
        return {};
    }
    const double unscheduled = (1.0 + pacing.m_running_calls) * pacing.m_mean_bytes;
    return std::max(pacing.m_free_at - now, duration{}) +
           time_for(unscheduled, pacing.m_bytes_per_s);
}

} // namespace caraway
