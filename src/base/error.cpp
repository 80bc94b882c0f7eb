#include "base/error.hpp"

#include <array>

namespace caraway {
namespace {

using k = error_kind;
using o = outcome;

constexpr std::array s_table{
    error_answer{k::none, "none", o::answered, 200, false, 0},
    error_answer{k::invalid_text, "invalid-text", o::not_run, 400, false, 1},
    error_answer{k::invalid_settings, "invalid-settings", o::not_run, 500, false, 2},
    error_answer{k::usage, "usage", o::not_run, 400, false, 2},
    error_answer{k::store_unreachable, "store-unreachable", o::not_run, 503, false, 3},
    error_answer{k::store_conflict, "store-conflict", o::not_run, 409, false, 1},
    error_answer{k::store_throttled, "store-throttled", o::not_run, 503, false, 3},
    error_answer{k::store_outcome_unknown, "store-outcome-unknown", o::unknown, 503, false, 3},
    error_answer{k::store_lease_lost, "store-lease-lost", o::not_run, 409, false, 1},
    error_answer{k::store_value_too_large, "store-value-too-large", o::not_run, 413, false, 1},
    error_answer{k::store_not_found, "store-not-found", o::not_run, 404, false, 1},
    error_answer{k::peer_unreachable, "peer-unreachable", o::not_run, 503, true, 3},
    error_answer{k::peer_bad_message, "peer-bad-message", o::not_run, 502, true, 1},
    error_answer{k::peer_busy, "peer-busy", o::not_run, 503, true, 3},
    error_answer{k::no_route, "no-route", o::not_run, 404, false, 1},
    error_answer{k::no_backend_server, "no-backend-server", o::not_run, 503, false, 1},
    error_answer{k::node_not_ready, "node-not-ready", o::not_run, 503, true, 1},
    error_answer{k::draining, "draining", o::not_run, 503, true, 1},
    error_answer{k::data_centre_out, "data-centre-out", o::not_run, 503, true, 1},
    error_answer{k::version_suspended, "version-suspended", o::not_run, 503, true, 1},
    error_answer{k::version_not_served, "version-not-served", o::not_run, 503, true, 1},
    error_answer{k::config_behind, "config-behind", o::not_run, 503, true, 1},
    error_answer{k::queue_full, "queue-full", o::not_run, 503, true, 1},
    error_answer{k::cold_start_limit, "cold-start-limit", o::not_run, 503, true, 1},
    error_answer{k::too_many_connections, "too-many-connections", o::not_run, 503, true, 1},
    error_answer{k::body_too_large, "body-too-large", o::not_run, 413, false, 1},
    error_answer{k::hop_limit, "hop-limit", o::not_run, 508, false, 1},
    error_answer{k::connect_failed, "connect-failed", o::not_run, 503, true, 1},
    error_answer{k::backend_shed, "backend-shed", o::not_run, 503, true, 1},
    error_answer{k::deadline_before_send, "deadline-before-send", o::deadline, 503, false, 1},
    error_answer{k::cancelled_before_send, "cancelled-before-send", o::not_run, 499, false, 1},
    error_answer{k::bad_request, "bad-request", o::not_run, 400, false, 1},
    error_answer{k::connection_cut, "connection-cut", o::unknown, 502, false, 1},
    error_answer{k::answer_truncated, "answer-truncated", o::unknown, 502, false, 1},
    error_answer{k::answer_too_large, "answer-too-large", o::unknown, 502, false, 1},
    error_answer{k::deadline_after_send, "deadline-after-send", o::unknown, 504, false, 1},
    error_answer{k::cancelled_after_send, "cancelled-after-send", o::unknown, 499, false, 1},
    error_answer{k::key_already_claimed, "key-already-claimed", o::unknown, 409, false, 1},
    error_answer{k::key_history_incomplete, "key-history-incomplete", o::unknown, 409, false, 1},
    error_answer{k::internal, "internal", o::unknown, 500, false, 1},
};

static_assert(s_table.size() == static_cast<std::size_t>(k::internal) + 1,
              "every error kind needs a row");

constexpr std::array s_outcome_names{std::string_view{"answered"}, std::string_view{"not-run"},
                                     std::string_view{"unknown"}, std::string_view{"deadline"}};

} // namespace

const error_answer& answer_for(error_kind kind) {
    return s_table[static_cast<std::size_t>(kind)];
}

std::span<const error_answer> error_table() {
    return s_table;
}

std::optional<error_kind> error_kind_from_name(std::string_view name) {
    for (const error_answer& row : s_table) {
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
