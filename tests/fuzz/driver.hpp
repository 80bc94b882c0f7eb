// Runs a fuzz target on its seed corpus and on seeded mutations of it. The same seed gives the same
// inputs everywhere.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "tests/fuzz/targets.hpp"

namespace caraway {

// Reads the files of a target's corpus below the folder, ordered by name.
std::vector<std::string> read_corpus(const std::string& folder, std::string_view target);

struct fuzz_result {
    std::uint64_t m_inputs = 0;
    std::string m_fault; // what the target found wrong, empty if nothing
    std::string m_input; // the input that showed it
};

// Checks every input of the corpus as it is, then the given number of mutated ones,
// times the target's weight. Each input is passed to before, if given, ahead of its check.
fuzz_result run_target(const fuzz_target& target, const std::vector<std::string>& corpus,
                       std::uint64_t mutations, std::uint64_t seed,
                       const std::function<void(const std::string&)>& before_check = {});

} // namespace caraway
