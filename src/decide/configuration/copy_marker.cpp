#include "decide/configuration/copy_marker.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

#include "store/store_version.hpp"

namespace caraway {
namespace {

std::optional<std::uint64_t> parse_number(std::string_view text) {
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool complete = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
    return complete ? std::optional(number) : std::nullopt;
}

// Returns the era and revision of a marker of the copy. Returns nothing for a marker of the current
// era, and for one that isn't later than the change that it follows.
std::optional<std::uint64_t> marker_version(const store_entry& marker, std::uint64_t era) {
    if (!marker.m_key.starts_with(marker_prefix)) {
        return std::nullopt;
    }
    const auto marker_era =
        parse_number(std::string_view(marker.m_key).substr(marker_prefix.size()));
    const auto followed = parse_number(marker.m_value);
    if (!marker_era || !followed || *marker_era >= era || era_of(*followed) != *marker_era) {
        return std::nullopt;
    }
    const std::uint64_t version = make_version(*marker_era, revision_of(marker.m_revision));
    return version > *followed ? std::optional(version) : std::nullopt;
}

} // namespace

std::string marker_key(std::uint64_t era) {
    return std::string(marker_prefix) + std::to_string(era);
}

std::string encode_marker(std::uint64_t version) {
    return std::to_string(version);
}

std::uint64_t copy_complete_until(std::span<const store_entry> markers, std::uint64_t era) {
    std::uint64_t latest = 0;
    for (const store_entry& marker : markers) {
        latest = std::max(latest, marker_version(marker, era).value_or(0));
    }
    return latest;
}

} // namespace caraway
