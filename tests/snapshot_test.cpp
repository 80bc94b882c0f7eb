// Tests of the routing snapshot.
#include "config/mesh.hpp"
#include "node/snapshot_builder.hpp"
#include "tests/support.hpp"

using namespace caraway;

namespace {

constexpr std::string_view text = R"(
format = 1
name = "sample"
[data_centre.north]
[data_centre.south]
out = true
[service.pour]
version = "1"
[service.pour.move]
to = "2"
deadline = 2030-01-01T00:00:00Z
[[route]]
path = "/pour"
service = "pour"
timeout = "1s"
)";

member make_member(const std::string& name, const std::string& data_centre,
                   const std::string& version) {
    member out;
    out.m_instance = name;
    out.m_first_incarnation = 1'000 + name.size();
    out.m_data_centre = data_centre;
    out.m_service = "pour";
    out.m_version = version;
    out.m_ready = true;
    return out;
}

struct snapshot_fixture {
    snapshot_fixture() : m_members(make_membership(make_member("self", "north", "1"), {}, 1, {})) {
        std::vector<text_fault> faults;
        auto parsed = parse_mesh(text, wall_time{}, nullptr, faults);
        BOOST_REQUIRE(parsed);
        m_mesh = std::make_shared<const mesh>(std::move(*parsed));
        m_pour_move_id = move_id("pour", *m_mesh->m_services.at("pour").m_move);
    }
    void add(const member& value) {
        tracked_member tracked;
        tracked.m_member = value;
        m_members.m_members[value.m_instance] = tracked;
    }
    std::shared_ptr<const routing_snapshot> build() {
        snapshot_input input{3, true, false, m_mesh, &m_members, &m_facts, {}, {}, {}};
        return build_snapshot(input, m_counters);
    }

    std::shared_ptr<const mesh> m_mesh;
    std::string m_pour_move_id;
    membership_table m_members;
    fact_table m_facts;
    counter_map m_counters;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(snapshot, snapshot_fixture)

// Guards against routing new work to a data centre that is out, or to dead, departed or starting
// instances. Dead instances must still count as registrars of idempotency keys.
BOOST_AUTO_TEST_CASE(only_usable_instances_are_backends) {
    add(make_member("usable", "north", "1"));
    add(make_member("out", "south", "1"));
    member dead = make_member("dead", "north", "1");
    dead.m_state = member_state::dead;
    add(dead);
    member left = make_member("left", "north", "1");
    left.m_state = member_state::left;
    add(left);
    member starting = make_member("starting", "north", "1");
    starting.m_ready = false;
    add(starting);
    const auto built = build();
    std::vector<std::string> names;
    for (const backend_view& view : built->m_services.at("pour").m_backends) {
        names.push_back(view.m_instance);
    }
    BOOST_TEST(names == (std::vector<std::string>{"self", "usable"}),
               boost::test_tools::per_element());
    const auto& registrars = built->m_services.at("pour").m_members;
    BOOST_TEST(std::count(registrars.begin(), registrars.end(), known_instance{"dead", 1'004}) ==
               1);
    BOOST_TEST(std::count(registrars.begin(), registrars.end(), known_instance{"left", 1'004}) ==
               0);
    BOOST_TEST(std::count(registrars.begin(), registrars.end(), known_instance{"self", 1'004}) ==
               1);
    BOOST_TEST(!built->m_member_traffic.contains("dead"));
}

// Guards against routing calls to a suspended version, and against a backend server that accepts
// work although its version or its data centre must not serve.
BOOST_AUTO_TEST_CASE(suspension_stops_the_new_version) {
    move_record record;
    record.m_move_id = m_pour_move_id;
    record.m_service = "pour";
    record.m_weight_permille = 50;
    record.m_revision = 4;
    merge_record(m_facts, record);
    BOOST_TEST(build()->m_services.at("pour").m_new_weight_permille == 50U);
    const member newer = make_member("self", "north", "2");
    BOOST_TEST((own_refusal(*m_mesh, newer, m_facts, false) == error_kind::none));
    merge_suspension(m_facts, {m_pour_move_id, "pour", "2", "a", "fails", 1});
    BOOST_TEST(build()->m_services.at("pour").m_new_weight_permille == 0U);
    BOOST_TEST((own_refusal(*m_mesh, newer, m_facts, false) == error_kind::version_suspended));
    const member unknown = make_member("self", "north", "3");
    BOOST_TEST((own_refusal(*m_mesh, unknown, m_facts, false) == error_kind::version_not_served));
    const member out = make_member("self", "south", "1");
    BOOST_TEST((own_refusal(*m_mesh, out, m_facts, false) == error_kind::data_centre_out));
}

BOOST_AUTO_TEST_SUITE_END()
