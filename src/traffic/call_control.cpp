#include "traffic/call_control.hpp"

#include <algorithm>
#include <sys/socket.h>

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/context/protected_fixedsize_stack.hpp>

#include "observe/log.hpp"

namespace caraway {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Stack size of one coroutine. Only touched pages use memory, about 16 KiB.
constexpr std::size_t stack_bytes = 128U << 10U;

} // namespace

std::shared_ptr<call_control> call_control::create(asio::io_context& io, tcp::socket incoming,
                                                   const clock_source& clock, std::uint64_t seed) {
    return std::shared_ptr<call_control>(
        new call_control(asio::make_strand(io), std::move(incoming), clock, seed));
}

std::shared_ptr<call_control> call_control::create_sibling(call_control& first) {
    return std::shared_ptr<call_control>(
        new call_control(first.m_strand, tcp::socket(first.m_strand.get_inner_executor()),
                         first.m_clock, first.m_random()));
}

call_control::call_control(io_strand strand, tcp::socket incoming, const clock_source& clock,
                           std::uint64_t seed)
    : m_clock(clock), m_created_at(clock.now()), m_strand(std::move(strand)),
      m_incoming(std::move(incoming)), m_timer(m_strand.get_inner_executor()),
      m_wake_timer(m_strand.get_inner_executor()), m_random(seed) {}

void call_control::set_time_limit(time_point at) {
    m_time_limit = at;
    arm_timer(at);
}

void call_control::begin_call(time_point deadline) {
    ++m_call_number;
    m_in_call = true;
    m_deadline_passed = false;
    m_cancelled = m_stopped;
    set_time_limit(deadline);
    watch_caller();
}

void call_control::set_deadline(time_point deadline) {
    set_time_limit(std::min(m_time_limit, deadline));
}

void call_control::limit_running_call(time_point latest) {
    asio::post(m_strand, [self = shared_from_this(), latest] {
        if (self->m_in_call) {
            self->set_deadline(latest);
        }
    });
}

void call_control::end_call() {
    ++m_call_number;
    m_in_call = false;
    m_deadline_passed = false;
    m_time_limit = time_point::max();
    if (m_watch_pending && m_watch_enabled && m_incoming.is_open()) {
        error_code ignored;
        m_incoming.cancel(ignored);
    }
}

void call_control::end_last_call() {
    end_call();
    m_timer.cancel();
}

void call_control::cancel_call() {
    if (m_in_call) {
        m_cancelled = true;
        abort_operations();
    }
}

error_kind call_control::end_reason(bool sent) const {
    if (m_cancelled) {
        return sent ? error_kind::cancelled_after_send : error_kind::cancelled_before_send;
    }
    return sent ? error_kind::deadline_after_send : error_kind::deadline_before_send;
}

// Arms the timer lazily: a limit later than the armed one is only stored, and the timer is armed
// again when it fires early. This saves two timer operations on almost every call.
void call_control::arm_timer(time_point at) {
    if (m_timer_expiry <= at) {
        return;
    }
    m_timer_expiry = at;
    m_timer.expires_after(at - m_clock.now());
    m_timer.async_wait(
        asio::bind_executor(m_strand, [self = shared_from_this()](error_code failed) {
            if (!failed) {
                self->on_timer();
            }
        }));
}

void call_control::on_timer() {
    m_timer_expiry = time_point::max();
    if (m_time_limit == time_point::max()) {
        return;
    }
    if (m_clock.now() < m_time_limit) {
        arm_timer(m_time_limit);
        return;
    }
    if (m_in_call) {
        m_deadline_passed = true;
        abort_operations();
        return;
    }
    error_code ignored;
    m_incoming.close(ignored);
}

// Watches the caller's connection while its call is running, and cancels the call if the connection
// is closed. Bytes of the next request end the watch, since a close after them can't be detected
// without reading them.
void call_control::watch_caller() {
    if (m_watch_pending || !m_watch_enabled || !m_incoming.is_open()) {
        return;
    }
    m_watch_pending = true;
    m_incoming.async_wait(tcp::socket::wait_read,
                          asio::bind_executor(m_strand, [self = shared_from_this(),
                                                         call = m_call_number](error_code failed) {
                              self->m_watch_pending = false;
                              if (failed || !self->m_in_call) {
                                  // The wait may have been started for an earlier call; the current
                                  // call needs its own.
                                  if (self->m_in_call && call != self->m_call_number) {
                                      self->watch_caller();
                                  }
                                  return;
                              }
                              char byte = 0;
                              const auto size = ::recv(self->m_incoming.native_handle(), &byte,
                                                       sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
                              if (size > 0) {
                                  if (self->m_early_bytes_handler) {
                                      self->m_early_bytes_handler();
                                  }
                                  return;
                              }
                              if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
                                  self->watch_caller();
                                  return;
                              }
                              self->m_cancelled = true;
                              self->abort_operations();
                          }));
}

