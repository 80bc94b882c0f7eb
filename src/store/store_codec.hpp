// How store operations look on the wire. The client is the same for every store; a codec gives the
// form of its requests and reads its answers.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "base/error.hpp"

namespace caraway {

// One key of a list or watch reply.
struct store_entry {
    std::string m_key;
    std::uint64_t m_revision = 0;
    std::string m_value;
    bool m_deleted = false;
};

// The reply to one store call. m_kind is none on success; store_conflict with the key's current
// revision in m_revision when a compare-and-swap lost; store_not_found for an absent key, and for a
// watch whose history is gone; store_lease_lost when the lease is gone; store_throttled at the rate
// limit; store_unreachable when the store did nothing; store_outcome_unknown when the request may
// have taken effect.
struct store_reply {
    error_kind m_kind = error_kind::none;
    std::uint64_t m_revision = 0;
    std::string m_value;                // get
    std::vector<store_entry> m_entries; // list, watch
    bool m_has_more = false;            // list: further pages follow the last entry
    std::string m_lease;                // create_lease
    std::string m_text;                 // reason of a failure, for logs
};

enum class store_operation : std::uint8_t {
    get,
    put,
    remove,
    list,
    list_keys, // list without values
    watch,
    watch_keys, // watch without values
    create_lease,
    renew_lease,
    end_lease,
};

// Returns the operation's word in metrics and logs.
std::string_view store_operation_name(store_operation value);

// True for operations that change nothing, so that a lost answer leaves no doubt.
bool is_read(store_operation value);

// One operation with its arguments; which of them count depends on the operation.
struct store_command {
    store_operation m_operation = store_operation::get;
    std::string m_key;   // a key, or a prefix for list and watch
    std::string m_value; // put
    // put, remove: only if the key has this revision; 0: only if it is absent.
    std::optional<std::uint64_t> m_if_revision;
    std::string m_lease;          // put: attached to it; renew, end: which one
    std::string m_after_key;      // list: begins behind this key
    bool m_allow_stale = false;   // list: a replica's answer, some seconds old, will do
    std::uint64_t m_revision = 0; // watch: changes after this one
    milliseconds m_wait{0};       // watch
    milliseconds m_period{0};     // create_lease
};

// An HTTP request to the store.
struct store_http_request {
    std::string m_method;
    std::string m_target;
    std::string m_body;
};

// An HTTP answer of the store.
struct store_http_response {
    unsigned m_status = 0;
    std::string_view m_revision_header; // x-revision
    std::string_view m_body;
};

struct store_codec {
    std::function<store_http_request(const store_command&)> m_encode;
    // Reads any answer; one that can't be read gives store_outcome_unknown.
    std::function<store_reply(const store_command&, const store_http_response&)> m_decode;
};

// The codec of the product's own store interface (docs/design.md, section 5).
store_codec native_store_codec();

// Escapes a key or prefix for use in a URL path or query.
std::string escape_url(std::string_view text);

} // namespace caraway
