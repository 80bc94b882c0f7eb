// Content hashes and rendezvous hashing with xxHash.
#pragma once

#include <cstdint>
#include <string_view>

namespace caraway {

// Returns the seeded 64-bit XXH3 hash of the bytes.
std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed = 0);

// Returns the rendezvous weight of a node for a key. The nodes with the highest weights own the
// key.
std::uint64_t rendezvous_weight(std::string_view key, std::string_view node);

} // namespace caraway