void call_control::abort_operations() {
    for (tcp::socket* socket : m_outgoing_sockets) {
        error_code ignored;
        socket->close(ignored);
    }
    m_wake_timer.cancel();
}

void call_control::wait(time_point until, asio::yield_context yield) {
    const time_point now = m_clock.now();
    if (!is_ended() && now < until) {
        // A distant time limit would overflow the arithmetic of the timer. The condition is checked
        // again after each wait, so an early return is harmless.
        m_wake_timer.expires_after(std::min<duration>(until - now, std::chrono::hours(1)));
        error_code ignored;
        m_wake_timer.async_wait(yield[ignored]);
    }
    // The deadline timer can't run while the coroutine loops without suspending.
    m_deadline_passed = m_deadline_passed || (m_in_call && m_clock.now() >= m_time_limit);
}

void call_control::wait_ignoring_end(time_point until, asio::yield_context yield) {
    const time_point now = m_clock.now();
    if (now >= until) {
        return;
    }
    m_wake_timer.expires_after(until - now);
    error_code ignored;
    m_wake_timer.async_wait(yield[ignored]);
}

void call_control::wake() {
    asio::post(m_strand, [self = shared_from_this()] { self->m_wake_timer.cancel(); });
}

void call_control::stop() {
    asio::post(m_strand, [self = shared_from_this()] {
        self->m_stopped = true;
        self->m_cancelled = true;
        self->abort_operations();
        self->m_timer.cancel();
        error_code ignored;
        self->m_incoming.close(ignored);
    });
}

call_control::outgoing_guard::outgoing_guard(call_control& control, tcp::socket& socket)
    : m_control(control), m_socket(&socket) {
    m_control.m_outgoing_sockets.push_back(m_socket);
}

call_control::outgoing_guard::~outgoing_guard() {
    std::erase(m_control.m_outgoing_sockets, m_socket);
}

void spawn_coroutine(
    call_control& control,
    std::function<void(const std::shared_ptr<call_control>&, asio::yield_context)> action) {
    asio::spawn(
        control.strand(), std::allocator_arg,
        boost::context::protected_fixedsize_stack(stack_bytes),
        [self = control.shared_from_this(), action = std::move(action)](asio::yield_context yield) {
            try {
                action(self, yield);
            } catch (const std::exception& failure) {
                log_event(log_level::error, "connection_failed", {{"text", failure.what()}});
                self->stop();
            }
        },
        asio::detached);
}

void control_set::add(const std::shared_ptr<call_control>& control) {
    const std::lock_guard lock(m_mutex);
    m_controls.insert(control);
}

void control_set::remove(const std::shared_ptr<call_control>& control) {
    const std::lock_guard lock(m_mutex);
    m_controls.erase(control);
}

std::size_t control_set::size() const {
    const std::lock_guard lock(m_mutex);
    return m_controls.size();
}

void control_set::limit_deadlines(time_point latest) {
    const std::lock_guard lock(m_mutex);
    for (const auto& control : m_controls) {
        control->limit_running_call(latest);
    }
}

void control_set::stop_all() {
    const std::lock_guard lock(m_mutex);
    for (const auto& control : m_controls) {
        control->stop();
    }
}

std::shared_ptr<call_control> control_set::take_oldest_unused() {
    const std::lock_guard lock(m_mutex);
    auto oldest = m_controls.end();
    for (auto control = m_controls.begin(); control != m_controls.end(); ++control) {
        const bool unused = !(*control)->is_used();
        if (unused &&
            (oldest == m_controls.end() || (*control)->created_at() < (*oldest)->created_at())) {
            oldest = control;
        }
    }
    if (oldest == m_controls.end()) {
        return nullptr;
    }
    std::shared_ptr<call_control> taken = *oldest;
    m_controls.erase(oldest);
    return taken;
}

control_registration::control_registration(control_set& set, std::shared_ptr<call_control> control)
    : m_set(set), m_control(std::move(control)) {
    m_set.add(m_control);
}

control_registration::~control_registration() {
    m_set.remove(m_control);
}

bool waiting_calls::add(const std::shared_ptr<call_control>& call) {
    const std::lock_guard lock(m_mutex);
    if (m_calls.size() >= m_max_calls) {
        return false;
    }
    m_calls.push_back(call);
    return true;
}

void waiting_calls::remove(const std::shared_ptr<call_control>& call) {
    const std::lock_guard lock(m_mutex);
    const auto found = std::find(m_calls.begin(), m_calls.end(), call);
    if (found != m_calls.end()) {
        m_calls.erase(found);
    }
}

void waiting_calls::wake_all() {
    const std::lock_guard lock(m_mutex);
    for (const auto& call : m_calls) {
        call->wake();
    }
}

} // namespace caraway
