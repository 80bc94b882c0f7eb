// Entry point for libFuzzer. The environment variable FUZZ_TARGET selects the target.
#include <cstddef>
#include <cstdint>
#include <cstdlib>

#include <fmt/format.h>

#include "tests/fuzz/targets.hpp"

namespace {

// Returns the target that FUZZ_TARGET names; exits with 2 if there is none.
const caraway::fuzz_target& selected_target() {
    const char* name = std::getenv("FUZZ_TARGET");
    for (const caraway::fuzz_target& target : caraway::fuzz_targets()) {
        if (name != nullptr && target.m_name == name) {
            return target;
        }
    }
    fmt::print(stderr, "FUZZ_TARGET does not name a fuzz target\n");
    std::exit(2);
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer's name
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    static const caraway::fuzz_target& target = selected_target();
    const std::string fault = target.m_check({reinterpret_cast<const char*>(data), size});
    if (!fault.empty()) {
        fmt::print(stderr, "{}\n", fault);
        std::abort();
    }
    return 0;
}
