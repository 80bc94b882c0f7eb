#include "ctl/current_text.hpp"

#include <utility>
#include <vector>

#include <fmt/format.h>

#include "peer/wire.hpp"

namespace caraway {
namespace {

// Reads a text that is stored whole, without a delta. A value that is not in the stored-text
// encoding is returned as it is.
store_reply read_full_text(const store_interface& store, std::uint64_t version,
                           std::string_view hash) {
    store_reply reply = store.m_get(fmt::format("caraway/accepted-text/{}-{}", version, hash));
    error reason;
    const auto packed =
        reply.m_kind == error_kind::none ? decode_stored_text(reply.m_value, reason) : std::nullopt;
    if (packed) {
        auto text = decode_full_text(reply.m_value, packed->m_hash, reason);
        reply.m_kind = text ? error_kind::none : error_kind::store_not_found;
        reply.m_value = std::move(text).value_or(std::string{});
    }
    return reply;
}

// Reads the accepted text. Unless it is stored whole, restores it from its delta and the base text.
// The reply's kind is store_not_found if a value is missing or damaged.
store_reply read_accepted_text(const store_interface& store, const stored_acceptance& accepted) {
    if (accepted.m_base_version == 0) {
        return read_full_text(store, accepted.m_version, accepted.m_hash);
    }
    store_reply delta = store.m_get(
        fmt::format("caraway/accepted-delta/{}-{}", accepted.m_version, accepted.m_hash));
    if (delta.m_kind != error_kind::none) {
        return delta;
    }
    store_reply base = read_full_text(store, accepted.m_base_version, accepted.m_base_hash);
    if (base.m_kind != error_kind::none) {
        return base;
    }
    error reason;
    const auto packed = decode_stored_text(delta.m_value, reason);
    auto text = packed ? unpack_text(*packed, base.m_value, reason) : std::nullopt;
    delta.m_kind = text ? error_kind::none : error_kind::store_not_found;
    delta.m_value = std::move(text).value_or(std::string{});
    return delta;
}

} // namespace

std::optional<store_reply> read_accepted_config(const store_interface& store,
                                                accepted_config& config) {
    const store_reply record = store.m_get("caraway/state/accepted");
    if (record.m_kind == error_kind::store_not_found) {
        return std::nullopt;
    }
    if (record.m_kind != error_kind::none) {
        return record;
    }
    config.m_accepted = parse_accepted(record.m_value);
    if (!config.m_accepted) {
        return std::nullopt;
    }
    auto restored = read_accepted_text(store, *config.m_accepted);
    if (restored.m_kind == error_kind::store_not_found) {
        return std::nullopt;
    }
    if (restored.m_kind != error_kind::none) {
        return restored;
    }
    std::vector<text_fault> faults;
    config.m_text = std::move(restored.m_value);
    config.m_mesh = parse_mesh(config.m_text, wall_time{}, nullptr, faults);
    return std::nullopt;
}

} // namespace caraway
