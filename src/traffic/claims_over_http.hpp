// Idempotency keys over HTTP: this node's claim and result tables, the requests that nodes send
// each other about them, and the steps of claiming the key of one call. A registrar of a key is an
// instance that records which attempt holds the key; see decide/claim.hpp.
#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "decide/leases/claim.hpp"
#include "http/message.hpp"
#include "traffic/call_control.hpp"

namespace caraway {

struct traffic_context;
struct call_info;
struct routing_snapshot;

// The claim table and the result table of one node. Safe to use from any traffic thread.
class key_tables {
public:
    key_tables(const node_settings& settings, const clock_source& clock);

    // Handles a claim as a registrar of the key. The snapshot tells which earlier registrars have
    // left; the claims that they granted are not in this table.
    claim_reply grant(const claim_request& request, const routing_snapshot& snapshot);
    // Withdraws a claim as a registrar of the key.
    void withdraw(const claim_request& request);

    // Returns a copy of this node's result entry for the key, or nothing if there is none.
    std::optional<stored_result> find(std::string_view combined_key);
    // Reserves a result entry for an attempt; see reserve_result.
    bool reserve_entry(std::string_view combined_key, std::uint64_t claim_id);
    // Stores the response of the key's request and wakes the calls that wait for it.
    void store(std::string_view combined_key, const http_response& answer);
    // Records that the request was sent and its outcome is unknown. Later calls with the key are
    // refused, since there is no response to replay.
    void store_unknown(std::string_view combined_key);
    // Marks the running request of the key as not run, so that the key can be reserved again.
    void release_entry(std::string_view combined_key);
    // Drops expired entries of both tables.
    void expire();

    // Waits while the attempt with this claim id is running at this node, until the call ends or
    // the given time is reached. Does not wait if too many calls are waiting already. Returns a
    // copy of the entry of this attempt, or nothing if there is none.
    std::optional<stored_result> wait_while_running(call_control& control,
                                                    std::string_view combined_key,
                                                    std::uint64_t claim_id, time_point until,
                                                    boost::asio::yield_context yield);

private:
    std::string m_instance;
    const clock_source& m_clock;
    std::mutex m_mutex; // never held during I/O
    claim_table m_claims;
    result_table m_results;
    waiting_calls m_waiting;
};

// Answers a request from another node whose path is below node_path_prefix.
http_response handle_node_request(traffic_context& context, call_control& control,
                                  const http_request& request, boost::asio::yield_context yield);

// Claims the idempotency key of one call. The steps are, in this order: reserve(), admission and
// connecting, claim(), sending the request, complete(). The registrars are asked only when the call
// has a slot and a connection, so that a call refused before that leaves no claim behind.
class key_claim {
public:
    // The arguments must outlive the key_claim.
    key_claim(traffic_context& context, call_control& control, const call_info& info,
              const routing_snapshot& snapshot);
    key_claim(const key_claim&) = delete;
    key_claim& operator=(const key_claim&) = delete;
    key_claim(key_claim&&) = delete;
    key_claim& operator=(key_claim&&) = delete;
    // Releases the reserved entry if complete() was not called.
    ~key_claim();

    // Reserves the key at this node. Waits while an earlier attempt is running here. Returns false
    // if the key has been used here before or the result table is full; take_replay() then returns
    // the stored response, or the reason says why there is none.
    bool reserve(boost::asio::yield_context yield, error& reason);
    // Claims the key at its registrars. Returns false with the reason if the request must not run.
    // If another attempt holds the key, has_claimant() is true and, after complete(),
    // fetch_result() may find its response.
    bool claim(boost::asio::yield_context yield, error& reason);
    // Requests the response from the node that holds the key; take_replay() returns it. Returns
    // true if that attempt was withdrawn, so that the key can be claimed again with a new
    // key_claim.
    bool fetch_result(boost::asio::yield_context yield, error& reason);
    // Returns true if another attempt holds the key and fetch_result() has not been called yet.
    bool has_claimant() const { return !m_claimant.empty(); }
    // Stores the response of a call that ran, records an unknown outcome if the request was sent
    // without receiving a response, or withdraws the claim if the request was not sent.
    void complete(const std::optional<http_response>& answer, bool sent,
                  boost::asio::yield_context yield);
    // Moves out the stored response of an earlier attempt, if there is one.
    std::optional<http_response> take_replay() { return std::move(m_replay); }

private:
    struct registrar_round;
    // Withdraws the claim at all registrars, then releases the reserved entry.
    void withdraw(boost::asio::yield_context yield);
    // Sends the claim or its withdrawal to all registrars and waits for the replies, at most for
    // the given time. A registrar without a reply counts as unreachable.
    std::vector<claim_reply> send_to_registrars(bool withdraw, duration limit,
                                                boost::asio::yield_context yield);

    traffic_context& m_context;
    call_control& m_control;
    const call_info& m_info;
    const routing_snapshot& m_snapshot;
    std::string m_combined_key;
    claim_request m_request;
    registrar_sets m_registrars;
    bool m_reserved = false;
    std::string m_claimant;            // instance that holds the key; empty if none is known
    std::uint64_t m_held_claim_id = 0; // claim id under which m_claimant holds the key
    std::optional<http_response> m_replay;
};

} // namespace caraway
