#include "peer/transport.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>

namespace caraway {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;

// Receive buffer of the UDP socket, large enough for a burst of rumours from all peers that gossip
// to this node.
constexpr int udp_receive_buffer_bytes = 1 << 20;
// Maximum number of requests accepted at the same time. The control thread computes the replies one
// after the other.
constexpr std::size_t max_concurrent_requests_served = 16;
// Maximum size of a bulk message. A join reply with 14,000 members is below 3 MiB.
constexpr std::size_t max_bulk_bytes = 8U << 20U;
// Maximum size of a bulk request. The largest one holds all members.
constexpr std::size_t max_request_bytes = 3U << 20U;
// Maximum number of connections that have not delivered a request yet. The control thread computes
// a reply within 18 ms, so a node whose request waits behind this many has nearly given up. With
// max_request_bytes, such connections hold at most 48 MiB.
constexpr std::size_t max_undelivered_pipes = 16;
// Maximum number of connections of other nodes.
constexpr std::size_t max_pipes = 64;

// Returns the nng URL of an endpoint. A source address precedes the remote address, see nng_tcp(7).
std::string nng_url(const ip_endpoint& endpoint, std::string_view source_address = {}) {
    return fmt::format("tcp://{}{}{}", source_address, source_address.empty() ? "" : ";",
                       format_endpoint(endpoint));
}

// Connections (nng: pipes) of other nodes. When there are too many, the oldest one is closed, first
// among those that have not delivered a request, so that connections that send nothing, or only a
// part of a message, neither take the memory of the process nor keep other nodes out. Used by the
// threads of nng.
class pipe_table {
public:
    // Adds a connection. Returns the one that has to be closed, if any.
    std::optional<nng_pipe> add(nng_pipe added) {
        const std::lock_guard lock(m_mutex);
        m_pipes.push_back({added, false});
        const auto is_undelivered = [](const entry& pipe) { return !pipe.m_delivered; };
        const auto undelivered = std::count_if(m_pipes.begin(), m_pipes.end(), is_undelivered);
        auto closing = m_pipes.end();
        if (static_cast<std::size_t>(undelivered) > max_undelivered_pipes) {
            closing = std::find_if(m_pipes.begin(), m_pipes.end(), is_undelivered);
        } else if (m_pipes.size() > max_pipes) {
            closing = m_pipes.begin();
        }
        if (closing == m_pipes.end()) {
            return std::nullopt;
        }
        const nng_pipe pipe = closing->m_pipe;
        m_pipes.erase(closing);
        return pipe;
    }
    void set_delivered(nng_pipe delivered) {
        const std::lock_guard lock(m_mutex);
        for (entry& pipe : m_pipes) {
            pipe.m_delivered |= nng_pipe_id(pipe.m_pipe) == nng_pipe_id(delivered);
        }
    }
    void remove(nng_pipe removed) {
        const std::lock_guard lock(m_mutex);
        std::erase_if(m_pipes, [removed](const entry& pipe) {
            return nng_pipe_id(pipe.m_pipe) == nng_pipe_id(removed);
        });
    }

private:
    struct entry {
        nng_pipe m_pipe;
        bool m_delivered;
    };
    std::mutex m_mutex;
    std::vector<entry> m_pipes; // oldest first
};

// Called by nng when another node has connected or a connection has ended.
void on_pipe_event(nng_pipe pipe, nng_pipe_ev event, void* argument) {
    auto* pipes = static_cast<pipe_table*>(argument);
    if (event == NNG_PIPE_EV_REM_POST) {
        pipes->remove(pipe);
        return;
    }
    if (const auto surplus = pipes->add(pipe)) {
        nng_pipe_close(*surplus);
    }
}

} // namespace

class datagram_socket::impl : public std::enable_shared_from_this<datagram_socket::impl> {
public:
    impl(asio::io_context& context, receiver on_packet, byte_counter count_bytes)
        : m_socket(context), m_on_packet(std::move(on_packet)),
          m_count_bytes(std::move(count_bytes)) {}

