#include "decide/membership/server_departure.hpp"

#include <algorithm>
#include <array>
#include <tuple>

#include <boost/json.hpp>

namespace caraway {
namespace {

// How long a process waits for the store's answer before it relies on what members told it.
constexpr milliseconds max_store_wait{1'000};
// Share of the requests of a starting mesh for each member. The store serves some two thousand
// reads a second; this leaves most of them for the configuration.
constexpr double request_spread_ms_per_member = 0.8;

} // namespace

const server_departure& later_departure(const server_departure& first,
                                        const server_departure& second) {
    const bool first_is_later = std::tie(first.m_started_ms, first.m_server) >
                                std::tie(second.m_started_ms, second.m_server);
    return first_is_later ? first : second;
}

bool has_departed(const server_departure& departure, std::string_view server,
                  std::int64_t started_ms) {
    return !departure.m_server.empty() && departure.m_server == server &&
           started_ms <= departure.m_started_ms;
}

bool has_departed(std::span<const server_departure> departures, std::string_view server,
                  std::int64_t started_ms) {
    return std::any_of(departures.begin(), departures.end(),
                       [&](const server_departure& departure) {
                           return has_departed(departure, server, started_ms);
                       });
}

void add_departure(std::vector<server_departure>& departures, const server_departure& departure) {
    const bool known =
        std::find(departures.begin(), departures.end(), departure) != departures.end();
    if (known || departure.m_server.empty()) {
        return;
    }
    departures.push_back(departure);
    if (departures.size() > max_departures) {
        departures.erase(std::min_element(departures.begin(), departures.end(),
                                          [](const server_departure& a, const server_departure& b) {
                                              return a.m_started_ms < b.m_started_ms;
                                          }));
    }
}

std::string encode_departure(const server_departure& departure) {
    return boost::json::serialize(boost::json::object{{"server", departure.m_server},
                                                      {"started_ms", departure.m_started_ms}});
}

std::optional<server_departure> decode_departure(std::string_view value) {
    boost::system::error_code failed;
    const boost::json::value parsed =
        boost::json::parse(boost::json::string_view(value.data(), value.size()), failed);
    if (failed || !parsed.is_object()) {
        return std::nullopt;
    }
    const auto* server = parsed.get_object().if_contains("server");
    const auto* started = parsed.get_object().if_contains("started_ms");
    if (server == nullptr || !server->is_string() || server->get_string().empty() ||
        started == nullptr || !started->is_int64()) {
        return std::nullopt;
    }
    return server_departure{std::string(server->get_string()), started->get_int64()};
}

std::string_view departure_source_name(departure_source value) {
    static constexpr std::array<std::string_view, 4> names{"none", "store", "member", "time"};
    return names[static_cast<std::size_t>(value)];
}

departure_source departures_known_by(const predecessor_knowledge& knowledge, time_point now) {
    if (knowledge.m_read && knowledge.m_joined) {
        return departure_source::store;
    }
    if (!knowledge.m_read && knowledge.m_member_told && knowledge.m_requested &&
        now - *knowledge.m_requested >= max_store_wait) {
        return departure_source::member;
    }
    return now - knowledge.m_started >= max_report_delay ? departure_source::time
                                                         : departure_source::none;
}

milliseconds departure_request_delay(bool member_told, std::size_t members, double random) {
    if (member_told) {
        return milliseconds{0};
    }
    const double spread_ms = request_spread_ms_per_member * static_cast<double>(members);
    return milliseconds(static_cast<std::int64_t>(random * spread_ms));
}

} // namespace caraway
