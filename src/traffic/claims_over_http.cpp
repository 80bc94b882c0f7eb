#include "traffic/claims_over_http.hpp"

#include <algorithm>

#include <boost/json.hpp>

#include "observe/log.hpp"
#include "traffic/exchange.hpp"
#include "traffic/traffic_context.hpp"

namespace caraway {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::string_view claim_path = "/.caraway/claim";
constexpr std::string_view withdraw_path = "/.caraway/withdraw";
constexpr std::string_view result_path = "/.caraway/result";
// Headers of the response to a result request. The stored body is passed on unchanged.
constexpr std::string_view result_state_header = "x-caraway-result";
constexpr std::string_view result_status_header = "x-caraway-result-status";

// A registrar that takes longer to reply counts as unreachable. Round trips take less than 20 ms.
constexpr milliseconds claim_timeout{250};
// A call that did not run waits at most this long for its registrars to confirm the withdrawal, so
// that the next attempt through another node finds the key free.
constexpr milliseconds withdraw_wait{100};
// Maximum number of calls of one node that wait for the result of another attempt.
constexpr std::size_t max_result_waiting = 256;
// Maximum body size of a request from another node.
constexpr std::size_t max_node_request_bytes = 4'096;

std::string_view state_name(result_state state) {
    switch (state) {
    case result_state::running:
        return "running";
    case result_state::stored:
        return "stored";
    case result_state::too_large:
        return "too-large";
    case result_state::withdrawn:
        break;
    }
    return "withdrawn";
}

std::string_view status_name(claim_status status) {
    switch (status) {
    case claim_status::granted:
        return "granted";
    case claim_status::held:
        return "held";
    case claim_status::full:
        return "full";
    case claim_status::dead:
        return "dead";
    case claim_status::unreachable:
        break;
    }
    return "unreachable";
}

std::string encode_request(const claim_request& request) {
    json::object fields{{"service", request.m_service},
                        {"key", request.m_key},
                        {"claimant", request.m_claimant},
                        {"claim_id", request.m_claim_id}};
    if (request.m_first_sent_ms) {
        fields["first_sent_ms"] = *request.m_first_sent_ms;
    }
    if (request.m_cutoff_ms) {
        fields["cutoff_ms"] = *request.m_cutoff_ms;
    }
    return json::serialize(fields);
}

std::string string_field(const json::object& fields, const char* name) {
    const json::value* value = fields.if_contains(name);
    const json::string* text = value == nullptr ? nullptr : value->if_string();
    return text == nullptr ? std::string() : std::string(text->data(), text->size());
}

template <typename Number>
std::optional<Number> number_field(const json::object& fields, const char* name) {
    const json::value* value = fields.if_contains(name);
    json::error_code failed;
    const Number number = value == nullptr ? Number{} : value->to_number<Number>(failed);
    return value == nullptr || failed ? std::nullopt : std::optional<Number>(number);
}

std::optional<json::object> parse_object(const std::string& text) {
    json::error_code failed;
    const json::value parsed = json::parse(text, failed);
    if (failed || !parsed.is_object()) {
        return std::nullopt;
    }
    return parsed.get_object();
}

std::optional<claim_request> decode_request(const std::string& body) {
    const auto fields = parse_object(body);
    if (!fields) {
        return std::nullopt;
    }
    const auto id = number_field<std::uint64_t>(*fields, "claim_id");
    claim_request request{string_field(*fields, "service"),
                          string_field(*fields, "key"),
                          string_field(*fields, "claimant"),
                          id.value_or(0),
                          number_field<std::int64_t>(*fields, "first_sent_ms"),
                          number_field<std::int64_t>(*fields, "cutoff_ms")};
    if (!id || request.m_service.empty() || request.m_key.empty() || request.m_claimant.empty()) {
        return std::nullopt;
    }
    return request;
}

std::string encode_reply(const claim_reply& reply) {
    return json::serialize(json::object{{"status", status_name(reply.m_status)},
                                        {"claimant", reply.m_claimant},
                                        {"claim_id", reply.m_claim_id},
                                        {"history_complete", reply.m_history_complete}});
}

// Decodes the reply of a registrar. A malformed reply counts as unreachable.
claim_reply decode_reply(const std::string& body) {
    claim_reply reply;
    const auto fields = parse_object(body);
    if (!fields) {
        return reply;
    }
    const std::string status = string_field(*fields, "status");
    for (const claim_status candidate :
         {claim_status::granted, claim_status::held, claim_status::full}) {
        if (status == status_name(candidate)) {
            reply.m_status = candidate;
        }
    }
    reply.m_claimant = string_field(*fields, "claimant");
    reply.m_claim_id = number_field<std::uint64_t>(*fields, "claim_id").value_or(0);
    const json::value* complete = fields->if_contains("history_complete");
    reply.m_history_complete = complete != nullptr && complete->is_bool() && complete->get_bool();
    return reply;
}

http_response make_result_answer(const std::optional<stored_result>& found) {
    http_response answer;
    answer.version(11);
    answer.result(http::status::ok);
    set_header(answer, result_state_header, found ? state_name(found->m_state) : "absent");
    if (found && found->m_state == result_state::stored) {
        set_numeric_header(answer, result_status_header, found->m_status);
        answer.set(http::field::content_type, found->m_content_type);
        answer.body() = found->m_body;
    }
    return answer;
}

http_response make_replay(unsigned status, std::string_view content_type, std::string body) {
    http_response answer;
    answer.version(11);
    answer.result(status);
    if (!content_type.empty()) {
        answer.set(http::field::content_type, std::string(content_type));
    }
    set_header(answer, header::replayed, "1");
    answer.body() = std::move(body);
    return answer;
}

// Sends another node a request below node_path_prefix and reads the response. Returns nothing, with
// the reason, if there is no response or it belongs to another request.
std::optional<http_response> send_node_request(traffic_context& context, call_control& control,
                                               const ip_endpoint& peer, std::string_view path,
                                               std::string body, asio::yield_context yield,
                                               error& reason) {
    auto open_connection = context.m_peer_pool.open(control, peer, yield, reason);
    if (!open_connection) {
        return std::nullopt;
    }
    const std::uint64_t number = control.random()();
    http_request request(http::verb::post, std::string(path), 11, std::move(body));
    request.set(http::field::host, format_endpoint(peer));
    request.set(http::field::content_type, "application/json");
    set_header(request, header::instance, context.m_settings.m_instance);
    set_numeric_header(request, header::exchange, number);
    set_numeric_header(request, header::deadline_ms,
                       ms_left(control.deadline(), context.m_clock.now()));
    request.prepare_payload();
    auto answer = exchange(control, *open_connection, request, context.peer_limits(),
                           context.m_budget, nullptr, yield, reason);
    if (!answer) {
        return std::nullopt;
    }
    if (numeric_header_value(answer->m_message, header::exchange) != number) {
        return fail(reason, error_kind::connection_cut, "the answer belongs to another request");
    }
    context.m_peer_pool.return_connection(std::move(open_connection));
    return std::move(answer->m_message);
}

} // namespace

