// Tests of the failure detector and of the dissemination of entries with delay, loss, partitions,
// pauses and restarts.
#include <algorithm>
#include <numeric>
#include <set>
#include <string>
#include <vector>

#include "decide/membership/membership.hpp"
#include "decide/membership/membership_groups.hpp"
#include "peer/wire.hpp"
#include "tests/node_schedule.hpp"
#include "tests/support.hpp"

using namespace caraway;

namespace {

using std::chrono::seconds;

// Returns whether the live members of every running node are exactly the running nodes that have
// not left, all alive and with their current incarnation.
bool all_agree(const node_schedule& schedule) {
    for (const scheduled_node& node : schedule.m_nodes) {
        if (!node.m_up) {
            continue;
        }
        for (const scheduled_node& other : schedule.m_nodes) {
            const member& actual = other.m_members.m_self;
            if (&other == &node) {
                continue;
            }
            const tracked_member* found = find_member(node.m_members, actual.m_instance);
            const bool alive = found != nullptr && found->m_member.m_state == member_state::alive &&
                               found->m_member.m_incarnation == actual.m_incarnation;
            const bool live = found != nullptr && found->m_member.m_state < member_state::dead;
            const bool expected_alive = other.m_up && actual.m_state == member_state::alive;
            if (expected_alive ? !alive : live) {
                return false;
            }
        }
    }
    return true;
}

// Checks that the incrementally maintained counters and hashes equal those computed from the whole
// table.
void check_indices(const membership_table& table) {
    membership_table fresh = make_membership(table.m_self, {}, 1, table.m_last_tick);
    std::vector<member> live;
    for (const member* other : live_members(table)) {
        live.push_back(*other);
    }
    membership_merge(fresh, live, table.m_last_tick);
    BOOST_TEST(live_member_count(table) == live.size());
    BOOST_TEST(member_bucket_hashes(table) == member_bucket_hashes(fresh));
}

// Counts deaths declared by an observer of running members that are connected to it.
void count_false_deaths(node_schedule& schedule, std::size_t& deaths,
                        std::function<bool(std::size_t, std::size_t)> connected) {
    schedule.m_on_change = [&schedule, &deaths, connected](std::size_t observer,
                                                           const std::string& instance) {
        const tracked_member* found = find_member(schedule.m_nodes[observer].m_members, instance);
        if (found == nullptr || found->m_member.m_state != member_state::dead) {
            return;
        }
        const std::size_t index = node_index(found->m_member.m_udp);
        const scheduled_node& target = schedule.m_nodes[index];
        deaths += target.m_up && connected(observer, index) ? 1 : 0;
    };
}

// Returns an entry of node 9 whose configuration version equals its incarnation.
member entry_with_state(member_state state, std::uint64_t incarnation) {
    member entry = node_entry(9, incarnation);
    entry.m_state = state;
    entry.m_config_version = incarnation;
    return entry;
}

} // namespace

BOOST_AUTO_TEST_SUITE(membership)

// Guards against a side of a partition that drops the members of the other side, and against a node
// that joins during the partition and does not receive the time at which the loss began.
BOOST_AUTO_TEST_CASE(mass_loss_is_retained_and_shared) {
    constexpr std::size_t count = 10;
    node_schedule schedule = make_schedule(count, 1, milliseconds(2), 0);
    for (scheduled_node& node : schedule.m_nodes) {
        node.m_members.m_options.m_dead_retention = seconds(20);
    }
    run_for(schedule, seconds(5));
    for (std::size_t index = 0; index < 4; ++index) {
        schedule.m_nodes[index].m_up = false;
    }
    const auto died = static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(schedule.m_now.time_since_epoch()).count());
    run_for(schedule, seconds(120));
    start_node(schedule, count);
    join_node(schedule, count, 5);
    run_for(schedule, seconds(2));
    for (const std::size_t observer : {std::size_t{5}, count}) {
        const tracked_member* found =
            find_member(schedule.m_nodes[observer].m_members, node_name(0));
        BOOST_REQUIRE(found != nullptr);
        BOOST_REQUIRE(found->m_losses.size() == 1U);
        BOOST_TEST(found->m_losses[0].m_until_ms == 0U);
        BOOST_TEST(found->m_losses[0].m_from_ms >= died);
        BOOST_TEST(found->m_losses[0].m_from_ms < died + 10'000);
        BOOST_TEST(schedule.m_nodes[observer].m_members.m_dead == 4U);
    }
}

