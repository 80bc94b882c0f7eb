// Tests of the parsers of the operators' text and of the settings, and of the route lookup.
#include <algorithm>
#include <chrono>
#include <fstream>
#include <iterator>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json.hpp>

#include "base/random.hpp"
#include "config/mesh.hpp"
#include "config/settings.hpp"
#include "tests/support.hpp"

using namespace caraway;

namespace {

// A valid text. A case appends lines with a fault, which begin at first_appended_line.
constexpr std::string_view s_valid_text = R"(format = 1
name = "small"
[data_centre.east]
out = false
[data_centre.west]
[service.alpha]
version = "1"
depends_on = ["beta"]
[service.beta]
version = "1"
[[route]]
path = "/alpha"
service = "alpha"
)";
constexpr std::uint32_t first_appended_line = 14;

// Returns the faults of a text and checks that it is accepted only without faults.
std::vector<text_fault> parse_faults(std::string_view text) {
    std::vector<text_fault> faults;
    const auto config = parse_mesh(text, s_now, nullptr, faults);
    BOOST_TEST(config.has_value() == faults.empty());
    return faults;
}

// Parses a text that must be valid.
mesh parse_valid(std::string_view text) {
    std::vector<text_fault> faults;
    auto result = parse_mesh(text, s_now, nullptr, faults);
    for (const text_fault& fault : faults) {
        BOOST_ERROR(format_fault("text", fault));
    }
    BOOST_REQUIRE(result.has_value());
    return *result;
}

// Returns the text with the first occurrence of from, which must exist, replaced.
std::string replace_first(std::string_view text, std::string_view from, std::string_view to) {
    std::string result(text);
    const std::size_t at = result.find(from);
    BOOST_REQUIRE(at != std::string::npos);
    return result.replace(at, from.size(), to);
}

// Requires exactly one fault, at the given position, whose two parts contain the given texts.
void require_single_fault(const std::vector<text_fault>& faults, std::uint32_t line,
                          std::uint32_t column, std::string_view found, std::string_view expected) {
    BOOST_TEST(faults.size() == 1U);
    if (faults.empty()) {
        return;
    }
    const text_fault& fault = faults.front();
    BOOST_TEST_CONTEXT(format_fault("text", fault)) {
        BOOST_TEST(fault.m_line == line);
        BOOST_TEST(fault.m_column == column);
        BOOST_TEST(contains(fault.m_found, found));
        BOOST_TEST(contains(fault.m_expected, expected));
    }
}

struct fault_case {
    std::string_view m_appended; // appended to the valid text
    std::uint32_t m_line;        // counted from the first appended line
    std::uint32_t m_column;
    std::string_view m_found;
    std::string_view m_expected;
};

