#include "traffic/request_reading.hpp"

#include <algorithm>

namespace caraway {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// Allowance above the header limit for the headers that the entry side adds, so that the next node
// does not refuse a request that the first one accepted.
constexpr std::uint32_t added_header_bytes = 2U << 10U;
// Buffer capacity in bytes beyond the header limit. Also bounds a chunk extension and a trailer.
constexpr std::size_t read_ahead_bytes = 32U << 10U;
// Sizes of reads in bytes, before and after the end of the head. The buffer of an idle connection
// has the first size.
constexpr std::size_t first_read_bytes = 8U << 10U;
constexpr std::size_t body_read_bytes = 32U << 10U;
// Bytes that count as progress when the budget compares connections. A client that sends single
// bytes makes no progress.
constexpr std::uint64_t min_progress_bytes = 4U << 10U;
// Added to the stated time for a head: the head of a client that uses all of it may have waited in
// the socket's buffer of a busy node.
constexpr milliseconds head_time_allowance{1'000};

std::string client_address(call_control& control) {
    error_code failed;
    const auto remote = control.incoming().remote_endpoint(failed);
    return failed ? std::string() : remote.address().to_string();
}

// Ends the connection's current operations on its strand. The request that is being read is
// refused, and an answer that is being written is cut off.
std::function<void()> make_rejection(const std::shared_ptr<call_control>& control) {
    return [weak = std::weak_ptr<call_control>(control)] {
        if (const auto rejected = weak.lock()) {
            asio::post(rejected->strand(), [rejected] {
                error_code ignored;
                rejected->incoming().cancel(ignored);
            });
        }
    };
}

// Parses what is in the buffer. Leaves an incomplete element there.
error_code parse_buffered(request_input& input, request_parser& parser) {
    while (input.m_buffer.size() != 0 && !parser.is_done()) {
        error_code failed;
        const std::size_t size = parser.put(input.m_buffer.data(), failed);
        input.m_buffer.consume(size);
        if (failed == http::error::need_more) {
            return {};
        }
        if (failed || size == 0) {
            return failed;
        }
        if (parser.is_header_done() && !parser.eager()) {
            return {};
        }
    }
    return {};
}

error_code confirm_expectation(request_input& input, const request_parser& parser,
                               asio::yield_context yield) {
    error_code failed;
    if (!boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        return failed;
    }
    http::response<http::empty_body> continue_response;
    continue_response.version(11);
    continue_response.result(http::status::continue_);
    http::async_write(input.m_control->incoming(), continue_response, yield[failed]);
    return failed;
}

// Sets by when the request must have made more progress.
void set_deadline(request_input& input, const receive_progress& progress,
                  const receive_limits& limits) {
    input.m_deadline = receive_deadline(progress, limits);
    if (input.m_limits_time) {
        input.m_control->set_time_limit(input.m_deadline);
    }
}

// Reads more bytes into the buffer.
error_code read_more(request_input& input, receive_progress& progress, asio::yield_context yield) {
    const std::size_t capacity_left = input.m_buffer.max_size() - input.m_buffer.size();
    if (capacity_left == 0) {
        return http::make_error_code(http::error::buffer_overflow);
    }
    const std::size_t wanted = progress.m_head_complete ? body_read_bytes : first_read_bytes;
    error_code failed;
    const std::size_t size = input.m_control->incoming().async_read_some(
        input.m_buffer.prepare(std::min(wanted, capacity_left)), yield[failed]);
    if (failed) {
        return failed == asio::error::eof ? http::make_error_code(http::error::partial_message)
                                          : failed;
    }
    input.m_buffer.commit(size);
    const std::uint64_t before = progress.m_bytes;
    progress.m_bytes += size;
    progress.m_progressed_at = input.m_context.m_clock.now();
    if (progress.m_bytes / min_progress_bytes != before / min_progress_bytes) {
        input.m_share->record_progress(progress.m_progressed_at);
    }
    return failed;
}

// Returns the memory that the request and the buffer take beyond that of an idle connection.
std::uint64_t held_for(const request_input& input, const request_parser& parser,
                       std::uint64_t head_bytes) {
    const std::size_t buffer_bytes = input.m_buffer.capacity();
    return head_bytes + parser.get().body().held_bytes() + buffer_bytes -
           std::min(buffer_bytes, first_read_bytes);
}

} // namespace

request_input::request_input(traffic_context& context, const std::shared_ptr<call_control>& control)
    : m_context(context), m_control(control),
      m_share(std::make_shared<byte_share>(context.m_budget, client_address(*control),
                                           make_rejection(control))),
      m_buffer(read_ahead_bytes) {}

error_code await_request_bytes(request_input& input, asio::yield_context yield) {
    error_code failed;
    if (input.m_buffer.size() == 0) {
        const std::size_t size = input.m_control->incoming().async_read_some(
            input.m_buffer.prepare(first_read_bytes), yield[failed]);
        if (!failed) {
            input.m_buffer.commit(size);
        }
    }
    return failed;
}

namespace {

// State of the reading of one request.
struct reading {
    receive_progress m_progress;
    receive_limits m_times;
    std::uint64_t m_head_bytes = 0;
};

// Reads until the head or, if the head is complete, the whole request has been parsed.
error_code read_part(request_input& input, request_parser& parser, byte_charge& charge,
                     reading& state, asio::yield_context yield) {
    const bool head = !state.m_progress.m_head_complete;
    while (true) {
        error_code failed = parse_buffered(input, parser);
        if (failed || parser.is_done() || (head && parser.is_header_done())) {
            return failed;
        }
        if (!charge.resize(held_for(input, parser, state.m_head_bytes))) {
            return asio::error::no_buffer_space;
        }
        set_deadline(input, state.m_progress, state.m_times);
        failed = read_more(input, state.m_progress, yield);
        if (failed) {
            return failed;
        }
    }
}

// Reads the body. The connection may be rejected meanwhile.
error_code read_body(request_input& input, request_parser& parser, byte_charge& charge,
                     reading& state, bool confirm, asio::yield_context yield) {
    const rejectable_scope rejectable(*input.m_share, state.m_progress.m_progressed_at);
    parser.eager(true);
    const error_code failed = confirm ? confirm_expectation(input, parser, yield) : error_code{};
    return failed ? failed : read_part(input, parser, charge, state, yield);
}

// Records that the request was cut off because it made too little progress.
void record_slow_request(const request_input& input, const receive_progress& progress) {
    const time_point now = input.m_context.m_clock.now();
    if (now >= input.m_deadline && !input.m_share->is_rejected()) {
        input.m_context.m_budget.record_rejection(rejection_cause::no_progress,
                                                  input.m_share->bytes(), input.m_share->address(),
                                                  now - progress.m_progressed_at);
    }
}

} // namespace

error_code read_request(request_input& input, request_parser& parser, byte_charge& charge,
                        bool confirm, asio::yield_context yield) {
    const request_limits& limits = input.m_context.m_request_limits;
    const std::uint32_t max_header_bytes = limits.m_max_header_bytes + added_header_bytes;
    parser.header_limit(max_header_bytes);
    parser.body_limit(limits.m_max_body_bytes.load(std::memory_order_relaxed));
    parser.eager(false); // stops at the end of the head
    input.m_buffer.max_size(std::max(max_header_bytes + read_ahead_bytes, input.m_buffer.size()));
    const time_point start = input.m_context.m_clock.now();
    reading state{
        {start, start, input.m_buffer.size(), false},
        {limits.head_time() + head_time_allowance, limits.m_body_pause, limits.m_min_body_rate}};
    error_code failed = read_part(input, parser, charge, state, yield);
    if (!failed) {
        input.m_control->set_used();
        state.m_progress.m_head_complete = true;
        state.m_head_bytes = state.m_progress.m_bytes - input.m_buffer.size();
        if (!parser.is_done()) {
            failed = read_body(input, parser, charge, state, confirm, yield);
        }
    }
    if (failed) {
        record_slow_request(input, state.m_progress);
    }
    input.m_deadline = time_point::max();
    if (input.m_buffer.size() == 0 && input.m_buffer.capacity() > first_read_bytes) {
        input.m_buffer.clear();
        input.m_buffer.shrink_to_fit();
    }
    charge.resize(failed ? 0 : held_for(input, parser, state.m_head_bytes));
    return failed;
}

namespace {

// Returns the refusal for a request that could not be read, or nothing if the connection ended.
std::optional<http_response> refusal_for_read_error(const error_code& failed) {
    if (failed == http::error::body_limit) {
        return make_error_response(error_kind::body_too_large, "the body is above the limit");
    }
    if (failed == http::error::header_limit || failed == http::error::buffer_overflow) {
        return make_error_response(error_kind::bad_request, "the headers are above the limit");
    }
    if (failed == http::error::end_of_stream || failed == http::error::partial_message ||
        failed.category() != http::make_error_code(http::error::end_of_stream).category()) {
        return std::nullopt;
    }
    return make_error_response(error_kind::bad_request, "not a valid HTTP request");
}

} // namespace

std::optional<http_response> make_read_refusal(const request_input& input, const error_code& failed,
                                               const request_parser& parser) {
    auto refusal =
        input.m_share->is_rejected()
            ? make_error_response(error_kind::memory_limit, "too many bytes are held for clients")
            : refusal_for_read_error(failed);
    const std::string number(header_value(parser.get(), header::exchange));
    if (refusal && !number.empty()) {
        set_header(*refusal, header::exchange, number);
    }
    return refusal;
}

} // namespace caraway
