// Tests of what a node knows of a service's versions over a sequence of orders, where the
// configuration doesn't name the version that serves.
#include "decide/versions/version_move.hpp"
#include "node/snapshot_builder.hpp"
#include "tests/support.hpp"

using namespace caraway;

namespace {

const wall_time order_time{milliseconds(1'700'000'000'000)};

// One service whose versions are moved by orders, as a node beside each of its servers sees it.
struct ordered_service {
    ordered_service() {
        m_config.m_lists_data_centres = false;
        m_config.m_services["pour"].m_name = "pour";
    }

    std::optional<move_spec>& order_in_force() { return m_config.m_services["pour"].m_move; }

    // Puts an order in force whose move has no record yet.
    void order(const std::string& version) {
        order_in_force() = move_spec{version, {}, ++m_revision, std::chrono::seconds(16)};
        put_in_force();
    }
    void delete_order() {
        order_in_force().reset();
        put_in_force();
    }
    // Writes the first record of the move, and then another one with the state.
    void move(const std::string& version, move_state state) {
        order(version);
        move_record record = start_move(move_id("pour", *order_in_force()), "pour", "", version,
                                        order_time + std::chrono::seconds(16), "a", order_time,
                                        excluded_versions(m_facts, "pour"));
        record.m_revision = ++m_revision;
        merge_record(m_facts, record);
        record.m_state = state;
        record.m_revision = ++m_revision;
        merge_record(m_facts, record);
    }
    void put_in_force() {
        std::vector<std::string> moves;
        const auto service = m_config.m_services.find("pour");
        if (service != m_config.m_services.end() && service->second.m_move) {
            moves.push_back(move_id("pour", *service->second.m_move));
        }
        note_replaced_orders(m_facts, m_before, m_config);
        m_before = m_config;
        prune_facts(m_facts, moves,
                    [this](std::string_view name) { return m_config.m_services.contains(name); });
    }
    // Replaces the facts by those that a node gets from the store after a restart of all nodes.
    void restart() {
        const move_record record = m_facts.m_records.at("pour");
        m_facts = {};
        merge_record(m_facts, decode_move(encode_move(record), record.m_revision).value());
    }
    // Returns why a server of the version gets no calls.
    error_kind refusal(const std::string& version) const {
        member self;
        self.m_service = "pour";
        self.m_version = version;
        return own_refusal(m_config, self, m_facts, false);
    }
    // Returns the given versions that serve as old ones.
    std::string old_versions() const {
        std::string out;
        for (const std::string version : {"v1", "v2", "v3", "v4"}) {
            const auto excluded = excluded_versions(m_facts, "pour");
            if (is_old_version(m_config.m_services.at("pour"), version, excluded)) {
                out += version + " ";
            }
        }
        return out;
    }