    bool bind(const ip_endpoint& listen, error& reason) {
        boost::system::error_code ec;
        const auto address = asio::ip::make_address(listen.m_address, ec);
        const udp::endpoint endpoint(address, listen.m_port);
        if (!ec) {
            m_socket.open(endpoint.protocol(), ec);
        }
        if (!ec) {
            m_socket.bind(endpoint, ec);
        }
        if (ec) {
            fail(reason, error_kind::invalid_settings,
                 fmt::format("bind UDP {}: {}", format_endpoint(listen), ec.message()));
            return false;
        }
        m_socket.non_blocking(true, ec);
        m_socket.set_option(asio::socket_base::receive_buffer_size(udp_receive_buffer_bytes), ec);
        return true;
    }

    void receive() {
        m_socket.async_receive_from(
            asio::buffer(m_buffer), m_sender_endpoint,
            [self = shared_from_this()](const boost::system::error_code& ec, std::size_t size) {
                if (ec == asio::error::operation_aborted || !self->m_socket.is_open()) {
                    return;
                }
                if (!ec) {
                    self->m_count_bytes(0, size);
                    const ip_endpoint from{self->m_sender_endpoint.address().to_string(),
                                           self->m_sender_endpoint.port()};
                    self->m_on_packet(from, {self->m_buffer.data(), size});
                }
                self->receive();
            });
    }

    void send(const ip_endpoint& to, std::string_view bytes) {
        boost::system::error_code ec;
        const auto address = asio::ip::make_address(to.m_address, ec);
        if (ec) {
            return;
        }
        const std::size_t sent = m_socket.send_to(asio::buffer(bytes.data(), bytes.size()),
                                                  udp::endpoint(address, to.m_port), 0, ec);
        m_count_bytes(sent, 0);
    }

    void close() {
        boost::system::error_code ec;
        m_socket.close(ec);
    }

private:
    udp::socket m_socket;
    receiver m_on_packet;
    byte_counter m_count_bytes;
    udp::endpoint m_sender_endpoint;
    std::array<char, 2048> m_buffer{};
};

std::unique_ptr<datagram_socket> datagram_socket::open(asio::io_context& context,
                                                       const ip_endpoint& listen,
                                                       receiver on_packet, byte_counter count_bytes,
                                                       error& reason) {
    auto implementation =
        std::make_shared<impl>(context, std::move(on_packet), std::move(count_bytes));
    if (!implementation->bind(listen, reason)) {
        return nullptr;
    }
    implementation->receive();
    return std::unique_ptr<datagram_socket>(new datagram_socket(std::move(implementation)));
}

datagram_socket::datagram_socket(std::shared_ptr<impl> implementation)
    : m_impl(std::move(implementation)) {}

datagram_socket::~datagram_socket() {
    m_impl->close();
}

void datagram_socket::send(const ip_endpoint& to, std::string_view bytes) {
    m_impl->send(to, bytes);
}

// nng calls back on its own threads. These callbacks only copy or move the message and post the
// rest of the work to the control thread.
class bulk_transport::impl : public std::enable_shared_from_this<bulk_transport::impl> {
public:
    impl(asio::io_context& context, handler on_request, byte_counter count_bytes,
         std::string_view source_address)
        : m_context(context), m_on_request(std::move(on_request)),
          m_count_bytes(std::move(count_bytes)), m_source_address(source_address) {}
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;
    impl(impl&&) = delete;
    impl& operator=(impl&&) = delete;

    // Closing the socket ends every receive. Freeing an aio waits for its callback.
    ~impl() {
        nng_pipe_notify(m_server_socket, NNG_PIPE_EV_ADD_PRE, nullptr, nullptr);
        nng_pipe_notify(m_server_socket, NNG_PIPE_EV_REM_POST, nullptr, nullptr);
        nng_close(m_server_socket);
        for (const auto& slot : m_slots) {
            nng_aio_free(slot->m_aio);
        }
    }

