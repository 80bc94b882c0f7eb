// Tests that a store that was restored from a copy takes nothing back that was in force. A model of
// the store is restored at every step of a schedule of writes and reads.
#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "decide/versions/facts.hpp"
#include "decide/versions/version_move.hpp"
#include "store/store_era.hpp"
#include "tests/restored_store_model.hpp"
#include "tests/support.hpp"

using namespace caraway;

namespace {

const std::vector<operator_write> schedule{
    {config_key, config_value(1)}, {evacuation_key, "{}"},        {order_key, order_value(2)},
    {config_key, config_value(2)}, {evacuation_key, {}},          {order_key, order_value(3)},
    {evacuation_key, "{}"},        {config_key, config_value(3)}, {order_key, {}},
    {order_key, order_value(4)},   {config_key, config_value(4)}};

// Lets the node that writes the markers read the store.
void read(store_model& store, reading_node& node) {
    node.receive(store.read());
    store.write_marker();
}

// Writes a change, which the node reads at once.
void change(store_model& store, reading_node& node, const operator_write& write) {
    store.write(write);
    read(store, node);
}

// Lets the operators write again everything that they wrote: the last value of each key, and its
// deletion if that came last.
void write_again(store_model& store, std::size_t written) {
    std::map<std::string, std::string> last;
    for (std::size_t i = 0; i < written; ++i) {
        last[schedule[i].m_key] = schedule[i].m_value;
    }
    for (const auto& [key, value] : last) {
        store.write({key, value});
    }
}

// Runs one restoration: the copy is made after `copied` writes and brought back after `written`. A
// node that has read every write, and one that has not read the last `lag` ones, go through it.
void run_restoration(std::size_t copied, std::size_t written, std::size_t lag) {
    BOOST_TEST_CONTEXT("copied " << copied << " written " << written << " lag " << lag) {
        store_model store;
        store_model copy;
        reading_node node;
        reading_node lagging;
        config_text late_answer;
        for (std::size_t i = 0; i < written; ++i) {
            if (i == copied) {
                copy = store;
            }
            store.write(schedule[i]);
            late_answer = store.read();
            read(store, node);
            if (i + lag < written) {
                lagging.receive(late_answer);
            }
        }
        const item_map before = node.m_in_force;
        BOOST_REQUIRE(values(before) == values(store.m_items));
        store = copy;
        store.m_era = 1;
        const auto read_both = [&] {
            read(store, node);
            lagging.receive(store.read());
            node.receive(late_answer);
            lagging.receive(late_answer);
            const kept_items exchanged = node.m_kept.m_table;
            node.merge(lagging.m_kept.m_table);
            lagging.merge(exchanged);
        };
        read_both();
        BOOST_TEST((values(node.m_in_force) == values(before)));
        BOOST_TEST((values(lagging.m_in_force) == values(before)));
        // A node that knows only the copy learns the rest from a member.
        reading_node started;
        started.receive(store.read());
        started.merge(node.m_kept.m_table);
        BOOST_TEST((values(started.m_in_force) == values(before)));

        const auto check_order_continues = [&before](const reading_node& checked) {
            const auto order = before.find(order_key);
            const auto now = checked.m_in_force.find(order_key);
            BOOST_REQUIRE((order == before.end()) == (now == checked.m_in_force.end()));
            if (order != before.end()) {
                BOOST_TEST(now->second.m_revision == order->second.m_revision);
            }
        };
        write_again(store, written);
        read_both();
        started.receive(store.read());
        started.merge(node.m_kept.m_table);
        for (const reading_node* checked : {&node, &lagging, &started}) {
            BOOST_TEST((values(checked->m_in_force) == values(before)));
            check_order_continues(*checked);
        }
        // Later changes are in force, though their revisions had been assigned before.
        store.write({evacuation_key, "{}"});
        read_both();
        BOOST_TEST(node.m_in_force.contains(evacuation_key));
        for (const operator_write& write :
             {operator_write{evacuation_key, {}}, operator_write{order_key, order_value(7)},
              operator_write{config_key, config_value(9)}, operator_write{order_key, {}}}) {
            store.write(write);
            read_both();
            started.receive(store.read());
            BOOST_TEST((values(node.m_in_force) == values(store.m_items)));
            BOOST_TEST((values(lagging.m_in_force) == values(store.m_items)));
            BOOST_TEST((values(started.m_in_force) == values(store.m_items)));
        }
    }
}

kept_items make_table(std::uint64_t base, std::vector<std::pair<std::string, kept_item>> items) {
    return {1, base, {items.begin(), items.end()}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(restored_store)

// Guards against a configuration, an evacuation or a move order that returns to an older state at a
// restoration, against a deletion that is undone, against a change after it that is never in force,
// and against a move that starts again because its order was written again.
BOOST_AUTO_TEST_CASE(nothing_in_force_reverts_at_any_step) {
    for (std::size_t written = 1; written <= schedule.size(); ++written) {
        for (std::size_t copied = 0; copied < written; ++copied) {
            for (std::size_t lag = 0; lag < std::min<std::size_t>(written, 3); ++lag) {
                run_restoration(copied, written, lag);
            }
        }
    }
}

// Guards against the same at a second restoration, when the first one's items are still kept.
BOOST_AUTO_TEST_CASE(kept_items_outlive_a_second_restoration) {
    store_model store;
    reading_node node;
    store.write(schedule[0]);
    const store_model copy = store;
    for (std::size_t i = 1; i < 4; ++i) {
        store.write(schedule[i]);
        read(store, node);
    }
    const auto before = values(node.m_in_force);
    for (std::uint64_t era = 1; era <= 3; ++era) {
        store = copy;
        store.m_era = era;
        store.write({"op/unrelated", std::to_string(era)});
        read(store, node);
        auto in_force = values(node.m_in_force);
        in_force.erase("op/unrelated");
        BOOST_TEST((in_force == before), "era " << era);
    }
    store.write({evacuation_key, "{}"});
    read(store, node);
    store.write({evacuation_key, {}});
    read(store, node);
    BOOST_TEST(!node.m_in_force.contains(evacuation_key));
}

// Guards against an order that is taken for one of the copy because its revision is lower than that
// of the order in force.
BOOST_AUTO_TEST_CASE(an_order_of_the_operators_replaces_the_kept_one) {
    store_model store;
    reading_node node;
    store.write({config_key, config_value(1)});
    read(store, node);
    const store_model copy = store;
    for (unsigned target = 2; target <= 5; ++target) {
        store.write({order_key, order_value(target)});
        read(store, node);
    }
    store = copy;
    store.m_era = 1;
    store.write({order_key, order_value(8)});
    read(store, node); // the first text of the era already holds the new order
    BOOST_TEST(node.m_in_force.at(order_key).m_value == order_value(8));
}

// Guards against the order of a copy that is older than all texts a node has held: it counted as a
// new one.
BOOST_AUTO_TEST_CASE(an_order_from_before_the_history_is_the_copys) {
    store_model store;
    reading_node node;
    store.write({config_key, config_value(1)});
    store.write({order_key, order_value(2)});
    store.write_marker(); // by another node
    const store_model copy = store;
    store.write({order_key, order_value(3)});
    read(store, node); // it starts only now
    store = copy;
    store.m_era = 1;
    read(store, node);
    BOOST_TEST(node.m_in_force.at(order_key).m_value == order_value(3));
}

// Guards against an evacuation that stays in force although the operators ended it between the
// restoration and the first list: another item of the list shows that the copy held it.
BOOST_AUTO_TEST_CASE(a_deletion_before_the_first_list_is_a_change) {
    store_model store;
    reading_node node;
    store.write({evacuation_key, "{}"});
    store.write({config_key, config_value(1)});
    read(store, node);
    const store_model copy = store;
    store.write({order_key, order_value(2)});
    read(store, node);
    store = copy;
    store.m_era = 1;
    store.write({evacuation_key, {}});
    read(store, node);
    BOOST_TEST(!node.m_in_force.contains(evacuation_key));
    BOOST_TEST(node.m_in_force.contains(order_key));
}

// Guards against an evacuation that is taken for one of the copy, and stays without effect, because
// the store gave it the revision of an earlier one with the same value, or a lower one: that one
// had been taken back, in the era before or in an earlier one.
BOOST_AUTO_TEST_CASE(an_evacuation_with_a_reissued_revision_is_in_force) {
    for (unsigned lost = 0; lost <= 3; ++lost) {
        for (unsigned written = 0; written <= 3; ++written) {
            BOOST_TEST_CONTEXT("changes lost " << lost << ", written again " << written) {
                store_model store;
                reading_node node;
                change(store, node, {config_key, config_value(1)});
                const store_model copy = store;
                for (unsigned i = 0; i < lost; ++i) {
                    change(store, node, {order_key, order_value(2 + i)});
                }
                change(store, node, {evacuation_key, "{}"});
                change(store, node, {evacuation_key, {}});
                for (std::uint64_t era = 1; era <= 3; ++era) {
                    store = copy;
                    store.m_era = era;
                    for (unsigned i = 0; i < written; ++i) {
                        store.write({order_key, order_value(2 + i)});
                    }
                    store.write({evacuation_key, "{}"});
                    read(store, node);
                    BOOST_TEST(node.m_in_force.contains(evacuation_key), "era " << era);
                    change(store, node, {evacuation_key, {}});
                    BOOST_TEST(!node.m_in_force.contains(evacuation_key), "era " << era);
                }
            }
        }
    }
}

// Guards against the same with a move order: it is given again with a lower revision than it had.
BOOST_AUTO_TEST_CASE(a_move_order_with_a_reissued_revision_is_in_force) {
    store_model store;
    reading_node node;
    change(store, node, {config_key, config_value(1)});
    const store_model copy = store;
    change(store, node, {config_key, config_value(2)});
    change(store, node, {order_key, order_value(2)});
    change(store, node, {order_key, {}});
    store = copy;
    store.m_era = 1;
    store.write({order_key, order_value(2)});
    read(store, node);
    BOOST_TEST(node.m_in_force.contains(order_key));
}

// Guards against an evacuation that ends because another item gets its old revision and value
// again, as if the copy had held both.
BOOST_AUTO_TEST_CASE(a_repeated_write_is_no_evidence_of_the_copy) {
    store_model store;
    reading_node node;
    change(store, node, {order_key, order_value(2)});
    const store_model copy = store;
    store.write({evacuation_key, "{}"});
    change(store, node, {config_key, config_value(1)});
    store = copy;
    store.m_era = 1;
    store.write({order_key, order_value(3)});
    store.write({config_key, config_value(1)});
    read(store, node);
    BOOST_TEST(node.m_in_force.contains(evacuation_key));
}

// Guards against a configuration that operators write again though it had been replaced, when the
// copy held the later one.
BOOST_AUTO_TEST_CASE(a_replaced_configuration_written_again_is_not_in_force) {
    store_model store;
    reading_node node;
    for (unsigned version = 1; version <= 4; ++version) {
        store.write({config_key, config_value(version)});
        read(store, node);
    }
    const store_model copy = store;
    store.write({order_key, order_value(2)});
    read(store, node);
    store = copy;
    store.m_era = 1;
    reading_node started; // it knows only the new era
    started.receive(store.read());
    read(store, node);
    for (unsigned version = 2; version <= 4; ++version) {
        store.write({config_key, config_value(version)});
        for (reading_node* reader : {&node, &started}) {
            reader->receive(store.read());
            BOOST_TEST(reader->m_in_force.at(config_key).m_value == config_value(4));
        }
        node.merge(started.m_kept.m_table);
        started.merge(node.m_kept.m_table);
    }
    BOOST_TEST(started.m_in_force.contains(order_key));
    store.write({config_key, config_value(5)});
    store.write({order_key, order_value(3)});
    for (reading_node* reader : {&node, &started}) {
        reader->receive(store.read());
        BOOST_TEST((values(reader->m_in_force) == values(store.m_items)));
    }
}

// Guards against a gauge that tells operators to write again what they have written.
BOOST_AUTO_TEST_CASE(items_written_again_are_confirmed) {
    store_model store;
    reading_node node;
    store.write(schedule[0]);
    const store_model copy = store;
    for (std::size_t i = 1; i < 4; ++i) {
        store.write(schedule[i]);
        read(store, node);
    }
    store = copy;
    store.m_era = 1;
    read(store, node);
    BOOST_TEST(unconfirmed_items(node.m_kept.m_table) == 3U);
    write_again(store, 4);
    read(store, node);
    BOOST_TEST(unconfirmed_items(node.m_kept.m_table) == 0U);
}

// Guards against an evacuation that lasts for the whole era because it was written again and taken
// back before any node listed it.
BOOST_AUTO_TEST_CASE(an_item_taken_back_before_the_first_list_ends) {
    store_model store;
    reading_node node;
    change(store, node, {config_key, config_value(1)});
    const store_model copy = store;
    change(store, node, {evacuation_key, "{}"});
    store = copy;
    store.m_era = 1;
    store.write({evacuation_key, "{}"});
    store.write({evacuation_key, {}});
    node.read_store(store);
    BOOST_TEST(!node.m_in_force.contains(evacuation_key));
}

// Guards against a kept item that overrides the store without end, and against a configuration that
// returns to an older one when its time is over.
BOOST_AUTO_TEST_CASE(kept_items_expire_but_for_the_configuration) {
    store_model store;
    reading_node node;
    change(store, node, {config_key, config_value(1)});
    const store_model copy = store;
    change(store, node, {evacuation_key, "{}"});
    change(store, node, {config_key, config_value(2)});
    store = copy;
    store.m_era = 1;
    read(store, node);
    const time_point restored{};
    node.expire(restored);
    node.expire(restored + max_kept_time - milliseconds(1));
    BOOST_TEST(node.m_in_force.contains(evacuation_key));
    node.expire(restored + max_kept_time);
    BOOST_TEST(!node.m_in_force.contains(evacuation_key));
    BOOST_TEST(node.m_in_force.at(config_key).m_value == config_value(2));
}

// Guards against a configuration that a node loses to the table of members that know an older one.
BOOST_AUTO_TEST_CASE(a_received_table_replaces_no_newer_configuration) {
    store_model store;
    reading_node node;
    reading_node member;
    change(store, node, {config_key, config_value(1)});
    member.receive(store.read());
    const store_model copy = store;
    change(store, node, {config_key, config_value(2)}); // only the node reads it
    for (std::uint64_t era = 1; era <= 2; ++era) {
        store = copy;
        store.m_era = era;
        change(store, member, {evacuation_key, "{}"});
    }
    node.exchange(member);
    BOOST_TEST(node.m_in_force.at(config_key).m_value == config_value(2));
    member.exchange(node);
    BOOST_TEST(member.m_in_force.at(config_key).m_value == config_value(2));
}

// Guards against evidence from the wrong marker: of the current era, one that doesn't follow the
// change that it names since its call was executed late, or a malformed one.
BOOST_AUTO_TEST_CASE(markers_date_the_copy) {
    const auto marker = [](std::uint64_t era, std::uint64_t revision, std::uint64_t followed) {
        return store_entry{marker_key(era), make_version(2, revision),
                           encode_marker(make_version(era, followed)), false};
    };
    const auto date = [](const std::vector<store_entry>& markers) {
        return copy_complete_until(markers, 2);
    };
    BOOST_TEST(date({}) == 0U);
    BOOST_TEST(date({marker(0, 12, 11)}) == 12U);
    BOOST_TEST(date({marker(0, 12, 11), marker(1, 15, 14)}) == make_version(1, 15));
    BOOST_TEST(date({marker(0, 12, 11), marker(2, 15, 14)}) == 12U);
    BOOST_TEST(date({marker(0, 12, 12)}) == 0U);
    BOOST_TEST(date({marker(0, 12, 20)}) == 0U);
    store_entry malformed = marker(0, 12, 11);
    malformed.m_key += "x";
    BOOST_TEST(date({malformed}) == 0U);
    malformed = marker(0, 12, 11);
    malformed.m_value = "{}";
    BOOST_TEST(date({malformed}) == 0U);
}

// Guards against evidence that is lost between the node that read it and the one that uses it.
BOOST_AUTO_TEST_CASE(a_text_states_how_the_copy_is_dated) {
    const item_list list{make_version(1, 9), {{config_key, 9, "{}", false}}, 7};
    const auto decoded = decode_item_list(list.m_version, encode_item_list(list));
    BOOST_REQUIRE(decoded);
    BOOST_TEST(decoded->m_copy_complete_until == 7U);
    BOOST_REQUIRE(decoded->m_items.size() == 1U);
    BOOST_TEST(decoded->m_items[0].m_key == config_key);
}

// Guards against tables whose merge depends on the order of arrival, and against a node that was
// cut off before the restoration and brings back what had been deleted.
BOOST_AUTO_TEST_CASE(kept_items_merge_in_any_order) {
    const kept_item open{5, kept_state::unconfirmed, 0, false, "{}"};
    const kept_item done{5, kept_state::superseded, 0, false, {}};
    const kept_item later{6, kept_state::unconfirmed, 0, false, "{}"};
    const std::vector<kept_items> tables{
        make_table(9, {{"a", open}}), make_table(9, {{"a", done}, {"b", open}}),
        make_table(9, {{"a", open}, {"b", later}}), make_table(7, {{"c", open}}), kept_items{}};
    const auto of_era_1 = [] {
        kept_item_state state = make_kept_item_state(config_key, platform::compare_items);
        state.m_table = make_table(0, {});
        return state;
    };
    kept_item_state expected = of_era_1();
    for (const kept_items& table : tables) {
        merge_kept_items(expected, table);
    }
    BOOST_TEST((expected.m_table == make_table(9, {{"a", done}, {"b", later}})));
    std::vector<std::size_t> order{0, 1, 2, 3, 4};
    do {
        kept_item_state merged = of_era_1();
        for (const std::size_t i : order) {
            merge_kept_items(merged, tables[i]);
        }
        BOOST_TEST((merged.m_table == expected.m_table));
        BOOST_TEST(kept_items_digest(merged.m_table) == kept_items_digest(expected.m_table));
        BOOST_TEST(!merge_kept_items(merged, expected.m_table));
    } while (std::next_permutation(order.begin(), order.end()));
}

// Guards against a move's result that a record of the copy replaces.
BOOST_AUTO_TEST_CASE(a_record_of_the_copy_replaces_no_later_one) {
    move_record running;
    running.m_move_id = "m";
    running.m_service = "stock";
    running.m_revision = 110;
    move_record done = running;
    done.m_state = move_state::done;
    done.m_revision = 120;
    fact_table facts;
    BOOST_TEST(merge_record(facts, done));
    const auto read = decode_move(encode_move(running), make_version(1, 110));
    BOOST_REQUIRE(read);
    BOOST_TEST(!merge_record(facts, *read));
    // One written in the new era does, whatever its revision.
    done.m_revision = make_version(1, 0);
    const auto written = decode_move(encode_move(done), make_version(1, 111));
    BOOST_REQUIRE(written);
    BOOST_TEST(written->m_revision == make_version(1, 111));
    BOOST_TEST(merge_record(facts, *written));
}

// Guards against an answer of an earlier era that has an effect, and against a condition that meets
// a revision that was assigned again.
BOOST_AUTO_TEST_CASE(answers_and_conditions_keep_to_their_era) {
    BOOST_TEST(parse_era("").value() == 0U);
    BOOST_TEST(parse_era("7").value() == 7U);
    for (const std::string_view invalid : {"-1", "x", "1 ", "65536", "99999999999999999999"}) {
        BOOST_TEST(!parse_era(invalid), invalid);
    }
    store_command put;
    put.m_operation = store_operation::put;
    put.m_if_revision = 50;
    BOOST_TEST(!refuse_outdated(put, 0));
    BOOST_TEST((refuse_outdated(put, 1)->m_kind == error_kind::store_conflict));
    put.m_if_revision = 0;
    BOOST_TEST(!refuse_outdated(put, 1));
    store_command watch;
    watch.m_operation = store_operation::watch;
    watch.m_revision = make_version(1, 50);
    BOOST_TEST(!refuse_outdated(watch, 1));
    BOOST_TEST((refuse_outdated(watch, 2)->m_kind == error_kind::store_not_found));
    BOOST_TEST(with_revisions(watch).m_revision == 50U);

    store_reply answer;
    answer.m_revision = 51;
    answer.m_entries = {{"a", 50, "x", false}};
    const store_reply stamped = reply_in_era(watch, answer, 1, 1, 1);
    BOOST_TEST(stamped.m_revision == make_version(1, 51));
    BOOST_TEST(stamped.m_entries[0].m_revision == make_version(1, 50));
    BOOST_TEST((reply_in_era(watch, answer, 1, 1, 2).m_kind == error_kind::store_unreachable));
    BOOST_TEST((reply_in_era(watch, answer, 1, 2, 2).m_kind == error_kind::store_not_found));
    BOOST_TEST((reply_in_era(put, answer, 0, 0, 1).m_kind == error_kind::store_outcome_unknown));
    BOOST_TEST((reply_in_era(put, answer, 0, 1, 1).m_kind == error_kind::store_conflict));
    store_reply absent;
    absent.m_kind = error_kind::store_conflict;
    BOOST_TEST(reply_in_era(put, absent, 1, 1, 1).m_revision == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
