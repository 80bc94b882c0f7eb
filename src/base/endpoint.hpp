// Address of a process: an IP address and a port.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace caraway {

// An IP address with a port.
struct ip_endpoint {
    std::string m_address = "127.0.0.1";
    std::uint16_t m_port = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 sees a null pointer in the comparison
    friend auto operator<=>(const ip_endpoint&, const ip_endpoint&) = default;
};

// Parses "address:port" or "[address]:port". Returns nothing for a host name, since processes
// connect to each other by IP address only.
std::optional<ip_endpoint> parse_endpoint(std::string_view text);

// Formats an endpoint as "address:port", with brackets around an IPv6 address.
std::string format_endpoint(const ip_endpoint& endpoint);

} // namespace caraway