key_tables::key_tables(const node_settings& settings, const clock_source& clock)
    : m_instance(settings.m_instance), m_clock(clock), m_waiting(max_result_waiting) {
    m_claims.m_started = clock.now();
    m_claims.m_started_wall = clock.wall_now();
    m_claims.m_retention = settings.m_result_retention;
    m_results.m_retention = settings.m_result_retention;
    m_results.m_max_entries = settings.m_result_entries;
    m_results.m_max_bytes = settings.m_result_bytes;
}

claim_reply key_tables::grant(const claim_request& request, const routing_snapshot& snapshot) {
    std::optional<wall_time> promoted_at;
    bool partition_safe = true;
    const auto service = snapshot.m_services.find(request.m_service);
    if (service != snapshot.m_services.end()) {
        const service_view& view = service->second;
        if (!view.m_departures.empty()) {
            promoted_at = promotion_time(request, m_instance, view.m_members, view.m_departures);
        }
        partition_safe = is_partition_safe(request, m_instance, view.m_members, view.m_losses);
    }
    const std::lock_guard lock(m_mutex);
    claim_reply reply =
        grant_claim(m_claims, request, m_clock.now(), m_clock.wall_now(), promoted_at);
    reply.m_history_complete = reply.m_history_complete && partition_safe;
    return reply;
}

