#include "base/error.hpp"

#include <array>

namespace caraway {
namespace {

using kinds = error_kind;
using outcomes = outcome;

constexpr std::array s_error_table{
    error_info{kinds::none, "none", outcomes::answered, 200, false, 0},
    error_info{kinds::invalid_text, "invalid-text", outcomes::not_run, 400, false, 1},
    error_info{kinds::invalid_settings, "invalid-settings", outcomes::not_run, 500, false, 2},
    error_info{kinds::usage, "usage", outcomes::not_run, 400, false, 2},
    error_info{kinds::store_unreachable, "store-unreachable", outcomes::not_run, 503, false, 3},
    error_info{kinds::store_conflict, "store-conflict", outcomes::not_run, 409, false, 1},
    error_info{kinds::store_throttled, "store-throttled", outcomes::not_run, 503, false, 3},
    error_info{kinds::store_outcome_unknown, "store-outcome-unknown", outcomes::unknown, 503, false,
               3},
    error_info{kinds::store_lease_lost, "store-lease-lost", outcomes::not_run, 409, false, 1},
    error_info{kinds::store_value_too_large, "store-value-too-large", outcomes::not_run, 413, false,
               1},
    error_info{kinds::store_not_found, "store-not-found", outcomes::not_run, 404, false, 1},
    error_info{kinds::peer_unreachable, "peer-unreachable", outcomes::not_run, 503, true, 3},
    error_info{kinds::peer_bad_message, "peer-bad-message", outcomes::not_run, 502, true, 1},
    error_info{kinds::peer_busy, "peer-busy", outcomes::not_run, 503, true, 3},
    error_info{kinds::no_route, "no-route", outcomes::not_run, 404, false, 1},
    error_info{kinds::no_backend_server, "no-backend-server", outcomes::not_run, 503, false, 1},
    error_info{kinds::node_not_ready, "node-not-ready", outcomes::not_run, 503, true, 1},
    error_info{kinds::draining, "draining", outcomes::not_run, 503, true, 1},
    error_info{kinds::data_centre_out, "data-centre-out", outcomes::not_run, 503, true, 1},
    error_info{kinds::version_suspended, "version-suspended", outcomes::not_run, 503, true, 1},
    error_info{kinds::version_not_served, "version-not-served", outcomes::not_run, 503, true, 1},
    error_info{kinds::config_behind, "config-behind", outcomes::not_run, 503, true, 1},
    error_info{kinds::queue_full, "queue-full", outcomes::not_run, 503, true, 1},
    error_info{kinds::cold_start_limit, "cold-start-limit", outcomes::not_run, 503, true, 1},
    error_info{kinds::too_many_connections, "too-many-connections", outcomes::not_run, 503, true,
               1},
    error_info{kinds::body_too_large, "body-too-large", outcomes::not_run, 413, false, 1},
    error_info{kinds::memory_limit, "memory-limit", outcomes::not_run, 503, true, 1},
    error_info{kinds::hop_limit, "hop-limit", outcomes::not_run, 508, false, 1},
    error_info{kinds::connect_failed, "connect-failed", outcomes::not_run, 503, true, 1},
    error_info{kinds::backend_shed, "backend-shed", outcomes::not_run, 503, true, 1},
    error_info{kinds::deadline_before_send, "deadline-before-send", outcomes::deadline, 503, false,
               1},
    error_info{kinds::cancelled_before_send, "cancelled-before-send", outcomes::not_run, 499, false,
               1},
    error_info{kinds::bad_request, "bad-request", outcomes::not_run, 400, false, 1},
    error_info{kinds::connection_cut, "connection-cut", outcomes::unknown, 502, false, 1},
    error_info{kinds::answer_truncated, "answer-truncated", outcomes::unknown, 502, false, 1},
    error_info{kinds::answer_too_large, "answer-too-large", outcomes::unknown, 502, false, 1},
    error_info{kinds::answer_invalid, "answer-invalid", outcomes::unknown, 502, false, 1},
    error_info{kinds::deadline_after_send, "deadline-after-send", outcomes::unknown, 504, false, 1},
    error_info{kinds::cancelled_after_send, "cancelled-after-send", outcomes::unknown, 499, false,
               1},
    error_info{kinds::key_already_claimed, "key-already-claimed", outcomes::unknown, 409, false, 1},
    error_info{kinds::key_history_incomplete, "key-history-incomplete", outcomes::unknown, 409,
               false, 1},
    error_info{kinds::internal, "internal", outcomes::unknown, 500, false, 1},
};

static_assert(s_error_table.size() == static_cast<std::size_t>(kinds::internal) + 1,
              "every error kind needs a row");

constexpr std::array s_outcome_names{std::string_view{"answered"}, std::string_view{"not-run"},
                                     std::string_view{"unknown"}, std::string_view{"deadline"}};

} // namespace

const error_info& error_info_for(error_kind kind) {
    return s_error_table[static_cast<std::size_t>(kind)];
}

std::span<const error_info> error_table() {
    return s_error_table;
}

std::optional<error_kind> error_kind_from_name(std::string_view name) {
    for (const error_info& row : s_error_table) {
        if (row.m_name == name) {
            return row.m_kind;
        }
    }
    return std::nullopt;
}

std::string_view outcome_name(outcome value) {
    return s_outcome_names[static_cast<std::size_t>(value)];
}

std::optional<outcome> outcome_from_name(std::string_view name) {
    for (std::size_t i = 0; i < s_outcome_names.size(); ++i) {
        if (s_outcome_names[i] == name) {
            return static_cast<outcome>(i);
        }
    }
    return std::nullopt;
}

std::nullopt_t fail(error& reason, error_kind kind, std::string_view text) {
    reason.m_kind = kind;
    reason.m_text = text;
    return std::nullopt;
}

} // namespace caraway
