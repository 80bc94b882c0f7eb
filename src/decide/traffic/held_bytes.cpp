#include "decide/traffic/held_bytes.hpp"

#include <algorithm>
#include <array>
#include <map>

namespace caraway {
namespace {

constexpr std::array<std::string_view, rejection_cause_count> cause_names{
    "none", "total-bytes", "connection-bytes", "address-bytes", "no-progress", "surplus"};

// Added to the time without progress, so that of two holders that both made progress just now, the
// one with more bytes is rejected first. Bytes of a client on a slow link arrive within this time.
constexpr milliseconds progress_grace{50};

// Returns the weight by which holders are ordered: bytes times milliseconds without progress.
double rejection_weight(const bytes_holder& holder) {
    const std::chrono::duration<double, std::milli> pause =
        holder.m_without_progress + progress_grace;
    return static_cast<double>(holder.m_bytes) * pause.count();
}

} // namespace

std::uint64_t held_bytes_for_memory(std::uint64_t memory_bytes) {
    return memory_bytes / 2;
}

held_bytes_limits limits_for_total(std::uint64_t total_bytes) {
    const std::uint64_t share = total_bytes - total_bytes / 8;
    return {total_bytes, share, share};
}

std::string_view rejection_cause_name(rejection_cause cause) {
    return cause_names[static_cast<std::size_t>(cause)];
}

std::vector<bytes_rejection> choose_rejections(std::span<const bytes_holder> holders,
                                               std::uint64_t total,
                                               const held_bytes_limits& limits) {
    std::map<std::uint64_t, std::uint64_t> bytes_by_address;
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < holders.size(); ++i) {
        bytes_by_address[holders[i].m_address] += holders[i].m_bytes;
        if (holders[i].m_rejectable && holders[i].m_bytes >= min_rejected_bytes) {
            order.push_back(i);
        }
    }
    std::stable_sort(order.begin(), order.end(), [holders](std::size_t first, std::size_t second) {
        return rejection_weight(holders[first]) > rejection_weight(holders[second]);
    });
    std::vector<bytes_rejection> rejections;
    for (const std::size_t i : order) {
        const bytes_holder& holder = holders[i];
        std::uint64_t& address_bytes = bytes_by_address[holder.m_address];
        const rejection_cause cause =
            holder.m_bytes > limits.m_per_connection ? rejection_cause::connection_bytes
            : address_bytes > limits.m_per_address   ? rejection_cause::address_bytes
            : total > limits.m_total                 ? rejection_cause::total_bytes
                                                     : rejection_cause::none;
        if (cause == rejection_cause::none) {
            continue;
        }
        rejections.push_back({i, cause});
        address_bytes -= holder.m_bytes;
        total -= std::min(total, holder.m_bytes);
    }
    return rejections;
}

time_point receive_deadline(const receive_progress& progress, const receive_limits& limits) {
    if (!progress.m_head_complete) {
        return progress.m_started_at + limits.m_head_time;
    }
    const std::chrono::duration<double> at_lowest_rate(
        static_cast<double>(progress.m_bytes) /
        static_cast<double>(std::max<std::uint64_t>(limits.m_rate, 1)));
    return std::min(progress.m_progressed_at + limits.m_pause,
                    progress.m_started_at + limits.m_pause +
                        std::chrono::duration_cast<duration>(at_lowest_rate));
}

} // namespace caraway
