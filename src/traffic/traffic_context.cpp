#include "traffic/traffic_context.hpp"

#include <fmt/format.h>

#include "config/mesh.hpp"
#include "observe/log.hpp"

namespace caraway {
namespace {

// Maximum number of idle connections to one other node. At the planned load of 70 calls/s per
// node (970,000 calls/s over 14,000 nodes) and about 20 ms per call, a node rarely has more than a
// few calls to one other node in progress.
constexpr std::size_t max_idle_per_peer = 64;
// Maximum number of idle connections to the own backend server. The service's connection
// limit bounds them as well and is expected to be lower.
constexpr std::size_t max_idle_own_server = 1'024;
// Shorter than the 75 s for which other nodes keep idle connections.
constexpr milliseconds max_idle_time_peers{30'000};
// Backend servers that state no idle timeout rarely close an idle connection within the first few
// seconds.
constexpr milliseconds max_idle_time_own_server{4'000};

held_bytes_limits held_limits(const node_settings& settings) {
    return limits_for_total(settings.m_max_held_bytes != 0
                                ? settings.m_max_held_bytes
                                : held_bytes_for_memory(settings.m_memory_bytes));
}

} // namespace

traffic_context::traffic_context(const node_settings& settings, const clock_source& clock,
                                 snapshot_cell& snapshot, node_metrics& metrics,
                                 traffic_hooks hooks, boost::asio::io_context& io)
    : m_settings(settings), m_clock(clock), m_snapshot(snapshot), m_metrics(metrics),
      m_hooks(std::move(hooks)), m_io(io), m_budget(held_limits(settings), clock),
      m_peer_pool(io, clock, max_idle_per_peer, settings.m_max_connections, max_idle_time_peers,
                  settings.m_source_address),
      m_server_pool(io, clock, max_idle_own_server, max_idle_own_server, max_idle_time_own_server),
      m_gate(io, clock, settings.m_choose_by_expected_time), m_link_pacer(settings.m_link_mbps),
      m_keys(settings, clock) {
    apply_client_limits();
}

void traffic_context::apply_client_limits() {
    const auto snapshot = m_snapshot.load();
    const client_limits stated = snapshot->m_mesh ? snapshot->m_mesh->m_limits : client_limits{};
    const request_limits defaults;
    const auto value_or = [](std::uint64_t value, std::uint64_t other) {
        return value != 0 ? value : other;
    };
    m_request_limits.m_max_header_bytes = static_cast<std::uint32_t>(
        value_or(stated.m_max_header_bytes, m_settings.m_max_header_bytes));
    m_request_limits.m_max_body_bytes =
        value_or(stated.m_max_body_bytes, m_settings.m_max_body_bytes);
    m_request_limits.m_header_timeout_ms = stated.m_header_timeout.count() != 0
                                               ? stated.m_header_timeout.count()
                                               : defaults.m_header_timeout_ms.load();
    m_request_limits.m_idle_timeout_ms = stated.m_idle_timeout.count() != 0
                                             ? stated.m_idle_timeout.count()
                                             : defaults.m_idle_timeout_ms.load();
}

void traffic_context::report_newer_version(std::string_view instance, std::uint64_t version,
                                           std::uint64_t own_version) const {
    if (version > own_version && !instance.empty() && m_hooks.m_newer_version_seen) {
        m_hooks.m_newer_version_seen(std::string(instance), version);
    }
}

std::string route_name(const route_spec& route) {
    return route.m_host + route.m_path;
}

std::uint64_t ms_left(time_point deadline, time_point now) {
    if (deadline <= now) {
        return 0;
    }
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(deadline - now).count());
}

call_reply make_error_reply(const traffic_context& context, const error& reason, bool sent) {
    call_reply reply;
    reply.m_reason = reason.m_kind;
    reply.m_sent = sent;
    reply.m_peer = context.m_settings.m_instance;
    reply.m_message = make_error_response(reason.m_kind, reason.m_text);
    set_header(reply.m_message, header::instance, context.m_settings.m_instance);
    set_numeric_header(reply.m_message, header::config_version,
                       context.m_snapshot.load()->m_config_version);
    return reply;
}

void record_call_end(const traffic_context& context, std::string_view side, const call_info& info,
                     const trace_context& trace, const call_reply& reply, std::uint32_t attempt,
                     time_point start, wall_time wall_start) {
    const duration elapsed = context.m_clock.now() - start;
    const error_info& description = error_info_for(reply.m_reason);
    const std::string_view result = outcome_name(description.m_outcome);
    const std::string trace_id =
        fmt::format("{:016x}{:016x}", trace.m_trace_high, trace.m_trace_low);
    log_event(log_level::info, "call_ended",
              {{"side", side},
               {"request", info.m_request_number},
               {"key", info.m_key},
               {"service", info.m_service},
               {"route", info.m_route},
               {"outcome", result},
               {"reason", description.m_name},
               {"sent", reply.m_sent},
               {"peer", reply.m_peer},
               {"attempt", attempt},
               {"idempotent", info.m_idempotent},
               {"version", reply.m_version},
               {"took_us", to_us(elapsed)},
               {"trace", trace_id}});
    context.m_metrics.count_call(side, info.m_service, description.m_outcome, reply.m_reason,
                                 elapsed);
    if (context.m_settings.m_trace_spans) {
        write_span(trace, {side, info.m_service, info.m_route, reply.m_peer, result,
                           description.m_name, wall_start, elapsed});
    }
}

} // namespace caraway
