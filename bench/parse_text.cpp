// Measures parse_mesh and match_route on a configuration text close to the size limit: 8 data
// centres and 2,600 services with dependencies and two routes each. The parse time matters because
// every node parses every accepted text. usage: parse_text [ROUNDS]
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "config/mesh.hpp"

namespace {

using namespace caraway;

constexpr int service_count = 2'600;
// Slightly below max_text_bytes. Comments pad the text, since operators' texts contain comments.
constexpr std::size_t text_bytes = 1'000'000;

std::string make_text() {
    std::string text = "format = 1\nname = \"large\"\n";
    for (int i = 0; i < 8; ++i) {
        text += fmt::format("[data_centre.centre-{}]\nout = false\n", i);
    }
    for (int i = 0; i < service_count; ++i) {
        text += fmt::format("[service.service-{0}]\nversion = \"1.0.{0}\"\ndepends_on = [", i);
        for (int j = 1; j <= 5 && i + j * 7 < service_count; ++j) {
            text += fmt::format("\"service-{}\", ", i + j * 7);
        }
        text += "]\nslots = 12\nconnections = 110\nqueue = 48\nlatency_limit = \"200ms\"\n";
    }
    for (int i = 0; i < service_count; ++i) {
        text +=
            fmt::format("[[route]]\npath = \"/service-{0}/operations\"\nservice = \"service-{0}\""
                        "\ntimeout = \"2s\"\nidempotent = true\nurgency = \"normal\"\n"
                        "[[route]]\npath = \"/service-{0}\"\nservice = \"service-{0}\"\n",
                        i);
    }
    while (text.size() < text_bytes) {
        text += "# The pour crews book against the survey of their site.\n";
    }
    return text;
}

} // namespace

int main(int argc, char** argv) {
    const int rounds = std::max(1, argc > 1 ? std::atoi(argv[1]) : 20);
    const std::string text = make_text();
    std::vector<double> parse_ms;
    std::vector<double> match_ns;
    for (int round = 0; round < rounds; ++round) {
        std::vector<text_fault> faults;
        const auto start = std::chrono::steady_clock::now();
        const auto parsed = parse_mesh(text, wall_time{}, nullptr, faults);
        const std::chrono::duration<double, std::milli> parse_time =
            std::chrono::steady_clock::now() - start;
        if (!parsed) {
            fmt::print(stderr, "{}\n", format_fault("text", faults.front()));
            return 1;
        }
        parse_ms.push_back(parse_time.count());
        const auto match_start = std::chrono::steady_clock::now();
        std::size_t matched = 0;
        for (int i = 0; i < service_count; ++i) {
            matched += match_route(*parsed, parsed->m_routes[static_cast<std::size_t>(i)].m_path +
                                                "/one/two?three=4") != nullptr
                           ? 1
                           : 0;
        }
        const std::chrono::duration<double, std::nano> match_time =
            std::chrono::steady_clock::now() - match_start;
        if (matched != service_count) {
            return 1;
        }
        match_ns.push_back(match_time.count() / service_count);
    }
    std::sort(parse_ms.begin(), parse_ms.end());
    std::sort(match_ns.begin(), match_ns.end());
    fmt::print(
        "{{\"text_bytes\":{},\"services\":{},\"routes\":{},\"rounds\":{},"
        "\"parse_ms_median\":{:.1f},\"parse_ms_worst\":{:.1f},\"match_ns_median\":{:.0f}}}\n",
        text.size(), service_count, 2 * service_count, rounds, parse_ms[parse_ms.size() / 2],
        parse_ms.back(), match_ns[match_ns.size() / 2]);
    return 0;
}
