#include "traffic/served_connection.hpp"

#include <algorithm>
#include <array>
#include <deque>

#include "traffic/backend_side.hpp"
#include "traffic/claims_over_http.hpp"
#include "traffic/entry_side.hpp"
#include "traffic/request_reading.hpp"

namespace caraway {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// Shortest idle time of a connection that carried a call of another node. Nodes close their own
// idle connections earlier, after 30 s; see max_idle_time_peers.
constexpr milliseconds idle_timeout{75'000};
// Time within which the caller must receive its answer.
constexpr milliseconds write_timeout{10'000};
// Time for which the rest of a refused request is read and discarded. Closing at once would reset
// the connection, and the refusal could be lost.
constexpr milliseconds linger_time{500};
// Limit of requests that are read from one connection and not answered yet. Further requests stay
// in the socket buffer, which slows the sender down.
constexpr std::size_t max_pipelined_requests = 16;
// Bytes held for one connection above which no further request is read ahead.
constexpr std::uint64_t max_read_ahead_bytes = 1U << 20U;

// A request that has been read and not answered yet.
struct received_request {
    received_request(http_request request, byte_charge charge,
                     std::atomic<std::size_t>& in_progress)
        : m_request(std::move(request)), m_charge(std::move(charge)) {
        m_progress_guard.emplace(in_progress);
    }

    http_request m_request;
    // Bytes of the request, and of its answer from when there is one.
    byte_charge m_charge;
    // Counts the request as in progress until it is answered.
    std::optional<progress_guard> m_progress_guard;
    // Control of the call if it was started before its turn; otherwise null.
    std::shared_ptr<call_control> m_early_call;
    bool m_early_call_ended = false;
    call_reply m_early_reply;
};

// State of one served connection. All access is on the strand of its call_control.
struct served_connection {
    served_connection(traffic_context& context, const std::shared_ptr<call_control>& control,
                      bool callers_only)
        : m_context(context), m_control(control), m_callers_only(callers_only),
          m_input(context, control) {}

    traffic_context& m_context;
    const std::shared_ptr<call_control> m_control; // of the connection and its current call
    const bool m_callers_only;
    request_input m_input;
    bool m_served_node = false; // a request came from another node

    // Requests that were read ahead, in the order of arrival. Used once a request arrives before an
    // earlier one is answered; from then on the reader coroutine reads all requests of the
    // connection.
    std::deque<std::shared_ptr<received_request>> m_pending_requests;
    // Reader coroutine; null while each request is read after the previous one is answered.
    std::shared_ptr<call_control> m_reader;
    bool m_reader_ended = false;
    bool m_reader_waits = false; // until fewer requests or bytes are held for the connection
    // Answer to the invalid request on which the reader ended.
    std::optional<http_response> m_refusal;
    bool m_current_call_blocks = false; // the current call must end before others start
    bool m_closing = false;             // further input is discarded
};

using connection_ptr = std::shared_ptr<served_connection>;

// Sets a flag and wakes the connection's coroutine when the coroutine that owns this object ends,
// even by an exception.
class completion_notifier {
public:
    completion_notifier(bool& ended, call_control& waiter) : m_ended(ended), m_waiter(waiter) {}
    completion_notifier(const completion_notifier&) = delete;
    completion_notifier& operator=(const completion_notifier&) = delete;
    completion_notifier(completion_notifier&&) = delete;
    completion_notifier& operator=(completion_notifier&&) = delete;
    ~completion_notifier() {
        m_ended = true;
        m_waiter.wake();
    }

private:
    bool& m_ended;
    call_control& m_waiter;
};

// Sets the HTTP version and the headers that delimit the answer: Connection and Content-Length.
void frame_answer(http_response& answer, http::verb method, bool keep_alive) {
    answer.version(11);
    answer.keep_alive(keep_alive);
    // These answers have no body by definition; a length of 0 would be wrong for them.
    if (answer.result() == http::status::no_content ||
        answer.result() == http::status::not_modified) {
        answer.body().clear();
        answer.erase(http::field::transfer_encoding);
        answer.erase(http::field::content_length);
        return;
    }
    if (method != http::verb::head) {
        answer.prepare_payload();
        return;
    }
    // Content-Length states the size that a GET would return; the body itself is not sent.
    if (!answer.body().empty()) {
        answer.content_length(answer.body().size());
        answer.body().clear();
    }
    answer.erase(http::field::transfer_encoding);
}

bool write_answer(traffic_context& context, call_control& control, http_response& answer,
                  asio::yield_context yield) {
    error_code failed;
    if (context.m_link_pacer.is_paced(answer.body().size())) {
        return !context.m_link_pacer.write(control, answer, context.m_clock, write_timeout, yield);
    }
    control.set_time_limit(context.m_clock.now() + write_timeout);
    http::serializer<false, http::string_body> serializer(answer);
    http::async_write(control.incoming(), serializer, yield[failed]);
    return !failed;
}

// Shuts down the sending direction and discards input until the other side closes or linger_time
// has passed.
void linger(traffic_context& context, call_control& control, asio::yield_context yield) {
    control.set_time_limit(context.m_clock.now() + linger_time);
    error_code failed;
    control.incoming().shutdown(tcp::socket::shutdown_send, failed);
    std::array<char, 4'096> discarded{};
    while (!failed) {
        control.incoming().async_read_some(asio::buffer(discarded), yield[failed]);
    }
}

// As above, for a served connection. If it has a reader, the reader discards the input.
void linger(served_connection& connection, asio::yield_context yield) {
    if (!connection.m_reader) {
        linger(connection.m_context, *connection.m_control, yield);
        return;
    }
    connection.m_closing = true;
    connection.m_reader->wake();
    error_code ignored;
    connection.m_control->incoming().shutdown(tcp::socket::shutdown_send, ignored);
    const time_point until = connection.m_context.m_clock.now() + linger_time;
    while (!connection.m_reader_ended && !connection.m_control->is_stopped() &&
           connection.m_context.m_clock.now() < until) {
        connection.m_control->wait(until, yield);
    }
}

bool is_from_node(const http_request& request) {
    const std::string_view target(request.target().data(), request.target().size());
    return target.starts_with(node_path_prefix) ||
           request.find(std::string(header::service)) != request.end();
}

call_reply dispatch(served_connection& connection, call_control& control, http_request& request,
                    asio::yield_context yield) {
    traffic_context& context = connection.m_context;
    if (connection.m_callers_only) {
        strip_internal_headers(request, {});
        return handle_entry(context, control, request, yield);
    }
    const std::string_view target(request.target().data(), request.target().size());
    if (target.starts_with(node_path_prefix)) {
        call_reply reply;
        reply.m_message = handle_node_request(context, control, request, yield);
        return reply;
    }
    return is_from_node(request) ? handle_backend_call(context, control, request, yield)
                                 : handle_entry(context, control, request, yield);
}

// Returns true if the request may run before earlier requests of its connection have ended: it
// comes from a caller and is idempotent.
bool may_run_out_of_order(const served_connection& connection, const http_request& request) {
    const bool from_caller = connection.m_callers_only || !is_from_node(request);
    return from_caller && is_idempotent_call(connection.m_context, request);
}

// Replaces the bytes charged for the request by those of its answer, which were charged to the
// answer itself so far. The request isn't needed any more. Returns false if the connection is
// rejected for the bytes that it holds.
bool charge_answer(received_request& request, call_reply& reply) {
    request.m_request.body().clear();
    reply.m_charge.resize(0);
    return request.m_charge.resize(message_bytes(reply.m_message));
}

// Starts a call while the current one is running. Its answer is sent when its turn comes.
void start_early_call(const connection_ptr& connection,
                      const std::shared_ptr<received_request>& early) {
    early->m_early_call = call_control::create_sibling(*connection->m_control);
    spawn_coroutine(
        *early->m_early_call, [connection, early](const auto& self, asio::yield_context yield) {
            const completion_notifier notifier(early->m_early_call_ended, *connection->m_control);
            const control_registration registration(connection->m_context.m_early_calls, self);
            early->m_early_reply = dispatch(*connection, *self, early->m_request, yield);
            charge_answer(*early, early->m_early_reply);
            self->end_last_call();
        });
}

// Starts the pending requests up to the first one that must wait for its turn.
void start_early_calls(const connection_ptr& connection) {
    if (connection->m_current_call_blocks) {
        return;
    }
    for (const auto& pending : connection->m_pending_requests) {
        if (pending->m_early_call) {
            continue;
        }
        if (!may_run_out_of_order(*connection, pending->m_request)) {
            return;
        }
        start_early_call(connection, pending);
    }
}

// Cancels all calls of the connection; their answers can no longer be delivered.
void cancel_calls(served_connection& connection) {
    connection.m_control->cancel_call();
    for (const auto& pending : connection.m_pending_requests) {
        if (pending->m_early_call) {
            pending->m_early_call->cancel_call();
        }
    }
}

// Reader coroutine: reads requests until the connection ends or a request is invalid.
void read_requests(const connection_ptr& connection, asio::yield_context yield) {
    const auto has_capacity = [&connection] {
        return (connection->m_pending_requests.size() < max_pipelined_requests &&
                connection->m_input.m_share->bytes() < max_read_ahead_bytes) ||
               connection->m_closing;
    };
    while (!connection->m_control->is_stopped()) {
        if (!has_capacity()) {
            connection->m_reader_waits = true;
            connection->m_reader->wait(time_point::max(), yield);
            connection->m_reader_waits = false;
            continue;
        }
        request_parser parser;
        byte_charge charge(connection->m_input.m_share);
        error_code failed = await_request_bytes(connection->m_input, yield);
        if (!failed) {
            failed = read_request(connection->m_input, parser, charge,
                                  connection->m_pending_requests.empty(), yield);
        }
        if (failed) {
            connection->m_refusal = make_read_refusal(connection->m_input, failed, parser);
            if (!connection->m_refusal) {
                cancel_calls(*connection);
            }
            return;
        }
        if (connection->m_closing) {
            continue;
        }
        connection->m_pending_requests.push_back(std::make_shared<received_request>(
            parser.release(), std::move(charge), connection->m_context.m_in_progress));
        start_early_calls(connection);
        connection->m_control->wake();
    }
}

// Starts the reader coroutine if it is not running. Called when a request arrives before an earlier
// one is answered; the reader also detects that the caller closes the connection.
void start_reader(const connection_ptr& connection) {
    if (connection->m_reader) {
        return;
    }
    connection->m_control->disable_caller_watch();
    connection->m_reader = call_control::create_sibling(*connection->m_control);
    spawn_coroutine(*connection->m_reader, [connection](const auto&, asio::yield_context yield) {
        const completion_notifier notifier(connection->m_reader_ended, *connection->m_control);
        read_requests(connection, yield);
    });
}

// Sends the refusal of a request that could not be read, then closes the connection.
void refuse_and_close(served_connection& connection, http_response& refusal,
                      asio::yield_context yield) {
    frame_answer(refusal, http::verb::get, false);
    if (write_answer(connection.m_context, *connection.m_control, refusal, yield)) {
        linger(connection, yield);
    }
}

// Returns the time for which a connection may be idle. Other nodes close their idle connections
// themselves; the operators' limit is for callers.
duration idle_time(const served_connection& connection) {
    const duration limit = connection.m_context.m_request_limits.idle_time();
    return connection.m_served_node ? std::max<duration>(limit, idle_timeout) : limit;
}

// Reads a request while there is no reader. Returns null, with a refusal if there is one to send,
// if no request could be read.
std::shared_ptr<received_request> read_one_request(served_connection& connection,
                                                   std::optional<http_response>& refusal,
                                                   asio::yield_context yield) {
    request_input& input = connection.m_input;
    request_parser parser;
    byte_charge charge(input.m_share);
    connection.m_control->set_time_limit(connection.m_context.m_clock.now() +
                                         idle_time(connection));
    error_code failed = await_request_bytes(input, yield);
    if (failed) {
        return nullptr;
    }
    input.m_limits_time = true;
    failed = read_request(input, parser, charge, true, yield);
    input.m_limits_time = false;
    if (failed) {
        refusal = make_read_refusal(input, failed, parser);
        return nullptr;
    }
    return std::make_shared<received_request>(parser.release(), std::move(charge),
                                              connection.m_context.m_in_progress);
}

// Reads the next request while there is no reader. Returns null when the connection ends.
std::shared_ptr<received_request> read_next_request(const connection_ptr& connection,
                                                    asio::yield_context yield) {
    std::optional<http_response> refusal;
    auto received = read_one_request(*connection, refusal, yield);
    if (!received) {
        if (refusal && !connection->m_control->is_stopped()) {
            refuse_and_close(*connection, *refusal, yield);
        }
        return nullptr;
    }
    if (connection->m_input.m_buffer.size() != 0) {
        start_reader(connection);
    }
    return received;
}

// Returns the next request that the reader has read. Returns null when the connection ends.
std::shared_ptr<received_request> take_next_request(const connection_ptr& connection,
                                                    asio::yield_context yield) {
    call_control& control = *connection->m_control;
    const time_point idle_until = connection->m_context.m_clock.now() + idle_time(*connection);
    connection->m_input.m_limits_time = true;
    while (connection->m_pending_requests.empty() && !connection->m_reader_ended &&
           !control.is_stopped()) {
        const bool reading = connection->m_input.m_deadline != time_point::max();
        control.set_time_limit(reading ? connection->m_input.m_deadline : idle_until);
        control.wait(time_point::max(), yield);
    }
    connection->m_input.m_limits_time = false;
    const bool caller_left = connection->m_reader_ended && !connection->m_refusal;
    if (control.is_stopped() || caller_left) {
        return nullptr;
    }
    if (!connection->m_pending_requests.empty()) {
        auto next = connection->m_pending_requests.front();
        connection->m_pending_requests.pop_front();
        connection->m_reader->wake();
        return next;
    }
    if (connection->m_refusal) {
        refuse_and_close(*connection, *connection->m_refusal, yield);
    }
    return nullptr;
}

// Runs the request, or waits for its call if that was started early, and returns the answer.
// Returns nothing if the caller has closed the connection.
std::optional<call_reply> run_request(const connection_ptr& connection, received_request& request,
                                      asio::yield_context yield) {
    call_control& control = *connection->m_control;
    if (!request.m_early_call) {
        connection->m_current_call_blocks = !may_run_out_of_order(*connection, request.m_request);
        call_reply reply = dispatch(*connection, control, request.m_request, yield);
        connection->m_current_call_blocks = false;
        const bool cancelled = control.is_cancelled();
        control.end_call();
        start_early_calls(connection);
        return cancelled ? std::nullopt : std::make_optional(std::move(reply));
    }
    control.set_time_limit(time_point::max());
    while (!request.m_early_call_ended && !control.is_stopped()) {
        control.wait(time_point::max(), yield);
    }
    if (!request.m_early_call_ended || request.m_early_call->is_cancelled()) {
        return std::nullopt;
    }
    return std::move(request.m_early_reply);
}

// Returns true if the request is a call of another node.
bool is_node_call(const served_connection& connection, const received_request& request) {
    return !connection.m_callers_only && is_from_node(request.m_request);
}

// Charges and sends the answer. Returns false if it could not be sent. The connection may be
// rejected until the client has received the answer.
bool deliver_answer(served_connection& connection, received_request& request, call_reply& reply,
                    asio::yield_context yield) {
    const rejectable_scope rejectable(*connection.m_input.m_share,
                                      connection.m_context.m_clock.now());
    return charge_answer(request, reply) &&
           write_answer(connection.m_context, *connection.m_control, reply.m_message, yield);
}

// Serves one request. Returns true if the connection can carry another one.
bool serve_next_request(const connection_ptr& connection, asio::yield_context yield) {
    const auto request = connection->m_reader ? take_next_request(connection, yield)
                                              : read_next_request(connection, yield);
    if (!request) {
        return false;
    }
    connection->m_served_node = connection->m_served_node || is_node_call(*connection, *request);
    const http::verb method = request->m_request.method();
    const bool keep_alive_requested = request->m_request.keep_alive();
    const std::string exchange_number(header_value(request->m_request, header::exchange));
    auto reply = run_request(connection, *request, yield);
    if (!reply) {
        return false;
    }
    // Requests that were read before the node began to drain are answered before the connection
    // closes.
    const bool ends = connection->m_context.m_draining && connection->m_pending_requests.empty();
    const bool keep_alive = keep_alive_requested && !ends;
    if (!exchange_number.empty()) {
        set_header(reply->m_message, header::exchange, exchange_number);
    }
    frame_answer(reply->m_message, method, keep_alive);
    const bool written = deliver_answer(*connection, *request, *reply, yield);
    request->m_charge.resize(0);
    if (!written) {
        return false;
    }
    request->m_progress_guard.reset();
    if (connection->m_reader_waits) {
        connection->m_reader->wake();
    }
    if (!keep_alive) {
        cancel_calls(*connection);
        linger(*connection, yield);
    }
    return keep_alive;
}

} // namespace

void serve_connection(traffic_context& context, const std::shared_ptr<call_control>& control,
                      bool callers_only, asio::yield_context yield) {
    const auto connection = std::make_shared<served_connection>(context, control, callers_only);
    control->set_early_bytes_handler([connection] { start_reader(connection); });
    while (!control->is_stopped() && serve_next_request(connection, yield)) {
    }
    cancel_calls(*connection);
    control->set_early_bytes_handler(nullptr);
    control->stop();
    if (connection->m_reader) {
        connection->m_reader->stop();
    }
}

void refuse_surplus_connection(traffic_context& context, call_control& control,
                               asio::yield_context yield) {
    call_reply reply = make_error_reply(
        context, {error_kind::too_many_connections, "the connection limit is reached"}, false);
    frame_answer(reply.m_message, http::verb::get, false);
    if (write_answer(context, control, reply.m_message, yield)) {
        linger(context, control, yield);
    }
}

} // namespace caraway
