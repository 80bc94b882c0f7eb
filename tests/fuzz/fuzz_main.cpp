// Fuzzes the decoders with seeded mutations of their seed corpora.
// usage: fuzz CORPUS_FOLDER MUTATIONS SEED [TARGET...]
// If a target reports a fault, writes the input to the file found-TARGET in the working folder. If
// FUZZ_KEEP is set, writes every input there before its check, so that an input that crashes the
// process is kept too.
// Exits with 1 if any target found a fault.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>

#include <fmt/format.h>

#include "tests/fuzz/driver.hpp"

namespace {

using namespace caraway;

void save_input(std::string_view target, std::string_view input) {
    std::ofstream file(fmt::format("found-{}", target), std::ios::binary);
    file.write(input.data(), static_cast<std::streamsize>(input.size()));
}

} // namespace

int main(int argc, char** argv) {
    if (argc < 4) {
        fmt::print(stderr, "usage: fuzz CORPUS_FOLDER MUTATIONS SEED [TARGET...]\n");
        return 2;
    }
    const std::uint64_t mutations = std::strtoull(argv[2], nullptr, 10);
    const std::uint64_t seed = std::strtoull(argv[3], nullptr, 10);
    const std::span<char* const> names(argv + 4, static_cast<std::size_t>(argc - 4));
    int status = 0;
    for (const fuzz_target& target : fuzz_targets()) {
        if (!names.empty() && std::find(names.begin(), names.end(), target.m_name) == names.end()) {
            continue;
        }
        const auto start = std::chrono::steady_clock::now();
        std::function<void(const std::string&)> before_check;
        if (std::getenv("FUZZ_KEEP") != nullptr) {
            before_check = [&target](const std::string& input) {
                save_input(target.m_name, input);
            };
        }
        const fuzz_result result =
            run_target(target, read_corpus(argv[1], target.m_name), mutations, seed, before_check);
        const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
        fmt::print("{}: {} inputs, seed {}, {:.1f} s: {}\n", target.m_name, result.m_inputs, seed,
                   elapsed.count(), result.m_fault.empty() ? "nothing found" : result.m_fault);
        std::fflush(stdout);
        if (!result.m_fault.empty()) {
            save_input(target.m_name, result.m_input);
            status = 1;
        }
    }
    return status;
}
