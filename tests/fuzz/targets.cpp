#include "tests/fuzz/targets.hpp"

#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <optional>
#include <type_traits>

#include <unistd.h>

#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include "base/hash.hpp"
#include "config/mesh.hpp"
#include "config/settings.hpp"
#include "ctl/audit.hpp"
#include "ctl/records.hpp"
#include "decide/configuration/acceptance.hpp"
#include "decide/traffic/server_speed.hpp"
#include "decide/versions/version_move.hpp"
#include "http/message.hpp"
#include "observe/span.hpp"
#include "peer/wire.hpp"
#include "store/store_json.hpp"

namespace caraway {
namespace {

// Tags and lengths of protobuf fields, extreme varints and the magic number of a zstd frame.
constexpr std::array<std::string_view, 12> wire_dictionary{
    "\x0a\x02",
    "\x12\x7f",
    "\x22\x04",
    "\x2a\xff\xff\x03",
    "\x08\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01",
    "\x18\x80\x80\x80\x80\x10",
    "\x10\xff\xff\x07",
    "\x42\x02\x0a",
    "\x4a\x02\x0a",
    "\x52\x02\x0a",
    "\x28\xb5\x2f\xfd",
    "\xc3\x28",
};

constexpr std::array<std::string_view, 48> text_dictionary{
    "[",
    "]",
    "[[",
    "{",
    "}",
    "=",
    ".",
    "\"",
    "\"\"\"",
    "'",
    "\\",
    "#",
    "\n",
    "\r",
    "\t",
    "0x",
    "1e9",
    "-",
    "+inf",
    "nan",
    "1979-05-27",
    "9999-12-31T23:59:59Z",
    "T07:32:00Z",
    "07:32:00.999999999999",
    "+25:61",
    "\\u0000",
    "\\uD800",
    "true",
    "\xef\xbb\xbf",
    "\xff",
    "99999999999999999999",
    "9223372036854775807",
    "[service.a]\n",
    "[[route]]\n",
    "move = { to = \"2\" }\n",
    "depends_on = [[[[[",
    "]]",
    ",",
    "'''",
    "\r\n",
    " ",
    "\\U0010FFFF",
    "_",
    "\xc3",
    "\xf4\x8f\xbf\xbf",
    "= ",
    "a.b.c",
    "\"\"",
};

constexpr std::array<std::string_view, 24> json_dictionary{
    "{",
    "}",
    "[[[[[[[[",
    "]",
    ":",
    ",",
    "\"",
    "\\",
    "\\u0000",
    "\\ud800",
    "null",
    "true",
    "-1",
    "-9223372036854775808",
    "9223372036854775807",
    "18446744073709551615",
    "1e400",
    "1.5",
    "\n",
    "\xff",
    "\"version\":",
    "\"move_id\":\"m\"",
    "\"event\":\"call_ended\"",
    "\"time\":-9223372036854775808",
};

constexpr std::array<std::string_view, 21> http_dictionary{
    "\r\n",
    "\r\n\r\n",
    ": ",
    "Connection: close, x\r\n",
    "Connection: ,;=\"\r\n",
    "Content-Length: 18446744073709551615\r\n",
    "Transfer-Encoding: chunked\r\n",
    "ffffffffffffffff\r\n",
    "x-caraway-outcome: not-run\r\n",
    "x-caraway-reason: internal\r\n",
    "x-caraway-load: 4294967296\r\n",
    "x-caraway-config-version: -1\r\n",
    "x-caraway-speed: 820 13 2450 91500 130007\r\n",
    "traceparent: ",
    "00-00000000000000000000000000000000-0000000000000000-00",
    "ff-",
    "http://",
    "://",
    "?",
    ",",
    "\xff",
};

// Checks the ranges of a decoded move record that decisions and multiplications rely on.
std::string check_record(const move_record& record) {
    if (record.m_weight_permille > 1000 || record.m_stage >= stage_weights_permille.size()) {
        return "a move record has a weight or stage out of range";
    }
    if (record.m_started_ms < 0 || record.m_raised_ms < 0 || record.m_deadline_ms < 0) {
        return "a move record has a time before the epoch";
    }
    return {};
}

std::string check_records(const std::vector<move_record>& records) {
    for (const move_record& record : records) {
        std::string fault = check_record(record);
        if (!fault.empty()) {
            return fault;
        }
    }
    return {};
}

std::string check_packet(std::string_view bytes) {
    error reason;
    const auto decoded = decode_packet(bytes, reason);
    if (!decoded) {
        return reason.m_kind == error_kind::none ? "the input was rejected without a reason" : "";
    }
    const std::string reencoded = encode_packet(*decoded);
    if (!decode_packet(reencoded, reason)) {
        return "a decoded packet can't be encoded and decoded again";
    }
    return check_records(decoded->m_records);
}

// Returns the base text of the deltas in the seed corpus.
const std::string& base_text() {
    static const std::string text = [] {
        std::string out = "format = 1\n";
        for (int i = 0; i < 200; ++i) {
            out += fmt::format("[service.name-{}]\nversion = \"1\"\n", i);
        }
        return out;
    }();
    return text;
}

std::string check_unpacked(const packed_text& packed) {
    error reason;
    const auto text = unpack_text(packed, base_text(), reason);
    if (text && (text->size() > max_text_bytes || hash_bytes(*text) != packed.m_hash)) {
        return "an unpacked text exceeds the size limit or has the wrong hash";
    }
    return {};
}

std::string check_body(const facts_message& body) {
    return check_records(body.m_records);
}

std::string check_body(const join_reply& body) {
    const std::string fault = check_records(body.m_records);
    return fault.empty() && body.m_config ? check_unpacked(*body.m_config) : fault;
}

std::string check_body(const fetch_config_reply& body) {
    return body.m_config ? check_unpacked(*body.m_config) : "";
}

// All other messages have no fields that need a check.
template <typename Body>
std::string check_body(const Body& /*body*/) {
    return {};
}

std::string check_request(std::string_view bytes) {
    error reason;
    const auto decoded = decode_request(bytes, reason);
    if (!decoded) {
        return reason.m_kind == error_kind::none ? "the input was rejected without a reason" : "";
    }
    if (!decode_request(encode_request(*decoded), reason)) {
        return "a decoded request can't be encoded and decoded again";
    }
    return std::visit([](const auto& body) { return check_body(body); }, *decoded);
}

std::string check_reply(std::string_view bytes) {
    error reason;
    const auto decoded = decode_reply(bytes, reason);
    if (!decoded) {
        return reason.m_kind == error_kind::none ? "the input was rejected without a reason" : "";
    }
    if (!decode_reply(encode_reply(*decoded), reason)) {
        return "a decoded reply can't be encoded and decoded again";
    }
    return std::visit([](const auto& body) { return check_body(body); }, *decoded);
}

// Checks that parsing is consistent. previous is the mesh that the text would replace, or null.
std::string check_mesh(std::string_view text, const mesh* previous) {
    std::vector<text_fault> faults;
    const wall_time now{std::chrono::seconds(1'800'000'000)};
    const auto parsed = parse_mesh(text, now, previous, faults);
    if (parsed.has_value() != faults.empty() || faults.size() > max_text_faults) {
        return "parse_mesh returned a mesh and faults, neither, or too many faults";
    }
    if (!parsed) {
        return {};
    }
    for (const route_spec& route : parsed->m_routes) {
        if (match_route(*parsed, route.m_path) != &route ||
            !parsed->m_services.contains(route.m_service)) {
            return "a route doesn't match its own path or names an unknown service";
        }
    }
    // Nodes parse an accepted text again at any later time and must get the same mesh.
    if (parse_mesh(text, wall_time{}, previous, faults) != parsed) {
        return "an accepted text parses differently at another time";
    }
    return diff_mesh(*parsed, *parsed).empty() ? "" : "a mesh differs from itself";
}

std::string check_text(std::string_view text) {
    // The first accepted text serves as the previous one.
    static std::optional<mesh> s_previous;
    if (!s_previous) {
        std::vector<text_fault> faults;
        s_previous = parse_mesh(text, wall_time{}, nullptr, faults);
    }
    std::string fault = check_mesh(text, nullptr);
    return fault.empty() && s_previous ? check_mesh(text, &*s_previous) : fault;
}

std::string check_settings(std::string_view text) {
    std::vector<text_fault> faults;
    const auto parsed = parse_settings(text, faults);
    return parsed.has_value() == faults.empty()
               ? ""
               : "parse_settings returned settings and faults, or neither";
}

std::string check_store_value(std::string_view value) {
    error reason;
    if (const auto record = decode_accepted(value, reason)) {
        if (record->m_accepted_ms < 0 ||
            decode_accepted(encode_accepted(*record), reason) != record) {
            return "an accepted record changes when encoded and decoded again";
        }
    }
    if (const auto record = decode_move(value, 7)) {
        std::string fault = check_record(*record);
        if (!fault.empty()) {
            return fault;
        }
        if (decode_move(encode_move(*record), 7) != record) {
            return "a move record changes when encoded and decoded again";
        }
    }
    if (const auto endpoint = parse_endpoint(value)) {
        if (parse_endpoint(format_endpoint(*endpoint)) != endpoint) {
            return "an address changes when formatted and parsed again";
        }
    }
    // carawayctl parses and prints any value of the store, so no input may crash these functions.
    if (const auto stored = parse_accepted(value)) {
        describe(*stored);
    }
    if (const auto stored = parse_move(value)) {
        describe(*stored);
    }
    if (const auto stored = parse_config_verdict(value)) {
        describe(*stored);
    }
    parse_refused(value);
    return {};
}

std::string check_store_json(std::string_view body) {
    if (const auto lease = decode_lease(body)) {
        return lease->empty() ? "a lease has no identifier" : "";
    }
    decode_entries(body);
    return {};
}

template <bool is_request>
std::string check_http_message(std::string_view bytes) {
    http::parser<is_request, http::string_body> parser;
    parser.header_limit(20U << 10U);
    parser.body_limit(1U << 20U);
    parser.eager(true);
    boost::system::error_code failed;
    parser.put(boost::asio::buffer(bytes.data(), bytes.size()), failed);
    if (!parser.is_header_done()) {
        return {};
    }
    auto message = parser.get();
    for (const std::string_view name : {header::outcome, header::reason, header::load,
                                        header::config_version, header::deadline_ms}) {
        const auto number = numeric_header_value(message, name);
        set_numeric_header(message, header::exchange, number.value_or(1));
        if (numeric_header_value(message, header::exchange) != number.value_or(1)) {
            return "a numeric header changes when written and read again";
        }
    }
    if (const auto kind = error_kind_from_name(header_value(message, header::reason))) {
        if (error_info_for(*kind).m_name != header_value(message, header::reason)) {
            return "a reason header is decoded as another reason";
        }
    }
    outcome_from_name(header_value(message, header::outcome));
    if (const auto report = parse_speed_report(header_value(message, header::speed))) {
        if (parse_speed_report(format_speed_report(*report)) != report) {
            return "a speed report changes when written and read again";
        }
    }
    if constexpr (is_request) {
        const std::string target(message.target());
        if (path_of(target).find('?') != std::string_view::npos) {
            return "path_of returned a path with a query";
        }
    }
    std::vector<std::string> listed_headers;
    for (auto [field, end] = message.equal_range(http::field::connection); field != end; ++field) {
        for (const auto& token : http::token_list(field->value())) {
            listed_headers.emplace_back(token.data(), token.size());
        }
    }
    strip_hop_by_hop_headers(message);
    for (const std::string& name : listed_headers) {
        if (message.find(name) != message.end()) {
            return "a header listed in Connection was not stripped";
        }
    }
    strip_internal_headers(message, {});
    return message.find(std::string(header::exchange)) == message.end()
               ? ""
               : "an internal header was not stripped";
}

std::string check_http(std::string_view bytes) {
    random_source random(1);
    const trace_context trace = continue_trace(bytes, random);
    const trace_context next = continue_trace(format_traceparent(trace), random);
    if (next.m_trace_high != trace.m_trace_high || next.m_trace_low != trace.m_trace_low ||
        next.m_parent != trace.m_span || next.m_sampled != trace.m_sampled) {
        return "a trace context changes at the next hop";
    }
    return bytes.starts_with("HTTP/") ? check_http_message<false>(bytes)
                                      : check_http_message<true>(bytes);
}

// The audit reads files, so the input is written to a file. The file is passed twice, because the
// audit merges the lines of several processes.
std::string check_audit(std::string_view lines) {
    static const std::string path =
        (std::filesystem::temp_directory_path() / fmt::format("caraway-fuzz-{}.log", getpid()))
            .string();
    {
        std::ofstream file(path, std::ios::binary);
        file.write(lines.data(), static_cast<std::streamsize>(lines.size()));
    }
    const audit_report report = audit_logs({path, path});
    std::filesystem::remove(path);
    if (!report.m_unreadable_files.empty() || report.m_unreadable_lines > report.m_lines ||
        report.m_breaches.size() > max_audit_breaches) {
        return "an audit report is inconsistent";
    }
    return {};
}

// Parts of start lines, of framing and of framing that is invalid.
constexpr std::array<std::string_view, 28> answer_dictionary{
    "\r\n",
    "\r\n\r\n",
    "\r",
    "\n",
    "0\r\n",
    "0\r\n\r\n",
    "1\r\nx\r\n",
    "ffffffffffffffff\r\n",
    ";a=b",
    ";a=\"",
    "HTTP/1.1 ",
    "HTTP/1.0 ",
    "HTTP/1.1 000 Odd\r\n",
    "HTTP/1.1 600 Odd\r\n",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 204 None\r\n",
    "HTTP/1.1 304 Same\r\n",
    "HEAD ",
    "Content-Length: 5\r\n",
    "Content-Length: 0\r\n",
    "Content-Length: -1\r\n",
    "Content-Length: 18446744073709551615\r\n",
    "Transfer-Encoding: chunked\r\n",
    "Transfer-Encoding: gzip\r\n",
    "Connection: close\r\n",
    "x-more: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n",
    "\r\n ",
    "\xff",
};

constexpr std::array<fuzz_target, 10> targets{{
    {"packet", wire_dictionary, 20, &check_packet},
    {"request", wire_dictionary, 20, &check_request},
    {"reply", wire_dictionary, 20, &check_reply},
    {"text", text_dictionary, 1, &check_text},
    {"settings", text_dictionary, 1, &check_settings},
    {"store_value", json_dictionary, 20, &check_store_value},
    {"store_json", json_dictionary, 20, &check_store_json},
    {"http", http_dictionary, 20, &check_http},
    {"audit", json_dictionary, 1, &check_audit},
    {"answer", answer_dictionary, 1, &check_answer},
}};

} // namespace

std::span<const fuzz_target> fuzz_targets() {
    return targets;
}

} // namespace caraway
