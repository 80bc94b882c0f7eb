// Listener of the tests' servers, with one thread per connection.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace caraway {

// Listens on a loopback port and runs the function for each connection in a thread of its own, then
// closes the connection. The destructor shuts down all connections and waits for the threads.
class connection_threads {
public:
    using tcp = boost::asio::ip::tcp;
    using connection_function = std::function<void(tcp::socket&)>;

    explicit connection_threads(connection_function serve)
        : m_serve(std::move(serve)),
          m_acceptor(m_io, {boost::asio::ip::address_v4::loopback(), 0}) {
        m_accept_thread = std::thread([this] { accept_all(); });
    }
    connection_threads(const connection_threads&) = delete;
    connection_threads& operator=(const connection_threads&) = delete;
    connection_threads(connection_threads&&) = delete;
    connection_threads& operator=(connection_threads&&) = delete;
    ~connection_threads() {
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
        for (std::thread& thread : m_threads) {
            thread.join();
        }
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    // True once the destructor has started. A function that sends without end checks it.
    bool is_stopped() const { return m_stopped; }

private:
    void accept_all() {
        while (true) {
            auto socket = std::make_shared<tcp::socket>(m_io);
            m_acceptor.accept(*socket);
            if (m_stopped) {
                return;
            }
            const std::lock_guard lock(m_mutex);
            m_sockets.push_back(socket);
            m_threads.emplace_back([this, socket] {
                m_serve(*socket);
                // The destructor shuts down every socket. Closing under the lock keeps it from
                // using a descriptor that already belongs to another socket.
                boost::system::error_code ignored;
                const std::lock_guard closing(m_mutex);
                socket->close(ignored);
            });
        }
    }

    const connection_function m_serve;
    boost::asio::io_context m_io;
    tcp::acceptor m_acceptor;
    std::atomic<bool> m_stopped{false};
    std::mutex m_mutex;
    std::vector<std::shared_ptr<tcp::socket>> m_sockets;
    std::vector<std::thread> m_threads;
    std::thread m_accept_thread;
};

// Makes the end of the connection a reset, which discards what the peer has sent.
inline void reset_on_close(boost::asio::ip::tcp::socket& socket) {
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
}

} // namespace caraway
