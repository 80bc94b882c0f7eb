// Time limits, cancellation and waiting for the calls of a connection. Each call_control handles
// one call at a time.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_set>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "base/random.hpp"
#include "traffic/sockets.hpp"

namespace caraway {

using io_strand = boost::asio::strand<boost::asio::io_context::executor_type>;

// Controls the calls of one connection. All functions except wake() and stop() must run on the
// strand, on which the connection's coroutine runs as well; the coroutine therefore sees a change
// only where it suspends.
class call_control : public std::enable_shared_from_this<call_control> {
public:
    // incoming may be a closed socket, for work that doesn't belong to an incoming connection.
    static std::shared_ptr<call_control> create(boost::asio::io_context& io, tcp::socket incoming,
                                                const clock_source& clock, std::uint64_t seed);

    // Creates the control of another call of the same connection. It runs on the same strand and
    // does not watch the caller's connection.
    static std::shared_ptr<call_control> create_sibling(call_control& first);
    io_strand& strand() { return m_strand; }
    tcp::socket& incoming() { return m_incoming; }
    random_source& random() { return m_random; }
    const clock_source& clock() const { return m_clock; }

    // Sets the time limit and replaces the earlier one. When it is reached, the running call ends;
    // if no call is running, the incoming connection is closed.
    void set_time_limit(time_point at);
    // Begins a call. The call ends at the deadline and is cancelled if the caller closes the
    // connection.
    void begin_call(time_point deadline);
    // Brings the deadline of the running call forward. A later deadline has no effect.
    void set_deadline(time_point deadline);
    // As set_deadline, if a call is running. Safe from any thread.
    void limit_running_call(time_point latest);
    // Ends the call and removes its deadline. The connection's own time limit has to be set again.
    void end_call();
    // Ends the call, and cancels the timer, which would otherwise keep this object and the threads
    // of a server that is stopped until it fires. For a control that carries no further call.
    void end_last_call();
    // Cancels the running call, if any, as if the caller had closed the connection.
    void cancel_call();
    // Sets the function that is called on the strand when bytes of the next request arrive while a
    // call is running.
    void set_early_bytes_handler(std::function<void()> action) {
        m_early_bytes_handler = std::move(action);
    }
    // Stops watching the incoming connection, because another coroutine reads it from now on and
    // detects when it closes.
    void disable_caller_watch() { m_watch_enabled = false; }

    // Returns the current time limit, which during a call is the call's deadline.
    time_point deadline() const { return m_time_limit; }
    // Returns true if the call was cancelled or has reached its deadline.
    bool is_ended() const { return m_deadline_passed || m_cancelled; }
    bool is_cancelled() const { return m_cancelled; }
    bool is_stopped() const { return m_stopped; }
    // Returns why the call ended: its deadline or a cancellation, before or after the first byte
    // was sent.
    error_kind end_reason(bool sent) const;

    // Suspends the coroutine until wake(), the end of the call or the given time. It may return
    // early, so the condition has to be checked again.
    void wait(time_point until, boost::asio::yield_context yield);
    // As wait(), but also suspends after the call has ended, for work that has to be finished.
    void wait_ignoring_end(time_point until, boost::asio::yield_context yield);
    // Resumes the coroutine that is suspended in wait() or wait_ignoring_end(). Safe from any
    // thread.
    void wake();
    // Cancels the call and closes the connection. Safe from any thread.
    void stop();

    // Records that a complete request head has arrived on the connection.
    void set_used() { m_used.store(true, std::memory_order_relaxed); }
    bool is_used() const { return m_used.load(std::memory_order_relaxed); }
    time_point created_at() const { return m_created_at; }

    // Registers an outgoing socket for the lifetime of the guard. The socket is closed if the call
    // ends before that.
    class outgoing_guard {
    public:
        outgoing_guard(call_control& control, tcp::socket& socket);
        outgoing_guard(const outgoing_guard&) = delete;
        outgoing_guard& operator=(const outgoing_guard&) = delete;
        outgoing_guard(outgoing_guard&&) = delete;
        outgoing_guard& operator=(outgoing_guard&&) = delete;
        ~outgoing_guard();

    private:
        call_control& m_control;
        tcp::socket* m_socket;
    };

private:
    call_control(io_strand strand, tcp::socket incoming, const clock_source& clock,
                 std::uint64_t seed);
    void arm_timer(time_point at);
    void on_timer();
    void watch_caller();
    void abort_operations();

    const clock_source& m_clock;
    const time_point m_created_at;
    std::atomic<bool> m_used{false};
    io_strand m_strand;
    tcp::socket m_incoming;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_wake_timer;
    random_source m_random;
    time_point m_time_limit = time_point::max();
    time_point m_timer_expiry = time_point::max();
    bool m_in_call = false;
    bool m_deadline_passed = false;
    bool m_cancelled = false;
    bool m_stopped = false;
    bool m_watch_pending = false;
    bool m_watch_enabled = true;
    std::function<void()> m_early_bytes_handler;
    std::uint64_t m_call_number = 0;
    std::vector<tcp::socket*> m_outgoing_sockets;
};

// Runs an action as a coroutine on the strand of the control. An exception is logged and ends only
// this connection.
void spawn_coroutine(
    call_control& control,
    std::function<void(const std::shared_ptr<call_control>&, boost::asio::yield_context)> action);

// Controls that must be stopped before the server ends. Safe to use from any thread.
class control_set {
public:
    void add(const std::shared_ptr<call_control>& control);
    void remove(const std::shared_ptr<call_control>& control);
    std::size_t size() const;
    void stop_all();
    // Brings the deadlines of all running calls forward to at most this time.
    void limit_deadlines(time_point latest);
    // Removes and returns the oldest control on whose connection no request head has arrived, or
    // null if there is none.
    std::shared_ptr<call_control> take_oldest_unused();

private:
    mutable std::mutex m_mutex;
    std::unordered_set<std::shared_ptr<call_control>> m_controls;
};

// Keeps a control in a set for the lifetime of this object.
class control_registration {
public:
    control_registration(control_set& set, std::shared_ptr<call_control> control);
    control_registration(const control_registration&) = delete;
    control_registration& operator=(const control_registration&) = delete;
    control_registration(control_registration&&) = delete;
    control_registration& operator=(control_registration&&) = delete;
    ~control_registration();

private:
    control_set& m_set;
    std::shared_ptr<call_control> m_control;
};

// Calls that wait for the same condition, such as a newer configuration. The number is limited:
// add() returns false if too many calls are waiting. Safe to use from any thread.
class waiting_calls {
public:
    explicit waiting_calls(std::size_t limit) : m_max_calls(limit) {}
    bool add(const std::shared_ptr<call_control>& call);
    void remove(const std::shared_ptr<call_control>& call);
    void wake_all();

private:
    std::mutex m_mutex;
    std::size_t m_max_calls;
    std::vector<std::shared_ptr<call_control>> m_calls;
};

} // namespace caraway
