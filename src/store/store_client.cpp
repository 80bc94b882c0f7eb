#include "store/store_client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <deque>

#include "base/dead_peer.hpp"
#include "http/answer_reader.hpp"
#include "store/store_era.hpp"
#include "store/store_version.hpp"

namespace caraway {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

// Maximum number of idle connections kept for later calls. A node has only a few calls in progress:
// watches, lease renewals and one write.
constexpr std::size_t max_idle_connections = 4;
// Maximum size of a reply body. Large enough for a list of 100 verdicts (see ctl/records.hpp) and
// for one value of a megabyte as escaped JSON.
constexpr std::size_t max_reply_bytes = 8U << 20U;
constexpr exchange_limits answer_limits{16U << 10U, max_reply_bytes};
// Capacity of the read buffer in bytes. A chunk line or a trailer has to fit into it.
constexpr std::size_t max_buffer_bytes = 128U << 10U;
// Time that a watch may take in addition to the wait in its request.
constexpr milliseconds watch_timeout_margin{1'000};

// One store call with its timeout and callback.
struct store_call {
    store_command m_command;
    milliseconds m_timeout{};
    store_callback m_done;
};

// Result of one HTTP request: the response, or the error if there is none, and the bytes
// transferred.
struct http_exchange {
    error_kind m_kind = error_kind::none;
    std::string m_error_text;
    http_response m_response;
    std::uint64_t m_sent = 0;
    std::uint64_t m_received = 0;
    bool m_reusable = false; // the connection can carry another request
};

// Returns the era that a response states. A malformed header counts as the earliest era, so that
// the response is ignored if a later one is known.
std::uint64_t stated_era(const store_codec& codec, const http_response& response) {
    if (codec.m_era_header.empty()) {
        return 0;
    }
    const auto header = response[codec.m_era_header];
    return parse_era({header.data(), header.size()}).value_or(0);
}

// Decodes the response of the store, or reports the error of the HTTP request.
store_reply make_reply(const store_codec& codec, const store_command& command,
                       const http_exchange& finished) {
    if (finished.m_kind != error_kind::none) {
        store_reply reply;
        reply.m_kind = finished.m_kind;
        reply.m_text = finished.m_error_text;
        return reply;
    }
    const auto revision = finished.m_response["x-revision"];
    return codec.m_decode(command, {finished.m_response.result_int(),
                                    {revision.data(), revision.size()},
                                    finished.m_response.body()});
}

// Reads from the connection until the answer is complete, and counts the bytes. Returns false with
// the reason if it is invalid or ended early.
bool read_answer(beast::tcp_stream& stream, beast::flat_buffer& buffer, answer_reader& reader,
                 std::uint64_t& received, const asio::yield_context& yield, error& reason) {
    while (true) {
        const std::string_view bytes(static_cast<const char*>(buffer.data().data()), buffer.size());
        buffer.consume(reader.parse(bytes, reason));
        if (reason.m_kind != error_kind::none || reader.is_done()) {
            return reason.m_kind == error_kind::none;
        }
        const std::size_t size = beast::read_size(buffer, max_read_bytes);
        if (size == 0) {
            fail(reason, error_kind::answer_invalid, "a line is above the limit");
            return false;
        }
        beast::error_code ec;
        const std::size_t added = stream.async_read_some(buffer.prepare(size), yield[ec]);
        buffer.commit(added);
        received += added;
        if (ec == asio::error::eof && reader.end()) {
            return true;
        }
        if (ec) {
            fail(reason, error_kind::answer_truncated, ec.message());
            return false;
        }
    }
}

} // namespace

class store_client::impl : public std::enable_shared_from_this<store_client::impl> {
public:
    impl(asio::io_context& context, std::vector<ip_endpoint> addresses, store_codec codec,
         milliseconds timeout, store_observer observer)
        : m_context(context), m_addresses(std::move(addresses)), m_codec(std::move(codec)),
          m_timeout(timeout), m_observer(std::move(observer)) {}

