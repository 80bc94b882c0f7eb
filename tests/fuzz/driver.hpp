// Runs a fuzz target on its seed corpus and on seeded mutations of it. The same seed produces the
// same inputs on every machine.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "tests/fuzz/targets.hpp"

namespace caraway {

// Returns the contents of the files in folder/target, ordered by file name; empty if the folder
// does not exist.
std::vector<std::string> read_corpus(const std::string& folder, std::string_view target);

struct fuzz_result {
    std::uint64_t m_inputs = 0;
    std::string m_fault; // description of the first fault, empty if none
    std::string m_input; // input that caused the fault
};

// Checks every input of the corpus unchanged, then (mutations * target weight) mutated inputs.
// Stops at the first fault; an empty corpus is a fault. Calls before_check, if set, with each input
// before its check.
fuzz_result run_target(const fuzz_target& target, const std::vector<std::string>& corpus,
                       std::uint64_t mutations, std::uint64_t seed,
                       const std::function<void(const std::string&)>& before_check = {});

} // namespace caraway