const fault_case s_fault_cases[] = {
    {"[service.gamma\nversion = \"1\"\n", 1, 15, "'\\n'", "']'"},
    {"[service.gamma]\nversion = \"1\"\nslot = 3\n", 3, 1, "unknown key \"slot\"", "\"slots\""},
    {"[service.gamma]\nversion = 1\n", 2, 11, "the integer 1", "characters"},
    {"[service.gamma]\nversion = \"1\"\nslots = \"6\"\n", 3, 9, "the string \"6\"", "1 to 10000"},
    {"[service.gamma]\nversion = \"1\"\nslots = 0\n", 3, 9, "the integer 0", "1 to 10000"},
    {"[service.gamma]\nversion = \"1\"\nlatency_limit = \"200\"\n", 3, 17, "\"200\"", "unit"},
    {"[service.gamma]\nversion = \"1\"\nlatency_limit = \"6m\"\n", 3, 17, "\"6m\"", "\"5m\""},
    {"[service.gamma]\nversion = \"1\"\nlatency_limit = 200\n", 3, 17, "the integer", "unit"},
    {"[service.gamma]\n", 1, 1, "no service.gamma.version", "characters"},
    {"[service.\"a b\"]\nversion = \"1\"\n", 1, 10, "\"a b\" as the name", "characters"},
    {"[service.gamma]\nversion = \"1\"\ndepends_on = [\"alpa\"]\n", 3, 15,
     "unknown service \"alpa\"", "\"alpha\""},
    {"[service.gamma]\nversion = \"1\"\ndepends_on = [\"beta\", \"beta\"]\n", 3, 23, "twice",
     "once"},
    {"[service.gamma]\nversion = \"1\"\ndepends_on = [\"gamma\"]\n", 3, 15, "cycle gamma -> gamma",
     "without a cycle"},
    {"[service.c]\nversion = \"1\"\ndepends_on = [\"d\"]\n[service.d]\nversion = \"1\"\n"
     "depends_on = [\"e\"]\n[service.e]\nversion = \"1\"\ndepends_on = [\"beta\", \"c\"]\n",
     9, 23, "cycle c -> d -> e -> c", "without a cycle"},
    {"[service.alpha]\nversion = \"2\"\n", 1, 1, "a second table 'service.alpha'", "once"},
    {"[data_centre.east]\n", 1, 1, "a second table 'data_centre.east'", "once"},
    {"[[route]]\npath = \"/b\"\nservice = \"btea\"\n", 3, 11, "unknown service \"btea\"",
     "\"beta\""},
    {"[[route]]\npath = \"/alpha\"\nservice = \"beta\"\n", 2, 8, "route in line 12", "once"},
    {"[[route]]\npath = \"/b/\"\nservice = \"beta\"\n", 2, 8, "\"/b/\"", "no trailing /"},
    {"[[route]]\npath = \"/b\"\nservice = \"beta\"\nurgency = \"high\"\n", 4, 11, "\"high\"",
     "\"urgent\""},
    {"[[route]]\npath = \"/b\"\nservice = \"beta\"\ntimeout = \"0s\"\n", 4, 11, "\"0s\"",
     "\"1ms\""},
    {"[[route]]\npath = \"/b\"\nservice = \"beta\"\nidempotent = 1\n", 4, 14, "integer", "true"},
    {"[service.alpha.move]\nto = \"1\"\ndeadline = 2027-02-01T00:00:00Z\n", 2, 6,
     "the version served", "another version"},
    {"[service.alpha.move]\nto = \"2\"\n", 1, 1, "no service.alpha.move.deadline", "offset"},
    {"[service.alpha.move]\nto = \"2\"\ndeadline = 2027-01-14T23:59:59Z\n", 3, 12,
     "2027-01-14T23:59:59Z", "after 2027-01-15T00:00:00Z"},
    {"[service.alpha.move]\nto = \"2\"\ndeadline = 2027-02-01T00:00:00\n", 3, 12,
     "without an offset", "with an offset"},
    {"[service.alpha.move]\nto = \"2\"\ndeadline = \"2027-02-01T00:00:00Z\"\n", 3, 12, "the string",
     "with an offset"},
};

std::string read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    BOOST_REQUIRE_MESSAGE(file.good(), "run the tests from the root of the repository: " << path);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