// Guards against halves that never find each other again after a partition that outlasts the
// retention of dead members, and against a half that accepts the other half's view that its own
// members are dead.
BOOST_AUTO_TEST_CASE(halves_of_a_partition_heal) {
    for (const std::uint64_t seed : schedule_seeds(40)) {
        constexpr std::size_t count = 24;
        node_schedule schedule = make_schedule(count, seed, milliseconds(2), 0.02);
        for (scheduled_node& node : schedule.m_nodes) {
            node.m_members.m_options.m_dead_retention = seconds(20);
            node.m_members.m_options.m_mass_loss_retention = seconds(20);
        }
        const auto usual = schedule.m_link;
        bool split = true;
        schedule.m_link = [usual, &split](std::size_t from, std::size_t to) {
            return split && from % 2 != to % 2 ? std::nullopt : usual(from, to);
        };
        std::size_t deaths = 0;
        // The other half's suspicions may still expire right after the partition, but nobody may
        // declare a member of its own half dead.
        count_false_deaths(schedule, deaths, [](std::size_t observer, std::size_t index) {
            return observer % 2 == index % 2;
        });
        // If the partition is short, reports of deaths are still being forwarded when it heals.
        const std::uint64_t longest = seed % 2 == 0 ? 5'000 : 90'000;
        run_for(schedule, seconds(8) + milliseconds(schedule.m_random.below(longest)));
        split = false;
        const auto took =
            run_until(schedule, seconds(60), [&schedule] { return all_agree(schedule); });
        BOOST_TEST(took.has_value(), "CARAWAY_SEED=" << seed);
        BOOST_TEST(deaths == 0U, "CARAWAY_SEED=" << seed);
        check_indices(schedule.m_nodes[0].m_members);
    }
}

// Guards against a slow observer whose suspicions get healthy members declared dead, and against a
// slow member that is declared dead although it answers.
BOOST_AUTO_TEST_CASE(slow_observer_declares_nobody_dead) {
    for (const std::uint64_t seed : schedule_seeds(10)) {
        node_schedule schedule = make_schedule(20, seed, milliseconds(2), 0.03);
        const auto usual = schedule.m_link;
        const milliseconds extra(300 + schedule.m_random.below(600));
        schedule.m_link = [usual, extra](std::size_t from, std::size_t to) {
            auto delay = usual(from, to);
            if (delay && (from == 0 || to == 0)) {
                *delay += extra;
            }
            return delay;
        };
        std::size_t deaths = 0;
        count_false_deaths(schedule, deaths, [](std::size_t, std::size_t) { return true; });
        run_for(schedule, seconds(300));
        BOOST_TEST(deaths == 0U, "CARAWAY_SEED=" << seed);
    }
}

// Guards against a slow observer that suspects a member at each of its probes: acks take longer
// than a whole probe interval, so that only longer timeouts of the observer prevent suspicions.
BOOST_AUTO_TEST_CASE(slow_observer_lengthens_its_timeouts) {
    for (const std::uint64_t seed : schedule_seeds(10)) {
        node_schedule schedule = make_schedule(20, seed, milliseconds(2), 0.0);
        schedule.m_link = [usual = schedule.m_link](std::size_t from, std::size_t to) {
            return from == 0 || to == 0 ? milliseconds(700) : usual(from, to);
        };
        std::size_t suspected_seconds = 0;
        run_for(schedule, seconds(20));
        for (int second = 0; second < 300; ++second) {
            run_for(schedule, seconds(1));
            for (const auto& [name, tracked] : schedule.m_nodes[0].m_members.m_members) {
                suspected_seconds += tracked.m_suspected_locally ? 1 : 0;
            }
        }
        BOOST_TEST(suspected_seconds < 60U, "CARAWAY_SEED=" << seed);
    }
}

