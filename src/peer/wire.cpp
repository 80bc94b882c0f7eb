#include "peer/wire.hpp"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <bit>

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/stubs/logging.h>
#include <google/protobuf/wire_format_lite.h>
#include <zstd.h>

#include "base/hash.hpp"
#include "config/mesh.hpp"
#include "decide/configuration/distribution.hpp"
#include "peer/gen/peer.pb.h"
#include "peer/kept_items_wire.hpp"

namespace caraway {
namespace {

namespace ip = boost::asio::ip;

// zstd level of configuration texts. Level 3 compresses a megabyte in well below 10 ms.
constexpr int compression_level = 3;
// Largest zstd window, which covers the whole base text (up to 1 MiB).
constexpr int max_window_log = 21;
constexpr int min_window_log = 10; // smallest window log that zstd accepts

// Maximum number of elements of repeated fields in one bulk message: a whole member table and all
// facts. With only the size limit of 8 MiB, one message could allocate 2 GB, since an empty member
// takes 2 bytes on the wire and about 500 in memory. The factor 2 is needed because
// count_repeated_entries also counts each member's name; for facts it is a margin. The other
// fields of a body are counted, too; the 64 leaves room for them.
constexpr std::size_t max_repeated_entries = 2 * (max_members + max_facts) + 64;

// By default, Protobuf prints each malformed message to standard error as plain text. The handler
// is removed, since the calling code logs these messages as JSON lines.
[[maybe_unused]] const auto previous_log_handler = google::protobuf::SetLogHandler(nullptr);

// Converts a number to an enumeration. Numbers above the last known value, which newer nodes may
// send, become that value.
template <typename Enum>
Enum clamp_to_enum(std::uint32_t from, Enum last) {
    return static_cast<Enum>(std::min(from, static_cast<std::uint32_t>(last)));
}

// Writes an address as its 4 or 16 bytes. An address that can't be parsed is left empty.
void endpoint_to_wire(wire::Endpoint& to, const ip_endpoint& from) {
    const auto set_bytes = [&to](const auto& bytes) { to.set_address(bytes.data(), bytes.size()); };
    boost::system::error_code ec;
    const auto address = ip::make_address(from.m_address, ec);
    if (!ec && address.is_v4()) {
        set_bytes(address.to_v4().to_bytes());
    } else if (!ec) {
        set_bytes(address.to_v6().to_bytes());
    }
    to.set_port(from.m_port);
}

// Formats a binary address as text. Returns nothing if the size doesn't match the address type.
template <typename Address>
std::optional<std::string> format_address_bytes(std::string_view bytes_of_address) {
    typename Address::bytes_type bytes{};
    if (bytes_of_address.size() != bytes.size()) {
        return std::nullopt;
    }
    std::copy(bytes_of_address.begin(), bytes_of_address.end(), bytes.begin());
    return Address(bytes).to_string();
}

ip_endpoint endpoint_from_wire(const wire::Endpoint& from) {
    auto address = format_address_bytes<ip::address_v4>(from.address());
    if (!address) {
        address = format_address_bytes<ip::address_v6>(from.address());
    }
    return {address.value_or(""), static_cast<std::uint16_t>(from.port())};
}

// The overloads of to_wire and from_wire convert between the types of this project and Protobuf.
void to_wire(wire::Member& to, const member& from) {
    to.set_instance(from.m_instance);
    to.set_incarnation(from.m_incarnation);
    to.set_state(static_cast<std::uint32_t>(from.m_state));
    to.set_data_centre(from.m_data_centre);
    to.set_service(from.m_service);
    to.set_version(from.m_version);
    endpoint_to_wire(*to.mutable_traffic(), from.m_traffic);
    endpoint_to_wire(*to.mutable_udp(), from.m_udp);
    endpoint_to_wire(*to.mutable_bulk(), from.m_bulk);
    to.set_config_version(from.m_config_version);
    to.set_ready(from.m_ready);
    to.set_store_lost(from.m_store_lost);
    to.set_first_incarnation(from.m_first_incarnation);
    to.set_lost_ms(from.m_lost_ms);
    to.set_departed_server(from.m_departure.m_server);
    to.set_departed_started_ms(from.m_departure.m_started_ms);
}

member from_wire(const wire::Member& from) {
    member out;
    out.m_instance = from.instance();
    out.m_incarnation = from.incarnation();
    out.m_state = clamp_to_enum(from.state(), member_state::left);
    out.m_data_centre = from.data_centre();
    out.m_service = from.service();
    out.m_version = from.version();
    out.m_traffic = endpoint_from_wire(from.traffic());
    out.m_udp = endpoint_from_wire(from.udp());
    out.m_bulk = endpoint_from_wire(from.bulk());
    out.m_config_version = from.config_version();
    out.m_ready = from.ready();
    out.m_store_lost = from.store_lost();
    out.m_first_incarnation = from.first_incarnation();
    out.m_lost_ms = from.lost_ms();
    out.m_departure = {from.departed_server(), from.departed_started_ms()};
    return out;
}

void to_wire(wire::Suspension& to, const suspension& from) {
    to.set_move_id(from.m_move_id);
    to.set_service(from.m_service);
    to.set_version(from.m_version);
    to.set_instance(from.m_instance);
    to.set_reason(from.m_reason);
    to.set_at_ms(from.m_at_ms);
}

suspension from_wire(const wire::Suspension& from) {
    return {from.move_id(),  from.service(), from.version(),
            from.instance(), from.reason(),  from.at_ms()};
}

void to_wire(wire::MoveRecord& to, const move_record& from) {
    to.set_move_id(from.m_move_id);
    to.set_service(from.m_service);
    to.set_from(from.m_from);
    to.set_to(from.m_to);
    to.set_state(static_cast<std::uint32_t>(from.m_state));
    to.set_stage(from.m_stage);
    to.set_weight_permille(from.m_weight_permille);
    to.set_started_ms(from.m_started_ms);
    to.set_raised_ms(from.m_raised_ms);
    to.set_deadline_ms(from.m_deadline_ms);
    to.set_holder(from.m_holder);
    to.set_reason(from.m_reason);
    to.set_revision(from.m_revision);
    to.mutable_excluded_versions()->Assign(from.m_excluded_versions.begin(),
                                           from.m_excluded_versions.end());
}

move_record from_wire(const wire::MoveRecord& from) {
    move_record out;
    out.m_move_id = from.move_id();
    out.m_service = from.service();
    out.m_from = from.from();
    out.m_to = from.to();
    out.m_state = clamp_to_enum(from.state(), move_state::taken_back);
    out.m_stage = from.stage();
    out.m_weight_permille = from.weight_permille();
    out.m_started_ms = from.started_ms();
    out.m_raised_ms = from.raised_ms();
    out.m_deadline_ms = from.deadline_ms();
    out.m_holder = from.holder();
    out.m_reason = from.reason();
    out.m_revision = from.revision();
    out.m_excluded_versions.assign(from.excluded_versions().begin(),
                                   from.excluded_versions().end());
    return out;
}

void to_wire(wire::ConfigText& to, const packed_text& from) {
    to.set_version(from.m_version);
    to.set_hash(from.m_hash);
    to.set_base_version(from.m_base_version);
    to.set_size(from.m_size);
    to.set_compressed(from.m_compressed);
}

packed_text from_wire(const wire::ConfigText& from) {
    return {from.version(), from.hash(), from.base_version(), from.size(), from.compressed()};
}

// Writes the configuration text of a reply if there is one.
template <typename Body>
void config_to_wire(Body& to, const std::optional<packed_text>& from) {
    if (from) {
        to_wire(*to.mutable_config(), *from);
    }
}

template <typename Body>
std::optional<packed_text> config_from_wire(const Body& from) {
    return from.has_config() ? std::optional(from_wire(from.config())) : std::nullopt;
}

// Appends every value of a range to a repeated field of messages.
template <typename Range, typename Field>
void add_messages(Field& to, const Range& from) {
    for (const auto& value : from) {
        to_wire(*to.Add(), value);
    }
}

// Appends every value of a range to a repeated field of numbers or strings.
template <typename Range, typename Field>
void add_scalars(Field& to, const Range& from) {
    to.Add(from.begin(), from.end());
}

template <typename Value, typename Field>
std::vector<Value> messages_from_wire(const Field& from) {
    std::vector<Value> out;
    out.reserve(static_cast<std::size_t>(from.size()));
    for (const auto& value : from) {
        out.push_back(from_wire(value));
    }
    return out;
}

void to_wire(wire::Request& to, const join_request& from) {
    to_wire(*to.mutable_join()->mutable_self(), from.m_self);
}

void to_wire(wire::Request& to, const fetch_config_request& from) {
    auto& body = *to.mutable_fetch_config();
    body.set_instance(from.m_instance);
    body.set_have_version(from.m_have_version);
    body.set_want_version(from.m_want_version);
}

// Writes facts. Packets, join replies and fact exchanges have the same fields for them.
template <typename Body>
void facts_to_wire(Body& to, const std::vector<suspension>& suspensions,
                   const std::vector<move_record>& records) {
    add_messages(*to.mutable_suspensions(), suspensions);
    add_messages(*to.mutable_records(), records);
}

void to_wire(wire::Request& to, const facts_message& from) {
    auto& own = *to.mutable_fetch_facts()->mutable_own();
    facts_to_wire(own, from.m_suspensions, from.m_records);
    kept_items_to_wire(own, from.m_kept_items);
}

void to_wire(wire::Request& to, const members_digest_request& from) {
    auto& body = *to.mutable_members_digest();
    body.set_instance(from.m_instance);
    add_scalars(*body.mutable_bucket_hashes(), from.m_bucket_hashes);
}

void to_wire(wire::Request& to, const merge_members_request& from) {
    add_messages(*to.mutable_merge_members()->mutable_members(), from.m_members);
}

void to_wire(wire::EvidenceRequest& body, const evidence_report& from) {
    body.set_instance(from.m_instance);
    body.set_service(from.m_service);
    body.set_version(from.m_version);
    for (const auto& [route, counts] : from.m_routes) {
        auto& arm = *body.add_routes();
        arm.set_route(route);
        arm.set_calls(counts.m_calls);
        arm.set_failures(counts.m_failures);
        arm.set_cold_calls(counts.m_cold_calls);
        add_scalars(*arm.mutable_latency(), counts.m_latency);
    }
}

void to_wire(wire::Request& to, const evidence_report& from) {
    to_wire(*to.mutable_evidence(), from);
}

void to_wire(wire::Reply& to, const evidence_report& from) {
    to_wire(*to.mutable_evidence(), from);
}

void to_wire(wire::Request& to, const in_force_summary& from) {
    auto& body = *to.mutable_in_force();
    body.set_data_centre(from.m_data_centre);
    body.set_shard(from.m_shard);
    body.set_version(from.m_version);
    body.set_in_force(from.m_in_force);
    body.set_members(from.m_members);
    add_scalars(*body.mutable_missing(), from.m_missing);
}

void to_wire(wire::Reply& to, const ack_reply& /*from*/) {
    to.mutable_done();
}

void to_wire(wire::Reply& to, const join_reply& from) {
    auto& body = *to.mutable_join();
    body.set_retry_after_ms(static_cast<std::uint32_t>(from.m_retry_after.count()));
    add_messages(*body.mutable_members(), from.m_members);
    config_to_wire(body, from.m_config);
    facts_to_wire(*body.mutable_facts(), from.m_suspensions, from.m_records);
    kept_items_to_wire(*body.mutable_facts(), from.m_kept_items);
    body.set_predecessor_version(from.m_predecessor_version);
}

void to_wire(wire::Reply& to, const fetch_config_reply& from) {
    config_to_wire(*to.mutable_fetch_config(), from.m_config);
}

void to_wire(wire::Reply& to, const facts_message& from) {
    auto& facts = *to.mutable_fetch_facts()->mutable_facts();
    facts_to_wire(facts, from.m_suspensions, from.m_records);
    kept_items_to_wire(facts, from.m_kept_items);
}

void to_wire(wire::Reply& to, const members_digest_reply& from) {
    auto& body = *to.mutable_members_digest();
    add_scalars(*body.mutable_differing(), from.m_differing_buckets);
    add_messages(*body.mutable_members(), from.m_members);
}

void to_wire(wire::Reply& to, error_kind from) {
    to.set_error(static_cast<std::uint32_t>(from));
}

// Counts the fields of the bodies of a bulk message and, one level below, the length-delimited
// fields with the numbers 1 and 2. These are the repeated fields of Facts, but also the names of
// members and routes. Stops at malformed bytes, which the parser rejects.
std::size_t count_repeated_entries(std::string_view bytes, int depth = 0) {
    using wire_format = google::protobuf::internal::WireFormatLite;
    google::protobuf::io::CodedInputStream in(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                                              static_cast<int>(bytes.size()));
    std::size_t entries = 0;
    while (const std::uint32_t tag = in.ReadTag()) {
        const bool has_length =
            wire_format::GetTagWireType(tag) == wire_format::WIRETYPE_LENGTH_DELIMITED;
        if (depth == 1 || (depth == 2 && has_length && wire_format::GetTagFieldNumber(tag) <= 2)) {
            ++entries;
        }
        if (!has_length || depth == 2) {
            if (!wire_format::SkipField(&in, tag)) {
                break;
            }
            continue;
        }
        std::uint32_t size = 0;
        if (!in.ReadVarint32(&size)) {
            break;
        }
        const auto offset = static_cast<std::size_t>(in.CurrentPosition());
        entries += count_repeated_entries(bytes.substr(offset, size), depth + 1);
        if (size > bytes.size() - offset || !in.Skip(static_cast<int>(size))) {
            break;
        }
    }
    return entries;
}

// Parses a bulk message. Fails if it holds more entries than any node sends.
template <typename Message>
bool parse_bulk(Message& in, std::string_view bytes) {
    return count_repeated_entries(bytes) <= max_repeated_entries &&
           in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

// Checks the bounds of move records from peers. Records from the store are checked when they are
// read; a weight above 1000 from a peer would send every call to the new version.
bool are_records_in_bounds(const std::vector<move_record>& records) {
    return std::all_of(records.begin(), records.end(), [](const move_record& record) {
        return record.m_stage < stage_weights_permille.size() &&
               record.m_weight_permille <= stage_weights_permille.back() &&
               record.m_started_ms >= 0 && record.m_raised_ms >= 0 && record.m_deadline_ms >= 0 &&
               record.m_excluded_versions.size() <= max_excluded_versions;
    });
}

template <typename Body>
facts_message facts_from_wire(const Body& from) {
    return {messages_from_wire<suspension>(from.suspensions()),
            messages_from_wire<move_record>(from.records()),
            {}};
}

// Reads the facts of a join reply or an exchange. Packets have no kept items, which may be large.
facts_message facts_from_wire(const wire::Facts& from) {
    facts_message out = facts_from_wire<wire::Facts>(from);
    out.m_kept_items = kept_items_from_wire(from);
    return out;
}

evidence_report evidence_from_wire(const wire::EvidenceRequest& from) {
    evidence_report out{from.instance(), from.service(), from.version(), {}};
    for (const auto& arm : from.routes()) {
        arm_counts counts;
        counts.m_calls = arm.calls();
        counts.m_failures = arm.failures();
        counts.m_cold_calls = arm.cold_calls();
        const int buckets =
            std::min<int>(arm.latency_size(), static_cast<int>(counts.m_latency.size()));
        for (int i = 0; i < buckets; ++i) {
            counts.m_latency[static_cast<std::size_t>(i)] = arm.latency(i);
        }
        out.m_routes.emplace(arm.route(), counts);
    }
    return out;
}

join_reply join_reply_from_wire(const wire::JoinReply& from) {
    join_reply out;
    out.m_retry_after = milliseconds{from.retry_after_ms()};
    out.m_members = messages_from_wire<member>(from.members());
    out.m_config = config_from_wire(from);
    facts_message facts = facts_from_wire(from.facts());
    out.m_suspensions = std::move(facts.m_suspensions);
    out.m_records = std::move(facts.m_records);
    out.m_kept_items = std::move(facts.m_kept_items);
    out.m_predecessor_version = from.predecessor_version();
    return out;
}

template <typename Message, typename Variant>
std::string encode_body(const Variant& value) {
    Message out;
    std::visit([&out](const auto& body) { to_wire(out, body); }, value);
    return out.SerializeAsString();
}

// Returns the body, or fails if one of its move records is out of bounds.
template <typename Body>
std::optional<Body> reject_invalid_records(Body body, error& reason) {
    if (!are_records_in_bounds(body.m_records)) {
        return fail(reason, error_kind::peer_bad_message, "move record out of bounds");
    }
    return body;
}

} // namespace

std::string encode_packet(const packet& value) {
    wire::Packet out;
    out.set_kind(static_cast<std::uint32_t>(value.m_kind));
    out.set_sequence(value.m_sequence);
    out.set_sender(value.m_sender);
    out.set_incarnation(value.m_incarnation);
    out.set_target(value.m_target);
    out.set_config_version(value.m_config_version);
    out.set_held_version(value.m_held_version);
    out.set_facts_digest(value.m_facts_digest);
    add_messages(*out.mutable_updates(), value.m_updates);
    facts_to_wire(out, value.m_suspensions, value.m_records);
    while (out.ByteSizeLong() > max_packet_bytes && out.updates_size() > 0) {
        out.mutable_updates()->RemoveLast();
    }
    return out.SerializeAsString();
}

std::optional<packet> decode_packet(std::string_view bytes, error& reason) {
    wire::Packet in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || in.kind() > 3) {
        return fail(reason, error_kind::peer_bad_message, "malformed packet");
    }
    packet out;
    out.m_kind = static_cast<packet_kind>(in.kind());
    out.m_sequence = in.sequence();
    out.m_sender = in.sender();
    out.m_incarnation = in.incarnation();
    out.m_target = in.target();
    out.m_config_version = in.config_version();
    out.m_held_version = in.held_version();
    out.m_facts_digest = in.facts_digest();
    out.m_updates = messages_from_wire<member>(in.updates());
    facts_message facts = facts_from_wire(in);
    out.m_suspensions = std::move(facts.m_suspensions);
    out.m_records = std::move(facts.m_records);
    if (!are_records_in_bounds(out.m_records)) {
        return fail(reason, error_kind::peer_bad_message, "move record out of bounds");
    }
    return out;
}

std::string encode_request(const bulk_request& value) {
    return encode_body<wire::Request>(value);
}

std::optional<bulk_request> decode_request(std::string_view bytes, error& reason) {
    wire::Request in;
    if (!parse_bulk(in, bytes)) {
        return fail(reason, error_kind::peer_bad_message, "malformed request");
    }
    switch (in.body_case()) {
    case wire::Request::kJoin:
        return join_request{from_wire(in.join().self())};
    case wire::Request::kFetchConfig:
        return fetch_config_request{in.fetch_config().instance(), in.fetch_config().have_version(),
                                    in.fetch_config().want_version()};
    case wire::Request::kFetchFacts:
        return reject_invalid_records(facts_from_wire(in.fetch_facts().own()), reason);
    case wire::Request::kMembersDigest: {
        const auto& hashes = in.members_digest().bucket_hashes();
        return members_digest_request{in.members_digest().instance(),
                                      {hashes.begin(), hashes.end()}};
    }
    case wire::Request::kMergeMembers:
        return merge_members_request{messages_from_wire<member>(in.merge_members().members())};
    case wire::Request::kEvidence:
        return evidence_from_wire(in.evidence());
    case wire::Request::kInForce: {
        const auto& body = in.in_force();
        if (static_cast<std::size_t>(body.missing_size()) > max_missing_names) {
            return fail(reason, error_kind::peer_bad_message,
                        "too many names of missing instances");
        }
        return in_force_summary{body.data_centre(), body.shard(),
                                body.version(),     body.in_force(),
                                body.members(),     {body.missing().begin(), body.missing().end()}};
    }
    default:
        return fail(reason, error_kind::peer_bad_message, "unknown request type");
    }
}

std::string encode_reply(const bulk_reply& value) {
    return encode_body<wire::Reply>(value);
}

std::optional<bulk_reply> decode_reply(std::string_view bytes, error& reason) {
    wire::Reply in;
    if (!parse_bulk(in, bytes)) {
        return fail(reason, error_kind::peer_bad_message, "malformed reply");
    }
    switch (in.body_case()) {
    case wire::Reply::kJoin:
        return reject_invalid_records(join_reply_from_wire(in.join()), reason);
    case wire::Reply::kFetchConfig:
        return fetch_config_reply{config_from_wire(in.fetch_config())};
    case wire::Reply::kFetchFacts:
        return reject_invalid_records(facts_from_wire(in.fetch_facts().facts()), reason);
    case wire::Reply::kMembersDigest: {
        const auto& differing_buckets = in.members_digest().differing();
        return members_digest_reply{{differing_buckets.begin(), differing_buckets.end()},
                                    messages_from_wire<member>(in.members_digest().members())};
    }
    case wire::Reply::kDone:
        return ack_reply{};
    case wire::Reply::kEvidence:
        return evidence_from_wire(in.evidence());
    case wire::Reply::kError:
        return clamp_to_enum(in.error(), error_kind::internal);
    default:
        return fail(reason, error_kind::peer_bad_message, "unknown reply type");
    }
}

packed_text pack_text(std::uint64_t version, std::uint64_t hash, std::string_view text,
                      std::uint64_t base_version, std::string_view base) {
    packed_text out{version, hash, base.empty() ? 0 : base_version, text.size(), {}};
    out.m_compressed.resize(ZSTD_compressBound(text.size()));
    const std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> context(ZSTD_createCCtx(),
                                                                       &ZSTD_freeCCtx);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compression_level);
    if (!base.empty()) {
        const auto window_log = std::bit_width(base.size() + text.size());
        ZSTD_CCtx_setParameter(
            context.get(), ZSTD_c_windowLog,
            std::clamp<int>(static_cast<int>(window_log), min_window_log, max_window_log));
        ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    }
    const std::size_t written = ZSTD_compress2(context.get(), out.m_compressed.data(),
                                               out.m_compressed.size(), text.data(), text.size());
    out.m_compressed.resize(ZSTD_isError(written) != 0U ? 0 : written);
    return out;
}