    mesh m_config;
    mesh m_before; // in force before the last change
    fact_table m_facts;
    std::uint64_t m_revision = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(version_knowledge, ordered_service)

// Guards against calls to a version that was taken back, as soon as the next order is in force:
// 243 of 1,256 calls reached it.
BOOST_AUTO_TEST_CASE(a_version_taken_back_stays_excluded_after_the_next_order) {
    move("v2", move_state::taken_back);
    order("v3"); // no record yet
    BOOST_TEST(old_versions() == "v1 v4 ");
    BOOST_TEST((refusal("v2") == error_kind::version_suspended));
    BOOST_TEST((refusal("v1") == error_kind::none));
    move("v3", move_state::taken_back);
    order("v4");
    BOOST_TEST(old_versions() == "v1 ");
    BOOST_TEST((refusal("v3") == error_kind::version_suspended));
    move("v4", move_state::done);
    BOOST_TEST(old_versions() == "v1 "); // v4 is the target
    BOOST_TEST((refusal("v2") == error_kind::version_suspended));
    order("v5");
    BOOST_TEST(old_versions() == "v1 v4 ");
}

// Guards against full traffic for a version of which nothing is known yet, because its order was
// replaced or deleted while its move was running.
BOOST_AUTO_TEST_CASE(a_version_whose_move_did_not_end_is_excluded) {
    move("v2", move_state::running);
    order("v3");
    BOOST_TEST(old_versions() == "v1 v4 ");
    move("v3", move_state::running);
    delete_order();
    BOOST_TEST(old_versions() == "v1 v4 ");
    BOOST_TEST((refusal("v3") == error_kind::version_suspended));
}

// Guards against full traffic for a version whose order was replaced or deleted so soon that its
// move had no record yet, also while a later record names other versions.
BOOST_AUTO_TEST_CASE(a_version_whose_order_had_no_record_is_excluded) {
    order("v2");
    order("v3");
    BOOST_TEST(old_versions() == "v1 v4 ");
    BOOST_TEST((refusal("v2") == error_kind::version_suspended));
    move("v3", move_state::done);
    restart();
    BOOST_TEST(old_versions() == "v1 v4 "); // v3 is the target
    order("v4");
    delete_order();
    BOOST_TEST(old_versions() == "v1 v3 ");
    move("v2", move_state::done);
    move("v5", move_state::running);
    BOOST_TEST(old_versions() == "v1 v2 v3 ");
}

// Guards against a good version that a node excludes because it learns of the next move's record
// before it has that move's order.
BOOST_AUTO_TEST_CASE(a_record_that_arrives_before_its_order_says_what_is_excluded) {
    move("v2", move_state::done);
    const mesh order_of_v2 = m_config;
    move("v3", move_state::running);
    // The node has this record, and the order of v3 replaces that of v2 only now.
    m_before = order_of_v2;
    put_in_force();
    BOOST_TEST(old_versions() == "v1 v2 v4 ");
    BOOST_TEST((refusal("v2") == error_kind::none));
}

// Guards against a version that is done and loses its calls when the next order comes, is taken
// back, or all orders are deleted.
BOOST_AUTO_TEST_CASE(a_version_that_is_done_serves_on) {
    move("v2", move_state::done);
    move("v3", move_state::taken_back);
    BOOST_TEST(old_versions() == "v1 v2 v4 ");
    delete_order();
    BOOST_TEST((refusal("v2") == error_kind::none));
    BOOST_TEST((refusal("v3") == error_kind::version_suspended));
}

// Guards against a version that can't be tried again, and against one that serves without a test
// because it was ordered again.
BOOST_AUTO_TEST_CASE(a_version_ordered_again_is_tested_again) {
    move("v2", move_state::taken_back);
    order("v2");
    BOOST_TEST((refusal("v2") == error_kind::none));
    const std::string id = move_id("pour", *order_in_force());
    BOOST_TEST(new_version_weight_permille(m_facts, "pour", id) == 0U);
    move("v2", move_state::running);
    BOOST_TEST(m_facts.m_records.at("pour").m_excluded_versions.empty());
    move("v3", move_state::done);
    BOOST_TEST((refusal("v2") == error_kind::version_suspended));
    move("v2", move_state::done);
    order("v4");
    BOOST_TEST(old_versions() == "v1 v2 v3 ");
}

// Guards against knowledge that is lost while the configuration doesn't list the service, or with
// all processes.
BOOST_AUTO_TEST_CASE(knowledge_outlives_the_service_and_all_processes) {
    move("v2", move_state::taken_back);
    move("v3", move_state::running);
    merge_suspension(m_facts, {move_id("pour", *order_in_force()), "pour", "v3", "a", "fails", 1});
    const service_spec listed = m_config.m_services.at("pour");
    m_config.m_services.clear();
    put_in_force();
    m_config.m_services["pour"] = listed;
    put_in_force();
    BOOST_TEST(old_versions() == "v1 v4 ");
    BOOST_TEST((refusal("v3") == error_kind::version_suspended));
    restart();
    BOOST_TEST(old_versions() == "v1 v4 ");
    BOOST_TEST((refusal("v2") == error_kind::version_suspended));
}

// Guards against a record that grows with every order.
BOOST_AUTO_TEST_CASE(the_excluded_versions_are_bounded) {
    for (std::size_t i = 0; i < 2 * max_excluded_versions; ++i) {
        move("bad-" + std::to_string(i), move_state::taken_back);
    }
    move("v2", move_state::running);
    const std::vector<std::string>& excluded = m_facts.m_records.at("pour").m_excluded_versions;
    BOOST_TEST(excluded.size() == max_excluded_versions);
    BOOST_TEST(excluded.back() == "bad-63");
    restart();
    BOOST_TEST(m_facts.m_records.at("pour").m_excluded_versions.size() == max_excluded_versions);
}

BOOST_AUTO_TEST_SUITE_END()
