// Encoded sizes of the repeated fields of a packet, so that a packet can be filled up to its limit
// without encoding it. estimated_packet_bytes in membership.hpp returns the size of a whole packet.
#pragma once

#include <cstddef>

#include "decide/membership/membership.hpp"
#include "decide/versions/facts.hpp"

namespace caraway::swim {

// Upper bounds of the encoded sizes in bytes, including tag and length of the field.
std::size_t member_bytes(const member& value);
std::size_t suspension_bytes(const suspension& value);
std::size_t record_bytes(const move_record& value);

} // namespace caraway::swim
