// Translates between a deployment's external interfaces and the internal types. A node receives one
// adapter at start; the default implements the built-in formats. Code outside the adapter uses the
// internal types only and never depends on a deployment's names or formats.
#pragma once

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "config/mesh.hpp"
#include "decide/configuration/kept_items.hpp"
#include "decide/traffic/own_server.hpp"
#include "decide/versions/facts.hpp"
#include "store/store_codec.hpp"

namespace caraway {

// HTTP interface through which a backend server reports to the node beside it. Each path is a
// prefix that is followed by the server's identity.
struct server_report_interface {
    std::string m_report_path;
    std::string m_leave_path;
    // Decode the body of a report or a leave notice. On failure they return nothing and set reason.
    std::function<std::optional<server_report>(std::string_view server, std::string_view body,
                                               error& reason)>
        m_decode_report;
    std::function<std::optional<server_leave_notice>(std::string_view server, std::string_view body,
                                                     error& reason)>
        m_decode_leave;
};

// The formats, paths and store keys of one deployment.
struct adapter {
    store_codec m_store_codec = native_store_codec();
    std::string m_readiness_path = "/readyz";
    // Prefix of the store keys of the operators' configuration and move orders. If empty, operators
    // submit one text, which an accepter validates. Otherwise the store rejects invalid items
    // itself, and nodes read them without an accepter.
    std::string m_operator_key_prefix;
    // Key of the item that holds the configuration itself, among the items below the prefix.
    std::string m_configuration_key;
    // Builds a mesh from all items below the prefix. Returns nothing and sets reason if the
    // configuration is absent or invalid. Another item that can't be used is left out and named in
    // m_unusable_items.
    std::function<std::optional<mesh>(std::span<const store_entry> items, error& reason)>
        m_parse_items;
    // Compares an item of the store with the one kept from before its restoration.
    item_comparison m_compare_items;
    // Prefix of the store keys of move records. The service's name follows it.
    std::string m_move_key_prefix = "caraway/state/move/";
    // Encode and decode a move record as stored.
    std::function<std::string(const move_record&)> m_encode_move;
    std::function<std::optional<move_record>(std::string_view value, std::uint64_t revision)>
        m_decode_move;
    server_report_interface m_report_interface;
};

// Returns the adapter for the built-in formats.
adapter default_adapter();

} // namespace caraway
