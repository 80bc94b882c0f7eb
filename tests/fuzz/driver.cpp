#include "tests/fuzz/driver.hpp"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "base/hash.hpp"
#include "base/random.hpp"

namespace caraway {
namespace {

// Limits the growth of inputs to little more than the largest datagram, so that the time is spent
// on many inputs rather than on large ones.
constexpr std::size_t max_mutated_bytes = 16U << 10U;
constexpr std::uint64_t max_mutations_per_input = 8;
constexpr std::uint64_t max_block_bytes = 80; // erased, copied or replaced by one mutation

// Boundary values of varints, and a line feed, a quote, a minus sign and a digit for text.
constexpr std::array<unsigned char, 10> edge_bytes{0x00, 0x01, 0x0a, 0x22, 0x2d,
                                                   0x39, 0x7f, 0x80, 0xfe, 0xff};

// Applies one random mutation to the input, with tokens of the dictionary or parts of
// splice_source.
void mutate(std::string& input, const std::string& splice_source,
            std::span<const std::string_view> dictionary, random_source& random) {
    const std::size_t position = random.below(input.size() + 1);
    const std::size_t length = 1 + random.below(max_block_bytes);
    const std::string_view token = dictionary[random.below(dictionary.size())];
    switch (random.below(8)) {
    case 0:
        input.insert(position, token);
        break;
    case 1:
        input.replace(position, length, token);
        break;
    case 2:
        input.erase(position, length);
        break;
    case 3:
        input.insert(position, std::string(input, random.below(input.size() + 1), length));
        break;
    case 4:
        input.insert(position, splice_source, random.below(splice_source.size() + 1), length);
        break;
    case 5:
        input.resize(position);
        break;
    case 6:
        if (position < input.size()) {
            input[position] = static_cast<char>(edge_bytes.at(random.below(edge_bytes.size())));
        }
        break;
    default:
        if (position < input.size()) {
            input[position] = static_cast<char>(random.below(256));
        }
        break;
    }
}

} // namespace

std::vector<std::string> read_corpus(const std::string& folder, std::string_view target) {
    std::vector<std::filesystem::path> paths;
    std::error_code failed;
    for (const auto& entry :
         std::filesystem::directory_iterator(std::filesystem::path(folder) / target, failed)) {
        paths.push_back(entry.path());
    }
    std::sort(paths.begin(), paths.end());
    std::vector<std::string> inputs;
    for (const auto& path : paths) {
        std::ifstream file(path, std::ios::binary);
        inputs.emplace_back(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
    }
    return inputs;
}

fuzz_result run_target(const fuzz_target& target, const std::vector<std::string>& corpus,
                       std::uint64_t mutations, std::uint64_t seed,
                       const std::function<void(const std::string&)>& before_check) {
    fuzz_result result;
    if (corpus.empty()) {
        result.m_fault = "the seed corpus is empty";
        return result;
    }
    const auto check = [&](const std::string& input) {
        ++result.m_inputs;
        if (before_check) {
            before_check(input);
        }
        result.m_fault = target.m_check(input);
        result.m_input = result.m_fault.empty() ? std::string() : input;
        return result.m_fault.empty();
    };
    if (!std::all_of(corpus.begin(), corpus.end(), check)) {
        return result;
    }
    random_source random(hash_bytes(target.m_name, seed));
    for (std::uint64_t i = 0; i < mutations * target.m_weight; ++i) {
        std::string input = corpus[random.below(corpus.size())];
        const std::string& splice_source = corpus[random.below(corpus.size())];
        const std::size_t limit = std::max(input.size(), max_mutated_bytes);
        // Favours few mutations, because decoders reject heavily mutated binary messages early.
        for (std::uint64_t remaining = 1 + random.below(1 + random.below(max_mutations_per_input));
             remaining > 0; --remaining) {
            mutate(input, splice_source, target.m_dictionary, random);
        }
        input.resize(std::min(input.size(), limit));
        if (!check(input)) {
            return result;
        }
    }
    return result;
}

} // namespace caraway
