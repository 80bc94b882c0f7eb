// Tests of log lines, recorded inputs, spans and metrics.
#include <algorithm>
#include <array>
#include <string>

#include <boost/json.hpp>

#include "observe/log.hpp"
#include "observe/metrics.hpp"
#include "observe/recorder.hpp"
#include "observe/span.hpp"
#include "observe/text_progress.hpp"
#include "tests/support.hpp"

using namespace caraway;

BOOST_AUTO_TEST_SUITE(observe)

// Guards against a malformed line or a forged second line when a logged value, such as a caller's
// header, contains quotes, line breaks or invalid UTF-8.
BOOST_AUTO_TEST_CASE(log_lines_stay_valid_json_with_hostile_values) {
    const std::string hostile = "a\"\n{\"event\":\"forged\"}\xff\x01";
    const std::string line = capture_stdout([&hostile] {
        log_event(log_level::error, "probe",
                  {{"value", hostile}, {"count", 3}, {"sent", true}, {"share", 0.5}});
    });
    BOOST_REQUIRE(line.find('\n') == line.size() - 1);
    const boost::json::value parsed = boost::json::parse(line);
    BOOST_TEST(parsed.at("event").as_string() == "probe");
    BOOST_TEST(parsed.at("count").as_int64() == 3);
    BOOST_TEST(parsed.at("sent").as_bool());
}

// Guards against a recorder whose queue grows without bound when it isn't flushed, or that doesn't
// report dropped inputs.
BOOST_AUTO_TEST_CASE(recorded_inputs_are_bounded_and_gaps_are_logged) {
    BOOST_TEST(!is_recording());
    set_log_identity("test", "north", log_level::info); // a gap is logged as a warning
    const std::string text = capture_stdout([] {
        start_recording(2);
        for (int i = 0; i < 5; ++i) {
            record_input("lease", "tick", time_point(milliseconds(i)), {{"wanted", true}}, "none");
        }
        flush_recording();
        start_recording(0);
    });
    BOOST_TEST(!is_recording());
    BOOST_TEST(std::count(text.begin(), text.end(), '\n') == 3);
    BOOST_TEST(text.find("\"now_ns\":1000000,\"wanted\":true,\"action\":\"none\"") !=
               std::string::npos);
    BOOST_TEST(text.find("\"event\":\"decisions_dropped\"") != std::string::npos);
    BOOST_TEST(text.find("\"count\":3") != std::string::npos);
}

// Guards against a line that exceeds the size of an atomic write to a pipe.
BOOST_AUTO_TEST_CASE(long_values_are_truncated) {
    const std::string long_value(20'000, 'x');
    const std::string line = capture_stdout([&long_value] {
        log_event(log_level::error, "probe", {{"value", long_value}});
    });
    BOOST_TEST(line.size() < 4'096U);
    BOOST_TEST(boost::json::parse(line).at("value").as_string().size() == 1'000U);
}

// Guards against a trace that is interrupted at a hop.
BOOST_AUTO_TEST_CASE(trace_context_round_trips) {
    random_source random(1);
    const trace_context first_hop = continue_trace("", random);
    const trace_context second_hop = continue_trace(format_traceparent(first_hop), random);
    BOOST_TEST(second_hop.m_trace_high == first_hop.m_trace_high);
    BOOST_TEST(second_hop.m_trace_low == first_hop.m_trace_low);
    BOOST_TEST(second_hop.m_parent == first_hop.m_span);
    BOOST_TEST(second_hop.m_span != first_hop.m_span);
}

// Guards against continuing a trace whose identifiers the standard doesn't allow.
BOOST_AUTO_TEST_CASE(malformed_trace_context_begins_a_new_trace) {
    random_source random(1);
    for (const char* header :
         {"00-00000000000000000000000000000000-0123456789abcdef-01",
          "00-0123456789abcdef0123456789abcdef-0000000000000000-01",
          "00-0123456789ABCDEF0123456789abcdef-0123456789abcdef-01", "00-01", "x"}) {
        const trace_context context = continue_trace(header, random);
        BOOST_TEST(context.m_parent == 0U);
        BOOST_TEST(context.m_trace_low != 0U);
    }
}

BOOST_AUTO_TEST_CASE(metrics_render_with_labels) {
    const auto metrics = node_metrics::create("n1", "north");
    for (int i = 0; i < 2; ++i) {
        metrics->count_call("entry", "pour", outcome::not_run, error_kind::queue_full,
                            milliseconds(2));
    }
    metrics->set_config_version(7);
    const std::string text = metrics->render();
    BOOST_TEST(text.find("reason=\"queue-full\"") != std::string::npos);
    BOOST_TEST(text.find("instance=\"n1\"") != std::string::npos);
    BOOST_TEST(text.find("} 2\n") != std::string::npos);
    BOOST_TEST(text.find("caraway_call_seconds_bucket") != std::string::npos);
}

// Guards against a log buffer that grows without bound, or doesn't report dropped lines, while
// nothing reads standard output.
BOOST_AUTO_TEST_CASE(full_log_buffer_drops_lines_and_logs_their_number) {
    log_buffer buffer;
    const std::string line(1'000, 'x');
    for (int i = 0; i < 2'000; ++i) {
        append_to_log_buffer(buffer, line + "\n");
    }
    BOOST_TEST(buffer.m_pending.size() <= std::size_t{1} << 20U);
    BOOST_TEST(buffer.m_dropped_lines > 900U);
    BOOST_TEST(next_log_chunk(buffer).size() == 4 * (line.size() + 1));
    buffer.m_pending.clear();
    const std::string dropped_lines = std::to_string(buffer.m_dropped_lines);
    append_to_log_buffer(buffer, "next\n");
    BOOST_TEST(contains(buffer.m_pending, "log_lines_dropped"));
    BOOST_TEST(contains(buffer.m_pending, "\"lines\":" + dropped_lines));
    BOOST_TEST(buffer.m_pending.ends_with("next\n"));
}

// Guards against a version whose delay is counted from the last news instead of the first, or whose
// phases are those of another version.
BOOST_AUTO_TEST_CASE(phases_of_a_text_add_up) {
    const time_point start{};
    const auto after = [start](int ms) { return start + milliseconds(ms); };
    text_progress progress;
    note_newer_version(progress, start);
    note_newer_version(progress, after(100));
    note_text_requested(progress, after(110));
    note_text_received(progress, 7, text_source_kind::member, after(150));
    note_text_parsed(progress, 7, after(250));
    note_text_received(progress, 9, text_source_kind::store, after(260));
    const text_phases first = finish_text(progress, 7, false, after(300));
    BOOST_TEST((first.m_behind == milliseconds(300)));
    BOOST_TEST((first.m_fetch == milliseconds(40)));
    BOOST_TEST((first.m_parse == milliseconds(100)));
    BOOST_TEST((first.m_wait == milliseconds(50)));
    BOOST_TEST((first.m_source == text_source_kind::member));
    note_text_parsed(progress, 9, after(360));
    const text_phases second = finish_text(progress, 9, true, after(400));
    BOOST_TEST((second.m_behind == milliseconds(400)));
    BOOST_TEST((second.m_source == text_source_kind::store));
    BOOST_TEST(!progress.m_behind_since);
    BOOST_TEST(progress.m_texts.empty());
}

BOOST_AUTO_TEST_SUITE_END()
