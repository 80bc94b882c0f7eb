// Tests that facts merge to the same table in every order of arrival.
#include <algorithm>
#include <string>
#include <vector>

#include "decide/versions/facts.hpp"
#include "tests/node_schedule.hpp"
#include "tests/support.hpp"

using namespace caraway;

namespace {

suspension random_suspension(random_source& random) {
    suspension value;
    value.m_move_id = "move-" + std::to_string(random.below(6));
    value.m_service = "surveys";
    value.m_version = "2.0";
    value.m_instance = node_name(random.below(3));
    value.m_reason = random.below(2) == 0 ? "failures" : "latency";
    value.m_at_ms = static_cast<std::int64_t>(random.below(4));
    return value;
}

// Returns a record with the given revision. The caller gives each record another one, as the store
// does.
move_record random_record(random_source& random, std::uint64_t revision) {
    move_record value;
    value.m_service = "service-" + std::to_string(random.below(3));
    value.m_move_id = value.m_service + "-move-" + std::to_string(random.below(2));
    value.m_weight_permille = static_cast<std::uint32_t>(random.below(1'001));
    value.m_state = static_cast<move_state>(random.below(3));
    value.m_revision = revision;
    value.m_excluded_versions.assign(random.below(3), std::to_string(random.below(3)));
    return value;
}

bool same(const fact_table& left, const fact_table& right) {
    return left.m_suspensions == right.m_suspensions && left.m_records == right.m_records &&
           left.m_service_by_move == right.m_service_by_move;
}

} // namespace

BOOST_AUTO_TEST_SUITE(facts)

// Guards against tables that differ permanently after a partition, against a suspension that is
// lifted, and against a record that falls back to an earlier revision.
BOOST_AUTO_TEST_CASE(facts_converge_in_any_order) {
    for (const std::uint64_t seed : schedule_seeds(1'000)) {
        random_source random(seed);
        std::vector<suspension> suspensions;
        std::vector<move_record> records;
        for (std::uint64_t i = 1; i <= 12; ++i) {
            suspensions.push_back(random_suspension(random));
            records.push_back(random_record(random, i));
        }
        std::vector<fact_table> tables(3);
        for (fact_table& table : tables) {
            std::vector<std::size_t> order;
            for (std::size_t i = 0; i < 24; ++i) {
                order.insert(order.end(), 1 + random.below(3), i);
            }
            for (std::size_t i = order.size(); i > 1; --i) {
                std::swap(order[i - 1], order[random.below(i)]);
            }
            for (const std::size_t i : order) {
                const fact_table before = table;
                const bool changed = i < 12 ? merge_suspension(table, suspensions[i])
                                            : merge_record(table, records[i - 12]);
                BOOST_REQUIRE(changed != same(before, table));
                for (const auto& [move, value] : before.m_suspensions) {
                    BOOST_REQUIRE(is_suspended(table, move));
                    BOOST_REQUIRE(new_version_weight_permille(table, "surveys", move) == 0U);
                }
                for (const auto& [service, value] : before.m_records) {
                    BOOST_REQUIRE(table.m_records.at(service).m_revision >= value.m_revision);
                }
            }
        }
        for (const fact_table& table : tables) {
            BOOST_TEST(same(table, tables[0]), "CARAWAY_SEED=" << seed);
            BOOST_TEST(facts_digest(table) == facts_digest(tables[0]), "CARAWAY_SEED=" << seed);
        }
        for (const auto& [service, value] : tables[0].m_records) {
            BOOST_TEST(is_suspended(tables[0], value.m_move_id) ==
                       (value.m_state == move_state::taken_back));
        }
    }
}

// Guards against a digest that hides a missing fact, against suspensions of old moves that are
// never dropped, and against records of retired services that fill the table.
BOOST_AUTO_TEST_CASE(digest_shows_every_difference_and_pruning_drops_old_facts) {
    random_source random(1);
    fact_table table;
    std::vector<std::uint64_t> digests{facts_digest(table)};
    for (std::uint64_t i = 1; i <= 40; ++i) {
        const bool changed =
            i % 2 == 0
                ? merge_record(table, random_record(random, i))
                : table.m_suspensions.size() < 6 &&
                      !table.m_suspensions.contains("move-" + std::to_string(i / 2 % 6)) &&
                      merge_suspension(table, {"move-" + std::to_string(i / 2 % 6), "surveys",
                                               "2.0", "node-00000", "failures", 1});
        if (changed) {
            BOOST_TEST(std::count(digests.begin(), digests.end(), facts_digest(table)) == 0);
            digests.push_back(facts_digest(table));
        }
    }
    const service_filter none_listed = [](std::string_view) { return false; };
    const auto records = table.m_records;
    prune_facts(table, {"move-1"}, none_listed);
    BOOST_TEST(table.m_suspensions.size() == 1U);
    BOOST_TEST((table.m_records == records));
    BOOST_TEST(table.m_service_by_move.size() == records.size());
    for (std::size_t i = 0; i < 2 * max_unlisted_records; ++i) {
        move_record retired;
        retired.m_service = "retired-" + std::to_string(i);
        retired.m_move_id = "move-of-" + retired.m_service;
        retired.m_revision = 1'000 + i;
        merge_record(table, retired);
    }
    prune_facts(table, {"move-1"}, [](std::string_view service) { return service == "retired-0"; });
    BOOST_TEST(table.m_records.size() == max_unlisted_records + 1);
    BOOST_TEST(table.m_service_by_move.size() == max_unlisted_records + 1);
    BOOST_TEST(table.m_records.contains("retired-0"));
    BOOST_TEST(!table.m_records.contains("retired-1"));
    BOOST_TEST(table.m_records.contains("retired-1999"));
}

BOOST_AUTO_TEST_SUITE_END()
