// Tests of the adapter to the platform: every translation, with valid and malformed input.
#include "node/adapter.hpp"
#include "platform/operator_items.hpp"
#include "platform/platform_adapter.hpp"
#include "platform/reports.hpp"
#include "platform/store.hpp"
#include "tests/support.hpp"

using namespace caraway;

namespace {

constexpr std::string_view config_text =
    R"({"version":"0000000c","base_version":"0000000b","extra":1,"routes":[)"
    R"({"name":"a","host":"h.example","path_prefix":"/a/","kind":"non_idempotent",)"
    R"("timeout_ms":2500,"target_latency_ms":800,"priority":1,"service":"s1","attempts":2},)"
    R"({"name":"b","host":"h.example","path_prefix":"/a/b/","kind":"idempotent","timeout_ms":900,)"
    R"("target_latency_ms":300,"priority":4,"attempts":3,)"
    R"("traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}]}],)"
    R"("services":[{"name":"s1","max_connections":110,"warmup_per_s":14.0},)"
    R"({"name":"s2","max_connections":60}]})";

store_entry make_entry(std::string key, std::string value, std::uint64_t revision = 5) {
    return {std::move(key), revision, std::move(value), false};
}

std::string with_replacement(std::string_view text, std::string_view from, std::string_view to) {
    std::string out(text);
    const std::size_t at = out.find(from);
    BOOST_REQUIRE_MESSAGE(at != std::string::npos, from);
    return out.replace(at, from.size(), to);
}

constexpr std::string_view report_text =
    R"({"address":"10.1.0.2:80","born":1700000000000,)"
    R"("info":{"service":"s1","version":"v1","zone":"z1","slots":12},)"
    R"("status":{"state":"ready","call_seq":4,"warmup_left_ms":1500}})";

store_reply decode(store_operation operation, unsigned status, std::string_view body) {
    store_command command;
    command.m_operation = operation;
    command.m_key = "a/b";
    return platform::make_store_codec().m_decode(command, {status, {}, body});
}

} // namespace

BOOST_AUTO_TEST_SUITE(platform_adapter)

