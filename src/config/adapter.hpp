// What the surroundings of a deployment speak where that differs from the product's own interface.
// A node gets one at start; the default is the product's own. Everything behind it is in the
// product's types, so that no other code knows another spelling.
#pragma once

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "config/mesh.hpp"
#include "decide/facts.hpp"
#include "decide/own_server.hpp"
#include "store/store_codec.hpp"

namespace caraway {

// How backend servers report to the node beside them over HTTP. The paths are prefixes, followed by
// the server's identity.
struct server_report_interface {
    std::string m_report_path;
    std::string m_leave_path;
    // Reads a heartbeat or a leave; on failure the reason says what is wrong with it.
    std::function<std::optional<server_report>(std::string_view server, std::string_view body,
                                               error& reason)>
        m_decode_report;
    std::function<std::optional<server_leave>(std::string_view server, std::string_view body,
                                              error& reason)>
        m_decode_leave;
};

struct adapter {
    store_codec m_store = native_store_codec();
    std::string m_readiness_path = "/readyz";
    // Keys below which operators keep their configuration and orders. Empty: the product's own
    // text, which an accepter judges; else the store accepts only what is valid, and nodes read it
    // without one.
    std::string m_operator_prefix;
    // Reads the items below the prefix as one mesh, whole or not at all.
    std::function<std::optional<mesh>(std::span<const store_entry> items, error& reason)>
        m_parse_items;
    // Where moves are recorded, with the service's name behind it, and in which form.
    std::string m_move_prefix = "caraway/state/move/";
    std::function<std::string(const move_record&)> m_encode_move;
    std::function<std::optional<move_record>(std::string_view value, std::uint64_t revision)>
        m_decode_move;
    server_report_interface m_reports;
};

// The product's own interface.
adapter own_adapter();

} // namespace caraway
