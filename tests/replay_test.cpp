// Tests of the replay of recorded decisions, including the replay of the committed traces.
#include <boost/test/unit_test.hpp>

#include <array>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include <boost/algorithm/string/replace.hpp>
#include <fmt/format.h>

#include "ctl/replay.hpp"

using namespace caraway;

namespace {

const std::string folder = "tests/traces";

std::string load_trace(const std::string& name) {
    error reason;
    const std::array<std::string, 1> file{folder + "/" + name + ".zst"};
    const auto trace = read_trace(file, reason);
    BOOST_REQUIRE_MESSAGE(trace, reason.m_text);
    return *trace;
}

// Replays a trace. The test case fails if the outcomes can't be parsed.
replay_report replay_or_fail(const std::string& trace, const std::string& outcomes) {
    error reason;
    const auto report = replay_trace(trace, outcomes, reason);
    BOOST_REQUIRE_MESSAGE(report, reason.m_text);
    return *report;
}

// Replaces the first occurrence of from, which must exist.
std::string replace_first(std::string text, std::string_view from, std::string_view to) {
    const std::size_t at = text.find(from);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

// Replaces all occurrences of from, which must exist, and returns the number of breaches of one
// check.
std::uint64_t count_breaches(std::string trace, std::string_view from, std::string_view to,
                             std::string_view check) {
    BOOST_REQUIRE(trace.find(from) != std::string::npos);
    boost::replace_all(trace, from, to);
    return replay_or_fail(trace, fmt::format(R"([{{"check": "{}"}}])", check)).m_breaches;
}

} // namespace

BOOST_AUTO_TEST_SUITE(replay)

// Guards against an unintended change of a decision, and against a change that breaks an expected
// outcome of a recorded run. After an intended change, record the traces again with
// tools/record_traces.
BOOST_AUTO_TEST_CASE(committed_traces_give_the_committed_signature) {
    error reason;
    const auto result = replay_folder(folder, reason);
    BOOST_REQUIRE_MESSAGE(result, reason.m_text);
    BOOST_TEST(result->m_traces.size() >= 7U);
    for (const trace_report& trace : result->m_traces) {
        BOOST_TEST_CONTEXT(trace.m_name) {
            for (const std::string& fault : trace.m_report.m_faults) {
                BOOST_TEST_MESSAGE(fault);
            }
            for (const std::string& outcome : trace.m_report.m_outcomes) {
                BOOST_TEST(outcome.starts_with("kept"), outcome);
            }
            BOOST_TEST(trace.m_report.m_inputs > 100U);
            BOOST_TEST(!trace.m_report.m_outcomes.empty());
            BOOST_TEST(trace.m_report.m_differing_actions == 0U);
            BOOST_TEST(trace.m_report.m_breaches == 0U);
        }
    }
    std::uintmax_t bytes = 0;
    for (const auto& file : std::filesystem::directory_iterator(folder)) {
        bytes += file.file_size();
    }
    BOOST_TEST(bytes < 1'000'000U); // upper bound of the traces' size in the repository
    std::ifstream in(folder + "/SIGNATURE");
    std::string committed;
    in >> committed;
    BOOST_TEST(fmt::format("{:016x}", result->m_signature) == committed);
}

// Guards against a replay that returns the recorded actions instead of running the decision code.
BOOST_AUTO_TEST_CASE(changed_inputs_and_actions_are_detected) {
    const std::string trace = load_trace("bad_move");
    const replay_report original_report = replay_or_fail(trace, "[]");
    BOOST_TEST(original_report.m_differing_actions == 0U);
    const replay_report action = replay_or_fail(replace_first(trace, "write {", "wrote {"), "[]");
    BOOST_TEST(action.m_differing_actions == 1U);
    BOOST_TEST(action.m_signature == original_report.m_signature);
    for (const auto& [from, to] : {std::pair("\"failed\":true", "\"failed\":false"),
                                   std::pair("\"wanted\":true", "\"wanted\":false"),
                                   std::pair("\"valid\":true", "\"valid\":0"),
                                   std::pair("\"suspended\":true", "\"suspended\":false")}) {
        BOOST_TEST_CONTEXT(from) {
            const replay_report input = replay_or_fail(replace_first(trace, from, to), "[]");
            BOOST_TEST(input.m_differing_actions > 0U);
            BOOST_TEST(input.m_signature != original_report.m_signature);
        }
    }
}

// Guards against checks of outcomes that pass whatever the trace contains.
BOOST_AUTO_TEST_CASE(outcomes_that_do_not_hold_are_breaches) {
    const std::string trace = load_trace("bad_move");
    for (const std::string outcome :
         {R"({"check": "move_ends", "state": "done"})",
          R"({"check": "at_least", "of": "calls", "count": 23})",
          R"({"check": "suspended_within", "failed_calls": 1, "ms": 100})",
          R"({"check": "at_least", "of": "restarts", "count": 1})"}) {
        BOOST_TEST(replay_or_fail(trace, "[" + outcome + "]").m_breaches == 1U, outcome);
    }
    // Each process runs twice and starts the second time from an older version.
    BOOST_TEST(replay_or_fail(trace + trace, R"([{"check": "version_never_falls"}])").m_breaches ==
               1U);
    const std::string paused = load_trace("holder_paused");
    const std::string_view period = R"("period_ms":5000)";
    // With a lease period longer than the holder's pause, two nodes hold the lease at once.
    BOOST_TEST(count_breaches(paused, period, R"("period_ms":15000)", "one_holder") == 1U);
    BOOST_TEST(count_breaches(paused, period, R"("period_ms":1)", "steps_under_lease") == 1U);
    BOOST_TEST(replay_or_fail(load_trace("cold_start"),
                              R"([{"check": "cold_start_share", "hold_ms": 9000}])")
                   .m_breaches == 1U);
    BOOST_TEST(count_breaches(trace, R"("slots":12)", R"("slots":0)", "running_within_slots") ==
               1U);
    error reason;
    BOOST_TEST(!replay_trace(trace, R"([{"check": "unheard_of"}])", reason));
    BOOST_TEST(!replay_trace(trace, R"([{"check": "one_holder", "limit": 3}])", reason));
}

// Guards against a recording that passes as complete although lines were dropped from it.
BOOST_AUTO_TEST_CASE(dropped_lines_are_a_breach) {
    const std::string loss_line =
        R"({"time":1,"event":"decisions_dropped","instance":"new-0","count":3})";
    BOOST_TEST(replay_or_fail(loss_line + "\n", "[]").m_breaches == 1U);
    BOOST_TEST(replay_or_fail("{\"event\":\"decision\"", "[]").m_breaches == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
