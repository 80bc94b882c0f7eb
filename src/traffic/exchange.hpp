// One request and its answer over an open connection.
#pragma once

#include <functional>
#include <optional>

#include <boost/asio/spawn.hpp>

#include "http/answer_reader.hpp"
#include "http/message.hpp"
#include "traffic/byte_budget.hpp"
#include "traffic/call_control.hpp"
#include "traffic/connection_pool.hpp"

namespace caraway {

// Returns true if the answer belongs to the request. A late answer to an earlier request may arrive
// before it.
using answer_matcher = std::function<bool(const http_response&)>;

// An answer, and the account of the bytes held for it.
struct received_answer {
    http_response m_message;
    byte_charge m_charge;
};

// Sends the request and reads the complete answer; answers to other requests are dropped. The bytes
// of an answer of at least min_rejected_bytes are counted in the budget while it is read, and until
// the charge is destroyed. An answer
// without a length is complete when the peer closes the connection, but truncated if the connection
// is reset, also while the request is still being written, or if the peer closes it before the
// whole request has arrived there. Fails with connection_cut if no byte of the final answer to this
// request arrived, answer_truncated if the answer ended early or made no progress for
// max_answer_pause, answer_invalid if it is not HTTP or exceeds a limit of its head or framing,
// answer_too_large if its body exceeds a limit or the budget rejects it, or the error kind by which
// the call ended. The peer may have received the request in all these cases.
std::optional<received_answer> exchange(call_control& control, connection& peer_connection,
                                        const http_request& request, const exchange_limits& limits,
                                        byte_budget& budget, const answer_matcher& matches,
                                        boost::asio::yield_context yield, error& reason);

} // namespace caraway
