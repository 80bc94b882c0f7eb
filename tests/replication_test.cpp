// Tests of the copies on which a node's promises rest.
#include "decide/membership/replication.hpp"
#include "decide/membership/server_departure.hpp"
#include "tests/node_schedule.hpp"
#include "tests/support.hpp"

using namespace caraway;

namespace {

// Returns the results of the replies, in order, to copies that were sent at a time.
std::vector<replication_result> results_of(const std::vector<bool>& confirmed) {
    replication_round round = begin_round(confirmed.size());
    std::vector<replication_result> results;
    results.reserve(confirmed.size());
    for (const bool reply : confirmed) {
        results.push_back(count_reply(round, reply));
    }
    return results;
}

// Returns the table of a node with live members, of which every fourth is in its data centre.
membership_table table_with(std::size_t members) {
    membership_table table = make_membership(node_entry(0, 1), {}, 1, time_point{});
    std::vector<member> others;
    for (std::size_t i = 1; i <= members; ++i) {
        others.push_back(node_entry(i, 1));
    }
    membership_merge(table, others, time_point{});
    return table;
}

} // namespace

BOOST_AUTO_TEST_SUITE(replication)

// Guards against a promise given with too few copies, given twice, or withheld although enough
// members have confirmed.
BOOST_AUTO_TEST_CASE(a_round_is_decided_once) {
    using enum replication_result;
    using results = std::vector<replication_result>;
    BOOST_TEST((results_of({true, true, true}) == results{pending, done, pending}));
    BOOST_TEST((results_of({true, false, true}) == results{pending, pending, done}));
    BOOST_TEST((results_of({false, false, true}) == results{pending, failed, pending}));
    BOOST_TEST((results_of({false, true, false}) == results{pending, pending, failed}));
    BOOST_TEST((results_of({true, false}) == results{pending, failed}));
    BOOST_TEST((results_of({true}) == results{done}));
    BOOST_TEST((results_of({false}) == results{failed}));
}

// Guards against copies that a single data centre holds, and against a node that counts itself.
BOOST_AUTO_TEST_CASE(copies_go_to_live_members_and_to_another_data_centre) {
    random_source random(1);
    BOOST_TEST(choose_replicas(table_with(0), random).empty());
    BOOST_TEST(choose_replicas(table_with(1), random).size() == 1U);
    const membership_table table = table_with(40);
    for (int round = 0; round < 50; ++round) {
        const std::vector<ip_endpoint> replicas = choose_replicas(table, random);
        BOOST_TEST(replicas.size() == max_replicas);
        BOOST_TEST(std::any_of(replicas.begin(), replicas.end(), [](const ip_endpoint& replica) {
            return node_index(replica) % 4 != 0;
        }));
        BOOST_TEST(
            (std::set<ip_endpoint>(replicas.begin(), replicas.end()).size() == replicas.size()));
    }
}

// Guards against a departure that is lost with the process that acknowledged it: the copies must
// survive newer entries of the instance, and reach its next process in any order.
BOOST_AUTO_TEST_CASE(restarted_node_learns_the_departure_of_its_predecessor) {
    member before = node_entry(1, 10);
    before.m_departure = {"i-7", 100};
    membership_table replica = make_membership(node_entry(0, 1), {}, 1, time_point{});
    membership_merge(replica, std::vector{before}, time_point{});
    const member after = node_entry(1, 20);
    membership_merge(replica, std::vector{after}, time_point{});
    const tracked_member* kept = find_member(replica, node_name(1));
    BOOST_REQUIRE(kept);
    BOOST_TEST((kept->m_member.m_departure == before.m_departure));
    BOOST_TEST(kept->m_member.m_incarnation == 20U);

    membership_table restarted = make_membership(after, {}, 1, time_point{});
    membership_merge(restarted, std::vector{kept->m_member}, time_point{});
    BOOST_TEST((restarted.m_self.m_departure == before.m_departure));
    membership_merge(restarted, std::vector{after}, time_point{});
    BOOST_TEST((restarted.m_self.m_departure == before.m_departure));
}

// Guards against members that keep different departures after the same news in different orders.
BOOST_AUTO_TEST_CASE(the_later_departure_wins_in_any_order) {
    const server_departure early{"b", 100};
    const server_departure late{"a", 200};
    const server_departure tied{"c", 200};
    BOOST_TEST((later_departure(early, late) == late));
    BOOST_TEST((later_departure(late, early) == late));
    BOOST_TEST((later_departure(late, tied) == later_departure(tied, late)));
    BOOST_TEST((later_departure({}, early) == early));
    BOOST_TEST(has_departed(early, "b", 100));
    BOOST_TEST(has_departed(early, "b", 99));
    BOOST_TEST(!has_departed(early, "b", 101));
    BOOST_TEST(!has_departed(early, "x", 100));
    BOOST_TEST(!has_departed({}, "", 0));
}

BOOST_AUTO_TEST_SUITE_END()