void key_tables::withdraw(const claim_request& request) {
    const std::lock_guard lock(m_mutex);
    withdraw_claim(m_claims, request);
}

std::optional<stored_result> key_tables::find(std::string_view combined_key) {
    const std::lock_guard lock(m_mutex);
    const stored_result* found = find_result(m_results, combined_key);
    return found == nullptr ? std::nullopt : std::optional(*found);
}

bool key_tables::reserve_entry(std::string_view combined_key, std::uint64_t claim_id) {
    const std::lock_guard lock(m_mutex);
    return reserve_result(m_results, combined_key, claim_id, m_clock.now());
}

void key_tables::store(std::string_view combined_key, const http_response& answer) {
    {
        const std::lock_guard lock(m_mutex);
        const auto type = answer[http::field::content_type];
        store_result(m_results, combined_key, static_cast<std::uint16_t>(answer.result_int()),
                     {type.data(), type.size()}, answer.body(), m_clock.now());
    }
    m_waiting.wake_all();
}

void key_tables::store_unknown(std::string_view combined_key) {
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_results.m_results.find(std::string(combined_key));
        if (found != m_results.m_results.end() && found->second.m_state == result_state::running) {
            // This state means that there is no response to replay, whatever the reason.
            found->second.m_state = result_state::too_large;
            found->second.m_expires = m_clock.now() + m_results.m_retention;
        }
    }
    m_waiting.wake_all();
}

void key_tables::release_entry(std::string_view combined_key) {
    {
        const std::lock_guard lock(m_mutex);
        withdraw_result(m_results, combined_key);
    }
    m_waiting.wake_all();
}

void key_tables::expire() {
    const std::lock_guard lock(m_mutex);
    expire_claims(m_claims, m_clock.now());
    expire_results(m_results, m_clock.now());
}

std::optional<stored_result> key_tables::wait_while_running(call_control& control,
                                                            std::string_view combined_key,
                                                            std::uint64_t claim_id,
                                                            time_point until,
                                                            asio::yield_context yield) {
    const auto self = control.shared_from_this();
    const bool may_wait = m_waiting.add(self);
    auto found = find(combined_key);
    while (may_wait && found && found->m_claim_id == claim_id &&
           found->m_state == result_state::running && !control.is_ended() &&
           m_clock.now() < until) {
        control.wait(until, yield);
        found = find(combined_key);
    }
    if (may_wait) {
        m_waiting.remove(self);
    }
    return found && found->m_claim_id == claim_id ? found : std::nullopt;
}

http_response handle_node_request(traffic_context& context, call_control& control,
                                  const http_request& request, asio::yield_context yield) {
    const std::string_view path = path_of({request.target().data(), request.target().size()});
    const auto decoded = request.body().size() <= max_node_request_bytes
                             ? decode_request(std::string(request.body().piece(0)))
                             : std::nullopt;
    if (request.method() != http::verb::post || !decoded) {
        return make_error_response(error_kind::bad_request, "not a request of a node");
    }
    if (path == claim_path) {
        const claim_reply reply = context.m_keys.grant(*decoded, *context.m_snapshot.load());
        log_event(log_level::info, "key_claimed",
                  {{"service", decoded->m_service},
                   {"key", decoded->m_key},
                   {"claimant", decoded->m_claimant},
                   {"claim", decoded->m_claim_id},
                   {"status", status_name(reply.m_status)},
                   {"holder", reply.m_claimant}});
        return make_json_response(200, encode_reply(reply));
    }
    if (path == withdraw_path) {
        context.m_keys.withdraw(*decoded);
        log_event(log_level::info, "key_withdrawn",
                  {{"service", decoded->m_service},
                   {"key", decoded->m_key},
                   {"claimant", decoded->m_claimant},
                   {"claim", decoded->m_claim_id}});
        return make_json_response(200, "{}");
    }
    if (path == result_path) {
        const time_point until =
            context.m_clock.now() + remaining_time(request).value_or(milliseconds(0));
        control.begin_call(until);
        return make_result_answer(context.m_keys.wait_while_running(
            control, claim_key(decoded->m_service, decoded->m_key), decoded->m_claim_id, until,
            yield));
    }
    return make_error_response(error_kind::bad_request, "unknown request of a node");
}

