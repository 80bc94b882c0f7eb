// Gathers the in-force verdict: how many members have applied a version. Every member notifies the
// collector of its shard (one of 16 in its data centre) when it has applied a version. Shard
// collectors send summaries to one global collector, which writes the verdict. No node receives
// notifications from more than a few hundred others.

#include <boost/json.hpp>

#include <fmt/format.h>

#include "base/hash.hpp"
#include "node/control.hpp"
#include "observe/log.hpp"

namespace caraway {
namespace {

// Number of shards of a data centre. With 1,750 members, each collector receives about 110 packets
// for a change.
constexpr std::uint32_t shard_count = 16;
// Interval at which a node repeats its announcement and sends its summaries until all shards that
// it collects are complete, and at which the global collector evaluates the summaries until it has
// written the verdict.
constexpr milliseconds report_interval{500};
// Number of latest versions whose verdicts are kept in the store.
constexpr std::uint64_t kept_verdicts = 100;

// Returns the shard of an instance within its data centre.
std::uint32_t shard_of(std::string_view instance) {
    return static_cast<std::uint32_t>(hash_bytes(instance) % shard_count);
}

// Returns the role name by which the collector of a shard is selected.
std::string shard_role(std::string_view data_centre, std::uint32_t shard) {
    return fmt::format("collector/{}/{}", data_centre, shard);
}

// Returns the live member, including this node, with the highest rendezvous weight for a role among
// those that satisfy the filter. Returns this node if there is none.
const member& select_member(const control& state, std::string_view role,
                            const std::function<bool(const member&)>& filter) {
    const member* selected = &state.m_members.m_self;
    std::uint64_t highest_weight =
        filter(*selected) ? rendezvous_weight(role, selected->m_instance) : 0;
    for (const member* candidate : live_members(state.m_members)) {
        if (!filter(*candidate)) {
            continue;
        }
        const std::uint64_t weight = rendezvous_weight(role, candidate->m_instance);
        if (weight > highest_weight) {
            highest_weight = weight;
            selected = candidate;
        }
    }
    return *selected;
}

bool is_self(const control& state, const member& other) {
    return other.m_instance == state.m_settings.m_instance;
}

// Returns the collector of a shard of this node's data centre.
const member& shard_collector(const control& state, std::uint32_t shard) {
    const std::string& own_data_centre = state.m_settings.m_data_centre;
    return select_member(
        state, shard_role(own_data_centre, shard),
        [&own_data_centre](const member& m) { return m.m_data_centre == own_data_centre; });
}

// Reports which members of a shard of this node's data centre have announced the version.
in_force_report make_shard_report(const control& state, std::uint32_t shard,
                                  std::uint64_t version) {
    std::vector<member_version> members;
    const auto add_member = [&](const member& other, std::uint64_t applied_version) {
        if (other.m_data_centre == state.m_settings.m_data_centre &&
            shard_of(other.m_instance) == shard) {
            members.push_back({other.m_instance, applied_version});
        }
    };
    add_member(state.m_members.m_self, state.m_distribution.m_applied);
    for (const member* live_member : live_members(state.m_members)) {
        add_member(*live_member, live_member->m_config_version);
    }
    return report_in_force(version, members, duration{});
}

// Sends the global collector a summary of each shard that this node collects. Marks the version as
// reported once all these shards are complete.
void send_summaries(control& state, std::uint64_t version) {
    bool complete = true;
    const member& global_collector =
        select_member(state, "collector/global", [](const member&) { return true; });
    for (std::uint32_t shard = 0; shard < shard_count; ++shard) {
        if (!is_self(state, shard_collector(state, shard))) {
            continue;
        }
        const in_force_report report = make_shard_report(state, shard, version);
        complete = complete && report.m_in_force == report.m_members;
        const in_force_summary summary{state.m_settings.m_data_centre,
                                       shard,
                                       version,
                                       static_cast<std::uint32_t>(report.m_in_force),
                                       static_cast<std::uint32_t>(report.m_members),
                                       report.m_missing};
        if (is_self(state, global_collector)) {
            receive_in_force_summary(state, summary);
        } else {
            send_bulk(state, global_collector.m_bulk, summary,
                      [](const std::optional<bulk_reply>&) {});
        }
    }
    if (complete) {
        state.m_collector.m_reported_version = version;
    }
}

// Adds up the summaries. The result is final when they show the version in force at every live
// member, or when the time limit has passed.
in_force_report combine_summaries(const control& state, duration elapsed) {
    const collector_state& collector = state.m_collector;
    in_force_report combined;
    combined.m_version = collector.m_collecting_version;
    for (const auto& [key, summary] : collector.m_summaries) {
        combined.m_in_force += summary.m_in_force;
        combined.m_members += summary.m_members;
        for (const std::string& name : summary.m_missing) {
            if (combined.m_missing.size() < max_missing_names) {
                combined.m_missing.push_back(name);
            }
        }
    }
    const std::size_t expected_members = state.m_members.m_live + 1;
    combined.m_members = std::max(combined.m_members, expected_members);
    combined.m_final = combined.m_in_force >= combined.m_members || elapsed >= in_force_limit;
    return combined;
}

// Writes a verdict to the store and removes the one that is `kept_verdicts` versions older.
void write_in_force_verdict(control& state, const in_force_report& report) {
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
    if (is_self(state, collector)) {
        return;
    }
    packet announcement;
    announcement.m_kind = packet_kind::rumour;
    announcement.m_sender = state.m_settings.m_instance;
    announcement.m_incarnation = state.m_members.m_self.m_incarnation;
    announcement.m_config_version = state.m_distribution.m_applied;
    announcement.m_held_version = held_version(state.m_distribution);
    announcement.m_facts_digest = state.m_members.m_facts_digest;
    state.m_udp->send(collector.m_udp, encode_packet(announcement));
}

void receive_in_force_summary(control& state, const in_force_summary& summary) {
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

void tick_collector(control& state, time_point now) {
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
        // This node's announcement may have been lost; repeating it costs one packet.
        announce_in_force(state);
        send_summaries(state, version);
    }
    if (collector.m_collecting_version > collector.m_verdict_version) {
        const in_force_report combined =
            combine_summaries(state, now - collector.m_collecting_since);
        if (combined.m_final) {
            write_in_force_verdict(state, combined);
            collector.m_verdict_version = collector.m_collecting_version;
        }
    }
}

} // namespace caraway
