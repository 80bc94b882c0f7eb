#include "traffic/link_pacer.hpp"

#include <algorithm>

namespace caraway {

duration link_pacer::expected_transfer_time(time_point now) const {
    const std::lock_guard lock(m_mutex);
    return expected_transfer(m_state, now);
}

duration link_pacer::backlog(time_point now) const {
    const std::lock_guard lock(m_mutex);
    return std::max(m_state.m_free_at - now, duration{});
}

link_pacer::running_guard::running_guard(link_pacer& pacer) : m_pacer(pacer) {
    const std::lock_guard lock(m_pacer.m_mutex);
    ++m_pacer.m_state.m_running_calls;
}

link_pacer::running_guard::~running_guard() {
    const std::lock_guard lock(m_pacer.m_mutex);
    --m_pacer.m_state.m_running_calls;
}

boost::system::error_code link_pacer::write(call_control& control, const http_response& answer,
                                            const clock_source& clock, milliseconds chunk_timeout,
                                            boost::asio::yield_context yield) {
    time_point start;
    {
        const std::lock_guard lock(m_mutex);
        start = schedule_answer(m_state, answer.body().size(), clock.now());
    }
    control.set_time_limit(time_point::max());
    http::serializer<false, http::string_body> serializer(answer);
    serializer.limit(paced_chunk_bytes);
    boost::system::error_code failed;
    std::size_t sent = 0;
    while (!failed && !serializer.is_done()) {
        const time_point due = chunk_time(m_state, start, sent);
        while (clock.now() < due && !control.is_stopped()) {
            control.wait_ignoring_end(due, yield);
        }
        if (control.is_stopped()) {
            return boost::asio::error::operation_aborted;
        }
        control.set_time_limit(clock.now() + chunk_timeout);
        sent += http::async_write_some(control.incoming(), serializer, yield[failed]);
    }
    return failed;
}

} // namespace caraway
