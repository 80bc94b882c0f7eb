// Body of a request, held in pieces: a large body grows without being copied, and takes no more
// memory than its content and part of one piece.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/type_traits.hpp>

namespace caraway {

// Size of the first pieces. Malloc keeps their memory and reuses it for other bodies.
constexpr std::size_t body_piece_bytes = 32U << 10U;
// Size of the pieces after the first ones. Malloc maps them separately and returns them to the
// system when they are freed; see mapped_allocation_bytes in carawayd/main.cpp. Otherwise the
// memory of rejected bodies would stay in the heap, on top of that of later answers.
constexpr std::size_t large_piece_bytes = 256U << 10U;
constexpr std::size_t small_pieces = 8;

// A sequence of bytes. The first piece may be larger than body_piece_bytes if it was assigned.
class body_pieces {
public:
    body_pieces() = default;
    body_pieces(std::string content) : m_first(std::move(content)), m_size(m_first.size()) {}

    // Prepares for a body of this size. Reserves at most one piece, since the client may send less
    // than it declared.
    void expect(std::uint64_t bytes) {
        m_first.reserve(static_cast<std::size_t>(std::min<std::uint64_t>(bytes, body_piece_bytes)));
    }
    void append(std::string_view content);
    void clear();
    bool empty() const { return m_size == 0; }
    std::size_t size() const { return m_size; }
    // Returns the memory that the pieces take in bytes. The unused part of the last one isn't
    // resident unless it is the first.
    std::size_t held_bytes() const { return m_first.capacity() + m_size - m_first.size(); }
    std::size_t piece_count() const { return 1 + m_more.size(); }
    std::string_view piece(std::size_t index) const {
        return index == 0 ? std::string_view(m_first) : std::string_view(m_more[index - 1]);
    }

private:
    std::string m_first;
    std::vector<std::string> m_more;
    std::size_t m_size = 0;
};

// Body type of Boost.Beast whose value is a body_pieces.
struct pieces_body {
    using value_type = body_pieces;

    static std::uint64_t size(const value_type& body) { return body.size(); }

    class reader {
    public:
        template <bool is_request, class Fields>
        reader(boost::beast::http::header<is_request, Fields>& /*head*/, value_type& body)
            : m_body(body) {}
        void init(const boost::optional<std::uint64_t>& length, boost::beast::error_code& failed) {
            if (length) {
                m_body.expect(*length);
            }
            failed = {};
        }
        template <class Buffers>
        std::size_t put(const Buffers& buffers, boost::beast::error_code& failed) {
            std::size_t size = 0;
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                m_body.append({static_cast<const char*>(buffer.data()), buffer.size()});
                size += buffer.size();
            }
            failed = {};
            return size;
        }
        void finish(boost::beast::error_code& failed) { failed = {}; }

    private:
        value_type& m_body;
    };

    class writer {
    public:
        using const_buffers_type = boost::asio::const_buffer;
        template <bool is_request, class Fields>
        writer(const boost::beast::http::header<is_request, Fields>& /*head*/,
               const value_type& body)
            : m_body(body) {}
        void init(boost::beast::error_code& failed) { failed = {}; }
        // Returns the next piece and whether there are more. Returns nothing for an empty body: an
        // empty piece would end a chunked body too early.
        boost::optional<std::pair<const_buffers_type, bool>> get(boost::beast::error_code& failed) {
            failed = {};
            if (m_body.empty()) {
                return boost::none;
            }
            const std::string_view piece = m_body.piece(m_next);
            ++m_next;
            return {
                {const_buffers_type(piece.data(), piece.size()), m_next < m_body.piece_count()}};
        }

    private:
        const value_type& m_body;
        std::size_t m_next = 0;
    };
};

} // namespace caraway
