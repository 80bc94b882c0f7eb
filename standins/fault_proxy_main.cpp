// Stand-in for the network. Forwards TCP connections and UDP datagrams over named links and injects
// delay, loss, partitions, truncation and bandwidth limits, which can be changed at run time.
#include <algorithm>
#include <array>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <set>

#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>

#include "base/random.hpp"
#include "standins/common.hpp"
#include "standins/http_server.hpp"

namespace caraway::standins {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;
using asio::ip::udp;
using boost::system::error_code;
using std::chrono::steady_clock;

constexpr std::size_t chunk_bytes = 16U << 10U;     // largest single read from a TCP socket
constexpr std::size_t datagram_bytes = 4U << 10U;   // datagrams of this size or more are dropped
constexpr std::size_t max_queued_bytes = 1U << 20U; // per direction; reading pauses above it
// Limit per link. Datagrams from further senders are dropped.
constexpr std::size_t max_udp_senders = 4096;
// A sender's socket is closed after this idle time, because one process doesn't have enough file
// descriptors for all pairs of nodes in a large mesh.
constexpr std::chrono::seconds udp_sender_idle{10};
constexpr std::size_t max_held_datagrams = 1000; // on a frozen link; more are dropped

// Direction of traffic on a link.
enum direction : std::uint8_t { to_target, to_client };

// Faults to inject on a link, set through the control address.
struct link_faults {
    milliseconds m_delay{0};
    bool m_cut = false;    // drops datagrams, resets and refuses connections
    bool m_freeze = false; // holds back all data until it is cleared
    // Clients with these addresses are cut off; other clients are not affected.
    std::set<asio::ip::address> m_cut_sources;
    // Share of datagrams that are dropped and of TCP reads that reset the connection.
    std::uint64_t m_loss_permille = 0;
    // Number of bytes after which the next answer is truncated. Applies once.
    std::optional<std::size_t> m_truncate_after;
    std::uint64_t m_bandwidth_kbps = 0; // kilobits per second, 0: no limit
};

// Bytes of a TCP connection with the time at which they are to be sent.
struct chunk {
    time_point m_delivery_time;
    std::string m_bytes;
};

// One direction of a TCP connection. The read loop queues chunks and the write loop sends each at
// its delivery time. Cancelling a timer wakes the loop that waits for it.
struct tcp_flow {
    tcp_flow(asio::io_context& context, tcp::socket& from, tcp::socket& to)
        : m_from(from), m_to(to), m_reader_timer(context), m_writer_timer(context) {}

    tcp::socket& m_from;
    tcp::socket& m_to;
    std::deque<chunk> m_queue;
    std::size_t m_queued_bytes = 0;
    bool m_source_ended = false; // the source has shut down its sending side
    std::optional<std::size_t> m_bytes_until_truncation;
    asio::steady_timer m_reader_timer;
    asio::steady_timer m_writer_timer;
};

// A forwarded TCP connection: the client's socket and the one to the target.
struct tcp_pair {
    tcp_pair(asio::io_context& context, tcp::socket client)
        : m_client(std::move(client)), m_target(context),
          m_upstream_flow(context, m_client, m_target),
          m_downstream_flow(context, m_target, m_client) {
        error_code ec;
        m_address = m_client.remote_endpoint(ec).address();
    }

    tcp::socket m_client;
    tcp::socket m_target;
    tcp_flow m_upstream_flow;
    tcp_flow m_downstream_flow;
    asio::ip::address m_address; // of the client
    bool m_closed = false;
};

// A UDP client and the socket that forwards its datagrams to the target and receives the replies.
struct udp_sender {
    udp_sender(asio::io_context& context, udp::endpoint client)
        : m_client(client), m_upstream(context) {}

    udp::endpoint m_client;
    udp::socket m_upstream;
    time_point m_last_used;
};

// A named link with its sockets, faults and counters. Used by one thread only.
struct network_link {
    explicit network_link(asio::io_context& context)
        : m_context(context), m_acceptor(context), m_socket(context) {}