// Guards against a process that was stopped for a while and declares the other members suspect or
// dead because of its own pause.
BOOST_AUTO_TEST_CASE(paused_process_suspects_nobody) {
    for (const std::uint64_t seed : schedule_seeds(40)) {
        node_schedule schedule = make_schedule(10, seed, milliseconds(2), 0.0);
        std::size_t false_suspicions = 0;
        run_for(schedule, seconds(10));
        schedule.m_on_change = [&](std::size_t observer, const std::string& instance) {
            const tracked_member* found =
                find_member(schedule.m_nodes[observer].m_members, instance);
            const bool suspected = found->m_member.m_state == member_state::suspect ||
                                   found->m_member.m_state == member_state::dead;
            false_suspicions += suspected && instance != node_name(0) ? 1 : 0;
        };
        run_for(schedule, milliseconds(schedule.m_random.below(2'000)));
        // The pause begins while a probe is in progress, so that its ack arrives during the pause.
        while (schedule.m_nodes[0].m_members.m_probes.empty()) {
            run_for(schedule, milliseconds(1));
        }
        schedule.m_nodes[0].m_paused_until =
            schedule.m_now + milliseconds(1'500 + schedule.m_random.below(40'000));
        run_for(schedule, seconds(60));
        BOOST_TEST(false_suspicions == 0U, "CARAWAY_SEED=" << seed);
        const auto took =
            run_until(schedule, seconds(30), [&schedule] { return all_agree(schedule); });
        BOOST_TEST(took.has_value(), "CARAWAY_SEED=" << seed);
    }
}

// Guards against leaves that take too long to reach all members (target 3 s), deaths that are never
// detected, and members that rumours miss for a long time. Tables are not exchanged here.
BOOST_AUTO_TEST_CASE(leave_and_death_reach_every_member) {
    for (const std::uint64_t seed : schedule_seeds(20)) {
        node_schedule schedule = make_schedule(60, seed, milliseconds(2), 0.05);
        schedule.m_exchange = false;
        std::size_t underestimated = 0; // packets larger than estimated
        std::size_t seen = 0;
        schedule.m_on_send = [&underestimated, &seen](const packet& value) {
            if (seen++ % 50 == 0) {
                underestimated +=
                    encode_packet(value).size() > estimated_packet_bytes(value) ? 1 : 0;
            }
        };
        run_for(schedule, seconds(30));
        run_actions(schedule, 0, membership_leave(schedule.m_nodes[0].m_members, schedule.m_now));
        const std::string leaver = node_name(0);
        run_for(schedule, milliseconds(100));
        const auto informed = std::count_if(
            schedule.m_nodes.begin() + 1, schedule.m_nodes.end(),
            [&leaver](const scheduled_node& node) {
                return find_member(node.m_members, leaver)->m_member.m_state == member_state::left;
            });
        BOOST_TEST(informed >= 45, "CARAWAY_SEED=" << seed);
        const auto leave = run_until(schedule, seconds(3), [&schedule] {
            return all_hold_state(schedule, 0, member_state::left);
        });
        BOOST_TEST(leave.has_value(), "CARAWAY_SEED=" << seed);
        for (std::size_t index = 0; index < 4; ++index) {
            schedule.m_nodes[index].m_up = false;
        }
        const auto death = run_until(schedule, seconds(25), [&schedule] {
            return all_hold_state(schedule, 1, member_state::dead) &&
                   all_hold_state(schedule, 2, member_state::dead) &&
                   all_hold_state(schedule, 3, member_state::dead);
        });
        BOOST_TEST(death.has_value(), "CARAWAY_SEED=" << seed);
        BOOST_TEST(schedule.m_largest_packet_bytes <= max_packet_bytes);
        BOOST_TEST(underestimated == 0U);
    }
}

// Guards against tables that never converge after members are killed, leave and restart in any
// order, and against indices that diverge from the table.
BOOST_AUTO_TEST_CASE(tables_converge_after_any_churn) {
    for (const std::uint64_t seed : schedule_seeds(60)) {
        constexpr std::size_t count = 9;
        node_schedule schedule = make_schedule(count, seed, milliseconds(4), 0.1);
        for (int step = 0; step < 12; ++step) {
            run_for(schedule, milliseconds(schedule.m_random.below(5'000)));
            const std::size_t chosen = 1 + schedule.m_random.below(count - 1);
            scheduled_node& node = schedule.m_nodes[chosen];
            if (!node.m_up || schedule.m_random.below(4) == 0) {
                // Possibly immediately, under the same name and address, as in a crash loop.
                start_node(schedule, chosen);
                join_node(schedule, chosen, 0);
            } else if (schedule.m_random.below(2) == 0) {
                node.m_up = false;
            } else if (schedule.m_random.below(2) == 0) {
                run_actions(schedule, chosen, membership_leave(node.m_members, schedule.m_now));
            } else {
                node.m_members.m_self.m_ready = !node.m_members.m_self.m_ready;
                run_actions(schedule, chosen,
                            membership_update_self(node.m_members, true, schedule.m_now));
            }
        }
        // A node whose join request was lost knows no member and asks again.
        for (std::size_t index = 1; index < count; ++index) {
            while (schedule.m_nodes[index].m_up &&
                   schedule.m_nodes[index].m_members.m_members.empty()) {
                join_node(schedule, index, 0);
            }
        }
        const auto took =
            run_until(schedule, seconds(120), [&schedule] { return all_agree(schedule); });
        BOOST_TEST(took.has_value(), "CARAWAY_SEED=" << seed);
        for (const scheduled_node& node : schedule.m_nodes) {
            check_indices(node.m_members);
        }
    }
}

// Guards against entries that are older than a member's death and revive it, in any order.
BOOST_AUTO_TEST_CASE(older_entries_do_not_revive) {
    const time_point now{std::chrono::hours(1)};
    for (const std::uint64_t seed : schedule_seeds(500)) {
        random_source random(seed);
        membership_table table = make_membership(node_entry(0, 1), {}, seed, now);
        const member_state gone = random.below(2) == 0 ? member_state::dead : member_state::left;
        const std::vector<member> first{entry_with_state(gone, 5)};
        membership_merge(table, first, now);
        for (int i = 0; i < 10; ++i) {
            packet value;
            value.m_kind = packet_kind::rumour;
            value.m_sender = node_name(1);
            value.m_updates.push_back(
                entry_with_state(static_cast<member_state>(random.below(2)), random.below(6)));
            if (random.below(2) == 0) {
                membership_merge(table, value.m_updates, now);
            } else {
                membership_receive(table, value, node_entry(1, 1).m_udp, now);
            }
            BOOST_TEST((find_member(table, node_name(9))->m_member.m_state == gone),
                       "CARAWAY_SEED=" << seed);
        }
        // A restart replaces the entry, but the version of the predecessor is kept.
        member restarted = entry_with_state(member_state::alive, 6);
        restarted.m_config_version = 0;
        membership_merge(table, std::span(&restarted, 1), now);
        BOOST_TEST((find_member(table, node_name(9))->m_member.m_state == member_state::alive));
        BOOST_TEST(find_member(table, node_name(9))->m_member.m_config_version == 0U);
        BOOST_TEST(highest_version_of(table, node_name(9)) >= 5U);
    }
}

// Guards against a death declared from received suspicions alone or after a single lost packet:
// before this node declares a member dead, it has pinged it several times with the suspicion and
// without an answer.
BOOST_AUTO_TEST_CASE(member_is_declared_dead_only_after_own_pings) {
    for (const std::uint64_t seed : schedule_seeds(100)) {
        time_point now{std::chrono::hours(1)};
        membership_table table = make_membership(node_entry(0, 1), {}, seed, now);
        std::vector<member> others;
        for (std::size_t index = 1; index < 200; ++index) {
            others.push_back(node_entry(index, 5));
        }
        membership_merge(table, others, now);
        // The claim is a suspicion in a packet or a death in another node's table.
        const std::vector<member> claim{
            entry_with_state(seed % 2 == 0 ? member_state::suspect : member_state::dead, 5)};
        if (seed % 2 == 0) {
            packet value;
            value.m_kind = packet_kind::rumour;
            value.m_sender = node_name(1);
            value.m_incarnation = 5;
            value.m_updates = claim;
            membership_receive(table, value, others[0].m_udp, now);
        } else {
            membership_merge(table, claim, now);
            BOOST_TEST((find_member(table, node_name(9))->m_member.m_state == member_state::alive));
        }
        std::size_t suspicion_pings = 0;
        const time_point end = now + seconds(60);
        while (find_member(table, node_name(9))->m_member.m_state != member_state::dead &&
               now < end) {
            now += milliseconds(50);
            for (const membership_action& action : membership_tick(table, now)) {
                const bool reports_suspicion =
                    action.m_packet.m_kind == packet_kind::ping &&
                    action.m_packet.m_target == node_name(9) &&
                    std::any_of(action.m_packet.m_updates.begin(), action.m_packet.m_updates.end(),
                                [](const member& entry) {
                                    return entry.m_instance == node_name(9) &&
                                           entry.m_state != member_state::alive;
                                });
                suspicion_pings += reports_suspicion ? 1 : 0;
            }
        }
        BOOST_TEST((find_member(table, node_name(9))->m_member.m_state == member_state::dead),
                   "CARAWAY_SEED=" << seed);
        BOOST_TEST(suspicion_pings >= 2U, "CARAWAY_SEED=" << seed);
    }
}

// Guards against a suspected member that does not refute and is declared dead.
BOOST_AUTO_TEST_CASE(suspected_member_refutes_at_once) {
    const time_point now{std::chrono::hours(1)};
    for (const member_state state : {member_state::suspect, member_state::dead}) {
        membership_table table = make_membership(node_entry(9, 3), {}, 1, now);
        std::vector<member> others;
        for (std::size_t index = 0; index < 8; ++index) {
            others.push_back(node_entry(index, 1));
        }
        membership_merge(table, others, now);
        packet value;
        value.m_kind = packet_kind::rumour;
        value.m_sender = node_name(1);
        value.m_incarnation = 1;
        value.m_updates.push_back(entry_with_state(state, 3));
        std::size_t refutations = 0;
        for (const membership_action& action :
             membership_receive(table, value, others[1].m_udp, now)) {
            for (const member& entry : action.m_packet.m_updates) {
                refutations += entry.m_instance == node_name(9) && entry.m_incarnation == 4 &&
                                       entry.m_state == member_state::alive
                                   ? 1
                                   : 0;
            }
        }
        BOOST_TEST(refutations == 4U);
        BOOST_TEST(table.m_self.m_incarnation == 4U);
    }
}

// Guards against traffic between data centres that grows with the square of the number of members:
// at rest and after a change only the gateways of a data centre and the changed member itself send
// to other data centres, and all members still receive the change in time.
BOOST_AUTO_TEST_CASE(updates_cross_data_centres_through_few_members) {
    constexpr std::size_t count = 120; // 30 in each of 4 data centres
    for (const std::uint64_t seed : schedule_seeds(5)) {
        node_schedule schedule = make_schedule(count, seed, milliseconds(2), 0.05);
        run_for(schedule, seconds(60));
        std::vector<std::size_t> crossing(count);
        std::size_t packets = 0;
        schedule.m_link = [usual = schedule.m_link, &crossing, &packets](std::size_t from,
                                                                         std::size_t to) {
            ++packets;
            crossing[from] += from % 4 != to % 4 ? 1 : 0;
            return usual(from, to);
        };
        run_for(schedule, seconds(20));
        const auto senders = static_cast<std::size_t>(
            std::count_if(crossing.begin(), crossing.end(), [](std::size_t n) { return n > 10; }));
        const std::size_t crossed = std::accumulate(crossing.begin(), crossing.end(), 0UL);
        // Three gateways per data centre; other members only answer probes, about three in this
        // time.
        BOOST_TEST(senders <= 24U, "CARAWAY_SEED=" << seed << " senders " << senders);
        BOOST_TEST(crossed * 5 <= packets, "CARAWAY_SEED=" << seed);

        run_actions(schedule, 5, membership_leave(schedule.m_nodes[5].m_members, schedule.m_now));
        const auto took = run_until(schedule, seconds(5), [&schedule] {
            return all_hold_state(schedule, 5, member_state::left);
        });
        BOOST_TEST(took.has_value(), "CARAWAY_SEED=" << seed);
    }
}

// Guards against a data centre that receives no more changes when all of its gateways die at once,
// and against deaths of gateways that the other data centres never detect.
BOOST_AUTO_TEST_CASE(loss_of_all_gateways_is_recovered) {
    constexpr std::size_t count = 80; // 20 in each of 4 data centres
    for (const std::uint64_t seed : schedule_seeds(5)) {
        node_schedule schedule = make_schedule(count, seed, milliseconds(2), 0.05);
        run_for(schedule, seconds(60));
        std::set<std::size_t> gateways;
        for (std::size_t i = 0; i < count; ++i) {
            if (swim::is_gateway(schedule.m_nodes[i].m_members)) {
                gateways.insert(i);
            }
        }
        BOOST_TEST(gateways.size() >= 12U);
        for (const std::size_t index : gateways) {
            schedule.m_nodes[index].m_up = false;
        }
        run_for(schedule, seconds(1));
        std::size_t leaver = 0;
        while (gateways.contains(leaver)) {
            ++leaver;
        }
        run_actions(schedule, leaver,
                    membership_leave(schedule.m_nodes[leaver].m_members, schedule.m_now));
        const auto known = run_until(schedule, seconds(15), [&schedule, leaver] {
            return all_hold_state(schedule, leaver, member_state::left);
        });
        BOOST_TEST(known.has_value(), "CARAWAY_SEED=" << seed);
        const auto dead = run_until(schedule, seconds(60), [&schedule, &gateways] {
            return std::all_of(gateways.begin(), gateways.end(), [&schedule](std::size_t index) {
                return all_hold_state(schedule, index, member_state::dead);
            });
        });
        BOOST_TEST(dead.has_value(), "CARAWAY_SEED=" << seed);
    }
}

// Guards against a data centre that fails as a whole and stays alive in the tables of the others,
// and against one that comes back without being detected.
BOOST_AUTO_TEST_CASE(loss_and_return_of_a_data_centre_are_detected) {
    constexpr std::size_t count = 80;
    for (const std::uint64_t seed : schedule_seeds(3)) {
        node_schedule schedule = make_schedule(count, seed, milliseconds(2), 0.05);
        run_for(schedule, seconds(60));
        for (std::size_t i = 1; i < count; i += 4) {
            schedule.m_nodes[i].m_up = false;
        }
        const auto all_are = [&schedule](member_state state) {
            for (std::size_t i = 1; i < count; i += 4) {
                if (!all_hold_state(schedule, i, state)) {
                    return false;
                }
            }
            return true;
        };
        BOOST_TEST(run_until(schedule, seconds(60), [&] { return all_are(member_state::dead); })
                       .has_value(),
                   "CARAWAY_SEED=" << seed);
        for (std::size_t i = 1; i < count; i += 4) {
            start_node(schedule, i);
        }
        for (std::size_t i = 1; i < count; i += 4) {
            join_node(schedule, i, i == 1 ? 0 : 1);
        }
        BOOST_TEST(run_until(schedule, seconds(30), [&] { return all_are(member_state::alive); })
                       .has_value(),
                   "CARAWAY_SEED=" << seed);
    }
}

// Guards against rumours that circulate for ever: each node sends a suspension to its fanout once.
BOOST_AUTO_TEST_CASE(rumour_is_forwarded_once) {
    for (const std::uint64_t seed : schedule_seeds(10)) {
        constexpr std::size_t count = 50;
        node_schedule schedule = make_schedule(count, seed, milliseconds(2), 0.0);
        run_for(schedule, seconds(60));
        scheduled_node& node = schedule.m_nodes[0];
        const suspension suspended{"move-1", "surveys", "2.0", node_name(0), "failures", 1};
        std::size_t sent = 0;
        schedule.m_on_send = [&sent](const packet& value) { sent += value.m_suspensions.size(); };
        // Stops a faulty run, which would otherwise multiply its packets without end.
        schedule.m_link = [usual = schedule.m_link, &sent](std::size_t from, std::size_t to) {
            return sent > 100 * count ? std::nullopt : usual(from, to);
        };
        merge_suspension(node.m_facts, suspended);
        node.m_members.m_facts_digest = facts_digest(node.m_facts);
        run_actions(
            schedule, 0,
            membership_spread_facts(node.m_members, std::span(&suspended, 1), {}, schedule.m_now));
        const auto took = run_until(schedule, seconds(3), [&schedule] {
            return std::all_of(
                schedule.m_nodes.begin(), schedule.m_nodes.end(),
                [](const scheduled_node& other) { return is_suspended(other.m_facts, "move-1"); });
        });
        run_for(schedule, seconds(5));
        BOOST_TEST(took.has_value(), "CARAWAY_SEED=" << seed);
        // The first node also sends it to the three other data centres.
        BOOST_TEST(sent <= 4 * count + 3, "CARAWAY_SEED=" << seed << " sent " << sent);
        BOOST_TEST(sent >= 3 * count, "CARAWAY_SEED=" << seed);
    }
}

// Guards against nodes that hold different first starts of a restarted name and so choose different
// registrars of a key: all of them, including the restarted process and late joiners, must keep its
// first start.
BOOST_AUTO_TEST_CASE(first_start_of_a_name_is_the_same_everywhere) {
    for (const std::uint64_t seed : schedule_seeds(20)) {
        constexpr std::size_t count = 10;
        node_schedule schedule = make_schedule(count, seed, milliseconds(2), 0.1);
        const std::uint64_t first = schedule.m_nodes[1].m_members.m_self.m_first_incarnation;
        for (std::size_t round = 0; round < 4; ++round) {
            // Some restarts happen before and some after the death is detected.
            run_for(schedule, milliseconds(1'000 + schedule.m_random.below(10'000)));
            // The new node joins through the restarted one, which does not know its first start
            // yet.
            start_node(schedule, 1);
            start_node(schedule, count + round);
            while (schedule.m_nodes[count + round].m_members.m_members.empty()) {
                join_node(schedule, count + round, 1);
            }
            while (schedule.m_nodes[1].m_members.m_members.empty()) {
                join_node(schedule, 1, 2 + schedule.m_random.below(count - 2));
            }
        }
        const auto took = run_until(schedule, seconds(30), [&schedule, first] {
            return std::all_of(
                schedule.m_nodes.begin(), schedule.m_nodes.end(),
                [first](const scheduled_node& node) {
                    const bool self = node.m_members.m_self.m_instance == node_name(1);
                    const tracked_member* found = find_member(node.m_members, node_name(1));
                    const member seen = self    ? node.m_members.m_self
                                        : found ? found->m_member
                                                : member{};
                    return seen.m_first_incarnation == first && seen.m_incarnation > first;
                });
        });
        BOOST_TEST(took.has_value(), "CARAWAY_SEED=" << seed);
        run_for(schedule, seconds(40)); // longer than the interval of table comparisons
        BOOST_TEST(schedule.m_nodes[1].m_members.m_self.m_first_incarnation == first);
        const auto hashes = member_bucket_hashes(schedule.m_nodes[0].m_members);
        for (const scheduled_node& node : schedule.m_nodes) {
            BOOST_TEST((member_bucket_hashes(node.m_members) == hashes), "CARAWAY_SEED=" << seed);
        }
    }
}

// Guards against a new node that stays unknown to the other members. Tables are not exchanged here,
// so the node's own packets must make it known.
BOOST_AUTO_TEST_CASE(unknown_sender_becomes_known) {
    for (const std::uint64_t seed : schedule_seeds(20)) {
        node_schedule schedule = make_schedule(12, seed, milliseconds(2), 0.1);
        schedule.m_exchange = false;
        run_for(schedule, seconds(40));
        start_node(schedule, 12);
        while (schedule.m_nodes[12].m_members.m_members.empty()) {
            join_node(schedule, 12, schedule.m_random.below(12));
        }
        const auto took =
            run_until(schedule, seconds(20), [&schedule] { return all_agree(schedule); });
        BOOST_TEST(took.has_value(), "CARAWAY_SEED=" << seed);
    }
}

// Guards against a broken path between two members that is mistaken for a death.
BOOST_AUTO_TEST_CASE(indirect_probes_bridge_a_broken_path) {
    for (const std::uint64_t seed : schedule_seeds(20)) {
        node_schedule schedule = make_schedule(8, seed, milliseconds(2), 0.0);
        const auto usual = schedule.m_link;
        schedule.m_link = [usual](std::size_t from, std::size_t to) {
            return from + to == 1 ? std::nullopt : usual(from, to);
        };
        run_for(schedule, seconds(5));
        std::size_t changes = 0;
        schedule.m_on_change = [&changes](std::size_t, const std::string&) { ++changes; };
        run_for(schedule, seconds(120));
        BOOST_TEST(changes == 0U, "CARAWAY_SEED=" << seed);
    }
}

// Guards against a suspicion time that is too short for a refutation to spread through a large
// mesh.
BOOST_AUTO_TEST_CASE(suspicion_time_grows_with_the_logarithm_of_the_table) {
    std::vector<double> times;
    for (const std::size_t count : {8U, 98U, 998U, 9'998U}) {
        time_point now{std::chrono::hours(1)};
        membership_table table = make_membership(node_entry(count, 1), {}, 1, now);
        std::vector<member> others;
        for (std::size_t index = 0; index < count; ++index) {
            others.push_back(node_entry(index, 1));
        }
        membership_merge(table, others, now);
        // No member answers, so the first member that is suspected is the first to be declared
        // dead.
        std::optional<time_point> suspected;
        std::optional<time_point> dead;
        while (!dead) {
            now += milliseconds(50);
            for (const membership_action& action : membership_tick(table, now)) {
                if (action.m_kind != membership_action::kind::member_changed) {
                    continue;
                }
                suspected = suspected.value_or(now);
                if (find_member(table, action.m_instance)->m_member.m_state == member_state::dead) {
                    dead = now;
                }
            }
        }
        times.push_back(std::chrono::duration<double>(*dead - *suspected).count());
    }
    BOOST_TEST(times[0] >= 2.5);
    for (std::size_t i = 1; i < times.size(); ++i) {
        BOOST_TEST(times[i] / times[0] > 0.9 * static_cast<double>(i + 1));
        BOOST_TEST(times[i] / times[0] < 1.1 * static_cast<double>(i + 1));
    }
}

BOOST_AUTO_TEST_SUITE_END()
