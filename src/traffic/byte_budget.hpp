// Account of the bytes that a node holds: for the clients of its HTTP ports, requests that arrive,
// wait or run, and answers that are not written yet; of backend servers and other nodes, answers
// that arrive. When a limit is exceeded, the budget rejects the connections that
// decide/traffic/held_bytes chooses. Safe to use from any thread.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.hpp"
#include "decide/traffic/held_bytes.hpp"

namespace caraway {

class byte_share;

// Totals of one node. An ordinary small request only changes two atomic counters; connections that
// hold at least min_rejected_bytes are listed under a lock.
class byte_budget {
public:
    byte_budget(const held_bytes_limits& limits, const clock_source& clock)
        : m_limits(limits), m_clock(clock) {}

    std::uint64_t held_bytes() const { return m_held.load(std::memory_order_relaxed); }
    const held_bytes_limits& limits() const { return m_limits; }
    std::uint64_t rejections(rejection_cause cause) const {
        return m_rejections[static_cast<std::size_t>(cause)].load(std::memory_order_relaxed);
    }
    // Counts the rejection of a connection and logs it, at most one line per second.
    void record_rejection(rejection_cause cause, std::uint64_t bytes, std::string_view address,
                          duration without_progress);

private:
    friend class byte_share;
    void list(byte_share& share);
    void remove_from_list(byte_share& share);
    void enforce_limits();

    const held_bytes_limits m_limits;
    const clock_source& m_clock;
    std::atomic<std::uint64_t> m_held{0};
    std::array<std::atomic<std::uint64_t>, rejection_cause_count> m_rejections{};
    std::atomic<time_point> m_next_log_at{time_point{}};
    std::mutex m_mutex;
    std::vector<byte_share*> m_large_shares;
};

// Bytes held for one connection of a client, or of one answer that is read. Bytes are added and
// progress is recorded by the connection's own coroutines; only the rejection may come from another
// thread.
class byte_share {
public:
    // reject is called at most once, on any thread and while the budget is locked, when the
    // connection has to be closed; it must only post.
    byte_share(byte_budget& budget, std::string address, std::function<void()> reject);
    byte_share(const byte_share&) = delete;
    byte_share& operator=(const byte_share&) = delete;
    byte_share(byte_share&&) = delete;
    byte_share& operator=(byte_share&&) = delete;
    ~byte_share();

    std::uint64_t bytes() const { return m_bytes.load(std::memory_order_relaxed); }
    // Adds bytes. Returns false if the connection is rejected; the bytes are counted nevertheless.
    bool add(std::uint64_t bytes);
    void remove(std::uint64_t bytes);
    // Records that more of a request or an answer arrived, or that the client began to receive one.
    void record_progress(time_point now) { m_progressed_at.store(now, std::memory_order_relaxed); }
    bool is_rejected() const { return m_rejected.load(std::memory_order_relaxed); }
    const std::string& address() const { return m_address; }
    byte_budget& budget() { return m_budget; }

private:
    friend class byte_budget;
    friend class rejectable_scope;

    byte_budget& m_budget;
    const std::string m_address; // of the client, without the port, or of the server, with it
    const std::uint64_t m_address_hash;
    const std::function<void()> m_reject;
    std::atomic<std::uint64_t> m_bytes{0};
    std::atomic<time_point> m_progressed_at{time_point{}};
    std::atomic<int> m_rejectable_scopes{0};
    std::atomic<bool> m_rejected{false};
    bool m_listed = false; // only used by the connection's coroutines
};

// Allows the rejection of a connection while this object exists: while its client sends a request
// or receives an answer, or while an answer is read from it.
class rejectable_scope {
public:
    rejectable_scope(byte_share& share, time_point now) : m_share(share) {
        share.record_progress(now);
        share.m_rejectable_scopes.fetch_add(1, std::memory_order_relaxed);
    }
    rejectable_scope(const rejectable_scope&) = delete;
    rejectable_scope& operator=(const rejectable_scope&) = delete;
    rejectable_scope(rejectable_scope&&) = delete;
    rejectable_scope& operator=(rejectable_scope&&) = delete;
    ~rejectable_scope() { m_share.m_rejectable_scopes.fetch_sub(1, std::memory_order_relaxed); }

private:
    byte_share& m_share;
};

// Bytes of one message, which stay in a share until this object is destroyed. Without a share,
// nothing is counted.
class byte_charge {
public:
    byte_charge() = default;
    explicit byte_charge(std::shared_ptr<byte_share> share) : m_share(std::move(share)) {}
    byte_charge(const byte_charge&) = delete;
    byte_charge& operator=(const byte_charge&) = delete;
    byte_charge(byte_charge&& other) noexcept
        : m_share(std::move(other.m_share)), m_bytes(std::exchange(other.m_bytes, 0)) {}
    byte_charge& operator=(byte_charge&& other) noexcept {
        std::swap(m_share, other.m_share);
        std::swap(m_bytes, other.m_bytes);
        return *this;
    }
    ~byte_charge() { resize(0); }

    // Sets the number of bytes. Returns false if the connection is rejected.
    bool resize(std::uint64_t bytes);

private:
    std::shared_ptr<byte_share> m_share;
    std::uint64_t m_bytes = 0;
};

} // namespace caraway
