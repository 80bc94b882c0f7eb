// Server for tests that reads and sends raw bytes, with one thread per connection.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace caraway {

// One accepted connection.
class raw_connection {
public:
    explicit raw_connection(std::shared_ptr<boost::asio::ip::tcp::socket> socket)
        : m_socket(std::move(socket)) {}

    // Reads the head of the next request and leaves its body unread. Returns an empty text when the
    // connection has ended.
    std::string read_head() {
        std::string head;
        char byte = 0;
        while (!head.ends_with("\r\n\r\n") && receive(&byte, 1) == 1) {
            head.push_back(byte);
        }
        return head.ends_with("\r\n\r\n") ? head : std::string();
    }
    // Reads and discards this many bytes, or all bytes until the connection ends.
    void discard(std::size_t bytes) {
        std::vector<char> buffer(64U << 10U);
        while (bytes > 0) {
            const std::size_t size = receive(buffer.data(), std::min(bytes, buffer.size()));
            if (size == 0) {
                return;
            }
            bytes -= size;
        }
    }
    // Sends all bytes. Returns false if the peer has closed the connection.
    bool send(std::string_view bytes) {
        boost::system::error_code failed;
        boost::asio::write(*m_socket, boost::asio::buffer(bytes.data(), bytes.size()), failed);
        return !failed;
    }
    // Makes the end of the connection a reset, which discards what the peer has sent.
    void reset_on_close() {
        boost::system::error_code ignored;
        m_socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
    }

private:
    std::size_t receive(char* bytes, std::size_t size) {
        boost::system::error_code failed;
        return m_socket->read_some(boost::asio::buffer(bytes, size), failed);
    }

    std::shared_ptr<boost::asio::ip::tcp::socket> m_socket;
};

// Returns the value of a field of a head, or an empty text if it is absent.
inline std::string field_of(std::string_view head, std::string_view name) {
    const std::string start = "\r\n" + std::string(name) + ": ";
    const std::size_t at = head.find(start);
    if (at == std::string_view::npos) {
        return {};
    }
    const std::size_t value = at + start.size();
    return std::string(head.substr(value, head.find("\r\n", value) - value));
}

// Returns the first lines of an answer to the request with this head: a 200 with the fields of
// other nodes, which a node removes from the answers of its own server.
inline std::string ok_lines(std::string_view head) {
    return "HTTP/1.1 200 OK\r\nx-caraway-outcome: answered\r\nx-caraway-reason: none\r\n"
           "x-caraway-exchange: " +
           field_of(head, "x-caraway-exchange") + "\r\n";
}

// Runs the handler for each connection in a thread of its own, then closes the connection.
class raw_server {
public:
    using tcp = boost::asio::ip::tcp;
    using handler = std::function<void(raw_connection&)>;

    explicit raw_server(handler serve)
        : m_serve(std::move(serve)),
          m_acceptor(m_io, {boost::asio::ip::address_v4::loopback(), 0}) {
        m_accept_thread = std::thread([this] { accept_all(); });
    }
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;
    raw_server(raw_server&&) = delete;
    raw_server& operator=(raw_server&&) = delete;
    ~raw_server() {
        m_stopped = true;
        boost::system::error_code ignored;
        tcp::socket waker(m_io);
        waker.connect(m_acceptor.local_endpoint(), ignored);
        m_accept_thread.join();
        {
            const std::lock_guard lock(m_mutex);
            for (const auto& socket : m_sockets) {
                socket->shutdown(tcp::socket::shutdown_both, ignored);
            }
        }
        for (std::thread& thread : m_connection_threads) {
            thread.join();
        }
    }
    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    void accept_all() {
        while (true) {
            auto socket = std::make_shared<tcp::socket>(m_io);
            m_acceptor.accept(*socket);
            if (m_stopped) {
                return;
            }
            socket->set_option(tcp::no_delay(true));
            const std::lock_guard lock(m_mutex);
            m_sockets.push_back(socket);
            m_connection_threads.emplace_back([this, socket] {
                raw_connection served(socket);
                m_serve(served);
                // The destructor shuts down every socket. Closing under the lock keeps it from
                // using a descriptor that already belongs to another socket.
                boost::system::error_code ignored;
                const std::lock_guard closing(m_mutex);
                socket->close(ignored);
            });
        }
    }

    const handler m_serve;
    boost::asio::io_context m_io;
    tcp::acceptor m_acceptor;
    std::atomic<bool> m_stopped{false};
    std::mutex m_mutex;
    std::vector<std::shared_ptr<tcp::socket>> m_sockets;
    std::vector<std::thread> m_connection_threads;
    std::thread m_accept_thread;
};

} // namespace caraway
