// Measures the processor time of the choice of a backend server out of 1,000 that all make calls
// wait, which is the most expensive case: servers of other data centres are compared as well.
#include <chrono>
#include <vector>

#include <fmt/format.h>

#include "decide/traffic/balance.hpp"

using namespace caraway;

namespace {

constexpr std::size_t servers = 1'000;
constexpr int choices = 20'000;

std::vector<candidate> make_servers(random_source& random) {
    std::vector<candidate> candidates(servers);
    for (std::size_t i = 0; i < servers; ++i) {
        candidate& server = candidates[i];
        server.m_own_data_centre = i % 4 == 0;
        server.m_load_permille = 1'300;
        server.m_mean_load_permille = 900;
        server.m_latency = milliseconds(100);
        server.m_slots = 13;
        server.m_speed_factor = 0.5 + random.unit();
        server.m_load_age = milliseconds(random.below(1'000));
    }
    return candidates;
}

// Runs the choice and prints its mean time in microseconds.
template <typename Choice>
void measure(std::string_view name, Choice choose) {
    std::size_t sum = 0; // keeps the compiler from removing the choices
    const auto began = std::chrono::steady_clock::now();
    for (int i = 0; i < choices; ++i) {
        sum += choose().value();
    }
    const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - began;
    fmt::print("{}: {:.1f} us a choice out of {} (sum {})\n", name, took.count() / choices, servers,
               sum);
}

} // namespace

int main() {
    random_source random(1);
    const std::vector<candidate> candidates = make_servers(random);
    measure("by load", [&] { return choose_candidate(candidates, random); });
    measure("by expected time",
            [&] { return choose_by_expected_time(candidates, milliseconds(100), random); });
}
