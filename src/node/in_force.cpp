// How the in-force verdict is gathered: every member tells the collector of its shard (one of 16
// in its data centre) when it has applied a version; shard collectors send summaries to one global
// collector, which writes the verdict. No node hears from more than a few hundred others.

#include <boost/json.hpp>

#include <fmt/format.h>

#include "base/hash.hpp"
#include "node/control.hpp"
#include "observe/log.hpp"

namespace caraway {
namespace {

// Shards of a data centre: 1,750 members give some 110 packets to each collector for a change.
constexpr std::uint32_t shard_count = 16;
constexpr milliseconds report_interval{500};
// Verdicts kept in the store.
constexpr std::uint64_t kept_verdicts = 100;

std::uint32_t shard_of(std::string_view instance) {
    return static_cast<std::uint32_t>(hash_bytes(instance) % shard_count);
}

std::string shard_role(std::string_view data_centre, std::uint32_t shard) {
    return fmt::format("collector/{}/{}", data_centre, shard);
}

// The live member, self included, with the highest rendezvous weight for a role.
const member& first_member(const control& state, std::string_view role,
                           const std::function<bool(const member&)>& filter) {
    const member* first = &state.m_members.m_self;
    std::uint64_t best = filter(*first) ? rendezvous_weight(role, first->m_instance) : 0;
    for (const member* each : live_members(state.m_members)) {
        if (!filter(*each)) {
            continue;
        }
        const std::uint64_t weight = rendezvous_weight(role, each->m_instance);
        if (weight > best) {
            best = weight;
            first = each;
        }
    }
    return *first;
}

bool is_own(const control& state, const member& of) {
    return of.m_instance == state.m_settings.m_instance;
}

const member& shard_collector(const control& state, std::uint32_t shard) {
    const std::string& own = state.m_settings.m_data_centre;
    return first_member(state, shard_role(own, shard),
                        [&own](const member& m) { return m.m_data_centre == own; });
}

// Members of the own data centre in the shard with the versions they have announced.
in_force_report report_shard(const control& state, std::uint32_t shard, std::uint64_t version) {
    std::vector<member_version> members;
    const auto add = [&](const member& of, std::uint64_t has) {
        if (of.m_data_centre == state.m_settings.m_data_centre &&
            shard_of(of.m_instance) == shard) {
            members.push_back({of.m_instance, has});
        }
    };
    add(state.m_members.m_self, state.m_distribution.m_applied);
    for (const member* each : live_members(state.m_members)) {
        add(*each, each->m_config_version);
    }
    return report_in_force(version, members, duration{});
}

void send_summaries(control& state, std::uint64_t version) {
    bool complete = true;
    const member& global =
        first_member(state, "collector/global", [](const member&) { return true; });
    for (std::uint32_t shard = 0; shard < shard_count; ++shard) {
        if (!is_own(state, shard_collector(state, shard))) {
            continue;
        }
        const in_force_report report = report_shard(state, shard, version);
        complete = complete && report.m_in_force == report.m_members;
        const in_force_request summary{state.m_settings.m_data_centre,
                                       shard,
                                       version,
                                       static_cast<std::uint32_t>(report.m_in_force),
                                       static_cast<std::uint32_t>(report.m_members),
                                       report.m_missing};
        if (is_own(state, global)) {
            receive_in_force(state, summary);
        } else {
            send_bulk(state, global.m_bulk, summary, [](const std::optional<bulk_reply>&) {});
        }
    }
    if (complete) {
        state.m_collector.m_reported_version = version;
    }
}

// Adds up the summaries. Final when every data centre with live members has reported all shards
// complete, or the time limit has passed.
in_force_report total_report(const control& state, duration elapsed) {
    const collector_state& collector = state.m_collector;
    in_force_report total;
    total.m_version = collector.m_collecting_version;
    for (const auto& [key, summary] : collector.m_summaries) {
        total.m_in_force += summary.m_in_force;
        total.m_members += summary.m_members;
        for (const std::string& name : summary.m_missing) {
            if (total.m_missing.size() < max_missing_names) {
                total.m_missing.push_back(name);
            }
        }
    }
    const std::size_t expected = state.m_members.m_live + 1;
    total.m_members = std::max(total.m_members, expected);
    total.m_final = total.m_in_force >= total.m_members || elapsed >= in_force_limit;
    return total;
}

void write_in_force(control& state, const in_force_report& report) {
    boost::json::array missing;
    for (const std::string& name : report.m_missing) {
        missing.emplace_back(name);
    }
    const std::string value = boost::json::serialize(
        boost::json::object{{"version", report.m_version},
                            {"in_force", report.m_in_force},
                            {"members", report.m_members},
                            {"missing", std::move(missing)},
                            {"final", report.m_final},
                            {"written_ms", unix_ms(state.m_clock.wall_now())},
                            {"by", state.m_settings.m_instance}});
    log_event(log_level::info, "config_in_force",
              {{"version", report.m_version},
               {"in_force", static_cast<std::uint64_t>(report.m_in_force)},
               {"members", static_cast<std::uint64_t>(report.m_members)}});
    state.m_store->put(fmt::format("caraway/verdict/config/{}", report.m_version), value,
                       std::nullopt, {},
                       [&state, version = report.m_version](const store_reply& reply) {
                           if (reply.m_kind == error_kind::none) {
                               state.m_collector.m_verdict_version =
                                   std::max(state.m_collector.m_verdict_version, version);
                           }
                       });
    if (report.m_version > kept_verdicts) {
        state.m_store->remove(
            fmt::format("caraway/verdict/config/{}", report.m_version - kept_verdicts),
            std::nullopt, [](const store_reply&) {});
    }
}

} // namespace

void announce_in_force(control& state) {
    const member& collector = shard_collector(state, shard_of(state.m_settings.m_instance));
    if (is_own(state, collector)) {
        return;
    }
    packet notice;
    notice.m_kind = packet_kind::rumour;
    notice.m_sender = state.m_settings.m_instance;
    notice.m_incarnation = state.m_members.m_self.m_incarnation;
    notice.m_config_version = state.m_distribution.m_applied;
    notice.m_held_version = held_version(state.m_distribution);
    notice.m_facts_digest = state.m_members.m_facts_digest;
    state.m_udp->send(collector.m_udp, encode_packet(notice));
}

void receive_in_force(control& state, const in_force_request& summary) {
    collector_state& collector = state.m_collector;
    if (summary.m_version < collector.m_collecting_version) {
        return;
    }
    if (summary.m_version > collector.m_collecting_version) {
        collector.m_collecting_version = summary.m_version;
        collector.m_collecting_since = state.now();
        collector.m_summaries.clear();
    }
    collector.m_summaries[{summary.m_data_centre, summary.m_shard}] = summary;
}

void tick_in_force(control& state, time_point now) {
    collector_state& collector = state.m_collector;
    if (now < collector.m_next_report) {
        return;
    }
    collector.m_next_report = now + report_interval;
    const std::uint64_t version = state.m_distribution.m_applied;
    if (version == 0) {
        return;
    }
    if (collector.m_reported_version < version) {
        // The own announcement may have been lost; a repeat costs one packet.
        announce_in_force(state);
        send_summaries(state, version);
    }
    if (collector.m_collecting_version > collector.m_verdict_version) {
        const in_force_report total = total_report(state, now - collector.m_collecting_since);
        if (total.m_final) {
            write_in_force(state, total);
            collector.m_verdict_version = collector.m_collecting_version;
        }
    }
}

} // namespace caraway
