// Tests how late a configuration version comes into force on a large fleet, with the decision code
// of all nodes under one clock. The nodes carry no calls, whose headers would spread versions, too.
#include <algorithm>
#include <string>

#include "tests/node_schedule.hpp"
#include "tests/support.hpp"

using namespace caraway;

namespace {

// The time from the acknowledgement of a version until every node must have it in force, in the
// deployments with the largest fleets.
constexpr milliseconds apply_limit{3'000};
constexpr std::size_t fleet_size = 300;
constexpr std::size_t data_centres = 4; // of node_entry
constexpr milliseconds mean_delay{1};
// A member answers a request for a text after four times this delay at the median: it is busy with
// parsing the text itself on a tenth of a core.
constexpr milliseconds mean_fetch_step{75};

node_schedule make_fleet(std::uint64_t seed, double loss) {
    node_schedule schedule = make_schedule(fleet_size, seed, mean_delay, loss);
    schedule.m_bulk = seeded_link(mean_fetch_step, loss, seed + 2);
    schedule.m_store = 1;
    for (std::size_t index = 0; index < fleet_size; ++index) {
        schedule.m_nodes[index].m_config.m_required_replicas = 0; // as on the users' platform
        read_store(schedule, index);
    }
    run_for(schedule, milliseconds(5'000));
    return schedule;
}

// Lets one watcher of each data centre read the next version, and returns the time until it is in
// force on all running nodes.
std::optional<duration> time_until_in_force(node_schedule& schedule, std::size_t watcher) {
    ++schedule.m_store;
    for (std::size_t index = watcher; index < watcher + data_centres; ++index) {
        read_store(schedule, index);
    }
    return run_until(schedule, apply_limit,
                     [&schedule] { return all_applied(schedule, schedule.m_store); });
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_configuration)

// Guards against a version that reaches a node too late because packets are lost, or because the
// members that spread it, or that are asked for its text, have just been killed.
BOOST_AUTO_TEST_CASE(a_version_is_in_force_on_every_node_in_time) {
    for (const std::uint64_t seed : schedule_seeds(4)) {
        for (const double loss : {0.0, 0.05}) {
            node_schedule schedule = make_fleet(seed, loss);
            BOOST_TEST(time_until_in_force(schedule, 0).has_value(),
                       "all nodes alive, loss " << loss << ", seed " << seed);
            // A sixth of the nodes is killed at once, the watchers among them.
            for (std::size_t index = 0; index < fleet_size / 6; ++index) {
                schedule.m_nodes[index].m_up = false;
            }
            BOOST_TEST(time_until_in_force(schedule, fleet_size / 2).has_value(),
                       "a sixth killed, loss " << loss << ", seed " << seed);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
