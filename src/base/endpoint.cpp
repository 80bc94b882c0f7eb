#include "base/endpoint.hpp"

#include <charconv>

#include <boost/asio/ip/address.hpp>
#include <fmt/format.h>

namespace caraway {

std::optional<ip_endpoint> parse_endpoint(std::string_view text) {
    std::string_view address;
    std::string_view port;
    if (text.starts_with('[')) {
        const std::size_t closing_bracket = text.find("]:");
        if (closing_bracket == std::string_view::npos) {
            return std::nullopt;
        }
        address = text.substr(1, closing_bracket - 1);
        port = text.substr(closing_bracket + 2);
    } else {
        const std::size_t colon = text.find(':');
        if (colon == std::string_view::npos) {
            return std::nullopt;
        }
        address = text.substr(0, colon);
        port = text.substr(colon + 1);
    }
    boost::system::error_code failure;
    const auto parsed = boost::asio::ip::make_address(address, failure);
    if (failure || parsed.is_v6() != text.starts_with('[')) {
        return std::nullopt;
    }
    std::uint16_t port_number = 0;
    const char* const end = port.data() + port.size();
    const auto [port_end, port_error] = std::from_chars(port.data(), end, port_number);
    if (port.empty() || port_error != std::errc{} || port_end != end) {
        return std::nullopt;
    }
    return ip_endpoint{parsed.to_string(), port_number};
}

std::string format_endpoint(const ip_endpoint& endpoint) {
    if (endpoint.m_address.find(':') != std::string::npos) {
        return fmt::format("[{}]:{}", endpoint.m_address, endpoint.m_port);
    }
    return fmt::format("{}:{}", endpoint.m_address, endpoint.m_port);
}

} // namespace caraway
