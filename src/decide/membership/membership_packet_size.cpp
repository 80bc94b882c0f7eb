#include "decide/membership/membership_packet_size.hpp"

namespace caraway {
namespace {

// Returns the size of a number as a Protocol Buffers varint.
std::size_t varint_bytes(std::uint64_t value) {
    std::size_t bytes = 1;
    while (value >= 0x80U) {
        value >>= 7U;
        ++bytes;
    }
    return bytes;
}

// The functions below return the encoded size of a field: a one-byte tag, a length for strings and
// nested messages, and the content.
std::size_t number_field_size(std::uint64_t value) {
    return 1 + varint_bytes(value);
}
std::size_t bytes_field_size(std::size_t size) {
    return 1 + varint_bytes(size) + size;
}
std::size_t endpoint_field_size(const ip_endpoint& value) {
    return bytes_field_size(bytes_field_size(value.m_address.size()) +
                            number_field_size(value.m_port));
}

// Negative numbers are encoded as their two's complement in 64 bits.
std::size_t signed_field_size(std::int64_t value) {
    return number_field_size(static_cast<std::uint64_t>(value));
}

} // namespace

namespace swim {

std::size_t member_bytes(const member& value) {
    return bytes_field_size(
        bytes_field_size(value.m_instance.size()) + number_field_size(value.m_incarnation) +
        number_field_size(value.m_first_incarnation) + number_field_size(value.m_lost_ms) +
        number_field_size(1) + bytes_field_size(value.m_data_centre.size()) +
        bytes_field_size(value.m_service.size()) + bytes_field_size(value.m_version.size()) +
        endpoint_field_size(value.m_traffic) + endpoint_field_size(value.m_udp) +
        endpoint_field_size(value.m_bulk) + number_field_size(value.m_config_version) +
        number_field_size(1) + bytes_field_size(value.m_departure.m_server.size()) +
        signed_field_size(value.m_departure.m_started_ms));
}

std::size_t suspension_bytes(const suspension& value) {
    return bytes_field_size(
        bytes_field_size(value.m_move_id.size()) + bytes_field_size(value.m_service.size()) +
        bytes_field_size(value.m_version.size()) + bytes_field_size(value.m_instance.size()) +
        bytes_field_size(value.m_reason.size()) + signed_field_size(value.m_at_ms));
}

std::size_t record_bytes(const move_record& value) {
    std::size_t excluded = 0;
    for (const std::string& version : value.m_excluded_versions) {
        excluded += bytes_field_size(version.size());
    }
    return bytes_field_size(
        excluded + bytes_field_size(value.m_move_id.size()) +
        bytes_field_size(value.m_service.size()) + bytes_field_size(value.m_from.size()) +
        bytes_field_size(value.m_to.size()) + number_field_size(1) +
        number_field_size(value.m_stage) + number_field_size(value.m_weight_permille) +
        signed_field_size(value.m_started_ms) + signed_field_size(value.m_raised_ms) +
        signed_field_size(value.m_deadline_ms) + bytes_field_size(value.m_holder.size()) +
        bytes_field_size(value.m_reason.size()) + number_field_size(value.m_revision));
}

} // namespace swim

std::size_t estimated_packet_bytes(const packet& value) {
    std::size_t bytes =
        number_field_size(1) + number_field_size(value.m_sequence) +
        bytes_field_size(value.m_sender.size()) + number_field_size(value.m_incarnation) +
        bytes_field_size(value.m_target.size()) + number_field_size(value.m_config_version) +
        number_field_size(value.m_held_version) + number_field_size(value.m_facts_digest);
    for (const member& entry : value.m_updates) {
        bytes += swim::member_bytes(entry);
    }
    for (const suspension& suspended : value.m_suspensions) {
        bytes += swim::suspension_bytes(suspended);
    }
    for (const move_record& record : value.m_records) {
        bytes += swim::record_bytes(record);
    }
    return bytes;
}

} // namespace caraway
