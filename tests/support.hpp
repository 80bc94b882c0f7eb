// Common header of the unit tests: Boost.Test, the seed from the environment and helper functions.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <unistd.h>

#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "base/clock.hpp"

namespace caraway {

// Returns the seed in CARAWAY_SEED, which replays a failing run, or nothing if it is not set.
inline std::optional<std::uint64_t> seed_from_environment() {
    const char* text = std::getenv("CARAWAY_SEED");
    return text != nullptr ? std::optional(std::strtoull(text, nullptr, 10)) : std::nullopt;
}

// Returns the seed in CARAWAY_SEED, or 1 if it is not set.
inline std::uint64_t seed_or_default() {
    return seed_from_environment().value_or(1);
}

// Returns the seeds of a schedule test: 1 to count, or only the seed in CARAWAY_SEED if it is set.
inline std::vector<std::uint64_t> schedule_seeds(std::uint64_t count) {
    if (const auto given = seed_from_environment()) {
        return {*given};
    }
    std::vector<std::uint64_t> seeds;
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        seeds.push_back(seed);
    }
    return seeds;
}

inline bool contains(std::string_view text, std::string_view substring) {
    return text.find(substring) != std::string_view::npos;
}

// Fixed current time for tests of texts and commands.
inline const wall_time s_now = std::chrono::sys_days(std::chrono::year(2027) / 1 / 15);

// Runs an action with standard output redirected to a pipe, and returns what it wrote (at most 8192
// bytes).
template <typename Action>
std::string capture_stdout(Action action) {
    std::array<int, 2> pipe_ends{};
    BOOST_REQUIRE(::pipe(pipe_ends.data()) == 0);
    const int saved_stdout = ::dup(STDOUT_FILENO);
    ::dup2(pipe_ends[1], STDOUT_FILENO);
    ::close(pipe_ends[1]);
    action();
    ::dup2(saved_stdout, STDOUT_FILENO);
    ::close(saved_stdout);
    std::array<char, 8192> bytes{};
    const ssize_t size = ::read(pipe_ends[0], bytes.data(), bytes.size());
    ::close(pipe_ends[0]);
    return {bytes.data(), static_cast<std::size_t>(size > 0 ? size : 0)};
}

} // namespace caraway
