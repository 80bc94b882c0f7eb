// Tests of the selection of entry points. A slot is a stored name with the address of one node. The
// nodes that watch the store replace the address of a lost node.
#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "decide/membership/entry_points.hpp"
#include "tests/node_schedule.hpp"
#include "tests/support.hpp"

using namespace caraway;

namespace {

// Returns the entry point of a node under the given slot.
entry_point entry_of(std::size_t index, const std::string& slot) {
    return {"dc-" + std::to_string(index % 4), slot, node_entry(index, 1).m_bulk};
}

} // namespace

BOOST_AUTO_TEST_SUITE(entry_points)

// Guards against a list of entry points that grows with the number of members: each data centre has
// eight slots.
BOOST_AUTO_TEST_CASE(slots_do_not_grow_with_the_members) {
    std::set<std::string> slots;
    for (std::size_t index = 0; index < 14'000; ++index) {
        slots.insert(slot_of(node_name(index)));
    }
    BOOST_TEST(slots.size() == 8U);
}

// Guards against many joining nodes that load other data centres, and against a small data centre
// whose few entry points are all gone.
BOOST_AUTO_TEST_CASE(own_data_centre_is_preferred_when_it_has_enough) {
    std::vector<entry_point> all;
    for (std::size_t index = 0; index < 24; ++index) {
        all.push_back(entry_of(index, std::to_string(index / 4)));
    }
    BOOST_TEST(join_entry_points(all, "dc-1").size() == 6U);
    BOOST_TEST(join_entry_points(std::span(all).first(16), "dc-1").size() == 16U);
    BOOST_TEST(join_entry_points(all, "").size() == 24U);
}

// Guards against nodes that started together, know only each other and never find the others: entry
// points that belong to no known member must be returned.
BOOST_AUTO_TEST_CASE(unknown_entry_points_are_returned) {
    node_schedule schedule = make_schedule(4, 1, milliseconds(1), 0);
    const std::vector<entry_point> all{entry_of(1, "0"), entry_of(2, "0"), entry_of(7, "1")};
    membership_table& table = schedule.m_nodes[0].m_members;
    BOOST_TEST(
        (unknown_entry_points(table, all) == std::vector<ip_endpoint>{node_entry(7, 1).m_bulk}));
}

// Guards against slots that keep the address of a lost instance, and against nodes that choose
// different members for the same slot.
BOOST_AUTO_TEST_CASE(slots_of_lost_instances_get_a_live_member) {
    node_schedule schedule = make_schedule(16, 1, milliseconds(1), 0);
    const std::vector<entry_point> all{entry_of(4, "0"), entry_of(100, "1"), entry_of(101, "2")};
    const membership_table& first = schedule.m_nodes[0].m_members;
    BOOST_TEST((unknown_slots(first, all) == std::vector<std::string>{"1"}));
    const member& named = member_for_slot(first, "1");
    BOOST_TEST(named.m_data_centre == "dc-0");
    BOOST_TEST(named.m_instance == member_for_slot(schedule.m_nodes[8].m_members, "1").m_instance);
}

// Guards against entry points that a restored store lacks and that nobody writes again, and against
// slots that no member would fill.
BOOST_AUTO_TEST_CASE(lost_entry_points_are_written_again) {
    node_schedule schedule = make_schedule(16, 1, milliseconds(1), 0);
    const membership_table& table = schedule.m_nodes[0].m_members;
    const std::vector<std::string> all = missing_slots(table, {});
    BOOST_REQUIRE(all.size() > 1);
    const std::string own = slot_of(table.m_self.m_instance);
    BOOST_TEST(std::count(all.begin(), all.end(), own) == 1);
    BOOST_TEST(missing_slots(table, all).empty());
    const std::vector<std::string> others(all.begin() + 1, all.end());
    BOOST_TEST((missing_slots(table, others) == std::vector<std::string>{all.front()}));
}

// Guards against calls to the store that grow with the number of data centres, and against so few
// watchers that the store rejects all of them.
BOOST_AUTO_TEST_CASE(watchers_are_few_but_enough_in_total) {
    BOOST_TEST(watchers_per_data_centre(1) == 6U);
    BOOST_TEST(watchers_per_data_centre(3) == 2U);
    BOOST_TEST(watchers_per_data_centre(4) == 2U);
    BOOST_TEST(watchers_per_data_centre(6) == 1U);
    BOOST_TEST(watchers_per_data_centre(8) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
