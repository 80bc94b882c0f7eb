// Fuzz targets: the decoders of untrusted input, each with a check of the decoded result.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace caraway {

struct fuzz_target {
    std::string_view m_name;                        // also the folder name of its seed corpus
    std::span<const std::string_view> m_dictionary; // tokens that reach rare decoder states
    std::uint64_t m_weight = 1; // factor for the number of inputs; higher for cheap decoders
    std::string (*m_check)(std::string_view){}; // returns a fault description, empty if none
};

// Checks the answer reader with these bytes; see answer_target.cpp.
std::string check_answer(std::string_view bytes);

// Returns all targets.
std::span<const fuzz_target> fuzz_targets();

} // namespace caraway
