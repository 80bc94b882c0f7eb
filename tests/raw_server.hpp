// Server for tests that reads and sends raw bytes.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "tests/connection_threads.hpp"

namespace caraway {

// One accepted connection.
class raw_connection {
public:
    explicit raw_connection(boost::asio::ip::tcp::socket& socket) : m_socket(&socket) {}

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
    // Reads and discards the bytes that have arrived so far. Returns how many there were.
    std::size_t discard_arrived() {
        std::vector<char> buffer(64U << 10U);
        std::size_t discarded = 0;
        boost::system::error_code failed;
        while (m_socket->available(failed) > 0) {
            discarded += receive(buffer.data(), buffer.size());
        }
        return discarded;
    }
    // Sends all bytes. Returns false if the peer has closed the connection.
    bool send(std::string_view bytes) {
        boost::system::error_code failed;
        boost::asio::write(*m_socket, boost::asio::buffer(bytes.data(), bytes.size()), failed);
        return !failed;
    }
    // Makes the end of the connection a reset, which discards what the peer has sent.
    void reset_on_close() { caraway::reset_on_close(*m_socket); }

private:
    std::size_t receive(char* bytes, std::size_t size) {
        boost::system::error_code failed;
        return m_socket->read_some(boost::asio::buffer(bytes, size), failed);
    }

    boost::asio::ip::tcp::socket* m_socket;
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
    using handler = std::function<void(raw_connection&)>;

    explicit raw_server(const handler& serve)
        : m_connections([serve](boost::asio::ip::tcp::socket& socket) {
              socket.set_option(boost::asio::ip::tcp::no_delay(true));
              raw_connection served(socket);
              serve(served);
          }) {}
    std::uint16_t port() const { return m_connections.port(); }

private:
    connection_threads m_connections;
};

} // namespace caraway