// Guards against a wrong translation of routes, services or orders of the operators' configuration.
BOOST_AUTO_TEST_CASE(operator_items_become_one_mesh) {
    error reason;
    const std::vector<store_entry> items{
        make_entry("op/config", std::string(config_text)), make_entry("op/evacuate/z2", "{}"),
        make_entry("op/rollout/s1", R"({"service":"s1","target_version":"v2","duration_s":12})", 9),
        make_entry("op/unknown", "what")};
    const auto read = platform::parse_operator_items(items, reason);
    BOOST_REQUIRE_MESSAGE(read, reason.m_text);
    const route_spec* plain_route = match_route(*read, "h.example", "/a/x");
    BOOST_REQUIRE(plain_route);
    BOOST_TEST(plain_route->m_service == "s1");
    BOOST_TEST(!plain_route->m_idempotent);
    BOOST_TEST((plain_route->m_urgency == urgency::normal));
    BOOST_TEST((plain_route->m_target_latency == milliseconds(800)));
    const route_spec* split_route = match_route(*read, "h.example", "/a/b/c?q=1");
    BOOST_REQUIRE(split_route);
    BOOST_TEST(split_route->m_split.size() == 2U);
    BOOST_TEST(split_route->m_split[0].m_weight == 90U);
    BOOST_TEST(split_route->m_attempts == 3U);
    BOOST_TEST((split_route->m_urgency == urgency::background));
    BOOST_TEST(!match_route(*read, "other.example", "/a/x"));
    BOOST_TEST(!match_route(*read, "h.example", "/ab/x"));
    BOOST_TEST(read->m_services.at("s1").m_warmup_calls_per_second == 14.0);
    const auto& move = read->m_services.at("s1").m_move;
    BOOST_REQUIRE(move);
    BOOST_TEST(move->m_to == "v2");
    BOOST_TEST(move->m_order_revision == 9U);
    BOOST_TEST((move->m_duration == milliseconds(12'000)));
    BOOST_TEST(read->m_data_centres.at("z2").m_out_of_service);
    BOOST_TEST(!read->m_lists_data_centres);
}

// Guards against partially applying a configuration that contains a malformed field.
BOOST_AUTO_TEST_CASE(an_unreadable_configuration_is_rejected_as_a_whole) {
    const std::vector<std::pair<std::string_view, std::string_view>> faults{
        {R"("timeout_ms":2500)", R"("timeout_ms":"2500")"},
        {R"("kind":"idempotent")", R"("kind":7)"},
        {R"("host":"h.example")", R"("host":7)"},
        {R"("weight":90)", R"("weight":-1)"},
        {R"("max_connections":60)", R"("connections":60)"},
        {R"("services":[)", R"("services":[1,)"}};
    for (const auto& [from, to] : faults) {
        error reason;
        const std::vector<store_entry> items{
            make_entry("op/config", with_replacement(config_text, from, to))};
        BOOST_TEST(!platform::parse_operator_items(items, reason), to);
        BOOST_TEST((reason.m_kind == error_kind::invalid_text), to);
    }
    error reason;
    BOOST_TEST(!platform::parse_operator_items({}, reason));
}

// Guards against one order that can't be used and keeps the configuration and all other orders from
// being applied, such as the order of a retired service, and against applying a part of such an
// order.
BOOST_AUTO_TEST_CASE(an_order_that_cannot_be_used_is_left_out_as_a_whole) {
    const std::vector<std::pair<std::string, std::string>> unusable{
        {"s9", R"({"service":"s9","target_version":"v2","duration_s":12})"},
        {"s2", R"({"service":"s2","target_version":"v2"})"},
        {"s2", R"({"service":"s2","duration_s":12})"},
        {"s2", R"({"service":"s2","target_version":7,"duration_s":12})"},
        {"s2", R"({"service":"s2","target_version":"v2","duration_s":-1})"},
        {"s2", R"({"service":"s2","target_version":"v2","duration_s":1e300})"},
        {"s2", R"({"service":"s1","target_version":"v3","duration_s":12})"},
        {"s2", R"({"service":"s2","target_ver)"},
        {"s2", ""},
        {"", R"({"service":"s2","target_version":"v2","duration_s":12})"}};
    for (const auto& [name, value] : unusable) {
        const std::vector<store_entry> items{
            make_entry("op/config", std::string(config_text)), make_entry("op/evacuate/z2", "{}"),
            make_entry("op/rollout/" + name, value),
            make_entry("op/rollout/s1",
                       R"({"service":"s1","target_version":"v2","duration_s":12})")};
        error reason;
        const auto read = platform::parse_operator_items(items, reason);
        BOOST_REQUIRE_MESSAGE(read, value);
        BOOST_TEST(!read->m_services.at("s2").m_move, value);
        BOOST_TEST(read->m_services.at("s1").m_move->m_to == "v2", value);
        BOOST_TEST(read->m_data_centres.at("z2").m_out_of_service, value);
        BOOST_REQUIRE_MESSAGE(read->m_unusable_items.size() == 1U, value);
        BOOST_TEST(contains(read->m_unusable_items[0], "op/rollout/" + name), value);
    }
}

// Guards against limits of the operators that are not read, and against a configuration that is
// rejected because it states none or only some.
BOOST_AUTO_TEST_CASE(limits_of_callers_are_read) {
    const auto parse_limits = [](std::string_view limits) {
        error reason;
        const std::string text = with_replacement(config_text, R"("extra":1)", limits);
        const auto read = platform::parse_operator_items(
            std::vector<store_entry>{make_entry("op/config", text)}, reason);
        return read ? std::make_optional(read->m_limits) : std::nullopt;
    };
    const client_limits expected{16'384, 67'108'864, milliseconds(3'000), milliseconds(15'000)};
    BOOST_TEST((parse_limits(R"("limits":{"max_header_bytes":16384,"max_body_bytes":67108864,)"
                             R"("header_timeout_ms":3000,"idle_timeout_ms":15000})") == expected));
    BOOST_TEST((parse_limits(R"("extra":2)") == client_limits{}));
    BOOST_TEST((parse_limits(R"("limits":{"max_body_bytes":5000})") ==
                client_limits{0, 5'000, milliseconds(0), milliseconds(0)}));
    BOOST_TEST(!parse_limits(R"("limits":{"max_body_bytes":"5000"})").has_value());
    BOOST_TEST(!parse_limits(R"("limits":7)").has_value());
}

namespace {

// Parses the configuration with another kind of the route "b".
std::optional<mesh> parse_with_kind(std::string_view kind) {
    error reason;
    const std::vector<store_entry> items{
        make_entry("op/config", with_replacement(config_text, R"("kind":"idempotent")", kind))};
    return platform::parse_operator_items(items, reason);
}

} // namespace

// Guards against a mesh without any configuration because one route has a kind that this program
// doesn't know, and against repeating calls of such a route.
BOOST_AUTO_TEST_CASE(a_route_of_an_unknown_kind_runs_calls_at_most_once) {
    const auto read = parse_with_kind(R"("kind":"sometimes")");
    BOOST_REQUIRE(read);
    const route_spec* route = match_route(*read, "h.example", "/a/b/c");
    BOOST_REQUIRE(route);
    BOOST_TEST(!route->m_idempotent);
    BOOST_TEST(route->m_split.size() == 2U);
    BOOST_TEST(read->m_unknown_values.size() == 1U);
    BOOST_TEST(match_route(*read, "h.example", "/a/x"));
}

// Guards against rejecting downloads: a deployment with such a route had no configuration at all.
BOOST_AUTO_TEST_CASE(downloads_are_idempotent_with_large_answers) {
    const auto read = parse_with_kind(R"("kind":"download")");
    BOOST_REQUIRE(read);
    const route_spec* route = match_route(*read, "h.example", "/a/b/c");
    BOOST_REQUIRE(route);
    BOOST_TEST(route->m_idempotent);
    BOOST_TEST(route->m_large_answers);
    BOOST_TEST(read->m_unknown_values.empty());
    BOOST_TEST(!match_route(*read, "h.example", "/a/x")->m_large_answers);
}

// Guards against a move record that the next lease holder can't decode, and against a state that
// operators don't know.
BOOST_AUTO_TEST_CASE(move_status_keeps_the_record) {
    move_record record;
    record.m_move_id = "m1";
    record.m_service = "s1";
    record.m_to = "v2";
    record.m_state = move_state::taken_back;
    record.m_started_ms = 1;
    record.m_raised_ms = 2;
    record.m_deadline_ms = 3;
    const std::string text = platform::encode_move_status(record);
    BOOST_TEST(contains(text, R"("state":"rolled_back")"));
    BOOST_TEST(contains(text, R"("target_version":"v2")"));
    const auto read = platform::decode_move_status(text, 7);
    BOOST_REQUIRE(read);
    record.m_revision = 7;
    BOOST_TEST((*read == record));
    BOOST_TEST(!platform::decode_move_status(R"({"state":"done"})", 7));
    BOOST_TEST(!platform::decode_move_status("nothing", 7));
}

// Guards against accepting an incomplete or malformed report, such as one that another program
// wrote. It would add a server that can't be used.
BOOST_AUTO_TEST_CASE(reports_are_read_completely_or_rejected) {
    error reason;
    const auto read = platform::decode_report("i-1", report_text, reason);
    BOOST_REQUIRE_MESSAGE(read, reason.m_text);
    BOOST_TEST(read->m_server == "i-1");
    BOOST_TEST(format_endpoint(read->m_address) == "10.1.0.2:80");
    BOOST_TEST(read->m_slots == 12U);
    BOOST_TEST(read->m_sequence == 4U);
    BOOST_TEST(read->m_started_ms == 1'700'000'000'000);
    BOOST_TEST((read->m_warmup_left == milliseconds(1'500)));
    const std::vector<std::pair<std::string_view, std::string>> faults{
        {R"("state":"ready")", R"("state":"resting")"},
        {R"("call_seq":4)", R"("call_seq":"4")"},
        {R"("slots":12)", R"("slots":0)"},
        {R"("slots":12)", R"("slots":1e9)"},
        {R"("service":"s1",)", ""},
        {R"("born":1700000000000)", R"("born":1.5)"},
        {R"("address":"10.1.0.2:80")", R"("address":"somewhere")"},
        {R"("address":"10.1.0.2:80")", R"("address":"10.1.0.2:65536")"},
        {R"("born":1700000000000)", R"("born":9223372036854775807)"},
        {R"("born":1700000000000)", R"("born":18446744073709551615)"},
        {R"("born":1700000000000)", R"("born":1e400)"},
        {R"("call_seq":4)", R"("call_seq":18446744073709551615)"},
        {R"("call_seq":4)", R"("call_seq":99999999999999999999)"},
        {R"("warmup_left_ms":1500)", R"("warmup_left_ms":9999999999999)"},
        {R"("state":"ready")", R"("state":)" + std::string(100'000, '[')},
        {"}}", "}"}};
    for (const auto& [from, to] : faults) {
        const std::string shown = to.substr(0, 100);
        BOOST_TEST(!platform::decode_report("i-1", with_replacement(report_text, from, to), reason),
                   shown);
        BOOST_TEST((reason.m_kind == error_kind::bad_request), shown);
    }
    BOOST_TEST(!platform::decode_report("", report_text, reason));
    BOOST_TEST(!platform::decode_leave("", "", reason));
    BOOST_TEST(platform::decode_leave("i-1", "", reason).has_value());
    BOOST_TEST(*platform::decode_leave("i-1", R"({"born":8})", reason)->m_started_ms == 8);
    BOOST_TEST(!platform::decode_leave("i-1", R"({"born":"8"})", reason));
    BOOST_TEST(!platform::decode_leave("i-1", R"({"born":9223372036854775807})", reason));
}

// Guards against confusing store errors: a lost lease, an absent key, a rejected operation that had
// no effect and a write whose outcome is unknown.
BOOST_AUTO_TEST_CASE(store_statuses_keep_their_meaning) {
    using op = store_operation;
    BOOST_TEST((decode(op::get, 404, "").m_kind == error_kind::store_not_found));
    BOOST_TEST((decode(op::watch, 410, "").m_kind == error_kind::store_not_found));
    BOOST_TEST((decode(op::put, 404, "").m_kind == error_kind::store_lease_lost));
    BOOST_TEST((decode(op::renew_lease, 404, "").m_kind == error_kind::store_lease_lost));
    BOOST_TEST((decode(op::put, 429, "").m_kind == error_kind::store_throttled));
    BOOST_TEST((decode(op::put, 503, "").m_kind == error_kind::store_unreachable));
    BOOST_TEST((decode(op::put, 500, "").m_kind == error_kind::store_outcome_unknown));
    BOOST_TEST((decode(op::put, 200, "{}").m_kind == error_kind::store_outcome_unknown));
    const auto conflict =
        decode(op::put, 412, R"({"items":[{"key":"a/b","value":"","revision":8}]})");
    BOOST_TEST((conflict.m_kind == error_kind::store_conflict));
    BOOST_TEST(conflict.m_revision == 8U);
    BOOST_TEST(decode(op::put, 200, R"({"revision":412})").m_revision == 412U);
    BOOST_TEST(decode(op::create_lease, 200, R"({"lease":77,"ttl_ms":3000})").m_lease == "77");
}

// Guards against values that change in encoding or decoding, and against treating one page as the
// whole list.
BOOST_AUTO_TEST_CASE(store_values_and_pages_are_decoded_exactly) {
    using op = store_operation;
    const std::string bytes("a\0\xff z", 5);
    store_command put;
    put.m_operation = op::put;
    put.m_key = "a/b";
    put.m_value = bytes;
    put.m_if_revision = 0;
    put.m_lease = "77";
    const store_http_request request = platform::make_store_codec().m_encode(put);
    BOOST_TEST(request.m_target == "/api/kv-txn");
    BOOST_TEST(contains(request.m_body, R"("expect":[{"key":"a/b","revision":0}])"));
    BOOST_TEST(contains(request.m_body, R"("value":"YQD/IHo=")"));
    BOOST_TEST(contains(request.m_body, R"("lease":77)"));
    const auto read =
        decode(op::get, 200, R"({"key":"a/b","value":"YQD/IHo=","revision":4,"current_rev":9})");
    BOOST_TEST(read.m_value == bytes);
    BOOST_TEST(read.m_revision == 4U);
    const auto page = decode(
        op::list, 200,
        R"({"items":[{"key":"a","value":"","revision":3}],"has_more":true,"current_rev":9})");
    BOOST_TEST(page.m_has_more);
    BOOST_TEST(page.m_revision == 9U);
    const auto events = decode(
        op::watch, 200, R"({"events":[{"key":"a","revision":3,"deleted":true}],"current_rev":3})");
    BOOST_REQUIRE(events.m_entries.size() == 1U);
    BOOST_TEST(events.m_entries[0].m_deleted);
    for (const std::string_view malformed_body :
         {R"({"items":[{"key":"a","value":"?","revision":3}],"current_rev":9})",
          R"({"items":[{"value":"","revision":3}],"current_rev":9})", R"({"items":[]})", "[", ""}) {
        BOOST_TEST(
            (decode(op::list, 200, malformed_body).m_kind == error_kind::store_outcome_unknown),
            malformed_body);
    }
}

// Guards against a claim without its fence, and against a write of a former holder that the store
// carries out because the revision of its condition was assigned again.
BOOST_AUTO_TEST_CASE(a_fence_is_written_with_the_claim_and_required_later) {
    const auto body_of = [](const store_command& command) {
        return platform::make_store_codec().m_encode(command).m_body;
    };
    store_command put;
    put.m_operation = store_operation::put;
    put.m_key = "lease";
    put.m_value = "a";
    put.m_lease = "3";
    put.m_if_revision = 0;
    put.m_fence = {"lease/n-1", 0};
    BOOST_TEST(body_of(put) == R"({"expect":[{"key":"lease","revision":0}],)"
                               R"("writes":[{"key":"lease","value":"YQ==","lease":3},)"
                               R"({"key":"lease/n-1","value":"YQ==","lease":3}],"deletes":[]})");
    put.m_key = "record";
    put.m_lease.clear();
    put.m_if_revision = 7;
    put.m_fence.m_version = 9;
    BOOST_TEST(body_of(put) == R"({"expect":[{"key":"record","revision":7},)"
                               R"({"key":"lease/n-1","revision":9}],)"
                               R"("writes":[{"key":"record","value":"YQ==","lease":0}],)"
                               R"("deletes":[]})");
}

// Guards against a configuration of the copy that counts as newer, and against an order that is
// taken for another one because it is written in other words.
BOOST_AUTO_TEST_CASE(items_of_a_restored_store_are_compared_by_their_meaning) {
    const auto compare = [](std::string_view key, std::string_view kept, std::string_view listed) {
        return platform::compare_items(key, kept, listed);
    };
    const std::string_view nine = R"({"version":"00000009"})";
    const std::string_view ten = R"({"version":"0000000a"})";
    BOOST_TEST((compare("op/config", ten, nine) == item_relation::older));
    BOOST_TEST((compare("op/config", nine, ten) == item_relation::newer));
    BOOST_TEST((compare("op/config", nine, nine) == item_relation::same));
    BOOST_TEST((compare("op/config", nine, "{}") == item_relation::unordered));
    const std::string_view order = R"({"service":"s1","target_version":"v2","duration_s":12})";
    const std::string_view reworded =
        R"({ "duration_s": 12.0, "target_version": "v2", "service": "s1" })";
    const std::string_view longer = R"({"service":"s1","target_version":"v2","duration_s":13})";
    BOOST_TEST((compare("op/rollout/s1", order, reworded) == item_relation::continues));
    BOOST_TEST((compare("op/rollout/s1", order, longer) == item_relation::unordered));
    BOOST_TEST((compare("op/rollout/s1", "[", "[") == item_relation::unordered));
    BOOST_TEST((compare("op/evacuate/z2", "{}", "") == item_relation::same));
    BOOST_TEST((compare("op/other", "a", "b") == item_relation::unordered));
}

BOOST_AUTO_TEST_SUITE_END()
