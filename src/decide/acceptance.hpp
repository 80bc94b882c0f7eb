// Which submitted text becomes the next accepted version, and in which form the store keeps it.
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

// All stored texts and deltas of accepted versions.
constexpr std::string_view accepted_prefix = "caraway/accepted-";

// Names a version's text by its content, so that a text of a dead accepter that was never committed
// isn't taken for the committed one of the same version.
struct text_id {
    std::uint64_t m_version = 0;
    std::uint64_t m_hash = 0;
    friend bool operator==(const text_id&, const text_id&) = default;
};

// The accepted record as the store keeps it (a JSON object on one line). The text itself is stored
// before the record, so that watches and joining nodes transfer only the record: whole under
// text_key, or as the difference from the whole text of the base under delta_key.
struct accepted_record {
    std::uint64_t m_version = 0;
    std::uint64_t m_source_revision = 0; // store revision of the submitted text
    std::uint64_t m_hash = 0;            // content hash of the text
    std::string m_accepter;
    std::int64_t m_accepted_ms = 0; // Unix milliseconds
    text_id m_base;                 // version 0: the text itself is stored whole
    friend bool operator==(const accepted_record&, const accepted_record&) = default;
};

// Writes the record in the store's form.
std::string encode_accepted(const accepted_record& record);

// Reads the store's form; fails with invalid_text when a field is missing or wrong.
std::optional<accepted_record> decode_accepted(std::string_view value, error& reason);

// Store key of an accepted text that is stored whole.
std::string text_key(std::uint64_t version, std::uint64_t hash);

// Store key of its difference from the latest whole text before it.
std::string delta_key(std::uint64_t version, std::uint64_t hash);

// The whole text that the record's text is restored from: its own or the base.
text_id full_text_of(const accepted_record& record);

// True if a version is to be stored whole, given the version of the latest whole text (0: none that
// the accepter has) and the size of the difference from it in bytes.
bool should_store_full(std::uint64_t version, std::uint64_t base_version, std::size_t delta_bytes,
                       std::size_t text_bytes);

// True for a delta so small that readers should use it instead of the whole text.
bool is_small_delta(std::size_t delta_bytes, std::size_t text_bytes);

// True if a key below accepted_prefix is no longer needed once the record is committed: neither for
// its text nor for the texts of the versions before it that readers may still be fetching.
bool is_obsolete_key(std::string_view key, const accepted_record& committed);

// Store revisions of the submitted text and of the difference that carawayctl writes after it, 0
// when absent.
struct submitted_revisions {
    std::uint64_t m_text = 0;
    std::uint64_t m_delta = 0;
};

// How the accepter learns a submitted text: from the difference, from the difference that may
// still come, or by reading the text whole.
enum class text_source : std::uint8_t { nothing, delta, wait, whole };

// How long the accepter waits for the difference after it has seen a new text. carawayctl writes it
// within some ms; a text that another tool put raw is accepted that much later.
constexpr milliseconds submitted_delta_wait{250};

// Chooses the source. judged is the revision judged last and decided the highest one that was
// accepted or refused; unusable_delta is the revision of a difference that belongs to an older
// text; waited is the time since the text was seen first.
text_source choose_text_source(const submitted_revisions& revisions, std::uint64_t last_evaluated,
                               std::uint64_t highest_decided, std::uint64_t unusable_delta,
                               duration wait_elapsed);

// What the accepter does with a submitted text.
struct acceptance_decision {
    enum class kind : std::uint8_t { nothing, accept, refuse };
    kind m_kind = kind::nothing;
    std::optional<accepted_record> m_record; // accept: the record to write
    std::vector<text_fault> m_faults;        // refuse: every fault
};

// Decides on the submitted text at its revision, given the accepted record in force with its
// mesh (none at first) and the revision that was last refused. The same text is judged once.
acceptance_decision decide_acceptance(std::string_view text, std::uint64_t text_revision,
                                      const std::optional<accepted_record>& accepted,
                                      const mesh* accepted_mesh, std::uint64_t refused_revision,
                                      std::string_view accepter, wall_time now);

} // namespace caraway
