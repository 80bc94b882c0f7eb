// Measures how fast updates propagate and how accurate the failure detector is. Simulates many
// nodes in one thread with a manual clock and with seeded packet delay and loss. Times are
// simulated times. usage: spread [MAX_NODE_COUNT]
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fmt/format.h>
#include <set>
#include <string>
#include <vector>

#include "tests/node_schedule.hpp"

using namespace caraway;

namespace {

constexpr std::uint64_t run_count = 20;
constexpr milliseconds mean_delay{1};

double seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

// Measurements of one scenario, one value per finished run.
struct scenario_result {
    std::vector<double> m_seconds;
    std::vector<double> m_packets; // per node
    std::vector<double> m_bytes;   // per node
    std::size_t m_unfinished = 0;  // runs that reached their time limit
};

double median(std::vector<double> values) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

double worst(const std::vector<double>& values) {
    return values.empty() ? 0 : *std::max_element(values.begin(), values.end());
}

// For each seed, copies the warmed-up schedule, triggers one event and runs until the condition
// holds or the limit expires.
template <typename Start, typename Done>
scenario_result measure(const node_schedule& warmed_up, double loss, duration limit,
                        const Start& trigger, const Done& is_done) {
    scenario_result result;
    for (std::uint64_t seed = 1; seed <= run_count; ++seed) {
        node_schedule schedule = warmed_up;
        schedule.m_random = random_source(seed);
        schedule.m_link = seeded_link(mean_delay, loss, seed * 7919);
        for (scheduled_node& node : schedule.m_nodes) {
            node.m_members.m_random = random_source(schedule.m_random());
        }
        run_for(schedule, milliseconds(schedule.m_random.below(3'000)));
        schedule.m_packets = 0;
        schedule.m_bytes = 0;
        trigger(schedule);
        const auto elapsed = run_until(schedule, limit, [&] { return is_done(schedule); });
        if (!elapsed) {
            ++result.m_unfinished;
            continue;
        }
        const auto count = static_cast<double>(schedule.m_nodes.size());
        result.m_seconds.push_back(seconds(*elapsed));
        result.m_packets.push_back(static_cast<double>(schedule.m_packets) / count);
        result.m_bytes.push_back(static_cast<double>(schedule.m_bytes) / count);
    }
    return result;
}

// Prints the table row of a scenario and appends it to the JSON rows.
void print(std::string& json, std::size_t count, double loss, std::string_view event,
           const scenario_result& value) {
    fmt::print("{:>6} {:>5.0f}% {:<28} {:>8.2f} {:>8.2f} {:>9.1f} {:>10.0f} {:>10}\n", count,
               loss * 100, event, median(value.m_seconds), worst(value.m_seconds),
               median(value.m_packets), median(value.m_bytes), value.m_unfinished);
    std::fflush(stdout);
    json += fmt::format("{}{{\"nodes\":{},\"loss\":{},\"event\":\"{}\",\"median_s\":{:.3f},"
                        "\"worst_s\":{:.3f},\"packets_per_node\":{:.1f},\"bytes_per_node\":{:.0f},"
                        "\"unfinished\":{}}}",
                        json.empty() ? "" : ",\n", count, loss, event, median(value.m_seconds),
                        worst(value.m_seconds), median(value.m_packets), median(value.m_bytes),
                        value.m_unfinished);
}

// Measures all scenarios at one node count and packet loss.
void measure_count(std::string& json, std::size_t count, double loss) {
    using std::chrono::seconds;
    node_schedule warmed_up = make_schedule(count, count, mean_delay, loss);
    warmed_up.m_store = 1;
    for (std::size_t index = 0; index < count; ++index) {
        read_store(warmed_up, index);
    }
    // Waits until the membership entries from the start of the nodes have propagated, which takes
    // longest with 1,000 nodes.
    run_for(warmed_up, seconds(count < 1'000 ? 60 : 300));

    print(json, count, loss, "new version in force",
          measure(
              warmed_up, loss, seconds(60),
              [](node_schedule& schedule) {
                  schedule.m_store = 2;
                  read_store(schedule, 0);
                  read_store(schedule, schedule.m_nodes.size() / 2);
              },
              [](const node_schedule& schedule) { return all_applied(schedule, 2); }));
    print(json, count, loss, "new version, one reader",
          measure(
              warmed_up, loss, seconds(60),
              [](node_schedule& schedule) {
                  schedule.m_store = 2;
                  read_store(schedule, 0);
              },
              [](const node_schedule& schedule) { return all_applied(schedule, 2); }));
    print(json, count, loss, "leave known",
          measure(
              warmed_up, loss, seconds(60),
              [](node_schedule& schedule) {
                  run_actions(schedule, 0,
                              membership_leave(schedule.m_nodes[0].m_members, schedule.m_now));
              },
              [](const node_schedule& schedule) {
                  return all_hold_state(schedule, 0, member_state::left);
              }));
    const std::vector<suspension> suspensions{
        {"move-1", "surveys", "2.0", node_name(0), "failures", 1}};
    print(json, count, loss, "suspension known",
          measure(
              warmed_up, loss, seconds(60),
              [&](node_schedule& schedule) {
                  scheduled_node& node = schedule.m_nodes[0];
                  merge_suspension(node.m_facts, suspensions[0]);
                  node.m_members.m_facts_digest = facts_digest(node.m_facts);
                  run_actions(
                      schedule, 0,
                      membership_spread_facts(node.m_members, suspensions, {}, schedule.m_now));
              },
              [](const node_schedule& schedule) {
                  return std::all_of(schedule.m_nodes.begin(), schedule.m_nodes.end(),
                                     [](const scheduled_node& node) {
                                         return is_suspended(node.m_facts, "move-1");
                                     });
              }));
    const auto any_considers_first_dead = [](const node_schedule& schedule) {
        return std::any_of(
            schedule.m_nodes.begin() + 1, schedule.m_nodes.end(), [](const scheduled_node& node) {
                const tracked_member* found = find_member(node.m_members, node_name(0));
                return found != nullptr && found->m_member.m_state == member_state::dead;
            });
    };
    const auto kill_first = [](node_schedule& schedule) { schedule.m_nodes[0].m_up = false; };
    print(json, count, loss, "killed member, first to know",
          measure(warmed_up, loss, seconds(120), kill_first, any_considers_first_dead));
    print(json, count, loss, "killed member, all know",
          measure(warmed_up, loss, seconds(120), kill_first, [](const node_schedule& schedule) {
              return all_hold_state(schedule, 0, member_state::dead);
          }));
    const std::size_t killed_count = count / 10;
    print(json, count, loss, "killed tenth, all know",
          measure(
              warmed_up, loss, seconds(240),
              [killed_count](node_schedule& schedule) {
                  for (std::size_t index = 0; index < killed_count; ++index) {
                      schedule.m_nodes[index].m_up = false;
                  }
              },
              [killed_count](const node_schedule& schedule) {
                  for (std::size_t index = 0; index < killed_count; ++index) {
                      if (!all_hold_state(schedule, index, member_state::dead)) {
                          return false;
                      }
                  }
                  return true;
              }));
}

// Counts false suspicions and false deaths within an hour while one member's packets are delayed by
// 400 ms in both directions.
void measure_slow_member(std::string& json, std::size_t count, double loss) {
    node_schedule schedule = make_schedule(count, count + 1, mean_delay, loss);
    auto fast = seeded_link(mean_delay, loss, 99);
    schedule.m_link = [fast](std::size_t from, std::size_t to) {
        auto delay = fast(from, to);
        if (delay && (from == 0 || to == 0)) {
            *delay += milliseconds(400);
        }
        return delay;
    };
    std::set<std::pair<std::string, std::uint64_t>> suspected;
    std::set<std::pair<std::string, std::uint64_t>> dead;
    std::uint64_t late_member_suspicions = 0;
    run_for(schedule, std::chrono::seconds(45));
    schedule.m_on_change = [&](std::size_t observer, const std::string& instance) {
        const tracked_member* found = find_member(schedule.m_nodes[observer].m_members, instance);
        if (found == nullptr) {
            return;
        }
        const std::pair member_key{instance, found->m_member.m_incarnation};
        if (found->m_member.m_state == member_state::suspect &&
            suspected.insert(member_key).second) {
            late_member_suspicions += instance == node_name(0) ? 1 : 0;
        }
        if (found->m_member.m_state == member_state::dead) {
            dead.insert(member_key);
        }
    };
    run_for(schedule, std::chrono::hours(1));
    fmt::print(
        "{:>6} {:>5.0f}% one member 400 ms late: {} false suspicions an hour ({} of the late "
        "member), {} false deaths\n",
        count, loss * 100, suspected.size(), late_member_suspicions, dead.size());
    json += fmt::format(",\n{{\"nodes\":{},\"loss\":{},\"event\":\"one member 400 ms late\","
                        "\"false_suspicions_per_hour\":{},\"of_late_member\":{},"
                        "\"false_deaths_per_hour\":{}}}",
                        count, loss, suspected.size(), late_member_suspicions, dead.size());
}

} // namespace

int main(int argc, char** argv) {
    const std::size_t max_node_count = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 1'000;
    std::string json;
    fmt::print("{:>6} {:>6} {:<28} {:>8} {:>8} {:>9} {:>10} {:>10}\n", "nodes", "loss", "event",
               "median s", "worst s", "pkts/node", "bytes/node", "unfinished");
    for (const std::size_t count : {50U, 200U, 1'000U}) {
        if (count > max_node_count) {
            break;
        }
        for (const double loss : {0.0, 0.05}) {
            measure_count(json, count, loss);
        }
    }
    for (const double loss : {0.0, 0.05}) {
        measure_slow_member(json, 50, loss);
    }
    fmt::print("[{}]\n", json);
    return 0;
}
