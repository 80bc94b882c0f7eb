// The decoders of bytes from outside, each as a function from bytes to what is wrong with the
// result.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace caraway {

struct fuzz_target {
    std::string_view m_name;                        // also the folder of its seed corpus
    std::span<const std::string_view> m_dictionary; // lead into rare states of the decoder
    std::uint64_t m_weight = 1;                     // cheap decoders run on more inputs
    std::string (*m_check)(std::string_view){};     // returns what is wrong, empty if nothing
};

std::span<const fuzz_target> fuzz_targets();

} // namespace caraway
