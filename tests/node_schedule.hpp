// Runs the decision code of many nodes in one thread with a manual clock. Packets and bulk requests
// arrive after a seeded delay or are lost. Only sockets and the control loop are simulated; the
// nodes run the real decision code.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "base/hash.hpp"
#include "decide/configuration/distribution.hpp"
#include "decide/membership/membership.hpp"
#include "decide/versions/facts.hpp"

namespace caraway {

// Returns a configuration text whose content depends on its version.
inline config_text text_of(std::uint64_t version) {
    auto text = std::make_shared<const std::string>("text " + std::to_string(version));
    return {version, hash_bytes(*text), text};
}

// A simulated node: the state of its decision code and of its process.
struct scheduled_node {
    membership_table m_members;
    distribution_state m_config;
    fact_table m_facts;
    bool m_up = true;
    std::uint64_t m_start_count = 0;     // replies to requests of an earlier run are dropped
    std::uint64_t m_highest_applied = 0; // across restarts
    time_point m_paused_until;           // the process is stopped until then; packets wait
};

// All simulated nodes, the links between them and the queue of events. Nodes are addressed by
// index.
struct node_schedule {
    // Returns the delay of a packet or request between two nodes, or nothing if it is lost.
    using link = std::function<std::optional<duration>(std::size_t from, std::size_t to)>;

    std::vector<scheduled_node> m_nodes;
    time_point m_now{std::chrono::hours{1}};
    random_source m_random{1};
    link m_link;
    link m_bulk;                            // for bulk requests; m_link if empty
    bool m_exchange = true;                 // whether due comparisons of tables run
    std::uint64_t m_store = 0;              // accepted version in the store, 0 if none
    std::uint64_t m_packets = 0;            // packets sent by all nodes
    std::uint64_t m_rumours = 0;            // rumours among m_packets
    std::uint64_t m_bytes = 0;              // estimated bytes of m_packets
    std::size_t m_largest_packet_bytes = 0; // estimated
    std::uint64_t m_downgrades = 0; // versions applied below an earlier one of the same instance
    std::function<void(std::size_t observer, const std::string& instance)> m_on_change;
    std::function<void(const packet&)> m_on_send;

