// Pacing of large answers, shared by the traffic threads; see decide/traffic/link_pacing.
#pragma once

#include <mutex>

#include "decide/traffic/link_pacing.hpp"
#include "http/message.hpp"
#include "traffic/call_control.hpp"

namespace caraway {

// Schedules the large answers of this node. Safe to use from any thread.
class link_pacer {
public:
    explicit link_pacer(double link_mbps) : m_state(make_link_pacing(link_mbps)) {}

    // Returns whether an answer with a body of this size is paced.
    bool is_paced(std::size_t body_bytes) const {
        return m_state.m_bytes_per_s > 0 && body_bytes >= min_paced_bytes;
    }
    // Returns how long the large answers that are due, and one more, take to be sent.
    duration expected_transfer_time(time_point now) const;

    // Returns the time until the large answers scheduled so far have been sent.
    duration backlog(time_point now) const;

    // Counts a call that will have a large answer as running for the lifetime of the guard.
    class running_guard {
    public:
        explicit running_guard(link_pacer& pacer);
        running_guard(const running_guard&) = delete;
        running_guard& operator=(const running_guard&) = delete;
        running_guard(running_guard&&) = delete;
        running_guard& operator=(running_guard&&) = delete;
        ~running_guard();

    private:
        link_pacer& m_pacer;
    };

    // Writes a large answer in chunks, each at its scheduled time, and suspends the coroutine
    // meanwhile. chunk_timeout limits the time for which the receiver may take no byte.
    boost::system::error_code write(call_control& control, const http_response& answer,
                                    const clock_source& clock, milliseconds chunk_timeout,
                                    boost::asio::yield_context yield);

private:
    mutable std::mutex m_mutex; // never held during I/O
    link_pacing m_state;
};

} // namespace caraway
