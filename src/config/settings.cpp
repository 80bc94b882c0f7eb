#include "config/settings.hpp"

#include <array>
#include <limits>
#include <span>
#include <utility>

#include <fmt/format.h>

#include "config/text_check.hpp"

namespace caraway {
namespace {

using text_check::fault_sink;
using text_check::presence;
using text_check::quote;
using text_check::table_reader;

constexpr auto required_entry = presence::required;
constexpr auto optional_entry = presence::optional;

constexpr std::size_t max_settings_bytes = 64U << 10U;
constexpr std::size_t max_store_addresses = 16;
constexpr std::size_t max_seeds = 64;
// Bounds of the memory of an instance in MB of 1,000,000 bytes.
constexpr std::uint64_t min_memory_mb = 32;
constexpr std::uint64_t max_memory_mb = 1'000'000;
constexpr std::uint64_t bytes_per_mb = 1'000'000;
// Upper bound of the bytes held for clients.
constexpr std::uint64_t max_held_bytes = std::uint64_t{1} << 40U;

constexpr std::string_view expected_endpoint =
    "an IP address with a port from 1 to 65535, as \"127.0.0.1:7001\" or \"[::1]:7001\"";

constexpr std::array<std::string_view, 10> root_keys{
    "instance", "listen",  "backend_server", "store", "peers",
    "traffic",  "results", "shutdown",       "log",   "random"};
constexpr std::array<std::string_view, 5> instance_keys{"name", "data_centre", "service", "version",
                                                        "memory"};
constexpr std::array<std::string_view, 10> listen_keys{
    "traffic", "peer_udp",         "peer_bulk",    "admin",         "callers",
    "reports", "announce_traffic", "announce_udp", "announce_bulk", "source"};
constexpr std::array<std::string_view, 3> backend_server_keys{"address", "health_interval",
                                                              "report_interval"};
constexpr std::array<std::string_view, 3> store_keys{"addresses", "timeout", "lease_period"};
constexpr std::array<std::string_view, 6> peers_keys{
    "seeds",         "probe_interval",   "probe_timeout",
    "fetch_timeout", "join_backoff_max", "joins_per_second"};
constexpr std::array<std::string_view, 11> traffic_keys{"threads",
                                                        "max_connections",
                                                        "max_body_bytes",
                                                        "max_answer_bytes",
                                                        "max_header_bytes",
                                                        "behind_wait",
                                                        "retry_budget_percent",
                                                        "retry_burst",
                                                        "link_mbps",
                                                        "choose_by_expected_time",
                                                        "max_held_bytes"};
constexpr std::array<std::string_view, 3> results_keys{"retention", "entries", "bytes"};
constexpr std::array<std::string_view, 2> shutdown_keys{"drain_timeout", "announce_time"};
constexpr std::array<std::string_view, 3> log_keys{"trace_spans", "record_lines", "flush_interval"};
constexpr std::array<std::string_view, 1> random_keys{"seed"};

// Reads an endpoint with a port other than 0.
bool read_endpoint(const table_reader& reader, std::string_view key, presence need,
                   ip_endpoint& result) {
    std::string text;
    if (!reader.read_text(key, need, expected_endpoint, text)) {
        return false;
    }
    auto endpoint = parse_endpoint(text);
    if (!endpoint || endpoint->m_port == 0) {
        reader.add_fault(key, quote(text), std::string(expected_endpoint));
        return false;
    }
    result = std::move(*endpoint);
    return true;
}

// Reads an array of at most max_count endpoints. Appends the valid ones and adds a fault for each
// invalid one; appends none if read_strings fails. A required array must not be empty.
void read_endpoints(const table_reader& reader, std::string_view key, presence need,
                    std::size_t max_count, fault_sink& faults, std::vector<ip_endpoint>& result) {
    std::vector<table_reader::string_element> elements;
    if (!reader.read_strings(key, need, max_count, elements)) {
        return;
    }
    if (elements.empty() && need == required_entry) {
        reader.add_fault(key, fmt::format("an empty array for {}", key), "at least one address");
    }
    for (const table_reader::string_element& element : elements) {
        auto endpoint = parse_endpoint(element.m_text);
        if (!endpoint || endpoint->m_port == 0) {
            faults.add(element.m_position, quote(element.m_text), std::string(expected_endpoint));
        } else {
            result.push_back(std::move(*endpoint));
        }
    }
}

// Opens the sections of a settings text. An absent section is read as an empty one, so that its
// missing required keys are reported and its defaults apply.
class section_reader {
public:
    section_reader(const table_reader& root, const toml::table& empty_table, bool complete,
                   fault_sink& faults)
        : m_root(&root), m_empty(&empty_table), m_complete(complete), m_faults(&faults) {}

