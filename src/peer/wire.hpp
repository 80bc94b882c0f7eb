// Typed bulk messages between nodes and the codec for them and for UDP packets. Protobuf stays
// behind wire.cpp; unknown fields of newer nodes are skipped.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/error.hpp"
#include "decide/facts.hpp"
#include "decide/membership.hpp"
#include "decide/version_move.hpp"

namespace caraway {

// A configuration text on its way: a zstd frame of the whole text, or of its difference from
// m_base_version.
struct packed_text {
    std::uint64_t m_version = 0;
    std::uint64_t m_hash = 0;
    std::uint64_t m_base_version = 0; // 0: the whole text
    std::uint64_t m_size = 0;         // of the unpacked text in bytes
    std::string m_compressed;
};

struct join_request {
    member m_self;
};
struct join_reply {
    milliseconds m_retry_after{0}; // not 0: refused
    std::vector<member> m_members;
    std::optional<packed_text> m_config;
    std::vector<suspension> m_suspensions;
    std::vector<move_record> m_records;
    std::uint64_t m_predecessor_version = 0;
};
struct fetch_config_request {
    std::string m_instance;
    std::uint64_t m_have_version = 0;
    std::uint64_t m_want_version = 0; // at least this one
};
struct fetch_config_reply {
    std::optional<packed_text> m_config; // nothing when the peer holds no version that high
};
// Both sides send all their facts, so that one exchange makes them equal.
struct facts_message {
    std::vector<suspension> m_suspensions;
    std::vector<move_record> m_records;
};
struct members_digest_request {
    std::string m_instance;
    std::vector<std::uint64_t> m_bucket_hashes;
};
struct members_digest_reply {
    std::vector<std::uint32_t> m_differing_buckets;
    std::vector<member> m_members;
};
struct merge_members_request {
    std::vector<member> m_members;
};
// Version count of one shard of a data centre's members, sent to the global collector.
struct in_force_request {
    std::string m_data_centre;
    std::uint32_t m_shard = 0;
    std::uint64_t m_version = 0;
    std::uint32_t m_in_force = 0;
    std::uint32_t m_members = 0;
    std::vector<std::string> m_missing; // at most max_missing_names
};
struct ack_reply {};

using bulk_request =
    std::variant<join_request, fetch_config_request, facts_message, members_digest_request,
                 merge_members_request, evidence_report, in_force_request>;
// The reply to an evidence report is the sum of the old version's reports of the last interval.
using bulk_reply = std::variant<ack_reply, join_reply, fetch_config_reply, facts_message,
                                members_digest_reply, evidence_report, error_kind>;

// Encodes a packet; drops trailing updates until it fits max_packet_bytes.
std::string encode_packet(const packet& value);
std::optional<packet> decode_packet(std::string_view bytes, error& reason);

std::string encode_request(const bulk_request& value);
std::optional<bulk_request> decode_request(std::string_view bytes, error& reason);

std::string encode_reply(const bulk_reply& value);
std::optional<bulk_reply> decode_reply(std::string_view bytes, error& reason);

// Compresses a text, as the difference from base when base is not empty. Level 3 keeps a megabyte
// well below 10 ms; a small change of it takes a few hundred bytes.
packed_text pack_text(std::uint64_t version, std::uint64_t hash, std::string_view text,
                      std::uint64_t base_version, std::string_view base);

// Restores the text. Fails with peer_bad_message when the frame is damaged, the size is above
// max_text_bytes, or the hash differs.
std::optional<std::string> unpack_text(const packed_text& packed, std::string_view base,
                                       error& reason);

// The form in which the store keeps a packed text: whole accepted texts, deltas of accepted texts,
// and the difference of a submitted text.
std::string encode_stored_text(packed_text packed);
std::optional<packed_text> decode_stored_text(std::string_view value, error& reason);

// The stored form of a whole text. The text itself when packing doesn't make it smaller, since the
// store takes values only up to the size that a text may have.
std::string encode_whole_text(std::uint64_t version, std::uint64_t hash, std::string_view text);

// Restores a whole text from the stored form or from the text itself. Fails with peer_bad_message
// as unpack_text does, and when the text has another hash.
std::optional<std::string> decode_whole_text(std::string_view value, std::uint64_t hash,
                                             error& reason);

} // namespace caraway
