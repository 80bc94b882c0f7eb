// The configuration in force as the store has it.
#pragma once

#include <optional>
#include <string>

#include "config/mesh.hpp"
#include "ctl/records.hpp"
#include "ctl/store_session.hpp"

namespace caraway {

// The accepted record with its text and the text's mesh. All are absent before the first
// acceptance; only text and mesh are, when the text is missing or damaged, and only the mesh, when
// the text is newer than this program.
struct accepted_config {
    std::optional<accepted_view> m_accepted;
    std::string m_text;
    std::optional<mesh> m_mesh;
};

// Reads the accepted record and its text. Returns the failed reply when the store can't be read.
std::optional<store_reply> read_accepted_config(const store_interface& store,
                                                accepted_config& state);

} // namespace caraway