std::optional<std::string> unpack_text(const packed_text& packed, std::string_view base,
                                       error& reason) {
    if (packed.m_size > max_text_bytes) {
        return fail(reason, error_kind::peer_bad_message, "text above the size limit");
    }
    std::string text(packed.m_size, '\0');
    const std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> context(ZSTD_createDCtx(),
                                                                       &ZSTD_freeDCtx);
    ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, max_window_log);
    if (packed.m_base_version != 0) {
        ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    }
    const std::size_t size =
        ZSTD_decompressDCtx(context.get(), text.data(), text.size(), packed.m_compressed.data(),
                            packed.m_compressed.size());
    if (ZSTD_isError(size) != 0U || size != text.size() || hash_bytes(text) != packed.m_hash) {
        return fail(reason, error_kind::peer_bad_message,
                    "damaged frame or another hash than expected");
    }
    return text;
}

std::string encode_stored_text(packed_text packed) {
    return encode_reply(fetch_config_reply{std::move(packed)});
}

std::optional<packed_text> decode_stored_text(std::string_view value, error& reason) {
    auto reply = decode_reply(value, reason);
    auto* fetched = reply ? std::get_if<fetch_config_reply>(&*reply) : nullptr;
    if (fetched == nullptr || !fetched->m_config) {
        return fail(reason, error_kind::peer_bad_message, "malformed stored text");
    }
    return std::move(fetched->m_config);
}

std::string encode_full_text(std::uint64_t version, std::uint64_t hash, std::string_view text) {
    std::string stored = encode_stored_text(pack_text(version, hash, text, 0, {}));
    error reason;
    // The result is decoded once as a check, since the store has the only copy when every node
    // restarts.
    if (stored.size() >= text.size() || !decode_full_text(stored, hash, reason)) {
        return std::string(text);
    }
    return stored;
}

std::optional<std::string> decode_full_text(std::string_view value, std::uint64_t hash,
                                            error& reason) {
    if (hash_bytes(value) == hash) {
        return std::string(value);
    }
    const auto packed = decode_stored_text(value, reason);
    if (!packed) {
        return std::nullopt;
    }
    if (packed->m_base_version != 0 || packed->m_hash != hash) {
        return fail(reason, error_kind::peer_bad_message,
                    "stored text is a delta or has another hash");
    }
    return unpack_text(*packed, {}, reason);
}

} // namespace caraway
