#include "decide/configuration/acceptance.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <fmt/format.h>
#include <limits>

#include "base/hash.hpp"

namespace caraway {
namespace {

// Reads an unsigned JSON number. The parser yields int64 for small values and uint64 for large
// ones. A negative number is rejected.
std::optional<std::uint64_t> unsigned_field(const boost::json::object& object,
                                            std::string_view name) {
    const boost::json::value* value = object.if_contains(name);
    if (value == nullptr) {
        return std::nullopt;
    }
    if (value->is_uint64()) {
        return value->get_uint64();
    }
    if (value->is_int64() && value->get_int64() >= 0) {
        return static_cast<std::uint64_t>(value->get_int64());
    }
    return std::nullopt;
}

// Returns a string field, or null if it is missing or not a string.
const boost::json::string* string_field(const boost::json::object& object, std::string_view name) {
    const boost::json::value* value = object.if_contains(name);
    return value == nullptr ? nullptr : value->if_string();
}

// Parses the whole text as one hexadecimal number of at most 64 bits.
std::optional<std::uint64_t> parse_hex(std::string_view text) {
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    const auto [stop, fault] = std::from_chars(text.data(), end, value, 16);
    if (text.empty() || fault != std::errc{} || stop != end) {
        return std::nullopt;
    }
    return value;
}

// A full text is written at least once in this many versions. Nodes keep the same number of texts,
// so they mostly hold the base of a new delta.
constexpr std::uint64_t full_text_interval = 8;

// Versions before the latest full text whose values are kept for slow readers.
constexpr std::uint64_t versions_kept_before_full = 8;

// A delta is small up to this many bytes, or up to the text size divided by the divisor. Each delta
// contains the changes of all earlier ones since the last full text. Beyond this size, the seven
// deltas between two full texts cost more than a compressed full text, whose size is a twelfth of
// the text's with names that hardly compress.
constexpr std::size_t small_delta_bytes = 4'096;
constexpr std::size_t small_delta_divisor = 64;

// Reads the id of the base from a record. Returns an id of version 0 if the text is stored in full,
// and nothing if the base is invalid.
std::optional<text_id> parse_base(const boost::json::object& object) {
    if (!object.contains("base_version")) {
        return text_id{};
    }
    const auto version = unsigned_field(object, "base_version");
    const boost::json::string* hash_text = string_field(object, "base_hash");
    const auto hash = hash_text == nullptr
                          ? std::nullopt
                          : parse_hex(std::string_view(hash_text->data(), hash_text->size()));
    if (!version || *version == 0 || !hash) {
        return std::nullopt;
    }
    return text_id{*version, *hash};
}

} // namespace

std::string encode_accepted(const accepted_record& record) {
    boost::json::object object;
    object["version"] = record.m_version;
    object["source_revision"] = record.m_source_revision;
    // Written as a string because other JSON readers lose the low bits of 64-bit numbers.
    object["hash"] = fmt::format("{:016x}", record.m_hash);
    object["accepter"] = record.m_accepter;
    object["accepted_ms"] = record.m_accepted_ms;
    if (record.m_base.m_version != 0) {
        object["base_version"] = record.m_base.m_version;
        object["base_hash"] = fmt::format("{:016x}", record.m_base.m_hash);
    }
    return boost::json::serialize(object);
}

std::optional<accepted_record> decode_accepted(std::string_view value, error& reason) {
    boost::json::error_code fault;
    const boost::json::value parsed = boost::json::parse(value, fault);
    if (fault || !parsed.is_object()) {
        return fail(reason, error_kind::invalid_text, "accepted record is not a JSON object");
    }
    const boost::json::object& object = parsed.get_object();
    const auto version = unsigned_field(object, "version");
    const auto source_revision = unsigned_field(object, "source_revision");
    const boost::json::string* hash_text = string_field(object, "hash");
    const boost::json::string* accepter = string_field(object, "accepter");
    const auto accepted_ms = unsigned_field(object, "accepted_ms");
    if (!version || *version == 0) {
        return fail(reason, error_kind::invalid_text, "accepted record: version missing or zero");
    }
    if (!source_revision) {
        return fail(reason, error_kind::invalid_text, "accepted record: source_revision missing");
    }
    const auto hash = hash_text == nullptr
                          ? std::nullopt
                          : parse_hex(std::string_view(hash_text->data(), hash_text->size()));
    if (!hash) {
        return fail(reason, error_kind::invalid_text,
                    "accepted record: hash missing or not hexadecimal");
    }
    if (accepter == nullptr) {
        return fail(reason, error_kind::invalid_text, "accepted record: accepter missing");
    }
    constexpr auto latest = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (!accepted_ms || *accepted_ms > latest) {
        return fail(reason, error_kind::invalid_text,
                    "accepted record: accepted_ms missing or too large");
    }
    const auto base = parse_base(object);
    if (!base || base->m_version >= *version) {
        return fail(reason, error_kind::invalid_text,
                    "accepted record: base_version or base_hash invalid");
    }
    accepted_record record;
    record.m_base = *base;
    record.m_version = *version;
    record.m_source_revision = *source_revision;
    record.m_hash = *hash;
    record.m_accepter.assign(accepter->data(), accepter->size());
    record.m_accepted_ms = static_cast<std::int64_t>(*accepted_ms);
    return record;
}

std::string text_key(std::uint64_t version, std::uint64_t hash) {
    return fmt::format("caraway/accepted-text/{}-{:016x}", version, hash);
}

std::string delta_key(std::uint64_t version, std::uint64_t hash) {
    return fmt::format("caraway/accepted-delta/{}-{:016x}", version, hash);
}

text_id full_text_of(const accepted_record& record) {
    return record.m_base.m_version == 0 ? text_id{record.m_version, record.m_hash} : record.m_base;
}

bool is_small_delta(std::size_t delta_bytes, std::size_t text_bytes) {
    return delta_bytes <= std::max(small_delta_bytes, text_bytes / small_delta_divisor);
}

bool should_store_full(std::uint64_t version, std::uint64_t base_version, std::size_t delta_bytes,
                       std::size_t text_bytes) {
    return base_version == 0 || version >= base_version + full_text_interval ||
           !is_small_delta(delta_bytes, text_bytes);
}

// The base version of committed records never decreases, so a value that is not needed now is never
// needed again. An accepter that was paused past its lease knows an older record and removes less.
bool is_obsolete_key(std::string_view key, const accepted_record& committed) {
    const std::size_t begin = key.rfind('/') + 1;
    std::uint64_t version = 0;
    const auto [stop, fault] =
        std::from_chars(key.data() + begin, key.data() + key.size(), version);
    return key.starts_with(accepted_prefix) && fault == std::errc{} &&
           stop != key.data() + key.size() && *stop == '-' &&
           version + versions_kept_before_full < full_text_of(committed).m_version;
}

text_source choose_text_source(const submitted_revisions& revisions,
                               std::uint64_t last_evaluated_revision,
                               std::uint64_t highest_decided_revision,
                               std::uint64_t unusable_delta_revision, duration wait_elapsed) {
    if (revisions.m_text_revision == 0 || revisions.m_text_revision == last_evaluated_revision ||
        revisions.m_text_revision <= highest_decided_revision) {
        return text_source::nothing;
    }
    if (revisions.m_delta_revision > revisions.m_text_revision &&
        revisions.m_delta_revision != unusable_delta_revision) {
        return text_source::delta;
    }
    return wait_elapsed < submitted_delta_wait ? text_source::wait : text_source::full;
}

// Each revision is evaluated once: it is skipped if it was refused, or if it is not newer than the
// source of the accepted version. Any other text is accepted as a whole or refused with all its
// faults.
acceptance_decision decide_acceptance(std::string_view text, std::uint64_t text_revision,
                                      const std::optional<accepted_record>& accepted,
                                      const mesh* accepted_mesh, std::uint64_t refused_revision,
                                      std::string_view accepter, wall_time now) {
    acceptance_decision decision;
    if (text_revision == 0 || text_revision <= refused_revision) {
        return decision;
    }
    if (accepted && text_revision <= accepted->m_source_revision) {
        return decision;
    }
    if (!parse_mesh(text, now, accepted_mesh, decision.m_faults)) {
        decision.m_kind = acceptance_decision::kind::refuse;
        return decision;
    }
    decision.m_kind = acceptance_decision::kind::accept;
    decision.m_faults.clear();
    accepted_record record;
    record.m_version = (accepted ? accepted->m_version : 0) + 1;
    record.m_source_revision = text_revision;
    record.m_hash = hash_bytes(text);
    record.m_accepter = accepter;
    record.m_accepted_ms = unix_ms(now);
    decision.m_record = std::move(record);
    return decision;
}

} // namespace caraway
