// Decides which submitted configuration text becomes the next accepted version, and in which form
// the store keeps it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "config/mesh.hpp"

namespace caraway {

// Prefix of the store keys of all texts and deltas of accepted versions.
constexpr std::string_view accepted_prefix = "caraway/accepted-";

// Identifies a version's text by its content, so that an uncommitted text of a failed accepter
// isn't mistaken for the committed text of the same version.
struct text_id {
    std::uint64_t m_version = 0;
    std::uint64_t m_hash = 0;
    friend bool operator==(const text_id&, const text_id&) = default;
};

// The record of the accepted version, stored as a JSON object on one line. The text is stored
// before the record, so that watches and joining nodes transfer only the record. The text is stored
// either in full under text_key, or under delta_key as a delta from the full text of the base.
struct accepted_record {
    std::uint64_t m_version = 0;
    std::uint64_t m_source_revision = 0; // store revision of the submitted text
    std::uint64_t m_hash = 0;            // content hash of the text
    std::string m_accepter;
    std::int64_t m_accepted_ms = 0; // Unix milliseconds
    text_id m_base;                 // version 0 if the text is stored in full
    friend bool operator==(const accepted_record&, const accepted_record&) = default;
};

// Encodes the record in its stored form.
std::string encode_accepted(const accepted_record& record);

// Decodes a stored record. Fails with invalid_text if a field is missing or invalid.
std::optional<accepted_record> decode_accepted(std::string_view value, error& reason);

// Returns the store key of an accepted text that is stored in full.
std::string text_key(std::uint64_t version, std::uint64_t hash);

// Returns the store key of an accepted text's delta from the latest full text before it.
std::string delta_key(std::uint64_t version, std::uint64_t hash);

// Returns the id of the full text that the record's text is restored from: its own, or that of the
// base.
text_id full_text_of(const accepted_record& record);

// Returns whether a version must be stored in full. base_version is the version of the latest full
// text that the accepter has, 0 if none, and delta_bytes is the size of the delta from it.
bool should_store_full(std::uint64_t version, std::uint64_t base_version, std::size_t delta_bytes,
                       std::size_t text_bytes);

// Returns whether a delta is so small that readers should use it instead of the full text.
bool is_small_delta(std::size_t delta_bytes, std::size_t text_bytes);

// Returns whether a key below accepted_prefix is no longer needed once the record is committed,
// neither for its text nor for the texts of earlier versions that readers may still be fetching.
bool is_obsolete_key(std::string_view key, const accepted_record& committed);

// Store revisions of the submitted text and of the delta that carawayctl writes after the text. A
// revision is 0 if the value is absent.
struct submitted_revisions {
    std::uint64_t m_text_revision = 0;
    std::uint64_t m_delta_revision = 0;
};

// How the accepter obtains a submitted text: from its delta, by waiting for a delta that may still
// be written, or by reading the full text.
enum class text_source : std::uint8_t { nothing, delta, wait, full };

// How long the accepter waits for the delta after it has seen a new text. carawayctl writes the
// delta within a few milliseconds. A text that another tool wrote without a delta is accepted this
// much later.
constexpr milliseconds submitted_delta_wait{250};

// Chooses the source of a submitted text. last_evaluated_revision is that of the text evaluated
// last, highest_decided_revision the highest one that was accepted or refused, and
// unusable_delta_revision that of a delta that belongs to an older text. wait_elapsed is the time
// since the text was first seen.
text_source choose_text_source(const submitted_revisions& revisions,
                               std::uint64_t last_evaluated_revision,
                               std::uint64_t highest_decided_revision,
                               std::uint64_t unusable_delta_revision, duration wait_elapsed);

// What the accepter does with a submitted text.
struct acceptance_decision {
    enum class kind : std::uint8_t { nothing, accept, refuse };
    kind m_kind = kind::nothing;
    std::optional<accepted_record> m_record; // accept: the record to write
    std::vector<text_fault> m_faults;        // refuse: all faults
};

// Decides on the submitted text at its revision, given the accepted record in force with its mesh
// (none at first) and the revision that was last refused. Each revision is evaluated once.
acceptance_decision decide_acceptance(std::string_view text, std::uint64_t text_revision,
                                      const std::optional<accepted_record>& accepted,
                                      const mesh* accepted_mesh, std::uint64_t refused_revision,
                                      std::string_view accepter, wall_time now);

} // namespace caraway
