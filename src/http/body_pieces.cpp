#include "http/body_pieces.hpp"

namespace caraway {

// Fills the last piece, then adds new ones. Only the first piece grows, up to body_piece_bytes, so
// that a small body of unknown length takes no more memory than it needs.
void body_pieces::append(std::string_view content) {
    m_size += content.size();
    const std::size_t first_space = body_piece_bytes - std::min(m_first.size(), body_piece_bytes);
    const std::size_t first_part =
        m_more.empty() ? std::min(content.size(), first_space) : std::size_t{0};
    if (m_first.size() + first_part > m_first.capacity()) {
        m_first.reserve(std::min(body_piece_bytes,
                                 std::max(2 * m_first.capacity(), m_first.size() + first_part)));
    }
    m_first.append(content.substr(0, first_part));
    content.remove_prefix(first_part);
    while (!content.empty()) {
        if (m_more.empty() || m_more.back().size() == m_more.back().capacity()) {
            m_more.emplace_back().reserve(m_more.size() < small_pieces ? body_piece_bytes
                                                                       : large_piece_bytes);
        }
        std::string& last = m_more.back();
        const std::size_t size = std::min(content.size(), last.capacity() - last.size());
        last.append(content.substr(0, size));
        content.remove_prefix(size);
    }
}

void body_pieces::clear() {
    m_first = {};
    m_more = {};
    m_size = 0;
}

} // namespace caraway
