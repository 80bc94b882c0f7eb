// Encoding of store operations. The client is the same for every store; a codec encodes its
// requests and decodes the responses.
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

// One key of a list or watch reply. m_deleted is set if a watch reports that the key was deleted.
struct store_entry {
    std::string m_key;
    std::uint64_t m_revision = 0;
    std::string m_value;
    bool m_deleted = false;
};

// Reply to one store call. A codec states revisions in it, and the client replaces them by versions
// (store/store_version.hpp), which also are what its callers pass as revisions. Members name the
// operations that set them. m_kind is none on success, otherwise one of:
// - store_conflict: a compare-and-swap failed; m_revision is the key's current revision, or 0 if
//   the store was restored since the revision of the condition was read
// - store_not_found: the key is absent, or the history that a watch needs is no longer available
//   (also after the store was restored from a copy)
// - store_lease_lost: the lease has ended
// - store_value_too_large: the value exceeds the store's limit
// - store_throttled: the rate limit of the store is reached
// - store_unreachable: the request can't have changed anything: it was not sent, the store didn't
//   execute it, or it is a read without a reply
// - store_outcome_unknown: a write may have taken effect, or the reply is malformed or unexpected
struct store_reply {
    error_kind m_kind = error_kind::none;
    std::uint64_t m_revision = 0;
    std::string m_value;                // get
    std::vector<store_entry> m_entries; // list, watch
    bool m_has_more = false;            // list: further pages follow the last entry
    std::string m_lease;                // create_lease: id of the new lease
    std::string m_text;                 // description of a failure, for logs
};

// Operation of the key-value store.
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

// Returns the name of an operation in metrics and logs.
std::string_view store_operation_name(store_operation value);

// Returns true for operations that change nothing. Only after a lost answer to one of the others is
// it unknown whether a change was made.
bool is_read(store_operation value);

// A key that exists exactly as long as one claim of a lease. A write that requires it fails once
// the claim is over, also if a restoration of the store has assigned the revision again that the
// write requires of its own key: no other claim has a key of this name.
struct store_fence {
    std::string m_key;
    // Version that the key must have; 0 to write it, under the lease of the put.
    std::uint64_t m_version = 0;
};

// One operation with its arguments. Each member names the operations that use it.
struct store_command {
    store_operation m_operation = store_operation::get;
    std::string m_key;   // a key; the prefix for list and watch
    std::string m_value; // put
    // put, remove: the operation requires that the key has this revision; 0 requires that it is
    // absent.
    std::optional<std::uint64_t> m_if_revision;
    std::string m_lease; // put: lease of the key; renew_lease, end_lease: lease to change
    // put: a fence, not empty only where m_has_fences is set in the codec.
    store_fence m_fence;
    std::string m_after_key;      // list: only keys after this one
    bool m_allow_stale = false;   // list: a replica may answer with data some seconds old
    std::uint64_t m_revision = 0; // watch: changes after this store revision
    milliseconds m_wait{0};       // watch: maximum time to wait for a change
    milliseconds m_period{0};     // create_lease: the lease ends if not renewed within it
};

// An HTTP request to the store.
struct store_http_request {
    std::string m_method;
    std::string m_target;
    std::string m_body;
};

// An HTTP response of the store. The views must stay valid during the call of m_decode.
struct store_http_response {
    unsigned m_status = 0;
    std::string_view m_revision_header; // x-revision
    std::string_view m_body;
};

// Encodes the commands for one kind of store and decodes its responses.
struct store_codec {
    std::function<store_http_request(const store_command&)> m_encode;
    // Decodes a response. A malformed one becomes store_outcome_unknown.
    std::function<store_reply(const store_command&, const store_http_response&)> m_decode;
    // Name of the header that states the store's era. If empty, the era is always 0.
    std::string m_era_header;
    bool m_has_fences = false; // whether the store can write two keys at once
};

// Returns the codec of the product's own store interface (docs/design.md, section 5).
store_codec native_store_codec();

// Escapes a key or prefix for use in a URL path or query.
std::string escape_url(std::string_view text);

} // namespace caraway