    bool listen(const ip_endpoint& address, error& reason) {
        int status = nng_rep0_open(&m_server_socket);
        if (status == 0) {
            nng_socket_set_size(m_server_socket, NNG_OPT_RECVMAXSZ, max_request_bytes);
            nng_pipe_notify(m_server_socket, NNG_PIPE_EV_ADD_PRE, on_pipe_event, &m_pipes);
            nng_pipe_notify(m_server_socket, NNG_PIPE_EV_REM_POST, on_pipe_event, &m_pipes);
            status = nng_listen(m_server_socket, nng_url(address).c_str(), nullptr, 0);
        }
        for (std::size_t i = 0; status == 0 && i < max_concurrent_requests_served; ++i) {
            auto slot = std::make_unique<serving_slot>();
            slot->m_owner = this;
            status = nng_ctx_open(&slot->m_nng_context, m_server_socket);
            if (status == 0) {
                status = nng_aio_alloc(&slot->m_aio, &impl::on_server_event, slot.get());
            }
            if (status == 0) {
                m_slots.push_back(std::move(slot));
            }
        }
        if (status != 0) {
            fail(reason, error_kind::invalid_settings,
                 fmt::format("listen for bulk messages on {}: {}", format_endpoint(address),
                             nng_strerror(status)));
            return false;
        }
        m_weak_self = weak_from_this();
        for (const auto& slot : m_slots) {
            nng_ctx_recv(slot->m_nng_context, slot->m_aio);
        }
        return true;
    }

    void request(const ip_endpoint& to, std::string_view bytes, milliseconds timeout,
                 callback done) {
        if (m_pending >= max_pending_requests) {
            done(error_kind::peer_busy, {});
            return;
        }
        auto pending = std::make_unique<pending_request>();
        int status = nng_req0_open(&pending->m_socket);
        if (status == 0) {
            nng_socket_set_size(pending->m_socket, NNG_OPT_RECVMAXSZ, max_bulk_bytes);
            // By default nng sends the request again on a new connection. That is turned off, since
            // the calling code decides about retries.
            nng_socket_set_ms(pending->m_socket, NNG_OPT_REQ_RESENDTIME, NNG_DURATION_INFINITE);
            status = nng_aio_alloc(&pending->m_aio, &impl::on_client_event, pending.get());
        }
        if (status == 0) {
            status = nng_dial(pending->m_socket, nng_url(to, m_source_address).c_str(), nullptr,
                              NNG_FLAG_NONBLOCK);
        }
        nng_msg* message = nullptr;
        if (status == 0) {
            status = nng_msg_alloc(&message, 0);
        }
        if (status != 0) {
            if (pending->m_aio != nullptr) {
                nng_aio_free(pending->m_aio);
            }
            nng_close(pending->m_socket);
            done(error_kind::peer_unreachable, {});
            return;
        }
        nng_msg_append(message, bytes.data(), bytes.size());
        m_count_bytes(bytes.size(), 0);
        ++m_pending;
        pending->m_owner = m_weak_self;
        pending->m_context = &m_context;
        pending->m_deadline = std::chrono::steady_clock::now() + timeout;
        pending->m_done = std::move(done);
        nng_aio_set_timeout(pending->m_aio, static_cast<nng_duration>(timeout.count()));
        nng_aio_set_msg(pending->m_aio, message);
        pending_request* raw = pending.release(); // owned by its callbacks until finish()
        nng_send_aio(raw->m_socket, raw->m_aio);
    }

private:
    // Receives and answers one request after another.
    struct serving_slot {
        impl* m_owner = nullptr;
        nng_ctx m_nng_context = NNG_CTX_INITIALIZER;
        nng_aio* m_aio = nullptr;
        bool m_sending = false;
    };

    // An outgoing request. Its callbacks own it until finish() frees it.
    struct pending_request {
        std::weak_ptr<impl> m_owner;
        asio::io_context* m_context = nullptr;
        nng_socket m_socket = NNG_SOCKET_INITIALIZER;
        nng_aio* m_aio = nullptr;
        std::chrono::steady_clock::time_point m_deadline;
        callback m_done;
        bool m_receiving = false;
        error_kind m_kind = error_kind::none;
        std::string m_reply;
    };

    // Runs on an nng thread after a request was received or a reply was sent.
    static void on_server_event(void* argument) {
        auto* slot = static_cast<serving_slot*>(argument);
        const int status = nng_aio_result(slot->m_aio);
        if (status == NNG_ECLOSED || status == NNG_ECANCELED) {
            return;
        }
        if (slot->m_sending || status != 0) {
            if (slot->m_sending && status != 0) {
                nng_msg_free(nng_aio_get_msg(slot->m_aio));
            }
            slot->m_sending = false;
            nng_ctx_recv(slot->m_nng_context, slot->m_aio);
            return;
        }
        nng_msg* message = nng_aio_get_msg(slot->m_aio);
        slot->m_owner->m_pipes.set_delivered(nng_msg_get_pipe(message));
        asio::post(slot->m_owner->m_context, [weak_owner = slot->m_owner->m_weak_self, slot,
                                              message] { serve(weak_owner, slot, message); });
    }

