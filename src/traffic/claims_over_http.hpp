// Idempotency keys over HTTP: the registrar's table and the results of this node, the requests of
// other nodes to them, and the steps of a call with a key.
#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "decide/claim.hpp"
#include "traffic/call_control.hpp"
#include "traffic/http_message.hpp"

namespace caraway {

struct traffic_context;
struct call_info;
struct routing_snapshot;

// The tables of one node, shared by its traffic threads.
class key_tables {
public:
    key_tables(const node_settings& settings, const clock_source& clock);

    // The snapshot tells which registrars before this one have left, whose claims are not known
    // here.
    claim_reply grant(const claim_request& request, const routing_snapshot& snapshot);
    void withdraw(const claim_request& request);

    // What is known here of a key's attempt: nothing if there is none, else a copy of it.
    std::optional<stored_result> find(std::string_view combined_key);
    // Reserves the key for an attempt; see reserve_result.
    bool begin(std::string_view combined_key, std::uint64_t claim_id);
    void store(std::string_view combined_key, const http_response& answer);
    // The request was sent and its outcome is unknown: senders of the key get no answer.
    void store_unknown(std::string_view combined_key);
    void forget(std::string_view combined_key);
    // Drops expired entries.
    void expire();

    // Waits while an attempt with the claim id runs here, until the call ends or the given time.
    std::optional<stored_result> wait_while_running(call_control& control,
                                                    std::string_view combined_key,
                                                    std::uint64_t claim_id, time_point until,
                                                    boost::asio::yield_context yield);

private:
    std::string m_instance;
    const clock_source& m_clock;
    std::mutex m_mutex; // never held over input or output
    claim_table m_claims;
    result_table m_results;
    waiting_calls m_waiting;
};

// Answers a request of another node below node_path_prefix.
http_response handle_node_request(traffic_context& context, call_control& control,
                                  const http_request& request, boost::asio::yield_context yield);

// The steps of one call with a key, in this order: reserve, (admission, connection,) claim, (run,)
// settle. No registrar hears of the key before the call has a slot and a connection, so a refused
// call leaves no claim behind.
class key_claim {
public:
    key_claim(traffic_context& context, call_control& control, const call_info& info,
              const routing_snapshot& snapshot);
    key_claim(const key_claim&) = delete;
    key_claim& operator=(const key_claim&) = delete;
    key_claim(key_claim&&) = delete;
    key_claim& operator=(key_claim&&) = delete;
    // Frees the reservation if the call did not get as far as the registrars.
    ~key_claim();

    // Reserves the key at this node. False: the key was seen here before; take_replay() gives its
    // answer, else the reason says why there is none.
    bool reserve(boost::asio::yield_context yield, error& reason);
    // Claims the key at its registrars. False: the request must not run, for the given reason; when
    // another node has the key, ask() may find its answer after settle().
    bool claim(boost::asio::yield_context yield, error& reason);
    // Asks the node that has the key for the answer. Returns whether the key turned out to be free
    // again, so that the steps can begin anew.
    bool ask(boost::asio::yield_context yield, error& reason);
    bool must_ask() const { return !m_claimant.empty(); }
    // Keeps the answer of a call that ran, or withdraws the claim of one that did not.
    void settle(const std::optional<http_response>& answer, bool sent,
                boost::asio::yield_context yield);
    // The answer of an earlier attempt, taken out.
    std::optional<http_response> take_replay() { return std::move(m_replay); }

private:
    struct registrar_round;
    void withdraw(boost::asio::yield_context yield);
    std::vector<claim_reply> send_to_registrars(bool withdraw, duration limit,
                                                boost::asio::yield_context yield);

    traffic_context& m_context;
    call_control& m_control;
    const call_info& m_info;
    const routing_snapshot& m_snapshot;
    std::string m_combined;
    claim_request m_request;
    registrar_sets m_registrars;
    bool m_reserved = false;
    std::string m_claimant;
    std::uint64_t m_claimant_id = 0;
    std::optional<http_response> m_replay;
};

} // namespace caraway
