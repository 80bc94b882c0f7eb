#include "node/adapter.hpp"

#include "decide/versions/version_move.hpp"

namespace caraway {

adapter default_adapter() {
    adapter out;
    out.m_encode_move = encode_move;
    out.m_decode_move = decode_move;
    return out;
}

} // namespace caraway
