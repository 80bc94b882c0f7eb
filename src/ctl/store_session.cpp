#include "ctl/store_session.hpp"

#include <algorithm>
#include <chrono>
#include <memory>
#include <thread>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

namespace caraway {
namespace {

namespace asio = boost::asio;

// Number of attempts of one call, and the pause before the second attempt. The pause doubles each
// time, so that all attempts together wait about 3 s. During a store outage the operator then gets
// an error instead of a command that hangs.
constexpr int max_attempts = 6;
constexpr milliseconds initial_pause{100};

// Upper bound of the attempts of a write whose reply is lost while the key remains unchanged.
constexpr int max_write_attempts = 4;

// Time that the store waits for a change before it replies to a watch.
constexpr milliseconds watch_wait{10'000};
// Pause before a failed watch is restarted.
constexpr milliseconds watch_retry_pause{500};

// Returns whether the failed call had no effect and may succeed later.
bool is_retryable(error_kind kind) {
    return kind == error_kind::store_unreachable || kind == error_kind::store_throttled;
}

// A store client with the io_context that runs it. The context is declared first, since the
// client's connections refer to it.
struct session {
    asio::io_context m_context;
    std::unique_ptr<store_client> m_client;

    // Starts one call and runs the context until the reply arrives.
    template <typename starter>
    store_reply wait_for(starter start) {
        store_reply result;
        bool done = false;
        start([&](const store_reply& reply) {
            result = reply;
            done = true;
        });
        m_context.restart();
        while (!done && m_context.run_one() > 0) {
        }
        return result;
    }

    // Makes a call and retries it while its failure is retryable. A read is also retried after a
    // lost reply.
    template <typename starter>
    store_reply retry(bool is_read, starter start) {
        store_reply reply;
        milliseconds pause = initial_pause;
        for (int attempt = 0; attempt < max_attempts; ++attempt) {
            reply = wait_for(start);
            const bool retryable = is_retryable(reply.m_kind) ||
                                   (is_read && reply.m_kind == error_kind::store_outcome_unknown);
            if (!retryable || attempt + 1 == max_attempts) {
                break;
            }
            std::this_thread::sleep_for(pause);
            pause *= 2;
        }
        return reply;
    }
};

// State of one m_follow call, which keeps one watch per prefix and restarts it after each reply.
struct follow_state {
    session* m_session = nullptr;
    const change_handler* m_handler = nullptr;
    std::vector<std::unique_ptr<asio::steady_timer>> m_timers; // retry pauses after failures
    error_kind m_result = error_kind::none;
    bool m_stopped = false;
};

// Starts a watch of one prefix for changes after a store revision.
void watch_prefix(const std::shared_ptr<follow_state>& state, const std::string& prefix,
                  std::uint64_t after) {
    state->m_session->m_client->watch(
        prefix, after, watch_wait, [state, prefix, after](const store_reply& reply) {
            if (state->m_stopped) {
                return;
            }
            if (reply.m_kind != error_kind::none) {
                auto timer = std::make_unique<asio::steady_timer>(state->m_session->m_context);
                timer->expires_after(watch_retry_pause);
                timer->async_wait([state, prefix, after](const boost::system::error_code& failure) {
                    if (!failure && !state->m_stopped) {
                        watch_prefix(state, prefix, after);
                    }
                });
                std::erase_if(state->m_timers, [](const auto& old) {
                    return old->expiry() < std::chrono::steady_clock::now();
                });
                state->m_timers.push_back(std::move(timer));
                return;
            }
            std::uint64_t next = std::max(after, reply.m_revision);
            for (const store_entry& entry : reply.m_entries) {
                next = std::max(next, entry.m_revision);
                if (!(*state->m_handler)(entry)) {
                    state->m_stopped = true;
                    return;
                }
            }
            watch_prefix(state, prefix, next);
        });
}

} // namespace

store_interface open_store(std::vector<ip_endpoint> addresses, milliseconds timeout) {
    auto shared_session = std::make_shared<session>();
    shared_session->m_client = store_client::create(shared_session->m_context, std::move(addresses),
                                                    native_store_codec(), timeout, {});
    store_interface calls;
    calls.m_get = [shared_session](std::string_view key) {
        return shared_session->retry(
            true, [&](store_callback done) { shared_session->m_client->get(key, done); });
    };
    calls.m_put = [shared_session](std::string_view key, std::string_view value,
                                   std::uint64_t if_revision) {
        return shared_session->retry(false, [&](store_callback done) {
            shared_session->m_client->put(key, value, if_revision, "", done);
        });
    };
    calls.m_list = [shared_session](std::string_view prefix) {
        return shared_session->retry(
            true, [&](store_callback done) { shared_session->m_client->list(prefix, done); });
    };
    calls.m_follow = [shared_session](std::span<const std::string> prefixes, std::uint64_t after,
                                      milliseconds limit, const change_handler& handler) {
        auto state = std::make_shared<follow_state>();
        state->m_session = shared_session.get();
        state->m_handler = &handler;
        for (const std::string& prefix : prefixes) {
            watch_prefix(state, prefix, after);
        }
        const auto deadline = std::chrono::steady_clock::now() + limit;
        shared_session->m_context.restart();
        while (!state->m_stopped) {
            if (limit.count() == 0) {
                shared_session->m_context.run_one();
            } else if (shared_session->m_context.run_one_until(deadline) == 0) {
                state->m_stopped = true;
                state->m_result = error_kind::deadline_after_send;
            }
        }
        state->m_timers.clear();
        return state->m_result;
    };
    return calls;
}

write_result write_if_unchanged(const store_interface& store, std::string_view key,
                                std::string_view value, std::uint64_t if_revision) {
    write_result result;
    bool reply_lost = false;
    for (int attempt = 0; attempt < max_write_attempts; ++attempt) {
        const store_reply reply = store.m_put(key, value, if_revision);
        result.m_text = reply.m_text;
        if (reply.m_kind == error_kind::none) {
            result.m_kind = write_result::kind::written;
            result.m_revision = reply.m_revision;
            return result;
        }
        if (reply.m_kind == error_kind::store_value_too_large) {
            result.m_kind = write_result::kind::too_large;
            return result;
        }
        if (reply.m_kind != error_kind::store_conflict &&
            reply.m_kind != error_kind::store_outcome_unknown) {
            result.m_kind =
                reply_lost ? write_result::kind::unknown : write_result::kind::unreachable;
            return result;
        }
        reply_lost = reply_lost || reply.m_kind == error_kind::store_outcome_unknown;
        const store_reply found = store.m_get(key);
        const bool absent = found.m_kind == error_kind::store_not_found;
        if (found.m_kind != error_kind::none && !absent) {
            result.m_kind =
                reply_lost ? write_result::kind::unknown : write_result::kind::lost_race;
            result.m_revision = reply.m_revision;
            result.m_text = found.m_text;
            return result;
        }
        const std::uint64_t revision = absent ? 0 : found.m_revision;
        if (revision == if_revision && reply.m_kind == error_kind::store_outcome_unknown) {
            continue;
        }
        if (reply_lost && !absent && found.m_value == value) {
            result.m_kind = write_result::kind::written;
            result.m_revision = revision;
            return result;
        }
        result.m_kind = write_result::kind::lost_race;
        result.m_revision = revision;
        result.m_value = found.m_value;
        result.m_may_have_been_stored = reply_lost;
        return result;
    }
    result.m_kind = write_result::kind::unknown;
    return result;
}

} // namespace caraway
