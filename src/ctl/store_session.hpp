// Blocking store access for carawayctl, including a compare-and-swap that reads the key back if the
// reply is lost.
#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "config/settings.hpp"
#include "store/store_client.hpp"

namespace caraway {

// Handles one change of a watched key. Returns false to stop watching.
using change_handler = std::function<bool(const store_entry&)>;

// The store operations that the commands need. Tests replace them with a fake store. All of them
// block the calling thread.
struct store_interface {
    std::function<store_reply(std::string_view key)> m_get;
    // Writes the value if the key is still at if_revision (0: absent).
    std::function<store_reply(std::string_view key, std::string_view value,
                              std::uint64_t if_revision)>
        m_put;
    std::function<store_reply(std::string_view prefix)> m_list;
    // Passes every change below the prefixes after a store revision to the handler. Returns none if
    // the handler stopped it, deadline_after_send if the limit has passed (0: no limit).
    std::function<error_kind(std::span<const std::string> prefixes, std::uint64_t after,
                             milliseconds limit, const change_handler& handler)>
        m_follow;
};

// Opens a session with the store. Reads, and writes that can't have taken effect, are retried a few
// times with exponential backoff, on the next address after a connection failure. timeout applies
// to each attempt.
store_interface open_store(std::vector<ip_endpoint> addresses, milliseconds timeout);

// Result of a compare-and-swap.
struct write_result {
    enum class kind : std::uint8_t {
        written,
        lost_race,   // another writer came first; m_revision and m_value are the store's
        unknown,     // the reply was lost and the key can't be read back
        unreachable, // nothing was written
        too_large,   // the store rejected the value's size
    };
    kind m_kind = kind::unreachable;
    std::uint64_t m_revision = 0; // revision of the key after the write, or of the winner's value
    std::string m_value;          // lost_race: the winner's value, empty if it can't be read
    bool m_may_have_been_stored = false; // lost_race: the winner may have overwritten this value
    std::string m_text;                  // reason for a failure
};

// Writes value if the key is still at if_revision (0: absent). If the reply is lost, the key is
// read back before a retry, so that this write is not mistaken for another writer's.
write_result write_if_unchanged(const store_interface& store, std::string_view key,
                                std::string_view value, std::uint64_t if_revision);

} // namespace caraway