    // Computes and sends the reply to a request. Runs on the control thread.
    static void serve(const std::weak_ptr<impl>& weak_owner, serving_slot* slot, nng_msg* message) {
        const auto self = weak_owner.lock();
        if (!self) {
            nng_msg_free(message);
            return;
        }
        const std::string_view request(static_cast<const char*>(nng_msg_body(message)),
                                       nng_msg_len(message));
        const std::string reply = self->m_on_request(request);
        self->m_count_bytes(reply.size(), request.size());
        nng_msg_clear(message);
        nng_msg_append(message, reply.data(), reply.size());
        slot->m_sending = true;
        nng_aio_set_msg(slot->m_aio, message);
        nng_ctx_send(slot->m_nng_context, slot->m_aio);
    }

    // Runs on an nng thread after the request was sent, the reply was received, or either failed.
    static void on_client_event(void* argument) {
        auto* pending = static_cast<pending_request*>(argument);
        const int status = nng_aio_result(pending->m_aio);
        if (status != 0 && !pending->m_receiving) {
            nng_msg_free(nng_aio_get_msg(pending->m_aio));
        }
        const auto remaining = std::chrono::duration_cast<milliseconds>(
            pending->m_deadline - std::chrono::steady_clock::now());
        if (status == 0 && !pending->m_receiving && remaining > milliseconds{0}) {
            pending->m_receiving = true;
            nng_aio_set_timeout(pending->m_aio, static_cast<nng_duration>(remaining.count()));
            nng_recv_aio(pending->m_socket, pending->m_aio);
            return;
        }
        if (status == 0 && pending->m_receiving) {
            nng_msg* message = nng_aio_get_msg(pending->m_aio);
            pending->m_reply.assign(static_cast<const char*>(nng_msg_body(message)),
                                    nng_msg_len(message));
            nng_msg_free(message);
        } else {
            pending->m_kind = error_kind::peer_unreachable;
        }
        asio::post(*pending->m_context, [pending] { finish(pending); });
    }

    // Reports the result of a request and frees it. Runs on the control thread after the last nng
    // callback of the request.
    static void finish(pending_request* raw) {
        const std::unique_ptr<pending_request> pending(raw);
        nng_close(pending->m_socket);
        nng_aio_free(pending->m_aio);
        const auto self = pending->m_owner.lock();
        if (!self) {
            return;
        }
        --self->m_pending;
        self->m_count_bytes(0, pending->m_reply.size());
        pending->m_done(pending->m_kind, pending->m_reply);
    }

    asio::io_context& m_context;
    handler m_on_request;
    byte_counter m_count_bytes;
    std::string m_source_address;
    nng_socket m_server_socket = NNG_SOCKET_INITIALIZER;
    pipe_table m_pipes;
    std::vector<std::unique_ptr<serving_slot>> m_slots;
    std::weak_ptr<impl> m_weak_self;
    std::size_t m_pending = 0;
};

std::unique_ptr<bulk_transport> bulk_transport::open(asio::io_context& context,
                                                     const ip_endpoint& listen, handler on_request,
                                                     byte_counter count_bytes, error& reason,
                                                     std::string_view source_address) {
    auto implementation = std::make_shared<impl>(context, std::move(on_request),
                                                 std::move(count_bytes), source_address);
    if (!implementation->listen(listen, reason)) {
        return nullptr;
    }
    return std::unique_ptr<bulk_transport>(new bulk_transport(std::move(implementation)));
}

bulk_transport::bulk_transport(std::shared_ptr<impl> implementation)
    : m_impl(std::move(implementation)) {}

bulk_transport::~bulk_transport() = default;

void bulk_transport::request(const ip_endpoint& to, std::string_view bytes, milliseconds timeout,
                             callback done) {
    m_impl->request(to, bytes, timeout, std::move(done));
}

} // namespace caraway
