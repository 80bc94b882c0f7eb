#include "http/message.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <vector>

#include <boost/json.hpp>
#include <fmt/format.h>

namespace caraway {
namespace {

namespace beast = boost::beast;

constexpr std::uint64_t max_time_left_ms = 3'600'000;
// Delay after which a caller should retry unless the error response states another one. Queues
// turn over several times per second, and nodes detect a lost server within a second.
constexpr milliseconds default_retry_after{300};

beast::string_view to_beast(std::string_view text) {
    return {text.data(), text.size()};
}

std::string_view from_beast(beast::string_view text) {
    return {text.data(), text.size()};
}

bool starts_with_internal_prefix(beast::string_view name) {
    return name.size() >= header::internal_prefix.size() &&
           beast::iequals(name.substr(0, header::internal_prefix.size()),
                          to_beast(header::internal_prefix));
}

} // namespace

std::string_view header_value(const http::fields& fields, std::string_view name) {
    const auto found = fields.find(to_beast(name));
    return found == fields.end() ? std::string_view() : from_beast(found->value());
}

std::optional<std::uint64_t> numeric_header_value(const http::fields& fields,
                                                  std::string_view name) {
    const std::string_view text = header_value(fields, name);
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::string_view host_of(const http_request& request) {
    const std::string_view host = header_value(request, "host");
    return host.substr(0, host.rfind(':'));
}

std::optional<milliseconds> remaining_time(const http::fields& fields, std::string_view name) {
    const auto stated = numeric_header_value(fields, name);
    if (!stated) {
        return std::nullopt;
    }
    return milliseconds(std::min<std::uint64_t>(*stated, max_time_left_ms));
}

void set_header(http::fields& fields, std::string_view name, std::string_view value) {
    fields.set(to_beast(name), to_beast(value));
}

void set_numeric_header(http::fields& fields, std::string_view name, std::uint64_t value) {
    std::array<char, 20> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value).ptr;
    set_header(fields, name, {digits.data(), static_cast<std::size_t>(end - digits.data())});
}

void strip_internal_headers(http::fields& fields, std::span<const std::string_view> keep) {
    for (auto field = fields.begin(); field != fields.end();) {
        const beast::string_view name = field->name_string();
        const bool kept = !starts_with_internal_prefix(name) ||
                          std::any_of(keep.begin(), keep.end(), [name](std::string_view kept_name) {
                              return beast::iequals(name, to_beast(kept_name));
                          });
        field = kept ? std::next(field) : fields.erase(field);
    }
}

void strip_hop_by_hop_headers(http::fields& fields) {
    std::vector<std::string> connection_options;
    const auto [first, last] = fields.equal_range(http::field::connection);
    for (auto field = first; field != last; ++field) {
        for (const auto& token : http::token_list(field->value())) {
            connection_options.emplace_back(from_beast(token));
        }
    }
    for (const std::string& name : connection_options) {
        fields.erase(name);
    }
    for (const http::field name :
         {http::field::connection, http::field::keep_alive, http::field::proxy_connection,
          http::field::te, http::field::trailer, http::field::upgrade, http::field::expect}) {
        fields.erase(name);
    }
}

std::string_view path_of(std::string_view target) {
    if (!target.empty() && target.front() != '/') {
        const std::size_t authority = target.find("://");
        if (authority != std::string_view::npos) {
            const std::size_t slash = target.find('/', authority + 3);
            target = slash == std::string_view::npos ? std::string_view("/") : target.substr(slash);
        }
    }
    return target.substr(0, target.find('?'));
}

void set_retry_after(http::fields& fields, duration wait) {
    const std::string text = fmt::format("{:.3f}", std::chrono::duration<double>(wait).count());
    fields.set(http::field::retry_after, text);
}

namespace {

// Approximate size of the start line and of the empty line that ends the headers.
constexpr std::size_t framing_bytes = 24;
// Colon, space and line end of one header field.
constexpr std::size_t field_framing_bytes = 4;

std::size_t field_bytes(const http::fields& fields) {
    std::size_t bytes = framing_bytes;
    for (const auto& field : fields) {
        bytes += field.name_string().size() + field.value().size() + field_framing_bytes;
    }
    return bytes;
}

} // namespace

std::size_t message_bytes(const http_request& message) {
    return field_bytes(message) + message.target().size() + message.body().size();
}

std::size_t message_bytes(const http_response& message) {
    return field_bytes(message) + message.body().size();
}

http_response make_error_response(error_kind kind, std::string_view text) {
    const error_info& row = error_info_for(kind);
    http_response answer =
        make_json_response(row.m_status, boost::json::serialize(boost::json::object{
                                             {"outcome", outcome_name(row.m_outcome)},
                                             {"reason", row.m_name},
                                             {"text", text},
                                         }));
    set_header(answer, header::outcome, outcome_name(row.m_outcome));
    set_header(answer, header::reason, row.m_name);
    if (answer.result() == http::status::service_unavailable) {
        set_retry_after(answer, default_retry_after);
    }
    return answer;
}

http_response make_json_response(unsigned status, std::string body) {
    http_response answer;
    answer.version(11);
    answer.result(status);
    answer.set(http::field::content_type, "application/json");
    answer.body() = std::move(body);
    return answer;
}

} // namespace caraway
