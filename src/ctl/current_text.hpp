// Reads the accepted configuration from the store.
#pragma once

#include <optional>
#include <string>

#include "config/mesh.hpp"
#include "ctl/records.hpp"
#include "ctl/store_session.hpp"

namespace caraway {

// The accepted record, its text and the mesh parsed from the text. All three are absent before the
// first acceptance. The text and the mesh are absent if the stored text is missing or damaged. Only
// the mesh is absent if this program is too old to parse the text.
struct accepted_config {
    std::optional<stored_acceptance> m_accepted;
    std::string m_text;
    std::optional<mesh> m_mesh;
};

// Reads the accepted record and its text into config. Returns the failed reply if the store can't
// be read, otherwise nothing.
std::optional<store_reply> read_accepted_config(const store_interface& store,
                                                accepted_config& config);

} // namespace caraway
