// Types of the bulk messages between nodes, and the encoding of these and of UDP packets. Only
// wire.cpp uses Protobuf. Unknown fields, which newer nodes send, are skipped.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/error.hpp"
#include "decide/configuration/kept_items.hpp"
#include "decide/membership/membership.hpp"
#include "decide/versions/facts.hpp"
#include "decide/versions/version_move.hpp"

namespace caraway {

// A compressed configuration text: a zstd frame of the full text, or of a delta from the text of
// m_base_version.
struct packed_text {
    std::uint64_t m_version = 0;
    std::uint64_t m_hash = 0;
    std::uint64_t m_base_version = 0; // 0 if m_compressed holds the full text
    std::uint64_t m_size = 0;         // size of the decompressed text in bytes
    std::string m_compressed;
};

// Sent by a starting node to a member to get the members, the configuration and the facts that it
// knows.
struct join_request {
    member m_self;
};
// Answers a join: the members, the configuration and the facts that the peer knows, or the time
// after which the node may ask again.
struct join_reply {
    milliseconds m_retry_after{0}; // 0 if the join was accepted
    std::vector<member> m_members;
    std::optional<packed_text> m_config;
    std::vector<suspension> m_suspensions;
    std::vector<move_record> m_records;
    kept_items m_kept_items;
    // Highest configuration version reported under the joining instance's name, across restarts; 0
    // if unknown.
    std::uint64_t m_predecessor_version = 0;
};
// Asks a peer for a configuration text of at least m_want_version. m_have_version is the version
// that the requester holds.
struct fetch_config_request {
    std::string m_instance; // the requester
    std::uint64_t m_have_version = 0;
    std::uint64_t m_want_version = 0; // lowest version that the requester accepts
};
// Answers a fetch_config_request.
struct fetch_config_reply {
    std::optional<packed_text> m_config; // empty if the peer holds no version that high
};
// All facts about version moves and a restored store that a node knows. Requester and responder
// both send theirs, so that one exchange makes them equal.
struct facts_message {
    std::vector<suspension> m_suspensions;
    std::vector<move_record> m_records;
    kept_items m_kept_items;
};
// Asks to compare member tables: the sender's hash of each bucket (see member_bucket_hashes).
struct members_digest_request {
    std::string m_instance;
    std::vector<std::uint64_t> m_bucket_hashes;
};
// Indexes of the buckets with differing hashes, and the responder's members in these buckets.
struct members_digest_reply {
    std::vector<std::uint32_t> m_differing_buckets;
    std::vector<member> m_members;
};
// Members for the receiver to merge into its table.
struct merge_members_request {
    std::vector<member> m_members;
};
// Sent by the collector of a shard to the global collector, the node that writes the in-force
// verdict: how many members of the shard (a part of a data centre's members) have a version in
// force.
struct in_force_summary {
    std::string m_data_centre;
    std::uint32_t m_shard = 0;
    std::uint64_t m_version = 0;
    std::uint32_t m_in_force = 0;
    std::uint32_t m_members = 0; // all live members of the shard
    // Instances on which the version is not in force, at most max_missing_names.
    std::vector<std::string> m_missing;
};
// Acknowledges a request that has no other reply.
struct ack_reply {};

using bulk_request =
    std::variant<join_request, fetch_config_request, facts_message, members_digest_request,
                 merge_members_request, evidence_report, in_force_summary>;
// Reply to a bulk request: error_kind if it was malformed, and for an evidence report the sum of
// the old version's reports of the last interval.
using bulk_reply = std::variant<ack_reply, join_reply, fetch_config_reply, facts_message,
                                members_digest_reply, evidence_report, error_kind>;

// Encodes a packet. Removes trailing updates until it fits max_packet_bytes.
std::string encode_packet(const packet& value);
// Decodes a packet. Fails with peer_bad_message if it is malformed.
std::optional<packet> decode_packet(std::string_view bytes, error& reason);

// Encodes and decodes bulk requests. Decoding fails with peer_bad_message if the request is
// malformed or holds more entries than any node sends.
std::string encode_request(const bulk_request& value);
std::optional<bulk_request> decode_request(std::string_view bytes, error& reason);

// Encodes and decodes bulk replies. Decoding fails as for requests.
std::string encode_reply(const bulk_reply& value);
std::optional<bulk_reply> decode_reply(std::string_view bytes, error& reason);

// Compresses a text. If base is not empty, encodes only the delta from it. Compressing a megabyte
// takes well below 10 ms at the zstd level used; the delta of a small change takes a few hundred
// bytes.
packed_text pack_text(std::uint64_t version, std::uint64_t hash, std::string_view text,
                      std::uint64_t base_version, std::string_view base);

// Decompresses a text; base must be the text of m_base_version. Fails with peer_bad_message if the
// frame is damaged, the size is above max_text_bytes or the hash differs.
std::optional<std::string> unpack_text(const packed_text& packed, std::string_view base,
                                       error& reason);

// Encodes a compressed text as the store holds it. Used for accepted texts, in full or as deltas,
// and for the delta of a submitted text.
std::string encode_stored_text(packed_text packed);
// Decodes the result of encode_stored_text. Fails with peer_bad_message if it is malformed.
std::optional<packed_text> decode_stored_text(std::string_view value, error& reason);

// Encodes a full text as the store holds it. Returns the text itself if compression doesn't make it
// smaller, since the store accepts values only up to the maximum size of a text.
std::string encode_full_text(std::uint64_t version, std::uint64_t hash, std::string_view text);

// Decodes a full text from its stored form or from the plain text. Fails with peer_bad_message if
// unpack_text does or if the hash of the text differs from hash.
std::optional<std::string> decode_full_text(std::string_view value, std::uint64_t hash,
                                            error& reason);

} // namespace caraway
