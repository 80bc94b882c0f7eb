#include "base/hash.hpp"

#include <xxhash.h>

namespace caraway {

std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed) {
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t rendezvous_weight(std::string_view key, std::string_view node) {
    return hash_bytes(node, hash_bytes(key));
}

} // namespace caraway
