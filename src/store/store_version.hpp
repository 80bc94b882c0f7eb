// Versions of what the store holds. Revisions go back when the store is restored from a copy, and
// are assigned again. A version therefore combines the store's era, the number of restorations so
// far, with a revision, and only rises.
#pragma once

#include <cstdint>

namespace caraway {

// Bits of a version that hold the revision; the era is in the upper 16 bits. At 1,000 writes a
// second, 48 bits last 8,900 years. A version of era 0 equals its revision.
constexpr unsigned revision_bits = 48;
constexpr std::uint64_t max_revision = (std::uint64_t{1} << revision_bits) - 1;
constexpr std::uint64_t max_era = (std::uint64_t{1} << (64 - revision_bits)) - 1;

// Returns the version of a revision that the store assigned in an era. Values that don't fit are
// cut off.
constexpr std::uint64_t make_version(std::uint64_t era, std::uint64_t revision) {
    return (era << revision_bits) | (revision & max_revision);
}

constexpr std::uint64_t era_of(std::uint64_t version) {
    return version >> revision_bits;
}

constexpr std::uint64_t revision_of(std::uint64_t version) {
    return version & max_revision;
}

} // namespace caraway
