// Blocking store calls for carawayctl, and the compare-and-swap that reads back after a lost
// answer.
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

// Takes one change of a followed key; returns false to stop following.
using change_handler = std::function<bool(const store_entry&)>;

// The store as the commands use it. Tests put a fake in its place.
struct store_interface {
    std::function<store_reply(std::string_view key)> m_get;
    std::function<store_reply(std::string_view key, std::string_view value,
                              std::uint64_t if_revision)>
        m_put;
    std::function<store_reply(std::string_view prefix)> m_list;
    // Hands on every change below the prefixes after a store revision. Returns none when the
    // handler stopped, deadline_after_send when the limit passed (0: no limit).
    std::function<error_kind(std::span<const std::string> prefixes, std::uint64_t after,
                             milliseconds limit, const change_handler& handler)>
        m_follow;
};

// Opens a session with the store. Calls that can't have taken effect are tried again a few times
// with a growing pause, on the next address after a connection failure.
store_interface open_store(std::vector<ip_endpoint> addresses, milliseconds timeout);

// How a compare-and-swap ended.
struct write_result {
    enum class kind : std::uint8_t {
        written,
        lost_race,   // another writer was first; m_revision and m_value are the store's
        unknown,     // the answer was lost and the key can't be read back
        unreachable, // nothing was written
        too_large,
    };
    kind m_kind = kind::unreachable;
    std::uint64_t m_revision = 0;        // of the key after the write, or of the winner
    std::string m_value;                 // lost: the winner's value
    bool m_may_have_been_stored = false; // lost: the own value may have stood before the winner's
    std::string m_text;                  // reason of a failure
};

// Writes value if the key is still at if_revision (0: absent). After a lost answer the key is read
// back before the write is tried again, so that the own write is not taken for another's.
write_result write_if_unchanged(const store_interface& store, std::string_view key,
                                std::string_view value, std::uint64_t if_revision);

} // namespace caraway