    // A function to run at a time; events of the same time run in the order of m_order.
    struct event {
        time_point m_at;
        std::uint64_t m_order = 0;
        std::size_t m_node = 0;
        std::function<void(node_schedule&)> m_run;
        bool operator<(const event& other) const {
            return std::pair(m_at, m_order) > std::pair(other.m_at, other.m_order);
        }
    };
    std::priority_queue<event> m_events;
    std::uint64_t m_next_order = 0;
};

// Interval of the ticks of each node.
constexpr milliseconds schedule_tick{50};

// Returns the instance name of a node, with five digits.
inline std::string node_name(std::size_t index) {
    std::string digits = std::to_string(index);
    return "node-" + std::string(5 - std::min<std::size_t>(5, digits.size()), '0') + digits;
}

// Returns the index of the node that uses the address, from its port.
inline std::size_t node_index(const ip_endpoint& endpoint) {
    return endpoint.m_port - 1U;
}

// Returns the entry of a node, in one of four data centres by its index.
inline member node_entry(std::size_t index, std::uint64_t incarnation) {
    member self;
    self.m_instance = node_name(index);
    self.m_incarnation = incarnation;
    self.m_first_incarnation = incarnation;
    self.m_data_centre = "dc-" + std::to_string(index % 4);
    self.m_service = "surveys";
    self.m_version = "1.0";
    self.m_udp.m_port = static_cast<std::uint16_t>(index + 1);
    self.m_bulk = self.m_udp;
    self.m_traffic = self.m_udp;
    return self;
}

// Returns a link with a delay of 0.5 to 1.5 times the mean that loses packets at the given rate.
inline node_schedule::link seeded_link(duration mean, double loss, std::uint64_t seed) {
    auto random = std::make_shared<random_source>(seed);
    return [random, mean, loss](std::size_t, std::size_t) -> std::optional<duration> {
        if (random->unit() < loss) {
            return std::nullopt;
        }
        return std::chrono::duration_cast<duration>(mean * (0.5 + random->unit()));
    };
}

// Schedules a function.
inline void at(node_schedule& schedule, time_point when, std::function<void(node_schedule&)> run) {
    schedule.m_events.push({when, schedule.m_next_order++, 0, std::move(run)});
}

void run_actions(node_schedule& schedule, std::size_t index,
                 std::vector<distribution_action> actions);
void run_actions(node_schedule& schedule, std::size_t index,
                 std::vector<membership_action> actions);
void exchange_tables(node_schedule& schedule, std::size_t index, std::size_t other);

// Returns the delay of a bulk request between two nodes, or nothing if it is lost.
inline std::optional<duration> bulk_delay(const node_schedule& schedule, std::size_t from,
                                          std::size_t to) {
    return schedule.m_bulk ? schedule.m_bulk(from, to) : schedule.m_link(from, to);
}

// Delivers a packet. If the receiver is paused, the packet waits until the pause ends.
inline void deliver(node_schedule& schedule, std::size_t to, const ip_endpoint& from,
                    const std::shared_ptr<const packet>& sent) {
    scheduled_node& receiver = schedule.m_nodes[to];
    if (!receiver.m_up) {
        return;
    }
    if (schedule.m_now < receiver.m_paused_until) {
        // The process runs its timers before it reads its sockets.
        at(schedule, receiver.m_paused_until + milliseconds(1),
           [to, from, sent](node_schedule& later) { deliver(later, to, from, sent); });
        return;
    }
    run_actions(schedule, to, membership_receive(receiver.m_members, *sent, from, schedule.m_now));
}

// Carries out membership actions in place of the control loop.
inline void run_actions(node_schedule& schedule, std::size_t index,
                        std::vector<membership_action> actions) {
    using kind = membership_action::kind;
    scheduled_node& node = schedule.m_nodes[index];
    for (membership_action& action : actions) {
        switch (action.m_kind) {
        case kind::send: {
            const std::size_t bytes = estimated_packet_bytes(action.m_packet);
            ++schedule.m_packets;
            schedule.m_rumours += action.m_packet.m_kind == packet_kind::rumour ? 1 : 0;
            schedule.m_bytes += bytes;
            schedule.m_largest_packet_bytes = std::max(schedule.m_largest_packet_bytes, bytes);
            if (schedule.m_on_send) {
                schedule.m_on_send(action.m_packet);
            }
            const std::size_t to = node_index(action.m_to);
            const auto delay = schedule.m_link(index, to);
            if (!delay || to >= schedule.m_nodes.size()) {
                break;
            }
            auto sent = std::make_shared<const packet>(std::move(action.m_packet));
            const ip_endpoint from = node.m_members.m_self.m_udp;
            at(schedule, schedule.m_now + *delay,
               [to, from, sent](node_schedule& later) { deliver(later, to, from, sent); });
            break;
        }
        case kind::member_changed: {
            const tracked_member* found = find_member(node.m_members, action.m_instance);
            if (found == nullptr || found->m_member.m_state >= member_state::dead) {
                distribution_peer_gone(node.m_config, action.m_instance);
            }
            if (schedule.m_on_change) {
                schedule.m_on_change(index, action.m_instance);
            }
            break;
        }
        case kind::version_reported:
            run_actions(
                schedule, index,
                distribution_peer_version(node.m_config, action.m_instance, action.m_config_version,
                                          live_member_count(node.m_members), schedule.m_now));
            break;
        case kind::facts_received:
            for (const suspension& suspended : action.m_packet.m_suspensions) {
                merge_suspension(node.m_facts, suspended);
            }
            for (const move_record& record : action.m_packet.m_records) {
                merge_record(node.m_facts, record);
            }
            node.m_members.m_facts_digest = facts_digest(node.m_facts);
            break;
        case kind::compare_tables:
            if (schedule.m_exchange) {
                const std::size_t other =
                    node_index(find_member(node.m_members, action.m_instance)->m_member.m_bulk);
                at(schedule, schedule.m_now,
                   [index, other](node_schedule& later) { exchange_tables(later, index, other); });
            }
            break;
        case kind::facts_differ: {
            const tracked_member* holder = find_member(node.m_members, action.m_instance);
            const std::size_t from = node_index(holder->m_member.m_bulk);
            const auto delay = bulk_delay(schedule, index, from);
            if (!delay) {
                break;
            }
            at(schedule, schedule.m_now + 2 * *delay, [index, from](node_schedule& later) {
                scheduled_node& asker = later.m_nodes[index];
                const scheduled_node& holder_node = later.m_nodes[from];
                if (!asker.m_up || !holder_node.m_up) {
                    return;
                }
                for (const auto& [move, value] : holder_node.m_facts.m_suspensions) {
                    merge_suspension(asker.m_facts, value);
                }
                for (const auto& [service, value] : holder_node.m_facts.m_records) {
                    merge_record(asker.m_facts, value);
                }
                asker.m_members.m_facts_digest = facts_digest(asker.m_facts);
            });
            break;
        }
        }
    }
}

// Carries out distribution actions in place of the control loop. Every text parses successfully.
inline void run_actions(node_schedule& schedule, std::size_t index,
                        std::vector<distribution_action> actions) {
    using kind = distribution_action::kind;
    scheduled_node& node = schedule.m_nodes[index];
    for (const distribution_action& action : actions) {
        const std::size_t live = live_member_count(node.m_members);
        switch (action.m_kind) {
        case kind::fetch: {
            const tracked_member* holder = find_member(node.m_members, action.m_instance);
            const std::size_t from =
                holder == nullptr ? index : node_index(holder->m_member.m_bulk);
            const auto delay = bulk_delay(schedule, index, from);
            const bool lost = !delay || !schedule.m_nodes[from].m_up;
            const std::uint64_t start_count = node.m_start_count;
            const time_point reply = schedule.m_now + (lost ? milliseconds(500) : 4 * *delay);
            at(schedule, reply, [index, from, lost, start_count, action](node_schedule& later) {
                scheduled_node& asker = later.m_nodes[index];
                const scheduled_node& holder_node = later.m_nodes[from];
                if (!asker.m_up || asker.m_start_count != start_count) {
                    return;
                }
                if (lost || !holder_node.m_up || holder_node.m_config.m_texts.empty()) {
                    run_actions(later, index,
                                distribution_fetch_failed(asker.m_config, later.m_now));
                    return;
                }
                run_actions(
                    later, index,
                    distribution_text_received(asker.m_config, action.m_instance,
                                               holder_node.m_config.m_texts.rbegin()->second,
                                               live_member_count(asker.m_members), later.m_now));
            });
            break;
        }
        case kind::parse:
            run_actions(
                schedule, index,
                distribution_parsed(node.m_config, action.m_version, true, live, schedule.m_now));
            break;
        case kind::apply:
            schedule.m_downgrades += action.m_version < node.m_highest_applied ? 1 : 0;
            node.m_highest_applied = std::max(node.m_highest_applied, action.m_version);
            node.m_members.m_self.m_config_version = action.m_version;
            break;
        case kind::announce:
            node.m_members.m_held_version = held_version(node.m_config);
            run_actions(schedule, index,
                        membership_update_self(node.m_members, true, schedule.m_now));
            break;
        case kind::ready:
            node.m_members.m_self.m_ready = true;
            run_actions(schedule, index,
                        membership_update_self(node.m_members, false, schedule.m_now));
            break;
        }
    }
}

// Lets the node read the accepted text from the store.
inline void read_store(node_schedule& schedule, std::size_t index) {
    scheduled_node& node = schedule.m_nodes[index];
    const auto text =
        schedule.m_store == 0 ? std::nullopt : std::optional(text_of(schedule.m_store));
    run_actions(schedule, index,
                distribution_store_read(node.m_config, text, live_member_count(node.m_members),
                                        schedule.m_now));
}

// Compares the tables of two nodes and merges differing buckets in both directions.
inline void exchange_tables(node_schedule& schedule, std::size_t index, std::size_t other) {
    scheduled_node& node = schedule.m_nodes[index];
    if (!node.m_up) {
        return;
    }
    if (!schedule.m_nodes[other].m_up || !bulk_delay(schedule, index, other)) {
        return;
    }
    const auto mine = member_bucket_hashes(node.m_members);
    const auto theirs = member_bucket_hashes(schedule.m_nodes[other].m_members);
    std::vector<std::uint32_t> differing;
    for (std::uint32_t bucket = 0; bucket < mine.size(); ++bucket) {
        if (mine[bucket] != theirs[bucket]) {
            differing.push_back(bucket);
        }
    }
    const auto sent = members_in_buckets(node.m_members, differing);
    const auto received = members_in_buckets(schedule.m_nodes[other].m_members, differing);
    run_actions(schedule, index, membership_merge(node.m_members, received, schedule.m_now));
    run_actions(schedule, other,
                membership_merge(schedule.m_nodes[other].m_members, sent, schedule.m_now));
}

// Ticks the node and schedules its next tick, unless it has stopped or restarted since.
inline void tick_node(node_schedule& schedule, std::size_t index, std::uint64_t start_count) {
    scheduled_node& node = schedule.m_nodes[index];
    if (!node.m_up || node.m_start_count != start_count) {
        return;
    }
    if (schedule.m_now < node.m_paused_until) {
        at(schedule, node.m_paused_until,
           [index, start_count](node_schedule& later) { tick_node(later, index, start_count); });
        return;
    }
    run_actions(schedule, index, membership_tick(node.m_members, schedule.m_now));
    run_actions(
        schedule, index,
        distribution_tick(node.m_config, live_member_count(node.m_members), schedule.m_now));
    at(schedule, schedule.m_now + schedule_tick,
       [index, start_count](node_schedule& later) { tick_node(later, index, start_count); });
}

// Starts a node, or restarts it under the same name without state. It knows no other member yet.
inline void start_node(node_schedule& schedule, std::size_t index) {
    if (schedule.m_nodes.size() <= index) {
        schedule.m_nodes.resize(index + 1);
    }
    scheduled_node& node = schedule.m_nodes[index];
    const std::uint64_t start_count = node.m_start_count + 1;
    const std::uint64_t highest = node.m_highest_applied;
    const auto incarnation = static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(schedule.m_now.time_since_epoch()).count());
    node = {};
    node.m_start_count = start_count;
    node.m_highest_applied = highest;
    node.m_members =
        make_membership(node_entry(index, incarnation), {}, schedule.m_random(), schedule.m_now);
    node.m_config = make_distribution(node_name(index), milliseconds(2'000), schedule.m_random());
    at(schedule, schedule.m_now + milliseconds(schedule.m_random.below(50)),
       [index, start_count](node_schedule& later) { tick_node(later, index, start_count); });
}

// Lets the node join through the other one: it receives the other's table and held version.
inline void join_node(node_schedule& schedule, std::size_t index, std::size_t other) {
    scheduled_node& node = schedule.m_nodes[index];
    const scheduled_node& member_node = schedule.m_nodes[other];
    if (!node.m_up || !member_node.m_up || !bulk_delay(schedule, index, other)) {
        return;
    }
    std::vector<std::uint32_t> buckets;
    for (std::uint32_t bucket = 0; bucket < member_bucket_count; ++bucket) {
        buckets.push_back(bucket);
    }
    run_actions(schedule, index,
                membership_merge(node.m_members, members_in_buckets(member_node.m_members, buckets),
                                 schedule.m_now));
    run_actions(schedule, index,
                distribution_join_reply(node.m_config, node_name(other),
                                        held_version(member_node.m_config),
                                        highest_version_of(member_node.m_members, node_name(index)),
                                        live_member_count(node.m_members), schedule.m_now));
}

// Starts count nodes that know each other. Link delays and losses follow from the seed.
inline node_schedule make_schedule(std::size_t count, std::uint64_t seed, duration delay,
                                   double loss) {
    node_schedule schedule;
    schedule.m_random = random_source(seed);
    schedule.m_link = seeded_link(delay, loss, seed + 1);
    std::vector<member> entries;
    for (std::size_t index = 0; index < count; ++index) {
        start_node(schedule, index);
        entries.push_back(schedule.m_nodes[index].m_members.m_self);
    }
    for (scheduled_node& node : schedule.m_nodes) {
        membership_merge(node.m_members, entries, schedule.m_now);
    }
    return schedule;
}

// Runs all events that are due within the time and advances the clock by it.
inline void run_for(node_schedule& schedule, duration time) {
    const time_point end = schedule.m_now + time;
    while (!schedule.m_events.empty() && schedule.m_events.top().m_at <= end) {
        auto run = schedule.m_events.top().m_run;
        schedule.m_now = std::max(schedule.m_now, schedule.m_events.top().m_at);
        schedule.m_events.pop();
        run(schedule);
    }
    schedule.m_now = end;
}

// Runs until the condition holds, checked every 10 ms. Returns the time it took, or nothing if the
// limit passed first.
inline std::optional<duration> run_until(node_schedule& schedule, duration limit,
                                         const std::function<bool()>& condition) {
    const time_point start = schedule.m_now;
    while (!condition()) {
        if (schedule.m_now - start >= limit) {
            return std::nullopt;
        }
        run_for(schedule, milliseconds(10));
    }
    return schedule.m_now - start;
}

// Returns whether every other running node holds the given state of the instance.
inline bool all_hold_state(const node_schedule& schedule, std::size_t instance,
                           member_state state) {
    const std::string name = node_name(instance);
    for (std::size_t index = 0; index < schedule.m_nodes.size(); ++index) {
        const scheduled_node& node = schedule.m_nodes[index];
        if (index == instance || !node.m_up) {
            continue;
        }
        const tracked_member* found = find_member(node.m_members, name);
        if (found == nullptr || found->m_member.m_state != state) {
            return false;
        }
    }
    return true;
}

// Returns whether every running node has applied the version or a later one.
inline bool all_applied(const node_schedule& schedule, std::uint64_t version) {
    for (const scheduled_node& node : schedule.m_nodes) {
        if (node.m_up && node.m_config.m_applied < version) {
            return false;
        }
    }
    return true;
}

} // namespace caraway
