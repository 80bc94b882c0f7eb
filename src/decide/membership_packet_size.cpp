#include "decide/membership_packet_size.hpp"

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

// A field consists of a one-byte tag, a length for strings and nested messages, and its content.
std::size_t number_field(std::uint64_t value) {
    return 1 + varint_bytes(value);
}
std::size_t bytes_field(std::size_t size) {
    return 1 + varint_bytes(size) + size;
}
std::size_t endpoint_field(const ip_endpoint& value) {
    return bytes_field(bytes_field(value.m_address.size()) + number_field(value.m_port));
}

// Negative numbers are encoded as their two's complement in 64 bits.
std::size_t signed_field(std::int64_t value) {
    return number_field(static_cast<std::uint64_t>(value));
}

} // namespace

namespace swim {

std::size_t member_bytes(const member& value) {
    return bytes_field(bytes_field(value.m_instance.size()) + number_field(value.m_incarnation) +
                       number_field(value.m_first_incarnation) + number_field(value.m_lost_ms) +
                       number_field(1) + bytes_field(value.m_data_centre.size()) +
                       bytes_field(value.m_service.size()) + bytes_field(value.m_version.size()) +
                       endpoint_field(value.m_traffic) + endpoint_field(value.m_udp) +
                       endpoint_field(value.m_bulk) + number_field(value.m_config_version) +
                       number_field(1));
}

std::size_t suspension_bytes(const suspension& value) {
    return bytes_field(bytes_field(value.m_move_id.size()) + bytes_field(value.m_service.size()) +
                       bytes_field(value.m_version.size()) + bytes_field(value.m_instance.size()) +
                       bytes_field(value.m_reason.size()) + signed_field(value.m_at_ms));
}

std::size_t record_bytes(const move_record& value) {
    return bytes_field(bytes_field(value.m_move_id.size()) + bytes_field(value.m_service.size()) +
                       bytes_field(value.m_from.size()) + bytes_field(value.m_to.size()) +
                       number_field(1) + number_field(value.m_stage) +
                       number_field(value.m_weight_permille) + signed_field(value.m_started_ms) +
                       signed_field(value.m_raised_ms) + signed_field(value.m_deadline_ms) +
                       bytes_field(value.m_holder.size()) + bytes_field(value.m_reason.size()) +
                       number_field(value.m_revision));
}

} // namespace swim

std::size_t estimated_packet_bytes(const packet& value) {
    std::size_t bytes = number_field(1) + number_field(value.m_sequence) +
                        bytes_field(value.m_sender.size()) + number_field(value.m_incarnation) +
                        bytes_field(value.m_target.size()) + number_field(value.m_config_version) +
                        number_field(value.m_held_version) + number_field(value.m_facts_digest);
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