    // Opens a section and adds a fault for each key that is not in keys.
    table_reader open(std::string_view name, std::span<const std::string_view> keys) const {
        const toml::table* table = m_root->read_table(name, optional_entry);
        return {table != nullptr ? *table : *m_empty, std::string(name), keys, m_complete,
                *m_faults};
    }

private:
    const table_reader* m_root;
    const toml::table* m_empty;
    bool m_complete;
    fault_sink* m_faults;
};

// Reads the source address. A dummy port is appended so that parse_endpoint can validate it.
void read_source(const table_reader& reader, std::string& result) {
    constexpr std::string_view expected = "an IP address without a port, as \"10.0.0.7\"";
    std::string text;
    if (!reader.read_text("source", optional_entry, expected, text)) {
        return;
    }
    const auto endpoint =
        parse_endpoint(text.find(':') == std::string::npos ? text + ":1" : "[" + text + "]:1");
    if (!endpoint) {
        reader.add_fault("source", quote(text), std::string(expected));
        return;
    }
    result = endpoint->m_address;
}

void read_listen(const table_reader& reader, node_settings& settings) {
    read_endpoint(reader, "traffic", required_entry, settings.m_traffic);
    read_endpoint(reader, "peer_udp", required_entry, settings.m_peer_udp);
    read_endpoint(reader, "peer_bulk", required_entry, settings.m_peer_bulk);
    read_endpoint(reader, "admin", required_entry, settings.m_admin);
    read_endpoint(reader, "callers", optional_entry, settings.m_callers);
    read_endpoint(reader, "reports", optional_entry, settings.m_reports);
    settings.m_announce_traffic = settings.m_traffic;
    settings.m_announce_udp = settings.m_peer_udp;
    settings.m_announce_bulk = settings.m_peer_bulk;
    read_endpoint(reader, "announce_traffic", optional_entry, settings.m_announce_traffic);
    read_endpoint(reader, "announce_udp", optional_entry, settings.m_announce_udp);
    read_endpoint(reader, "announce_bulk", optional_entry, settings.m_announce_bulk);
    read_source(reader, settings.m_source_address);
}

void read_peers(const table_reader& reader, fault_sink& faults, node_settings& settings) {
    read_endpoints(reader, "seeds", optional_entry, max_seeds, faults, settings.m_seeds);
    reader.read_duration("probe_interval", optional_entry, milliseconds(50), milliseconds(60'000),
                         settings.m_probe_interval);
    reader.read_duration("probe_timeout", optional_entry, milliseconds(10), milliseconds(30'000),
                         settings.m_probe_timeout);
    // A probe must time out before the next one is due.
    if (settings.m_probe_timeout >= settings.m_probe_interval) {
        reader.add_fault(reader.has("probe_timeout") ? "probe_timeout" : "probe_interval",
                         fmt::format("probe_timeout {} with probe_interval {}",
                                     text_check::format_duration(settings.m_probe_timeout),
                                     text_check::format_duration(settings.m_probe_interval)),
                         "a probe_timeout below the probe_interval");
    }
    reader.read_duration("fetch_timeout", optional_entry, milliseconds(100), milliseconds(60'000),
                         settings.m_fetch_timeout);
    reader.read_duration("join_backoff_max", optional_entry, milliseconds(100),
                         milliseconds(300'000), settings.m_join_backoff_max);
    reader.read_integer("joins_per_second", optional_entry, 1U, 1'000U,
                        settings.m_joins_per_second);
}

void read_store(const table_reader& reader, fault_sink& faults, node_settings& settings) {
    read_endpoints(reader, "addresses", required_entry, max_store_addresses, faults,
                   settings.m_store);
    reader.read_duration("timeout", optional_entry, milliseconds(50), milliseconds(60'000),
                         settings.m_store_timeout);
    reader.read_duration("lease_period", optional_entry, milliseconds(500), milliseconds(60'000),
                         settings.m_lease_period);
    // A renewal that takes as long as the lease period would complete only after the lease expired.
    if (settings.m_store_timeout >= settings.m_lease_period) {
        reader.add_fault(reader.has("timeout") ? "timeout" : "lease_period",
                         fmt::format("store.timeout {} with store.lease_period {}",
                                     text_check::format_duration(settings.m_store_timeout),
                                     text_check::format_duration(settings.m_lease_period)),
                         "a timeout below the lease_period");
    }
}

void read_traffic(const table_reader& reader, node_settings& settings) {
    reader.read_integer("threads", optional_entry, 1U, 64U, settings.m_threads);
    reader.read_integer("max_connections", optional_entry, 1U, 100'000U,
                        settings.m_max_connections);
    reader.read_integer("max_body_bytes", optional_entry, 1U << 10U, 64U << 20U,
                        settings.m_max_body_bytes);
    settings.m_max_answer_bytes = settings.m_max_body_bytes;
    reader.read_integer("max_answer_bytes", optional_entry, 1U << 10U, 64U << 20U,
                        settings.m_max_answer_bytes);
    reader.read_integer("max_header_bytes", optional_entry, 1U << 10U, 1U << 20U,
                        settings.m_max_header_bytes);
    reader.read_integer("max_held_bytes", optional_entry, std::uint64_t{0}, max_held_bytes,
                        settings.m_max_held_bytes);
    reader.read_duration("behind_wait", optional_entry, milliseconds(0), milliseconds(10'000),
                         settings.m_behind_wait);
    reader.read_integer("retry_budget_percent", optional_entry, 0U, 100U,
                        settings.m_retry_budget_percent);
    reader.read_integer("retry_burst", optional_entry, 0U, 100U, settings.m_retry_burst);
    reader.read_number("link_mbps", optional_entry, 0, 1'000'000, settings.m_link_mbps);
    reader.read_bool("choose_by_expected_time", optional_entry, settings.m_choose_by_expected_time);
}

} // namespace

std::optional<node_settings> parse_settings(std::string_view text,
                                            std::vector<text_fault>& faults) {
    faults.clear();
    if (text.size() > max_settings_bytes) {
        faults.push_back({0, 0, fmt::format("settings of {} bytes", text.size()),
                          fmt::format("at most {} bytes", max_settings_bytes)});
        return std::nullopt;
    }
    fault_sink sink;
    const text_check::document parsed = text_check::parse_document(text, sink);
    const text_check::document empty_table = text_check::parse_document("", sink);
    const table_reader root(*parsed.m_root, "", root_keys, parsed.m_complete, sink);
    const section_reader sections(root, *empty_table.m_root, parsed.m_complete, sink);
    node_settings settings;

    const table_reader instance = sections.open("instance", instance_keys);
    instance.read_name("name", required_entry, settings.m_instance);
    instance.read_name("data_centre", required_entry, settings.m_data_centre);
    instance.read_name("service", required_entry, settings.m_service);

    std::uint64_t memory_mb = settings.m_memory_bytes / bytes_per_mb;
    instance.read_integer("memory", optional_entry, min_memory_mb, max_memory_mb, memory_mb);
    settings.m_memory_bytes = memory_mb * bytes_per_mb;

    read_listen(sections.open("listen", listen_keys), settings);
    instance.read_name("version", settings.m_reports.m_port != 0 ? optional_entry : required_entry,
                       settings.m_version);

    const table_reader backend = sections.open("backend_server", backend_server_keys);
    read_endpoint(backend, "address", required_entry, settings.m_backend_server);
    backend.read_duration("health_interval", optional_entry, milliseconds(0),
                          milliseconds(3'600'000), settings.m_health_interval);
    backend.read_duration("report_interval", optional_entry, milliseconds(50),
                          milliseconds(600'000), settings.m_report_interval);

    read_store(sections.open("store", store_keys), sink, settings);
    read_peers(sections.open("peers", peers_keys), sink, settings);
    read_traffic(sections.open("traffic", traffic_keys), settings);

    const table_reader results = sections.open("results", results_keys);
    results.read_duration("retention", optional_entry, milliseconds(1'000),
                          milliseconds(86'400'000), settings.m_result_retention);
    results.read_integer("entries", optional_entry, 1U, 1'000'000U, settings.m_result_entries);
    results.read_integer("bytes", optional_entry, 0U, 1U << 20U, settings.m_result_bytes);

    const table_reader shutdown = sections.open("shutdown", shutdown_keys);
    shutdown.read_duration("drain_timeout", optional_entry, milliseconds(0), milliseconds(600'000),
                           settings.m_drain_timeout);
    shutdown.read_duration("announce_time", optional_entry, milliseconds(0), milliseconds(600'000),
                           settings.m_announce_time);
    const table_reader log = sections.open("log", log_keys);
    log.read_bool("trace_spans", optional_entry, settings.m_trace_spans);
    log.read_integer("record_lines", optional_entry, 0U, 1'000'000U, settings.m_record_lines);
    log.read_duration("flush_interval", optional_entry, milliseconds(0), milliseconds(10'000),
                      settings.m_flush_interval);
    sections.open("random", random_keys)
        .read_integer("seed", optional_entry, std::uint64_t{0},
                      static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()),
                      settings.m_seed);

    if (!sink.empty()) {
        faults = sink.take_sorted();
        return std::nullopt;
    }
    return settings;
}

} // namespace caraway
