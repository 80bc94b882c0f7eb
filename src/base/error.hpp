// The closed list of error kinds and the one table that maps a kind to the answer it causes.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace caraway {

// Every way in which an operation of the system can fail. New kinds need a row in the table of
// error.cpp; a test checks that each kind has one.
enum class error_kind : std::uint8_t {
    none,
    // Operators' text, settings and command line.
    invalid_text,
    invalid_settings,
    usage,
    // The store.
    store_unreachable,
    store_conflict,
    store_throttled,
    store_outcome_unknown,
    store_lease_lost,
    store_value_too_large,
    store_not_found,
    // Peers.
    peer_unreachable,
    peer_bad_message,
    peer_busy,
    // Calls refused before a byte reached a backend server.
    no_route,
    no_backend_server,
    node_not_ready,
    draining,
    data_centre_out,
    version_suspended,
    version_not_served,
    config_behind,
    queue_full,
    cold_start_limit,
    too_many_connections,
    body_too_large,
    hop_limit,
    connect_failed,
    backend_shed,
    deadline_before_send,
    cancelled_before_send,
    bad_request,
    // Calls whose request may have reached a backend server.
    connection_cut,
    answer_truncated,
    answer_too_large,
    deadline_after_send,
    cancelled_after_send,
    key_already_claimed,
    key_history_incomplete,
    internal,
};

// What a caller can conclude about its request.
enum class outcome : std::uint8_t {
    answered, // the backend server's whole answer
    not_run,  // no byte of the request reached a backend server
    unknown,  // the request may have run
    deadline, // the deadline passed before the request was sent; it did not run
};

// One row of the table from error kind to answer.
struct error_info {
    error_kind m_kind{};
    std::string_view m_name;    // stable name in logs and in the x-caraway-reason header
    outcome m_outcome{};        // what the caller is told
    std::uint16_t m_status{};   // HTTP status towards the caller
    bool m_retry_elsewhere{};   // another backend server may succeed at once
    std::uint8_t m_exit_code{}; // exit code of command-line tools
};

// Returns the row for a kind; the table is total over error_kind.
const error_info& error_info_for(error_kind kind);

// Returns the whole table, in the order of the enumeration.
std::span<const error_info> error_table();

// Returns the kind whose stable name is given, or nothing if there is none.
std::optional<error_kind> error_kind_from_name(std::string_view name);

// Returns the value of the x-caraway-outcome header for an outcome.
std::string_view outcome_name(outcome value);

// Returns the outcome with the given header value, or nothing if there is none.
std::optional<outcome> outcome_from_name(std::string_view name);

// The reason that accompanies an empty std::optional: kind for the program, text for a person.
struct error {
    error_kind m_kind = error_kind::none;
    std::string m_text;
};

// Fills reason and returns std::nullopt, so that a failing function ends in one line.
std::nullopt_t fail(error& reason, error_kind kind, std::string_view text);

} // namespace caraway
