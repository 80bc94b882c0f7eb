#include "traffic/byte_budget.hpp"

#include <algorithm>

#include "base/hash.hpp"
#include "observe/log.hpp"

namespace caraway {
namespace {

// Shortest time between two log lines about rejections. Each line states the totals so far.
constexpr milliseconds log_interval{1'000};

} // namespace

void byte_budget::record_rejection(rejection_cause cause, std::uint64_t bytes,
                                   std::string_view address, duration without_progress) {
    const std::uint64_t count =
        m_rejections[static_cast<std::size_t>(cause)].fetch_add(1, std::memory_order_relaxed) + 1;
    const time_point now = m_clock.now();
    time_point next = m_next_log_at.load(std::memory_order_relaxed);
    if (now < next || !m_next_log_at.compare_exchange_strong(next, now + log_interval)) {
        return;
    }
    log_event(log_level::warning, "connection_rejected",
              {{"cause", rejection_cause_name(cause)},
               {"address", address},
               {"bytes", bytes},
               {"without_progress_ms",
                std::chrono::duration_cast<milliseconds>(without_progress).count()},
               {"held_bytes", held_bytes()},
               {"limit_bytes", m_limits.m_total},
               {"count", count}});
}

void byte_budget::list(byte_share& share) {
    const std::lock_guard lock(m_mutex);
    m_large_shares.push_back(&share);
}

void byte_budget::remove_from_list(byte_share& share) {
    const std::lock_guard lock(m_mutex);
    std::erase(m_large_shares, &share);
}

// Rejects connections until the limits hold. Bytes of connections that are rejected already but
// not released yet don't count.
void byte_budget::enforce_limits() {
    const std::lock_guard lock(m_mutex);
    const time_point now = m_clock.now();
    std::uint64_t total = held_bytes();
    std::vector<bytes_holder> holders;
    std::vector<byte_share*> shares;
    for (byte_share* share : m_large_shares) {
        const std::uint64_t bytes = share->bytes();
        if (share->is_rejected()) {
            total -= std::min(total, bytes);
            continue;
        }
        holders.push_back({bytes, share->m_address_hash,
                           now - share->m_progressed_at.load(std::memory_order_relaxed),
                           share->m_rejectable_scopes.load(std::memory_order_relaxed) > 0});
        shares.push_back(share);
    }
    for (const bytes_rejection& rejection : choose_rejections(holders, total, m_limits)) {
        byte_share& share = *shares[rejection.m_holder];
        const bytes_holder& holder = holders[rejection.m_holder];
        share.m_rejected.store(true, std::memory_order_relaxed);
        record_rejection(rejection.m_cause, holder.m_bytes, share.m_address,
                         holder.m_without_progress);
        share.m_reject();
    }
}

byte_share::byte_share(byte_budget& budget, std::string address, std::function<void()> reject)
    : m_budget(budget), m_address(std::move(address)), m_address_hash(hash_bytes(m_address, 0)),
      m_reject(std::move(reject)) {}

byte_share::~byte_share() {
    if (m_listed) {
        m_budget.remove_from_list(*this);
    }
    m_budget.m_held.fetch_sub(bytes(), std::memory_order_relaxed);
}

bool byte_share::add(std::uint64_t added) {
    const std::uint64_t bytes = m_bytes.fetch_add(added, std::memory_order_relaxed) + added;
    const std::uint64_t held = m_budget.m_held.fetch_add(added, std::memory_order_relaxed) + added;
    if (bytes < min_rejected_bytes) {
        return !is_rejected();
    }
    if (!m_listed) {
        m_listed = true;
        m_budget.list(*this);
    }
    // Below its own share of the total, no address can exceed its share either.
    if (held > std::min(m_budget.m_limits.m_per_address, m_budget.m_limits.m_per_connection)) {
        m_budget.enforce_limits();
    }
    return !is_rejected();
}

void byte_share::remove(std::uint64_t removed) {
    const std::uint64_t bytes = m_bytes.fetch_sub(removed, std::memory_order_relaxed) - removed;
    m_budget.m_held.fetch_sub(removed, std::memory_order_relaxed);
    if (m_listed && bytes < min_rejected_bytes) {
        m_listed = false;
        m_budget.remove_from_list(*this);
    }
}

bool byte_charge::resize(std::uint64_t bytes) {
    if (!m_share || bytes == m_bytes) {
        return !m_share || !m_share->is_rejected();
    }
    const std::uint64_t before = std::exchange(m_bytes, bytes);
    if (bytes > before) {
        return m_share->add(bytes - before);
    }
    m_share->remove(before - bytes);
    return !m_share->is_rejected();
}

} // namespace caraway