    void start(store_call call) {
        asio::spawn(
            m_context,
            [self = shared_from_this(), call = std::move(call)](asio::yield_context yield) {
                const std::uint64_t sent_era = self->m_era;
                http_exchange finished;
                auto outdated = refuse_outdated(call.m_command, sent_era);
                if (!outdated) {
                    finished = self->run(call, yield);
                }
                if (self->m_stopped) {
                    return;
                }
                const store_reply reply =
                    outdated ? *outdated : self->receive(call.m_command, finished, sent_era);
                if (self->m_observer) {
                    self->m_observer(call.m_command, reply.m_kind, finished.m_sent,
                                     finished.m_received);
                }
                call.m_done(reply);
            },
            [](const std::exception_ptr& failure) {
                if (failure) {
                    std::rethrow_exception(failure);
                }
            });
    }

    // Discards the callbacks of all calls in progress.
    void stop() {
        m_stopped = true;
        m_idle_connections.clear();
    }

    milliseconds timeout() const { return m_timeout; }
    std::uint64_t era() const { return m_era; }
    void learn_era(std::uint64_t era) { m_era = std::max(m_era, era); }

private:
    // Decodes the response to a call, with versions in place of revisions, and learns its era.
    store_reply receive(const store_command& command, const http_exchange& finished,
                        std::uint64_t sent_era) {
        store_reply reply = make_reply(m_codec, command, finished);
        if (finished.m_kind != error_kind::none) {
            return reply;
        }
        const std::uint64_t answer_era = stated_era(m_codec, finished.m_response);
        learn_era(answer_era);
        return reply_in_era(command, std::move(reply), sent_era, answer_era, m_era);
    }

    // Sends the request and reads the response. An idle connection that the store has closed is
    // detected before anything is written. After a failed exchange the outcome of a write is
    // unknown if any byte was sent.
    http_exchange run(const store_call& call, const asio::yield_context& yield) {
        http_exchange out;
        beast::error_code ec;
        std::unique_ptr<beast::tcp_stream> stream = take_idle();
        if (!stream) {
            stream = connect(yield, ec);
            if (ec) {
                out.m_kind = error_kind::store_unreachable;
                out.m_error_text = ec.message();
                return out;
            }
        }
        store_http_request encoded = m_codec.m_encode(with_revisions(call.m_command));
        http::request<http::string_body> request;
        request.version(11);
        request.method_string(encoded.m_method);
        request.target(encoded.m_target);
        request.set(http::field::host, "store");
        if (!encoded.m_body.empty()) {
            request.set(http::field::content_type, "application/json");
        }
        request.body() = std::move(encoded.m_body);
        request.prepare_payload();
        stream->expires_after(call.m_timeout);
        out.m_sent = http::async_write(*stream, request, yield[ec]);
        if (ec) {
            out.m_error_text = ec.message();
        }
        if (ec || !receive_answer(*stream, request.method(), out, yield)) {
            // The store may have stopped answering on the idle connections, too.
            m_idle_connections.clear();
            out.m_kind = is_read(call.m_command.m_operation) || out.m_sent == 0
                             ? error_kind::store_unreachable
                             : error_kind::store_outcome_unknown;
            return out;
        }
        if (out.m_reusable && m_idle_connections.size() < max_idle_connections && !m_stopped) {
            stream->expires_never();
            m_idle_connections.push_back(std::move(stream));
        }
        return out;
    }

    // Reads the final answer to a request; interim ones are dropped. Returns false with the text of
    // the error if there is none.
    static bool receive_answer(beast::tcp_stream& stream, http::verb method, http_exchange& out,
                               const asio::yield_context& yield) {
        beast::flat_buffer buffer(max_buffer_bytes);
        for (int interim = 0; interim <= max_interim_answers; ++interim) {
            answer_reader reader(method, answer_limits);
            error reason;
            if (!read_answer(stream, buffer, reader, out.m_received, yield, reason)) {
                out.m_error_text = reason.m_text;
                return false;
            }
            if (reader.answer().result_int() / 100 != 1) {
                // Bytes after the answer would be taken for the next one.
                out.m_reusable = reader.keeps_connection() && buffer.size() == 0;
                out.m_response = reader.release();
                return true;
            }
        }
        out.m_error_text = "too many interim answers came before the final one";
        return false;
    }

