// Tests of the copies of a node's entry, and of the departures that it names.
#include "decide/membership/replication.hpp"
#include "decide/membership/server_departure.hpp"
#include "tests/node_schedule.hpp"
#include "tests/support.hpp"

using namespace caraway;

namespace {

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
    BOOST_TEST(!has_departed(server_departure{}, "", 0));
}

// Guards against an incarnation that counts as departed no longer because others departed after it,
// and against a list that grows without bound.
BOOST_AUTO_TEST_CASE(the_last_departures_are_kept) {
    std::vector<server_departure> departures;
    for (std::int64_t i = 0; i < 20; ++i) {
        add_departure(departures, {"s" + std::to_string(i), 100 + i});
        add_departure(departures, {"s" + std::to_string(i), 100 + i});
    }
    add_departure(departures, {});
    BOOST_TEST(departures.size() == max_departures);
    BOOST_TEST(has_departed(departures, "s19", 119));
    BOOST_TEST(has_departed(departures, "s12", 112));
    BOOST_TEST(!has_departed(departures, "s11", 111));
    BOOST_TEST(!has_departed(departures, "s19", 120));
    BOOST_TEST(!has_departed(departures, "", 0));
}

// Guards against a stored departure that is read as another one, and against one of another writer
// that ends the node.
BOOST_AUTO_TEST_CASE(stored_departures_round_trip) {
    const server_departure departure{"i-\"7\n", 1'700'000'000'123};
    BOOST_TEST((decode_departure(encode_departure(departure)) == departure));
    for (const std::string_view text :
         {"", "[]", "7", "{}", R"({"server":"a"})", R"({"server":"a","started_ms":"1"})",
          R"({"server":"a","started_ms":1.5})", R"({"server":"","started_ms":1})",
          R"({"server":7,"started_ms":1})", R"({"server":"a","started_ms":1)"}) {
        BOOST_TEST(!decode_departure(text), text);
    }
}

// Guards against calls to a server before the departures are known that a predecessor has
// acknowledged: 10 to 19 of 40 calls reached a server that had left. A fresh member knows no more
// than this process, so only the store, or a member that knew the predecessor, can tell.
BOOST_AUTO_TEST_CASE(departures_are_known_from_the_store_a_member_or_by_time) {
    using enum departure_source;
    const time_point start{std::chrono::seconds(100)};
    predecessor_knowledge knowledge{start, {}, false, false, false};
    const auto source_after = [&](int ms) {
        return departures_known_by(knowledge, start + milliseconds(ms));
    };
    BOOST_TEST((source_after(5'999) == none));
    BOOST_TEST((source_after(6'000) == time));
    knowledge.m_member_told = true;
    BOOST_TEST((source_after(5'999) == none)); // the store was not asked yet
    knowledge.m_requested = start + milliseconds(300);
    BOOST_TEST((source_after(1'299) == none)); // it may still answer
    BOOST_TEST((source_after(1'300) == member));
    knowledge.m_member_told = false;
    BOOST_TEST((source_after(1'300) == none));
    knowledge.m_read = true;
    BOOST_TEST((source_after(301) == none)); // members may know what a restoration has lost
    knowledge.m_joined = true;
    BOOST_TEST((source_after(301) == store));
    BOOST_TEST((source_after(9'000) == store));
}

// Guards against a mesh that starts as a whole and asks the store for more than it serves, and
// against a delay for a single node that restarts.
BOOST_AUTO_TEST_CASE(requests_of_a_starting_mesh_are_spread) {
    BOOST_TEST((departure_request_delay(true, 14'000, 0.9) == milliseconds(0)));
    BOOST_TEST((departure_request_delay(false, 10, 0.99) < milliseconds(10)));
    std::map<std::int64_t, int> requests_in_second;
    for (int i = 0; i < 14'000; ++i) {
        const milliseconds delay = departure_request_delay(false, 14'000, i / 14'000.0);
        ++requests_in_second[delay.count() / 1'000];
    }
    for (const auto& [second, requests] : requests_in_second) {
        BOOST_TEST(requests <= 2'000, "second " << second);
    }
}

BOOST_AUTO_TEST_SUITE_END()