    asio::io_context& m_context;
    std::string m_name;
    bool m_is_udp = false;
    tcp::endpoint m_listen; // holds the address of a UDP link as well
    tcp::endpoint m_target;
    link_faults m_faults;
    random_source m_random{1};
    tcp::acceptor m_acceptor;
    std::list<std::shared_ptr<tcp_pair>> m_pairs;
    udp::socket m_socket;
    std::map<udp::endpoint, std::shared_ptr<udp_sender>> m_senders;
    std::deque<std::function<void()>> m_held_datagrams;
    // Time at which the limited bandwidth will have sent all bytes received until now, by
    // direction.
    std::array<time_point, 2> m_bandwidth_reserved_until{};
    std::array<std::uint64_t, 2> m_bytes{};
    std::array<std::uint64_t, 2> m_datagrams{};
    std::uint64_t m_connections = 0;
    std::uint64_t m_resets = 0;
    std::uint64_t m_lost_datagrams = 0;
    std::uint64_t m_truncated = 0;
};

// Returns when bytes that arrive now reach the other end, given the link's bandwidth and delay.
// Reserves the bandwidth for them.
time_point delivery_time(network_link& link, direction flow_direction, std::size_t bytes) {
    const time_point now = steady_clock::now();
    if (link.m_faults.m_bandwidth_kbps == 0) {
        return now + link.m_faults.m_delay;
    }
    time_point& reserved_until = link.m_bandwidth_reserved_until[flow_direction];
    reserved_until = std::max(now, reserved_until) +
                     std::chrono::microseconds(bytes * 8 * 1000 / link.m_faults.m_bandwidth_kbps);
    return reserved_until + link.m_faults.m_delay;
}

// Decides at random whether a datagram or a TCP read is lost.
bool draw_loss(network_link& link) {
    return link.m_random.below(1000) < link.m_faults.m_loss_permille;
}

// Returns whether the client cannot reach the target through this link.
bool is_cut_off(const network_link& link, const asio::ip::address& client) {
    return link.m_faults.m_cut || link.m_faults.m_cut_sources.contains(client);
}

// Wakes the loops of both directions, so that they check their state again.
void wake_flows(tcp_pair& pair) {
    for (tcp_flow* flow : {&pair.m_upstream_flow, &pair.m_downstream_flow}) {
        flow->m_reader_timer.cancel();
        flow->m_writer_timer.cancel();
    }
}

// Closes both sockets of a connection, either with a TCP reset, which both ends observe as an
// error, or in an orderly way.
void close_pair(tcp_pair& pair, bool by_reset) {
    if (pair.m_closed) {
        return;
    }
    pair.m_closed = true;
    for (tcp::socket* socket : {&pair.m_client, &pair.m_target}) {
        error_code ec;
        if (by_reset) {
            socket->set_option(asio::socket_base::linger(true, 0), ec);
        }
        socket->close(ec);
    }
    wake_flows(pair);
}

// Suspends the coroutine until the deadline or until the timer is cancelled.
void wait_until(asio::steady_timer& timer, time_point deadline, asio::yield_context yield) {
    error_code ec;
    timer.expires_at(deadline);
    timer.async_wait(yield[ec]);
}

// Reads one direction until its end and queues the chunks with their delivery times. A loss resets
// the connection.
void read_loop(network_link& link, tcp_pair& pair, tcp_flow& flow, direction flow_direction,
               asio::yield_context yield) {
    std::string buffer(chunk_bytes, '\0');
    while (!pair.m_closed) {
        if (flow.m_queued_bytes >= max_queued_bytes) {
            wait_until(flow.m_reader_timer, time_point::max(), yield);
            continue;
        }
        error_code ec;
        const std::size_t received_bytes =
            flow.m_from.async_read_some(asio::buffer(buffer), yield[ec]);
        if (pair.m_closed) {
            return;
        }
        if (ec && ec != asio::error::eof) {
            close_pair(pair, true);
            return;
        }
        if (ec) {
            flow.m_source_ended = true;
            flow.m_writer_timer.cancel();
            return;
        }
        if (draw_loss(link)) {
            ++link.m_resets;
            close_pair(pair, true);
            return;
        }
        flow.m_queue.push_back({delivery_time(link, flow_direction, received_bytes),
                                buffer.substr(0, received_bytes)});
        flow.m_queued_bytes += received_bytes;
        flow.m_writer_timer.cancel();
    }
}

// Shortens a chunk if the truncation limit of its connection is reached. Returns true if the
// connection must be closed after this chunk. The first connection on which the target answers
// takes the link's truncation fault.
bool truncate(network_link& link, tcp_flow& flow, std::string& bytes) {
    if (link.m_faults.m_truncate_after && !flow.m_bytes_until_truncation) {
        flow.m_bytes_until_truncation = std::exchange(link.m_faults.m_truncate_after, std::nullopt);
    }
    if (!flow.m_bytes_until_truncation) {
        return false;
    }
    if (bytes.size() < *flow.m_bytes_until_truncation) {
        *flow.m_bytes_until_truncation -= bytes.size();
        return false;
    }
    bytes.resize(*flow.m_bytes_until_truncation);
    return true;
}

// Sends the queued chunks of one direction at their delivery times, but not while the link is
// frozen.
void write_loop(network_link& link, tcp_pair& pair, tcp_flow& flow, direction flow_direction,
                asio::yield_context yield) {
    while (!pair.m_closed) {
        if (link.m_faults.m_freeze || (flow.m_queue.empty() && !flow.m_source_ended)) {
            wait_until(flow.m_writer_timer, time_point::max(), yield);
            continue;
        }
        error_code ec;
        if (flow.m_queue.empty()) {
            flow.m_to.shutdown(tcp::socket::shutdown_send, ec);
            if (pair.m_upstream_flow.m_source_ended && pair.m_downstream_flow.m_source_ended &&
                pair.m_upstream_flow.m_queue.empty() && pair.m_downstream_flow.m_queue.empty()) {
                close_pair(pair, false);
            }
            return;
        }
        if (flow.m_queue.front().m_delivery_time > steady_clock::now()) {
            wait_until(flow.m_writer_timer, flow.m_queue.front().m_delivery_time, yield);
            continue;
        }
        chunk next = std::move(flow.m_queue.front());
        flow.m_queue.pop_front();
        flow.m_queued_bytes -= next.m_bytes.size();
        flow.m_reader_timer.cancel();
        const bool truncated = flow_direction == to_client && truncate(link, flow, next.m_bytes);
        link.m_bytes[flow_direction] +=
            asio::async_write(flow.m_to, asio::buffer(next.m_bytes), yield[ec]);
        if (truncated) {
            ++link.m_truncated;
        }
        if (ec || truncated) {
            close_pair(pair, !truncated);
            return;
        }
    }
}

// Connects to the target and starts the loops of both directions. Resets the client's connection if
// the target can't be reached.
void run_pair(network_link& link, const std::shared_ptr<tcp_pair>& pair,
              asio::yield_context yield) {
    error_code ec;
    link.m_pairs.push_back(pair);
    const auto position = std::prev(link.m_pairs.end());
    pair->m_target.async_connect(link.m_target, yield[ec]);
    if (ec) {
        close_pair(*pair, true);
        link.m_pairs.erase(position);
        return;
    }
    pair->m_client.set_option(tcp::no_delay(true), ec);
    pair->m_target.set_option(tcp::no_delay(true), ec);
    // Removes the pair from the list when the last of the four loops has ended.
    const std::shared_ptr<void> erase_on_end(
        nullptr, [&link, position](void*) { link.m_pairs.erase(position); });
    const auto spawn_loop = [&](auto loop, tcp_flow& flow, direction flow_direction) {
        asio::spawn(
            link.m_context,
            [&link, pair, &flow, flow_direction, erase_on_end,
             loop](asio::yield_context inner_yield) {
                loop(link, *pair, flow, flow_direction, inner_yield);
            },
            asio::detached);
    };
    spawn_loop(read_loop, pair->m_upstream_flow, to_target);
    spawn_loop(write_loop, pair->m_upstream_flow, to_target);
    spawn_loop(read_loop, pair->m_downstream_flow, to_client);
    spawn_loop(write_loop, pair->m_downstream_flow, to_client);
}

// Accepts the connections of a TCP link until its listening socket is closed. Resets those of
// clients that are cut off.
void accept_loop(network_link& link, asio::yield_context yield) {
    while (link.m_acceptor.is_open()) {
        error_code ec;
        tcp::socket socket(link.m_context);
        link.m_acceptor.async_accept(socket, yield[ec]);
        if (ec == asio::error::operation_aborted) {
            return;
        }
        if (ec) {
            asio::steady_timer timer(link.m_context);
            // Probably out of file descriptors: retries later.
            wait_until(timer, steady_clock::now() + milliseconds(10), yield);
            continue;
        }
        if (is_cut_off(link, socket.remote_endpoint(ec).address())) {
            socket.set_option(asio::socket_base::linger(true, 0), ec); // resets the connection
            ++link.m_resets;
            continue;
        }
        ++link.m_connections;
        auto pair = std::make_shared<tcp_pair>(link.m_context, std::move(socket));
        asio::spawn(
            link.m_context,
            [&link, pair](asio::yield_context inner_yield) { run_pair(link, pair, inner_yield); },
            asio::detached);
    }
}

// Opens the listening socket of a TCP link and starts to accept connections.
error_code open_tcp(network_link& link) {
    error_code ec;
    link.m_acceptor.open(link.m_listen.protocol(), ec);
    link.m_acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    link.m_acceptor.bind(link.m_listen, ec);
    if (!ec) {
        link.m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (!ec) {
        asio::spawn(
            link.m_context, [&link](asio::yield_context yield) { accept_loop(link, yield); },
            asio::detached);
    }
    return ec;
}

// Delivers a datagram after the link's delay or drops it. Holds it, up to a limit, while the link
// is frozen.
void forward_datagram(network_link& link, direction flow_direction, const asio::ip::address& client,
                      std::size_t bytes, std::function<void()> deliver) {
    if (is_cut_off(link, client) || draw_loss(link)) {
        ++link.m_lost_datagrams;
        return;
    }
    const auto deliver_or_hold = [&link, flow_direction, bytes, deliver = std::move(deliver)] {
        if (!link.m_faults.m_freeze) {
            link.m_bytes[flow_direction] += bytes;
            ++link.m_datagrams[flow_direction];
            deliver();
        } else if (link.m_held_datagrams.size() < max_held_datagrams) {
            link.m_held_datagrams.push_back(deliver);
        } else {
            ++link.m_lost_datagrams;
        }
    };
    if (link.m_faults.m_delay.count() == 0 && link.m_faults.m_bandwidth_kbps == 0) {
        deliver_or_hold();
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(link.m_context,
                                                      delivery_time(link, flow_direction, bytes));
    timer->async_wait([timer, deliver_or_hold](error_code) { deliver_or_hold(); });
}

// Forwards the target's replies to one sender until the sender's socket is closed.
void reply_loop(network_link& link, const std::shared_ptr<udp_sender>& sender,
                asio::yield_context yield) {
    std::string buffer(datagram_bytes, '\0');
    while (sender->m_upstream.is_open()) {
        error_code ec;
        const std::size_t received_bytes =
            sender->m_upstream.async_receive(asio::buffer(buffer), yield[ec]);
        if (ec == asio::error::operation_aborted) {
            return;
        }
        if (ec) {
            continue; // ICMP error for an earlier datagram: the target's port is closed
        }
        if (received_bytes == datagram_bytes) {
            ++link.m_lost_datagrams;
            continue;
        }
        forward_datagram(link, to_client, sender->m_client.address(), received_bytes,
                         [&link, to = sender->m_client, bytes = buffer.substr(0, received_bytes)] {
                             error_code ignored;
                             link.m_socket.send_to(asio::buffer(bytes), to, 0, ignored);
                         });
    }
}

// Closes the sockets of the senders that have been idle for udp_sender_idle.
void close_idle_senders(network_link& link) {
    const time_point idle_cutoff = steady_clock::now() - udp_sender_idle;
    std::erase_if(link.m_senders, [&](const auto& item) {
        if (item.second->m_last_used >= idle_cutoff) {
            return false;
        }
        error_code ec;
        item.second->m_upstream.close(ec);
        return true;
    });
}

// Returns the sender with its own socket to the target, which is opened if necessary. Returns null
// if the socket can't be opened or there are too many senders.
std::shared_ptr<udp_sender> sender_for(network_link& link, const udp::endpoint& client) {
    const auto found = link.m_senders.find(client);
    if (found != link.m_senders.end()) {
        found->second->m_last_used = steady_clock::now();
        return found->second;
    }
    close_idle_senders(link);
    auto sender = std::make_shared<udp_sender>(link.m_context, client);
    error_code ec;
    sender->m_upstream.connect(udp::endpoint(link.m_target.address(), link.m_target.port()), ec);
    if (ec || link.m_senders.size() >= max_udp_senders) {
        return nullptr;
    }
    sender->m_upstream.non_blocking(true, ec);
    sender->m_last_used = steady_clock::now();
    link.m_senders.emplace(client, sender);
    asio::spawn(
        link.m_context,
        [&link, sender](asio::yield_context yield) { reply_loop(link, sender, yield); },
        asio::detached);
    return sender;
}

// Receives the datagrams of a UDP link and forwards them to the target. Does not return.
void datagram_loop(network_link& link, asio::yield_context yield) {
    std::string buffer(datagram_bytes, '\0');
    for (;;) {
        error_code ec;
        udp::endpoint client;
        const std::size_t received_bytes =
            link.m_socket.async_receive_from(asio::buffer(buffer), client, yield[ec]);
        if (ec) {
            continue; // ICMP error for an earlier datagram
        }
        const auto sender = sender_for(link, client);
        if (sender == nullptr || received_bytes == datagram_bytes) {
            ++link.m_lost_datagrams;
            continue;
        }
        forward_datagram(link, to_target, client.address(), received_bytes,
                         [sender, bytes = buffer.substr(0, received_bytes)] {
                             error_code ignored;
                             sender->m_upstream.send(asio::buffer(bytes), 0, ignored);
                         });
    }
}

// Opens the socket of a UDP link and starts to receive datagrams.
error_code open_udp(network_link& link) {
    error_code ec;
    link.m_socket.open(link.m_listen.address().is_v4() ? udp::v4() : udp::v6(), ec);
    link.m_socket.bind(udp::endpoint(link.m_listen.address(), link.m_listen.port()), ec);
    if (!ec) {
        link.m_socket.non_blocking(true, ec);
        asio::spawn(
            link.m_context, [&link](asio::yield_context yield) { datagram_loop(link, yield); },
            asio::detached);
    }
    return ec;
}

// Parses NAME=tcp|udp,LISTEN,TARGET and opens the link. On an error, logs the reason and exits the
// process.
std::unique_ptr<network_link> open_link_or_exit(asio::io_context& context,
                                                const std::string& text) {
    const std::size_t equals = text.find('=');
    const std::size_t first_comma = text.find(',', equals);
    const std::size_t second_comma = text.find(',', first_comma + 1);
    if (equals == std::string::npos || first_comma == std::string::npos ||
        second_comma == std::string::npos) {
        exit_with_error({error_kind::usage, "'" + text + "' is not NAME=tcp|udp,LISTEN,TARGET"});
    }
    const std::string protocol = text.substr(equals + 1, first_comma - equals - 1);
    if (protocol != "tcp" && protocol != "udp") {
        exit_with_error({error_kind::usage, "'" + protocol + "' is neither tcp nor udp"});
    }
    auto new_link = std::make_unique<network_link>(context);
    new_link->m_name = text.substr(0, equals);
    new_link->m_is_udp = protocol == "udp";
    new_link->m_listen =
        endpoint_or_exit(text.substr(first_comma + 1, second_comma - first_comma - 1));
    new_link->m_target = endpoint_or_exit(text.substr(second_comma + 1));
    if (const error_code ec = new_link->m_is_udp ? open_udp(*new_link) : open_tcp(*new_link)) {
        exit_with_error({error_kind::invalid_settings, new_link->m_name + ": " + ec.message()});
    }
    return new_link;
}

// Puts changed faults into effect: closes or reopens the listening socket, resets the connections
// that are cut off and, unless the link is frozen, releases held data. Returns false if the
// listening socket can't be opened again.
bool apply_faults(network_link& link) {
    if (!link.m_is_udp && link.m_faults.m_cut) {
        error_code ec;
        link.m_acceptor.close(ec);
    } else if (!link.m_is_udp && !link.m_acceptor.is_open() && open_tcp(link)) {
        return false;
    }
    for (const auto& pair : link.m_pairs) {
        if (!link.m_is_udp && !pair->m_closed && is_cut_off(link, pair->m_address)) {
            ++link.m_resets;
            close_pair(*pair, true);
        }
    }
    if (!link.m_faults.m_freeze) {
        for (const auto& pair : link.m_pairs) {
            wake_flows(*pair);
        }
        for (const auto& deliver : std::exchange(link.m_held_datagrams, {})) {
            deliver();
        }
    }
    return true;
}

// Parses a JSON array of IP addresses. Returns false for any other value.
bool parse_addresses(const json::value& value, std::set<asio::ip::address>& result) {
    if (!value.is_array()) {
        return false;
    }
    result.clear();
    for (const json::value& element : value.get_array()) {
        error_code ec;
        const auto address =
            asio::ip::make_address(element.is_string() ? element.get_string().c_str() : "", ec);
        if (ec) {
            return false;
        }
        result.insert(address);
    }
    return true;
}

// Sets one named fault. Returns false for an unknown name or a wrong type.
bool set_fault(link_faults& faults, std::string_view key, const json::value& value) {
    if (value.is_bool() && (key == "cut" || key == "freeze")) {
        (key == "cut" ? faults.m_cut : faults.m_freeze) = value.get_bool();
        return true;
    }
    if (key == "cut_sources") {
        return parse_addresses(value, faults.m_cut_sources);
    }
    if (!value.is_int64() || value.get_int64() < 0) {
        return false;
    }
    const auto number = static_cast<std::uint64_t>(value.get_int64());
    if (key == "delay_ms") {
        faults.m_delay = milliseconds(number);
    } else if (key == "loss_permille") {
        faults.m_loss_permille = number;
    } else if (key == "truncate_after_bytes") {
        faults.m_truncate_after = number;
    } else if (key == "bandwidth_kbps") {
        faults.m_bandwidth_kbps = number;
    } else {
        return false;
    }
    return true;
}

// Returns whether a link's name equals the pattern or, if the pattern ends with '*', begins with
// the text before it.
bool matches_pattern(const std::string& pattern, const std::string& name) {
    return pattern.ends_with('*') ? name.starts_with(pattern.substr(0, pattern.size() - 1))
                                  : name == pattern;
}

// Returns the counters of all links by name.
json::object status_report(const std::vector<std::unique_ptr<network_link>>& links) {
    json::object report;
    for (const auto& link : links) {
        report[link->m_name] = {{"bytes_to_target", link->m_bytes[to_target]},
                                {"bytes_to_client", link->m_bytes[to_client]},
                                {"datagrams_to_target", link->m_datagrams[to_target]},
                                {"datagrams_to_client", link->m_datagrams[to_client]},
                                {"connections", link->m_connections},
                                {"open_connections", link->m_pairs.size()},
                                {"resets", link->m_resets},
                                {"lost", link->m_lost_datagrams},
                                {"truncated", link->m_truncated}};
    }
    return report;
}

// Answers a request to the control address: POST sets the faults of all matching links, any other
// method returns the counters.
http_answer handle_control(std::vector<std::unique_ptr<network_link>>& links,
                           const http_call& call) {
    if (call.m_method != "POST") {
        return json_answer(status_report(links));
    }
    json::error_code ec;
    const json::value body = json::parse(call.m_body, ec);
    const json::value* pattern =
        ec || !body.is_object() ? nullptr : body.as_object().if_contains("link");
    if (pattern == nullptr || !pattern->is_string()) {
        return json_answer(json::object{{"error", "malformed control request"}}, 400);
    }
    std::uint64_t matched = 0;
    for (const auto& link : links) {
        if (!matches_pattern(std::string(pattern->get_string()), link->m_name)) {
            continue;
        }
        ++matched;
        for (const auto& [key, value] : body.as_object()) {
            if (key != "link" && !set_fault(link->m_faults, key, value)) {
                return json_answer(json::object{{"unknown", key}}, 400);
            }
        }
        if (!apply_faults(*link)) {
            return json_answer(json::object{{"error", "can't reopen the listening socket"}}, 500);
        }
    }
    return json_answer(json::object{{"links", matched}}, matched == 0 ? 404 : 200);
}

} // namespace
} // namespace caraway::standins

int main(int argc, const char** argv) {
    using namespace caraway::standins;
    std::string control_address;
    std::vector<std::string> link_specs;
    parse_command_line_or_exit(
        argc, argv,
        std::vector<option_spec>{
            {"link", &link_specs, "NAME=tcp|udp,LISTEN_IP:PORT,TARGET_IP:PORT, may be repeated"},
            {"control", &control_address, "IP:PORT for fault injection and counters"}});
    boost::asio::io_context context(1);
    std::vector<std::unique_ptr<network_link>> links;
    links.reserve(link_specs.size());
    for (const std::string& spec : link_specs) {
        links.push_back(open_link_or_exit(context, spec));
    }
    std::unique_ptr<http_server> control_server;
    if (!control_address.empty()) {
        control_server = start_server_or_exit(context, endpoint_or_exit(control_address), {},
                                              [&](http_call& call, boost::asio::yield_context) {
                                                  return handle_control(links, call);
                                              });
    }
    log_line("info", "listening", {{"program", "fault_proxy"}, {"links", links.size()}});
    run_until_signal(context, [&] { context.stop(); });
}