    std::unique_ptr<beast::tcp_stream> connect(const asio::yield_context& yield,
                                               beast::error_code& ec) {
        auto stream = std::make_unique<beast::tcp_stream>(m_context);
        const ip_endpoint& address = m_addresses[m_next_address % m_addresses.size()];
        stream->expires_after(m_timeout);
        const auto ip = asio::ip::make_address(address.m_address, ec);
        if (!ec) {
            stream->async_connect(tcp::endpoint(ip, address.m_port), yield[ec]);
        }
        if (ec) {
            ++m_next_address;
            return nullptr;
        }
        beast::error_code ignored;
        stream->socket().set_option(tcp::no_delay(true), ignored);
        detect_dead_peer(stream->socket().native_handle());
        return stream;
    }

    // Returns an idle connection that the store has not closed, or null if there is none.
    std::unique_ptr<beast::tcp_stream> take_idle() {
        while (!m_idle_connections.empty()) {
            std::unique_ptr<beast::tcp_stream> stream = std::move(m_idle_connections.back());
            m_idle_connections.pop_back();
            beast::error_code ec;
            char peeked_byte = 0;
            stream->socket().non_blocking(true, ec);
            stream->socket().receive(asio::buffer(&peeked_byte, 1), tcp::socket::message_peek, ec);
            if (ec == asio::error::would_block) {
                return stream;
            }
        }
        return nullptr;
    }