// Collects the replies to one request that is sent to all registrars. Each registrar is asked on
// its own coroutine, which continues after the call has ended. The withdrawal of a claim is sent
// after the claim's request was answered or timed out, so that it doesn't overtake the claim.
struct key_claim::registrar_round {
    std::mutex m_mutex;
    std::size_t m_pending = 0;
    std::vector<claim_reply> m_replies;
    std::shared_ptr<call_control> m_parent;

    // Stores the reply of one registrar and wakes the call. Safe from any thread.
    void finish(std::size_t index, const claim_reply& reply) {
        const std::lock_guard lock(m_mutex);
        m_replies[index] = reply;
        --m_pending;
        m_parent->wake();
    }
};

key_claim::key_claim(traffic_context& context, call_control& control, const call_info& info,
                     const routing_snapshot& snapshot)
    : m_context(context), m_control(control), m_info(info), m_snapshot(snapshot),
      m_combined_key(claim_key(info.m_service, info.m_key)) {
    m_request.m_service = info.m_service;
    m_request.m_key = info.m_key;
    m_request.m_claimant = context.m_settings.m_instance;
    if (info.m_first_sent_ms) {
        m_request.m_first_sent_ms = static_cast<std::int64_t>(*info.m_first_sent_ms);
    }
    const auto service = snapshot.m_services.find(info.m_service);
    if (service != snapshot.m_services.end()) {
        m_registrars = select_registrar_sets(info.m_service, info.m_key, service->second.m_members,
                                             m_request.m_first_sent_ms, service->second.m_losses);
        m_request.m_cutoff_ms = m_registrars.m_cutoff_ms;
    }
}

key_claim::~key_claim() {
    if (m_reserved) {
        m_context.m_keys.release_entry(m_combined_key);
    }
}

bool key_claim::reserve(asio::yield_context yield, error& reason) {
    m_request.m_claim_id = m_control.random()();
    while (true) {
        if (m_context.m_keys.reserve_entry(m_combined_key, m_request.m_claim_id)) {
            m_reserved = true;
            return true;
        }
        const auto earlier_attempt = m_context.m_keys.find(m_combined_key);
        if (!earlier_attempt) {
            fail(reason, error_kind::queue_full, "the table of results is full");
            return false;
        }
        if (earlier_attempt->m_state == result_state::stored) {
            m_replay = make_replay(earlier_attempt->m_status, earlier_attempt->m_content_type,
                                   earlier_attempt->m_body);
            return false;
        }
        if (earlier_attempt->m_state == result_state::too_large) {
            fail(reason, error_kind::key_already_claimed, "the key was sent before");
            return false;
        }
        if (earlier_attempt->m_state == result_state::withdrawn) {
            continue; // withdrawn between reserve_entry() and find()
        }
        const auto ended = m_context.m_keys.wait_while_running(
            m_control, m_combined_key, earlier_attempt->m_claim_id, m_control.deadline(), yield);
        if (ended && ended->m_state == result_state::running) {
            fail(reason, error_kind::key_already_claimed, "the key's request is still running");
            return false;
        }
    }
}

