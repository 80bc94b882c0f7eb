// All error kinds, and the table of the properties of each kind.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace caraway {

// Kind of an error. A new kind needs a row in the table of error.cpp; a test checks that each kind
// has one.
enum class error_kind : std::uint8_t {
    none,
    // Configuration text, settings and command line.
    invalid_text,
    invalid_settings,
    usage,
    // Store.
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
    // Calls that did not run: no byte reached a backend server, or the server states that it did
    // not run the request.
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
    memory_limit,
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
    answer_invalid,
    deadline_after_send,
    cancelled_after_send,
    key_already_claimed,
    key_history_incomplete,
    internal,
};

// What a caller can conclude about its request.
enum class outcome : std::uint8_t {
    answered, // the backend server's complete answer was received
    not_run,  // no byte reached a backend server, or the server states that it didn't run the call
    unknown,  // the request may have run
    deadline, // the deadline passed before the request was sent; it did not run
};

// Properties of an error kind.
struct error_info {
    error_kind m_kind{};
    std::string_view m_name;    // stable name in logs and in the x-caraway-reason header
    outcome m_outcome{};        // value of the x-caraway-outcome header
    std::uint16_t m_status{};   // HTTP status of the answer to the caller
    bool m_retry_elsewhere{};   // another backend server may succeed at once
    std::uint8_t m_exit_code{}; // exit code of command-line tools
};

// Returns the properties of a kind. Every error_kind has a row.
const error_info& error_info_for(error_kind kind);

// Returns the whole table, in the order of the enumeration.
std::span<const error_info> error_table();

// Returns the kind with the given stable name, or nothing if there is none.
std::optional<error_kind> error_kind_from_name(std::string_view name);

// Returns the value of the x-caraway-outcome header for an outcome.
std::string_view outcome_name(outcome value);

// Returns the outcome with the given header value, or nothing if there is none.
std::optional<outcome> outcome_from_name(std::string_view name);

// Reason of a failure, set by a function that returns no result, null or false. m_kind is for the
// program, m_text for a person.
struct error {
    error_kind m_kind = error_kind::none;
    std::string m_text;
};

// Sets reason and returns std::nullopt, so that a function can fail in one statement.
std::nullopt_t fail(error& reason, error_kind kind, std::string_view text);

} // namespace caraway