    asio::io_context& m_context;
    std::vector<ip_endpoint> m_addresses;
    std::size_t m_next_address = 0;
    store_codec m_codec;
    milliseconds m_timeout;
    store_observer m_observer;
    std::deque<std::unique_ptr<beast::tcp_stream>> m_idle_connections;
    std::uint64_t m_era = 0; // the highest known
    bool m_stopped = false;
};

namespace {

// Requests all pages of a list and reports them as one reply. The pages are not a snapshot, so the
// reply has the revision of the first page: a watch from there misses no change.
void collect_pages(const std::function<void(store_call)>& start, store_command command,
                   milliseconds timeout, std::shared_ptr<store_reply> collected,
                   store_callback done) {
    store_call call{command, timeout, nullptr};
    call.m_done = [start, command = std::move(command), timeout, collected = std::move(collected),
                   done = std::move(done)](const store_reply& page) mutable {
        const bool first = collected->m_revision == 0;
        if (page.m_kind != error_kind::none || (first && !page.m_has_more)) {
            done(page);
            return;
        }
        if (!first && era_of(page.m_revision) != era_of(collected->m_revision)) {
            store_reply failed;
            failed.m_kind = error_kind::store_unreachable;
            failed.m_text = "the store was restored between two pages";
            done(failed);
            return;
        }
        collected->m_revision = first ? page.m_revision : collected->m_revision;
        collected->m_entries.insert(collected->m_entries.end(), page.m_entries.begin(),
                                    page.m_entries.end());
        if (!page.m_has_more || page.m_entries.empty()) {
            done(*collected);
            return;
        }
        command.m_after_key = page.m_entries.back().m_key;
        collect_pages(start, std::move(command), timeout, std::move(collected), std::move(done));
    };
    start(std::move(call));
}

} // namespace

std::unique_ptr<store_client> store_client::create(asio::io_context& context,
                                                   std::vector<ip_endpoint> addresses,
                                                   store_codec codec, milliseconds timeout,
                                                   store_observer observer) {
    return std::unique_ptr<store_client>(new store_client(std::make_shared<impl>(
        context, std::move(addresses), std::move(codec), timeout, std::move(observer))));
}

store_client::store_client(std::shared_ptr<impl> implementation)
    : m_impl(std::move(implementation)) {}

store_client::~store_client() {
    m_impl->stop();
}

void store_client::run(store_command command, milliseconds timeout, store_callback done) {
    m_impl->start({std::move(command), timeout, std::move(done)});
}

void store_client::run_list(store_operation operation, std::string_view prefix, bool allow_stale,
                            store_callback done) {
    store_command command;
    command.m_operation = operation;
    command.m_allow_stale = allow_stale;
    command.m_key = prefix;
    const auto start = [implementation = m_impl](store_call call) {
        implementation->start(std::move(call));
    };
    collect_pages(start, std::move(command), m_impl->timeout(), std::make_shared<store_reply>(),
                  std::move(done));
}

void store_client::run_watch(store_operation operation, std::string_view prefix,
                             std::uint64_t after, milliseconds wait, store_callback done) {
    store_command command;
    command.m_operation = operation;
    command.m_key = prefix;
    command.m_revision = after;
    command.m_wait = wait;
    run(std::move(command), wait + watch_timeout_margin, std::move(done));
}

std::uint64_t store_client::era() const {
    return m_impl->era();
}

void store_client::learn_era(std::uint64_t era) {
    m_impl->learn_era(era);
}

void store_client::get(std::string_view key, store_callback done) {
    store_command command;
    command.m_key = key;
    run(std::move(command), m_impl->timeout(), std::move(done));
}

void store_client::put(std::string_view key, std::string_view value,
                       std::optional<std::uint64_t> if_revision, std::string_view lease,
                       store_callback done) {
    put_fenced(key, value, if_revision, lease, {}, std::move(done));
}

void store_client::put_fenced(std::string_view key, std::string_view value,
                              std::optional<std::uint64_t> if_revision, std::string_view lease,
                              store_fence fence, store_callback done) {
    store_command command;
    command.m_fence = std::move(fence);
    command.m_operation = store_operation::put;
    command.m_key = key;
    command.m_value = value;
    command.m_if_revision = if_revision;
    command.m_lease = lease;
    run(std::move(command), m_impl->timeout(), std::move(done));
}

void store_client::remove(std::string_view key, std::optional<std::uint64_t> if_revision,
                          store_callback done) {
    store_command command;
    command.m_operation = store_operation::remove;
    command.m_key = key;
    command.m_if_revision = if_revision;
    run(std::move(command), m_impl->timeout(), std::move(done));
}

void store_client::list(std::string_view prefix, store_callback done) {
    run_list(store_operation::list, prefix, false, std::move(done));
}

void store_client::list_stale(std::string_view prefix, store_callback done) {
    run_list(store_operation::list, prefix, true, std::move(done));
}

void store_client::watch(std::string_view prefix, std::uint64_t after, milliseconds wait,
                         store_callback done) {
    run_watch(store_operation::watch, prefix, after, wait, std::move(done));
}

void store_client::list_keys(std::string_view prefix, store_callback done) {
    run_list(store_operation::list_keys, prefix, false, std::move(done));
}

void store_client::watch_keys(std::string_view prefix, std::uint64_t after, milliseconds wait,
                              store_callback done) {
    run_watch(store_operation::watch_keys, prefix, after, wait, std::move(done));
}

void store_client::create_lease(milliseconds period, store_callback done) {
    store_command command;
    command.m_operation = store_operation::create_lease;
    command.m_period = period;
    run(std::move(command), m_impl->timeout(), std::move(done));
}

void store_client::renew_lease(std::string_view lease, store_callback done) {
    store_command command;
    command.m_operation = store_operation::renew_lease;
    command.m_lease = lease;
    run(std::move(command), m_impl->timeout(), std::move(done));
}

void store_client::end_lease(std::string_view lease, store_callback done) {
    store_command command;
    command.m_operation = store_operation::end_lease;
    command.m_lease = lease;
    run(std::move(command), m_impl->timeout(), std::move(done));
}

} // namespace caraway
