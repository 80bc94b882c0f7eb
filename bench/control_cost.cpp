// Measures the cost of the membership protocol for one node at several table sizes: processor time
// and bytes per simulated second, the time to hash the table for anti-entropy, and the memory of
// the table. Packet sizes are estimated with the function that the node itself uses to
// fill packets. The churn is that of the target scale: 1,545 restarts and failures a day among
// 14,000 members.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <deque>
#include <fmt/format.h>
#include <malloc.h>
#include <string>
#include <vector>

#include "decide/membership/membership.hpp"
#include "tests/node_schedule.hpp"

using namespace caraway;

namespace {

constexpr int measured_seconds = 600;
constexpr double churn_per_member = 1'545.0 / 14'000 / 86'400;

// Returns the processor time of the process in seconds.
double cpu_seconds() {
    std::timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

// The measured node with its traffic counters and the processor time of its protocol functions.
struct measured_node {
    membership_table m_table;
    std::uint64_t m_packets_out = 0;
    std::uint64_t m_bytes_out = 0;
    std::uint64_t m_packets_in = 0;
    std::uint64_t m_bytes_in = 0;
    double m_cpu_s = 0;
};

// Returns the member with this index, in one of 2,600 services.
member make_member(std::size_t index) {
    member entry = node_entry(index, 1'000'000);
    entry.m_service = fmt::format("service-{}", index % 2'600);
    return entry;
}

// Counts the packets that the node sends. If pings isn't null, also appends the sent pings to it,
// so that the benchmark can answer them.
void count_sent(measured_node& node, const std::vector<membership_action>& actions,
                std::deque<packet>* pings) {
    for (const membership_action& action : actions) {
        if (action.m_kind != membership_action::kind::send) {
            continue;
        }
        ++node.m_packets_out;
        node.m_bytes_out += estimated_packet_bytes(action.m_packet);
        if (pings != nullptr && action.m_packet.m_kind == packet_kind::ping) {
            pings->push_back(action.m_packet);
        }
    }
}

// Passes a packet to the node and measures the time that it takes to process it.
void deliver(measured_node& node, const packet& value, const ip_endpoint& from, time_point now,
             std::deque<packet>* pings) {
    ++node.m_packets_in;
    node.m_bytes_in += estimated_packet_bytes(value);
    const double before = cpu_seconds();
    const auto actions = membership_receive(node.m_table, value, from, now);
    node.m_cpu_s += cpu_seconds() - before;
    count_sent(node, actions, pings);
}

packet packet_from(const member& sender, packet_kind kind, std::string_view target) {
    packet value;
    value.m_kind = kind;
    value.m_sender = sender.m_instance;
    value.m_incarnation = sender.m_incarnation;
    value.m_target = target;
    value.m_config_version = sender.m_config_version;
    value.m_held_version = sender.m_config_version;
    return value;
}

// Simulates the other members: one ping per second from a random member, acks to the node's pings,
// and the updates caused by churn. Each update reaches the node as often as a node sends it,
// because a node receives on average as many updates as it sends.
void run_protocol(measured_node& node, std::vector<member>& members, time_point& now,
                  random_source& random, int seconds) {
    std::deque<packet> pings;
    const std::string self = node.m_table.m_self.m_instance;
    double pending_changes = 0;
    std::deque<std::pair<member, int>> updates;
    const int copies_per_update =
        static_cast<int>(6 * std::log10(static_cast<double>(members.size())) + 1);
    const auto add_updates = [&](packet& value) {
        std::size_t bytes = estimated_packet_bytes(value);
        for (std::size_t left = updates.size(); left > 0 && bytes < 900; --left) {
            auto [entry, copies_left] = updates.front();
            updates.pop_front();
            value.m_updates.push_back(entry);
            bytes = estimated_packet_bytes(value);
            if (copies_left > 1) {
                updates.emplace_back(entry, copies_left - 1);
            }
        }
    };
    for (int step = 0; step < seconds * 20; ++step) {
        now += milliseconds(50);
        const double before = cpu_seconds();
        const auto actions = membership_tick(node.m_table, now);
        node.m_cpu_s += cpu_seconds() - before;
        count_sent(node, actions, &pings);
        while (!pings.empty()) {
            const packet ping = std::move(pings.front());
            pings.pop_front();
            const std::size_t index = std::strtoul(ping.m_target.data() + 5, nullptr, 10);
            packet ack = packet_from(members[index], packet_kind::ack, self);
            ack.m_sequence = ping.m_sequence;
            add_updates(ack);
            deliver(node, ack, members[index].m_udp, now, &pings);
        }
        if (step % 20 == 10) {
            const member& sender = members[random.below(members.size())];
            packet ping = packet_from(sender, packet_kind::ping, self);
            ping.m_sequence = static_cast<std::uint64_t>(step);
            ping.m_updates.push_back(sender);
            add_updates(ping);
            deliver(node, ping, sender.m_udp, now, &pings);
        }
        if (step % 5 == 0 && !updates.empty()) {
            const member& sender = members[random.below(members.size())];
            packet rumour = packet_from(sender, packet_kind::rumour, {});
            add_updates(rumour);
            deliver(node, rumour, sender.m_udp, now, &pings);
        }
        // A restart produces three updates: left, a higher incarnation, and ready.
        pending_changes += churn_per_member * static_cast<double>(members.size()) / 20;
        for (; pending_changes >= 1; pending_changes -= 1) {
            member& changed = members[random.below(members.size())];
            member left = changed;
            left.m_state = member_state::left;
            updates.emplace_back(left, copies_per_update);
            for (int update = 0; update < 2; ++update) {
                ++changed.m_incarnation;
                changed.m_ready = update == 1;
                updates.emplace_back(changed, copies_per_update);
            }
        }
    }
}

// Measures one table size, prints its row and returns it as a JSON object.
std::string measure(std::size_t count) {
    std::vector<member> members;
    for (std::size_t index = 0; index < count; ++index) {
        members.push_back(make_member(index));
    }
    time_point now{std::chrono::hours(1)};
    measured_node node;
    member self = make_member(count);
    node.m_table = make_membership(self, {}, 1, now);
    const std::size_t heap_bytes_before = mallinfo2().uordblks;
    const double merge_start = cpu_seconds();
    membership_merge(node.m_table, members, now);
    const double merge_s = cpu_seconds() - merge_start;
    const std::size_t heap_bytes_after = mallinfo2().uordblks;
    random_source random(count);
    // The first 40 s show the behaviour of a newly started node and are not counted.
    run_protocol(node, members, now, random, 40);
    node.m_packets_out = node.m_bytes_out = node.m_packets_in = node.m_bytes_in = 0;
    node.m_cpu_s = 0;
    run_protocol(node, members, now, random, measured_seconds);

    constexpr int hash_rounds = 1'000;
    const double hash_start = cpu_seconds();
    std::uint64_t sum = 0;
    for (int round = 0; round < hash_rounds; ++round) {
        sum += member_bucket_hashes(node.m_table)[static_cast<std::size_t>(round) % 64];
    }
    const double hash_us = (cpu_seconds() - hash_start) / hash_rounds * 1e6;
    const std::vector<std::uint32_t> bucket{static_cast<std::uint32_t>(sum % 64)};
    const double bucket_start = cpu_seconds();
    const std::size_t entries = members_in_buckets(node.m_table, bucket).size();
    const double bucket_us = (cpu_seconds() - bucket_start) * 1e6;

    const double cpu_percent = node.m_cpu_s / measured_seconds * 100;
    const auto per_second = [](std::uint64_t value) {
        return static_cast<double>(value) / measured_seconds;
    };
    const double memory =
        static_cast<double>(heap_bytes_after - heap_bytes_before) / static_cast<double>(count);
    fmt::print("{:>8} {:>10.4f} {:>8.1f} {:>8.0f} {:>8.1f} {:>8.0f} {:>10.2f} {:>10.0f} {:>9.1f} "
               "{:>10.0f}\n",
               count, cpu_percent, per_second(node.m_packets_out), per_second(node.m_bytes_out),
               per_second(node.m_packets_in), per_second(node.m_bytes_in), hash_us, bucket_us,
               merge_s * 1e3, memory);
    return fmt::format("{{\"members\":{},\"cpu_percent\":{:.4f},\"packets_out_per_s\":{:.1f},"
                       "\"bytes_out_per_s\":{:.0f},\"packets_in_per_s\":{:.1f},"
                       "\"bytes_in_per_s\":{:.0f},\"bucket_hashes_us\":{:.2f},"
                       "\"one_bucket_us\":{:.0f},\"one_bucket_entries\":{},\"merge_all_ms\":{:.1f},"
                       "\"bytes_per_member\":{:.0f}}}",
                       count, cpu_percent, per_second(node.m_packets_out),
                       per_second(node.m_bytes_out), per_second(node.m_packets_in),
                       per_second(node.m_bytes_in), hash_us, bucket_us, entries, merge_s * 1e3,
                       memory);
}

} // namespace

int main() {
    fmt::print("{:>8} {:>10} {:>8} {:>8} {:>8} {:>8} {:>10} {:>10} {:>9} {:>10}\n", "members",
               "cpu %", "pkts/s", "B/s out", "pkts/s", "B/s in", "hashes us", "bucket us",
               "join ms", "B/member");
    std::string json;
    for (const std::size_t count : {1'000U, 4'000U, 14'000U}) {
        json += (json.empty() ? "" : ",\n") + measure(count);
        std::fflush(stdout);
    }
    fmt::print("[{}]\n", json);
    return 0;
}