// Applies one random mutation: replaces a byte, deletes or duplicates a part, or moves a line.
void mutate_text(std::string& text, random_source& random) {
    if (text.empty()) {
        return;
    }
    const std::size_t at = random.below(text.size());
    const std::size_t length = 1 + random.below(40);
    constexpr std::string_view bytes = "[]{}=\"'\\#.,\n 0-:TZ\x01\xc3\xff";
    switch (random.below(5)) {
    case 0:
        text[at] = bytes[random.below(bytes.size())];
        break;
    case 1:
        text[at] = static_cast<char>(random.below(256));
        break;
    case 2:
        text.erase(at, length);
        break;
    case 3:
        text.insert(random.below(text.size()), text.substr(at, length));
        break;
    default: {
        const std::size_t begin = text.rfind('\n', at);
        const std::size_t from = begin == std::string::npos ? 0 : begin + 1;
        const std::size_t end = std::min(text.find('\n', from), text.size() - 1) + 1;
        const std::string line = text.substr(from, end - from);
        text.erase(from, end - from);
        text.insert(text.empty() ? 0 : random.below(text.size()), line);
        break;
    }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(config)

// Guards against a fault that is accepted, reported at the wrong position or followed by spurious
// faults.
BOOST_AUTO_TEST_CASE(each_kind_of_fault_is_reported_at_its_position) {
    BOOST_TEST(parse_faults(s_valid_text).empty());
    for (const fault_case& fault : s_fault_cases) {
        const std::string text = std::string(s_valid_text) + std::string(fault.m_appended);
        BOOST_TEST_CONTEXT(fault.m_appended) {
            require_single_fault(parse_faults(text), first_appended_line - 1 + fault.m_line,
                                 fault.m_column, fault.m_found, fault.m_expected);
        }
    }
}

// Guards against accepting a mesh whose data centres are all out of service, or a text that this
// program cannot validate because of its format or size.
BOOST_AUTO_TEST_CASE(faults_of_the_text_as_a_whole_are_reported) {
    const std::string one_out = replace_first(s_valid_text, "out = false", "out = true");
    BOOST_TEST(parse_faults(one_out).empty());
    require_single_fault(parse_faults(replace_first(one_out, "west]\n", "west]\nout = true\n")), 6,
                         7, "every data centre out", "at least one");
    require_single_fault(
        parse_faults(replace_first(s_valid_text, "format = 1", "format = 2\nnew_key = 1")), 1, 10,
        "format 2", "up to 1");
    require_single_fault(parse_faults(replace_first(s_valid_text, "format = 1", "")), 1, 1,
                         "no format", "1 to 1");
    require_single_fault(parse_faults(std::string(s_valid_text) + std::string(max_text_bytes, '#')),
                         0, 0, "bytes", "at most 1048576");
    std::string full(s_valid_text);
    full += std::string(max_text_bytes - full.size(), '#');
    BOOST_TEST(parse_faults(full).empty());
}

// Guards against a parser that stops at the first fault, so that an operator has to submit the text
// again for each one.
BOOST_AUTO_TEST_CASE(all_faults_are_reported_in_one_pass_in_order) {
    const std::string text =
        "format = 1\nname = 3\n[data_centre.a]\nout = 1\n[service.a]\nversion = "
        "\"1\"\nversion = \"2\"\nslots = -1\n[service.b\nversion = \"1\"\n"
        "[[route]]\npath = \"a\"\nservice = \"c\"\n";
    const auto faults = parse_faults(text);
    std::vector<std::uint32_t> lines;
    lines.reserve(faults.size());
    for (const text_fault& fault : faults) {
        lines.push_back(fault.m_line);
    }
    // The service "c" is not reported as unknown, since the faulty header could have declared it.
    const std::vector<std::uint32_t> expected{2, 4, 7, 8, 9, 12};
    BOOST_TEST(lines == expected, boost::test_tools::per_element());
}

// Guards against a refusal record that exceeds the store's value size because a text has many
// faults.
BOOST_AUTO_TEST_CASE(reported_faults_are_bounded) {
    std::string text(s_valid_text);
    for (int i = 0; i < 30'000; ++i) {
        text += "[[route]]\npath = \"x\"\n";
    }
    const auto faults = parse_faults(text);
    BOOST_TEST(faults.size() == max_text_faults);
    BOOST_TEST(faults.back().m_found.find("more faults") != std::string::npos);
}

// Guards against a text with many syntax errors that blocks the accepter, since each error causes
// another parse.
BOOST_AUTO_TEST_CASE(reparsing_after_syntax_errors_is_bounded) {
    std::string small(s_valid_text);
    std::string large(s_valid_text);
    for (int i = 0; i < 100; ++i) {
        small += "= 1\n";
        large += "= 1\n" + std::string(10'000, '#') + "\n";
    }
    BOOST_TEST(parse_faults(small).size() == 20U);
    BOOST_TEST(parse_faults(large).size() == 5U);
}

// Guards against refusing an unrelated change because the text still contains a move that has ended
// and whose deadline has passed.
BOOST_AUTO_TEST_CASE(old_move_of_the_previous_mesh_may_be_past_its_deadline) {
    const std::string text = std::string(s_valid_text) +
                             "[service.alpha.move]\nto = \"2\"\ndeadline = 2027-01-16T00:00:00Z\n";
    const mesh previous = parse_valid(text);
    const wall_time later = s_now + std::chrono::hours(48);
    std::vector<text_fault> faults;
    BOOST_TEST(!parse_mesh(text, later, nullptr, faults).has_value());
    BOOST_TEST(parse_mesh(text, later, &previous, faults).has_value());
    BOOST_TEST(parse_mesh(text, wall_time{}, nullptr, faults).has_value());
    const std::string changed = replace_first(text, "\"2\"", "\"3\"");
    BOOST_TEST(!parse_mesh(changed, later, &previous, faults).has_value());
}

// Guards against values, units or defaults that are parsed differently from the documentation.
BOOST_AUTO_TEST_CASE(values_and_defaults_are_read) {
    const mesh config = parse_valid(replace_first(
        s_valid_text, "[[route]]",
        "[service.alpha.move]\nto = \"2\"\ndeadline = 2027-02-01T02:00:00.5+02:00\n[[route]]\n"
        "timeout = \"2s\"\nidempotent = true\nurgency = \"urgent\""));
    const service_spec& alpha = config.m_services.at("alpha");
    BOOST_TEST(alpha.m_slots == 12U);
    BOOST_TEST(alpha.m_depends_on.at(0) == "beta");
    BOOST_TEST(unix_ms(alpha.m_move.value().m_deadline) == 1'801'440'000'500);
    const route_spec& route = config.m_routes.at(0);
    BOOST_TEST(route.m_timeout.count() == 2000);
    BOOST_TEST(route.m_idempotent);
    BOOST_TEST(urgency_name(route.m_urgency) == "urgent");
}

// Guards against sending a call to the service of a shorter prefix, or of a prefix that ends within
// a path segment.
BOOST_AUTO_TEST_CASE(longest_prefix_at_a_segment_boundary_matches) {
    const mesh config = parse_valid(std::string(s_valid_text) +
                                    "[[route]]\npath = \"/alpha/deep/er\"\nservice = \"beta\"\n"
                                    "[[route]]\npath = \"/beta1\"\nservice = \"beta\"\n");
    const auto match = [&](std::string_view path) {
        const route_spec* route = match_route(config, path);
        return route == nullptr ? std::string("none") : route->m_path;
    };
    BOOST_TEST(match("/alpha") == "/alpha");
    BOOST_TEST(match("/alpha/") == "/alpha");
    BOOST_TEST(match("/alpha?x=/alpha/deep/er") == "/alpha");
    BOOST_TEST(match("/alpha/deep") == "/alpha");
    BOOST_TEST(match("/alpha/deep/er/x") == "/alpha/deep/er");
    BOOST_TEST(match("/alpha/deep/error") == "/alpha");
    BOOST_TEST(match("/alphabet") == "none");
    BOOST_TEST(match("/beta2") == "none");
    BOOST_TEST(match("/") == "none");
    BOOST_TEST(match("") == "none");
    BOOST_TEST(match("alpha") == "none");
    const mesh with_root =
        parse_valid(std::string(s_valid_text) + "[[route]]\npath = \"/\"\nservice = \"beta\"\n");
    BOOST_TEST(match_route(with_root, "/other")->m_path == "/");
    BOOST_TEST(match_route(with_root, "/alpha/x")->m_path == "/alpha");
}

// Guards against assigning a verdict to the wrong move because two moves have the same identifier.
BOOST_AUTO_TEST_CASE(move_id_depends_on_service_target_and_deadline) {
    const move_spec move{"2", s_now};
    BOOST_TEST(move_id("a", move) == move_id("a", {"2", s_now}));
    BOOST_TEST(move_id("a", move) != move_id("b", move));
    BOOST_TEST(move_id("a", move) != move_id("a", {"3", s_now}));
    BOOST_TEST(move_id("a", move) != move_id("a", {"2", s_now + milliseconds(1)}));
}

// Guards against example files that the program rejects.
BOOST_AUTO_TEST_CASE(examples_are_valid) {
    const mesh nilegrid = parse_valid(read_file("examples/nilegrid.toml"));
    BOOST_TEST(nilegrid.m_data_centres.size() == 4U);
    BOOST_TEST(!match_route(nilegrid, "/pour/bookings/17")->m_idempotent);
    const mesh tallapoosa = parse_valid(read_file("examples/tallapoosa.toml"));
    BOOST_TEST(tallapoosa.m_data_centres.size() == 3U);
    BOOST_TEST(!match_route(tallapoosa, "/rake/cycles")->m_idempotent);
    std::vector<text_fault> faults;
    const auto settings = parse_settings(read_file("examples/node.toml"), faults);
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->m_announce_bulk.m_port == settings->m_peer_bulk.m_port);
}

// Guards against a text that crashes the parser or is accepted in part, and against messages that
// are not valid in a log line or a JSON record. CARAWAY_SEED replays a failing run.
BOOST_AUTO_TEST_CASE(mutated_texts_yield_a_mesh_or_faults) {
    const std::uint64_t seed = seed_from_environment().value_or(std::random_device{}());
    BOOST_TEST_MESSAGE("CARAWAY_SEED=" << seed);
    random_source random(seed);
    const std::string texts[] = {read_file("examples/nilegrid.toml"),
                                 read_file("examples/tallapoosa.toml"),
                                 read_file("examples/node.toml")};
    for (int i = 0; i < 3'000; ++i) {
        std::string text = texts[random.below(3)];
        for (std::uint64_t change = random.below(4); change < 4; ++change) {
            mutate_text(text, random);
        }
        std::vector<text_fault> mesh_faults;
        const bool is_mesh = parse_mesh(text, s_now, nullptr, mesh_faults).has_value();
        std::vector<text_fault> settings_faults;
        const bool is_settings = parse_settings(text, settings_faults).has_value();
        bool is_consistent =
            is_mesh == mesh_faults.empty() && is_settings == settings_faults.empty();
        for (const auto* faults : {&mesh_faults, &settings_faults}) {
            for (const text_fault& fault : *faults) {
                boost::json::error_code json_error;
                boost::json::parse(
                    boost::json::serialize(boost::json::string(format_fault("text", fault))),
                    json_error);
                is_consistent = is_consistent && !json_error && !fault.m_found.empty() &&
                                !fault.m_expected.empty() &&
                                format_fault("text", fault).find('\n') == std::string::npos;
            }
        }
        if (!is_consistent) {
            BOOST_ERROR("seed " << seed << ", text " << i << ":\n" << text);
            return;
        }
    }
}

// Guards against settings that are accepted although they are out of bounds, incomplete or
// misspelt.
BOOST_AUTO_TEST_CASE(faults_of_settings_are_reported) {
    const std::string base = read_file("examples/node.toml");
    struct settings_case {
        std::string_view m_original;
        std::string_view m_replacement;
        std::string_view m_found;
        std::string_view m_expected;
    };
    const settings_case cases[] = {
        {"name = \"pour-1\"", "", "no instance.name", "characters"},
        {"name = \"pour-1\"", "name = \"a/b\"", "\"a/b\" for instance.name", "characters"},
        {"[shutdown]", "[shutdwon]", "unknown key \"shutdwon\"", "\"shutdown\""},
        {"threads = 2", "thread = 2", "unknown key \"thread\" in traffic", "\"threads\""},
        {"threads = 2", "threads = 65", "the integer 65", "from 1 to 64"},
        {"address = \"127.0.0.1:8000\"", "address = \"localhost:8000\"", "\"localhost:8000\"",
         "an IP address"},
        {"admin = \"127.0.0.1:7002\"", "admin = \"127.0.0.1:0\"", "\"127.0.0.1:0\"", "port"},
        {"addresses = [\"127.0.0.1:9000\"]", "addresses = []", "empty array", "at least one"},
        {"addresses = [\"127.0.0.1:9000\"]", "addresses = [9000]", "the integer 9000", "strings"},
        {"timeout = \"2s\"", "timeout = \"5s\"", "store.timeout 5s", "below"},
        {"probe_timeout = \"300ms\"", "probe_timeout = \"1s\"", "probe_timeout 1s", "below"},
        {"memory = 160", "memory = 31", "the integer 31", "from 32"},
        {"max_held_bytes = 0", "max_held_bytes = -1", "the integer -1", "from 0"},
        {"seed = 0", "seed = -1", "the integer -1", "from 0"},
        {"trace_spans = true", "trace_spans = \"yes\"", "the string \"yes\"", "true or false"},
        {"record_lines = 0", "record_lines = 1000001", "the integer 1000001", "from 0 to 1000000"},
        {"drain_timeout = \"30s\"", "drain_timeout = 30", "the integer 30", "unit"},
    };
    for (const settings_case& tested : cases) {
        const std::string text = replace_first(base, tested.m_original, tested.m_replacement);
        const auto expected_line = static_cast<std::uint32_t>(
            1 + std::count(base.begin(),
                           base.begin() + static_cast<std::ptrdiff_t>(base.find(tested.m_original)),
                           '\n'));
        std::vector<text_fault> faults;
        BOOST_TEST_CONTEXT(tested.m_replacement) {
            BOOST_TEST(!parse_settings(text, faults).has_value());
            BOOST_REQUIRE(faults.size() == 1U);
            BOOST_TEST(contains(faults[0].m_found, tested.m_found));
            BOOST_TEST(contains(faults[0].m_expected, tested.m_expected));
            if (!tested.m_replacement.empty()) {
                BOOST_TEST(faults[0].m_line == expected_line);
            }
        }
    }
    std::vector<text_fault> faults;
    BOOST_TEST(!parse_settings("", faults).has_value());
    BOOST_TEST(faults.size() == 10U); // each required key
}

// Guards against defaults in the example file that differ from those of the program.
BOOST_AUTO_TEST_CASE(settings_have_the_documented_defaults) {
    const std::string full_text = read_file("examples/node.toml");
    std::string minimal_text = full_text.substr(0, full_text.find("[peers]"));
    for (const std::string_view line :
         {"health_interval = \"10s\"\n", "timeout = \"2s\"\n", "lease_period = \"5s\"\n"}) {
        minimal_text = replace_first(minimal_text, line, "");
    }
    std::vector<text_fault> faults;
    const auto explicit_values = parse_settings(full_text, faults);
    const auto defaults = parse_settings(minimal_text, faults);
    BOOST_REQUIRE(explicit_values.has_value());
    BOOST_REQUIRE(defaults.has_value());
    BOOST_TEST((*explicit_values == *defaults));
    const std::string text_with_announced_address = replace_first(
        full_text, "[backend_server]", "announce_udp = \"[::1]:99\"\n[backend_server]");
    const auto behind_proxy = parse_settings(text_with_announced_address, faults);
    BOOST_REQUIRE(behind_proxy.has_value());
    BOOST_TEST(format_endpoint(behind_proxy->m_announce_udp) == "[::1]:99");
    BOOST_TEST(format_endpoint(behind_proxy->m_announce_traffic) == "127.0.0.1:7000");
}

// Guards against accepting an address that a node cannot connect to.
BOOST_AUTO_TEST_CASE(endpoints_are_ip_addresses_with_a_port) {
    for (const std::string_view text : {"127.0.0.1:1", "[::1]:65535", "[fe80::2]:80"}) {
        const auto endpoint = parse_endpoint(text);
        BOOST_REQUIRE(endpoint.has_value());
        BOOST_TEST(format_endpoint(*endpoint) == text);
    }
    for (const std::string_view text :
         {"", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:1x", "127.0.0.1:-1",
          "host:1", "::1:80", "[127.0.0.1]:80", "[::1]", "[::1]80", "127.0.0.1 :80"}) {
        BOOST_TEST_CONTEXT(text) {
            BOOST_TEST(!parse_endpoint(text).has_value());
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
