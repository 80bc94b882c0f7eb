// Lets the sanitizers follow coroutine switches. They need the ucontext variant of Boost.Context,
// and Debian builds its library without it. This file defines the one function that is missing
// there; it is empty in other builds.
#ifdef BOOST_USE_UCONTEXT

#include <boost/context/fiber.hpp>

namespace boost::context::detail {

// Returns the context that runs on this thread. That is the thread's own stack until a coroutine is
// resumed.
fiber_activation_record*& fiber_activation_record::current() noexcept {
    static thread_local fiber_activation_record thread_stack;
    static thread_local fiber_activation_record* running = &thread_stack;
    return running;
}

} // namespace boost::context::detail

#endif
