#include "store/store_json.hpp"

#include <array>
#include <charconv>

#include <boost/json.hpp>
#include <fmt/format.h>

namespace caraway {
namespace {

namespace json = boost::json;

// Decodes one object of the array. Returns nothing if it has no key or its revision is not a
// number.
std::optional<store_entry> decode_entry(const json::value& item) {
    const json::object* object = item.if_object();
    const json::value* key = object != nullptr ? object->if_contains("key") : nullptr;
    if (key == nullptr || !key->is_string()) {
        return std::nullopt;
    }
    store_entry entry;
    entry.m_key = std::string(key->get_string());
    if (const json::value* revision = object->if_contains("revision")) {
        json::error_code ec;
        entry.m_revision = revision->to_number<std::uint64_t>(ec);
        if (ec) {
            return std::nullopt;
        }
    }
    if (const json::value* value = object->if_contains("value"); value && value->is_string()) {
        entry.m_value = std::string(value->get_string());
    }
    if (const json::value* deleted = object->if_contains("deleted");
        deleted && deleted->is_bool()) {
        entry.m_deleted = deleted->get_bool();
    }
    return entry;
}

std::uint64_t parse_number(std::string_view text) {
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

// Maps an HTTP status of the store to an error kind.
error_kind error_kind_from_status(unsigned status) {
    switch (status) {
    case 200:
    case 204:
        return error_kind::none;
    case 404:
        return error_kind::store_not_found;
    case 409:
        return error_kind::store_conflict;
    case 410:
        return error_kind::store_lease_lost;
    case 413:
        return error_kind::store_value_too_large;
    case 429:
        return error_kind::store_throttled;
    default:
        return error_kind::store_outcome_unknown;
    }
}

store_http_request encode_native(const store_command& command) {
    const std::string key = escape_url(command.m_key);
    switch (command.m_operation) {
    case store_operation::get:
        return {"GET", "/v1/kv/" + key, {}};
    case store_operation::put: {
        std::string target = "/v1/kv/" + key + "?";
        if (command.m_if_revision) {
            target += fmt::format("if_revision={}", *command.m_if_revision);
        }
        if (!command.m_lease.empty()) {
            target += "&lease=" + escape_url(command.m_lease);
        }
        return {"PUT", std::move(target), command.m_value};
    }
    case store_operation::remove: {
        std::string target = "/v1/kv/" + key;
        if (command.m_if_revision) {
            target += fmt::format("?if_revision={}", *command.m_if_revision);
        }
        return {"DELETE", std::move(target), {}};
    }
    case store_operation::list:
        return {"GET", "/v1/list?prefix=" + key, {}};
    case store_operation::list_keys:
        return {"GET", "/v1/list?keys_only=1&prefix=" + key, {}};
    case store_operation::watch:
        return {"GET",
                fmt::format("/v1/watch?prefix={}&after={}&wait_ms={}", key, command.m_revision,
                            command.m_wait.count()),
                {}};
    case store_operation::watch_keys:
        return {"GET",
                fmt::format("/v1/watch?keys_only=1&prefix={}&after={}&wait_ms={}", key,
                            command.m_revision, command.m_wait.count()),
                {}};
    case store_operation::create_lease:
        return {"POST", fmt::format("/v1/lease?ttl_ms={}", command.m_period.count()), {}};
    case store_operation::renew_lease:
        return {"POST", "/v1/lease/" + escape_url(command.m_lease) + "/renew", {}};
    case store_operation::end_lease:
        return {"DELETE", "/v1/lease/" + escape_url(command.m_lease), {}};
    }
    return {};
}

store_reply malformed_reply(store_reply reply) {
    reply.m_kind = error_kind::store_outcome_unknown;
    reply.m_text = "malformed reply";
    return reply;
}

store_reply decode_native(const store_command& command, const store_http_response& response) {
    store_reply reply;
    reply.m_kind = error_kind_from_status(response.m_status);
    reply.m_revision = parse_number(response.m_revision_header);
    if (reply.m_kind != error_kind::none) {
        reply.m_text = fmt::format("status {}", response.m_status);
        return reply;
    }
    switch (command.m_operation) {
    case store_operation::get:
        reply.m_value = response.m_body;
        return reply;
    case store_operation::list:
    case store_operation::list_keys:
    case store_operation::watch:
    case store_operation::watch_keys: {
        if (response.m_body.empty()) {
            return reply;
        }
        auto entries = decode_entries(response.m_body);
        if (!entries) {
            return malformed_reply(std::move(reply));
        }
        reply.m_entries = std::move(*entries);
        return reply;
    }
    case store_operation::create_lease: {
        auto lease = decode_lease(response.m_body);
        if (!lease) {
            return malformed_reply(std::move(reply));
        }
        reply.m_lease = std::move(*lease);
        return reply;
    }
    default:
        return reply;
    }
}

// Names of the operations, in the order of the enumeration.
constexpr std::array<std::string_view, 10> operation_names{
    "get",   "put",   "remove",       "list",        "list",
    "watch", "watch", "create_lease", "renew_lease", "end_lease"};

} // namespace

std::string_view store_operation_name(store_operation value) {
    return operation_names.at(static_cast<std::size_t>(value));
}

bool is_read(store_operation value) {
    return value == store_operation::get || value == store_operation::list ||
           value == store_operation::list_keys || value == store_operation::watch ||
           value == store_operation::watch_keys;
}

store_codec native_store_codec() {
    return {encode_native, decode_native, {}, false};
}

std::string escape_url(std::string_view text) {
    std::string out;
    for (const char c : text) {
        const bool unreserved = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                                (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.' ||
                                c == '/';
        if (unreserved) {
            out.push_back(c);
        } else {
            out += fmt::format("%{:02X}", static_cast<unsigned char>(c));
        }
    }
    return out;
}

std::optional<std::vector<store_entry>> decode_entries(std::string_view body) {
    json::error_code ec;
    const json::value parsed = json::parse(json::string_view(body.data(), body.size()), ec);
    if (ec || !parsed.is_array()) {
        return std::nullopt;
    }
    std::vector<store_entry> entries;
    for (const json::value& item : parsed.get_array()) {
        auto entry = decode_entry(item);
        if (!entry) {
            return std::nullopt;
        }
        entries.push_back(std::move(*entry));
    }
    return entries;
}

std::optional<std::string> decode_lease(std::string_view body) {
    json::error_code ec;
    const json::value parsed = json::parse(json::string_view(body.data(), body.size()), ec);
    const json::object* object = ec ? nullptr : parsed.if_object();
    const json::value* lease = object != nullptr ? object->if_contains("lease") : nullptr;
    if (lease == nullptr || (!lease->is_string() && !lease->is_int64() && !lease->is_uint64())) {
        return std::nullopt;
    }
    std::string identifier =
        lease->is_string() ? std::string(lease->get_string()) : json::serialize(*lease);
    return identifier.empty() ? std::nullopt : std::optional(std::move(identifier));
}

} // namespace caraway
