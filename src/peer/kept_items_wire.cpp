#include "peer/kept_items_wire.hpp"

#include <algorithm>
#include <array>

#include "peer/gen/peer.pb.h"
#include "store/store_version.hpp"

namespace caraway {
namespace {

// The states by their number in messages, which differs from their order.
constexpr std::array wire_states{kept_state::unconfirmed, kept_state::continued,
                                 kept_state::superseded, kept_state::expired};

std::uint32_t wire_number(kept_state state) {
    const auto* const found = std::find(wire_states.begin(), wire_states.end(), state);
    return static_cast<std::uint32_t>(found - wire_states.begin());
}

} // namespace

void kept_items_to_wire(wire::Facts& to, const kept_items& from) {
    if (from.m_era == 0) {
        return;
    }
    auto& body = *to.mutable_kept_items();
    body.set_era(from.m_era);
    body.set_base_version(from.m_base_version);
    for (const auto& [key, item] : from.m_items) {
        auto& added = *body.add_items();
        added.set_key(key);
        added.set_version(item.m_version);
        added.set_state(wire_number(item.m_state));
        added.set_listed_version(item.m_listed_version);
        added.set_deleted(item.m_deleted);
        added.set_value(item.m_value);
    }
}

kept_items kept_items_from_wire(const wire::Facts& from) {
    const auto& body = from.kept_items();
    if (body.era() > max_era || static_cast<std::size_t>(body.items_size()) > max_kept_items) {
        return {};
    }
    kept_items out{body.era(), body.base_version(), {}};
    for (const auto& item : body.items()) {
        if (item.state() >= wire_states.size()) {
            return {};
        }
        out.m_items.emplace(item.key(),
                            kept_item{item.version(), wire_states.at(item.state()),
                                      item.listed_version(), item.deleted(), item.value()});
    }
    return out;
}

} // namespace caraway