std::vector<claim_reply> key_claim::send_to_registrars(bool withdraw, duration limit,
                                                       asio::yield_context yield) {
    auto round = std::make_shared<registrar_round>();
    round->m_parent = m_control.shared_from_this();
    round->m_replies.resize(m_registrars.m_names.size());
    round->m_pending = m_registrars.m_names.size();
    const std::string_view path = withdraw ? withdraw_path : claim_path;
    for (std::size_t i = 0; i < m_registrars.m_names.size(); ++i) {
        if (m_registrars.m_names[i] == m_context.m_settings.m_instance) {
            claim_reply reply;
            if (withdraw) {
                m_context.m_keys.withdraw(m_request);
            } else {
                reply = m_context.m_keys.grant(m_request, *m_context.m_snapshot.load());
            }
            round->finish(i, reply);
            continue;
        }
        const auto address = m_snapshot.m_member_traffic.find(m_registrars.m_names[i]);
        if (address == m_snapshot.m_member_traffic.end()) {
            claim_reply reply;
            reply.m_status = claim_status::dead;
            round->finish(i, reply);
            continue;
        }
        auto control = call_control::create(m_context.m_io, tcp::socket(m_context.m_io),
                                            m_context.m_clock, m_control.random()());
        spawn_coroutine(*control, [&context = m_context, round, i, peer = address->second, path,
                                   body = encode_request(m_request)](
                                      const std::shared_ptr<call_control>& self,
                                      asio::yield_context inner) {
            const control_registration registration(context.m_background, self);
            self->begin_call(context.m_clock.now() + claim_timeout);
            error failed;
            const auto answer = send_node_request(context, *self, peer, path, body, inner, failed);
            self->stop();
            round->finish(i, answer && answer->result_int() == 200 ? decode_reply(answer->body())
                                                                   : claim_reply{});
        });
    }
    const time_point until = m_context.m_clock.now() + limit;
    while (true) {
        {
            const std::lock_guard lock(round->m_mutex);
            if (round->m_pending == 0 || m_context.m_clock.now() >= until) {
                return round->m_replies;
            }
        }
        m_control.wait_ignoring_end(until, yield);
    }
}

bool key_claim::claim(asio::yield_context yield, error& reason) {
    // Each request ends after claim_timeout at the latest, so a wait of twice that time gets a
    // result for every registrar.
    const auto replies = send_to_registrars(false, 2 * claim_timeout, yield);
    const claim_decision decision = decide_claim(m_registrars, replies);
    if (decision.m_kind == claim_decision::kind::run) {
        return true;
    }
    if (decision.m_kind == claim_decision::kind::ask_claimant) {
        m_claimant = decision.m_claimant;
        m_held_claim_id = decision.m_claim_id;
    }
    fail(reason, decision.m_reason, "the key is not free at its registrars");
    return false;
}

// The registrars are told first and the entry of this node is released afterwards, so that the next
// attempt at this node finds the key free at its registrars.
void key_claim::withdraw(asio::yield_context yield) {
    send_to_registrars(true, m_control.is_ended() ? duration{} : withdraw_wait, yield);
    m_context.m_keys.release_entry(m_combined_key);
    m_reserved = false;
}

bool key_claim::fetch_result(asio::yield_context yield, error& reason) {
    const std::string claimant = std::exchange(m_claimant, std::string());
    fail(reason, error_kind::key_already_claimed, "the key was sent before");
    std::string state;
    if (claimant == m_context.m_settings.m_instance) {
        const auto found = m_context.m_keys.wait_while_running(
            m_control, m_combined_key, m_held_claim_id, m_control.deadline(), yield);
        state = found ? state_name(found->m_state) : "absent";
        if (found && found->m_state == result_state::stored) {
            m_replay = make_replay(found->m_status, found->m_content_type, found->m_body);
        }
        return state == "withdrawn";
    }
    const auto address = m_snapshot.m_member_traffic.find(claimant);
    if (address == m_snapshot.m_member_traffic.end()) {
        return false;
    }
    claim_request request = m_request;
    request.m_claimant = claimant;
    request.m_claim_id = m_held_claim_id;
    error failed;
    auto answer = send_node_request(m_context, m_control, address->second, result_path,
                                    encode_request(request), yield, failed);
    if (!answer || answer->result_int() != 200) {
        return false;
    }
    state = header_value(*answer, result_state_header);
    if (state == state_name(result_state::stored)) {
        const auto status = numeric_header_value(*answer, result_status_header).value_or(0);
        if (status < 200 || status > 599) {
            return false;
        }
        const std::string type(header_value(*answer, "content-type"));
        m_replay = make_replay(static_cast<unsigned>(status), type, std::move(answer->body()));
    }
    return state == state_name(result_state::withdrawn);
}

void key_claim::complete(const std::optional<http_response>& answer, bool sent,
                         asio::yield_context yield) {
    if (!m_reserved) {
        return;
    }
    if (answer) {
        m_context.m_keys.store(m_combined_key, *answer);
        m_reserved = false;
    } else if (sent) {
        m_context.m_keys.store_unknown(m_combined_key);
        m_reserved = false;
    } else {
        withdraw(yield);
    }
}

} // namespace caraway
