// Tests that a store that was restored from a copy takes nothing back that was in force. A model of
// the store is restored at every step of a schedule of writes and reads.
#include <map>
#include <string>
#include <vector>

#include "base/hash.hpp"
#include "config/item_text.hpp"
#include "decide/configuration/distribution.hpp"
#include "decide/configuration/kept_items.hpp"
#include "decide/versions/facts.hpp"
#include "decide/versions/version_move.hpp"
#include "platform/operator_items.hpp"
#include "store/store_era.hpp"
#include "store/store_version.hpp"
#include "tests/support.hpp"

using namespace caraway;

namespace {

const std::string config_key = "op/config";
const std::string evacuation_key = "op/evacuate/north";
const std::string order_key = "op/rollout/stock";

std::string config_value(unsigned version) {
    return "{\"version\":\"0000000" + std::to_string(version) + "\"}";
}

std::string order_value(unsigned target, std::string_view duration = "12") {
    return "{\"service\":\"stock\",\"target_version\":\"v" + std::to_string(target) +
           "\",\"duration_s\":" + std::string(duration) + "}";
}

// A write of the operators; an empty value deletes the key.
struct operator_write {
    std::string m_key;
    std::string m_value;
};

const std::vector<operator_write> schedule{
    {config_key, config_value(1)}, {evacuation_key, "{}"},        {order_key, order_value(2)},
    {config_key, config_value(2)}, {evacuation_key, {}},          {order_key, order_value(3)},
    {evacuation_key, "{}"},        {config_key, config_value(3)}, {order_key, {}},
    {order_key, order_value(4)},   {config_key, config_value(4)}};

using item_map = std::map<std::string, store_entry>;

// The store as its clients see it.
struct store_model {
    item_map m_items;
    std::uint64_t m_era = 0;
    std::uint64_t m_revision = 1;

    void write(const operator_write& write) {
        if (write.m_value.empty() && !m_items.contains(write.m_key)) {
            return;
        }
        ++m_revision;
        if (write.m_value.empty()) {
            m_items.erase(write.m_key);
            return;
        }
        m_items[write.m_key] = {write.m_key, m_revision, write.m_value, false};
    }

    // Returns what a node reads: all items with versions. The text's version is that of the latest
    // change, as that of a watching node.
    config_text read() const {
        std::vector<store_entry> items;
        for (const auto& [key, item] : m_items) {
            items.push_back(item);
            items.back().m_revision = make_version(m_era, item.m_revision);
        }
        auto text = std::make_shared<const std::string>(encode_items(items));
        return {make_version(m_era, m_revision), hash_bytes(*text), text};
    }
};

// A node that reads the store: the real decisions, with the glue of the control loop.
struct reading_node {
    distribution_state m_config;
    kept_items m_kept;
    item_map m_in_force;

    reading_node() : m_config(make_distribution("n", milliseconds(1'000), 1)) {
        m_config.m_required_replicas = 0;
    }

    void put_in_force() {
        const config_text& text = m_config.m_texts.at(m_config.m_applied);
        m_in_force.clear();
        for (store_entry& item :
             items_in_force({text.m_version, *decode_items(*text.m_text)}, m_kept)) {
            m_in_force.emplace(item.m_key, std::move(item));
        }
    }

    void perform(const std::vector<distribution_action>& actions) {
        for (const distribution_action& action : actions) {
            if (action.m_kind == distribution_action::kind::parse) {
                std::vector<item_list> history;
                for (const auto& [version, text] : m_config.m_texts) {
                    if (version <= m_config.m_applied &&
                        era_of(version) == era_of(m_config.m_applied)) {
                        history.push_back({version, *decode_items(*text.m_text)});
                    }
                }
                const config_text& text = m_config.m_texts.at(action.m_version);
                advance_kept_items(m_kept, history, {text.m_version, *decode_items(*text.m_text)},
                                   platform::compare_items);
                perform(distribution_parsed(m_config, action.m_version, true, 0, {}));
            } else if (action.m_kind == distribution_action::kind::apply) {
                put_in_force();
            }
        }
    }

    void receive(const config_text& text) {
        perform(distribution_store_read(m_config, text, 0, {}));
    }

    void merge(const kept_items& kept) {
        if (merge_kept_items(m_kept, kept)) {
            put_in_force();
        }
    }
};

// Returns the values without versions, which the operators see.
std::map<std::string, std::string> values(const item_map& items) {
    std::map<std::string, std::string> out;
    for (const auto& [key, item] : items) {
        out.emplace(key, item.m_value);
    }
    return out;
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
            node.receive(late_answer);
            if (i + lag < written) {
                lagging.receive(late_answer);
            }
        }
        const item_map before = node.m_in_force;
        BOOST_REQUIRE(values(before) == values(store.m_items));
        store = copy;
        store.m_era = 1;
        const auto read = [&] {
            node.receive(store.read());
            lagging.receive(store.read());
            node.receive(late_answer);
            lagging.receive(late_answer);
            const kept_items exchanged = node.m_kept;
            node.merge(lagging.m_kept);
            lagging.merge(exchanged);
        };
        read();
        BOOST_TEST((values(node.m_in_force) == values(before)));
        BOOST_TEST((values(lagging.m_in_force) == values(before)));
        // A node that knows only the copy learns the rest from a member.
        reading_node started;
        started.receive(store.read());
        started.merge(node.m_kept);
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
        read();
        started.receive(store.read());
        started.merge(node.m_kept);
        for (const reading_node* checked : {&node, &lagging, &started}) {
            BOOST_TEST((values(checked->m_in_force) == values(before)));
            check_order_continues(*checked);
        }
        // Later changes are in force, though their revisions had been assigned before.
        store.write({evacuation_key, "{}"});
        read();
        BOOST_TEST(node.m_in_force.contains(evacuation_key));
        for (const operator_write& write :
             {operator_write{evacuation_key, {}}, operator_write{order_key, order_value(7)},
              operator_write{config_key, config_value(9)}, operator_write{order_key, {}}}) {
            store.write(write);
            read();
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
        node.receive(store.read());
    }
    const auto before = values(node.m_in_force);
    for (std::uint64_t era = 1; era <= 3; ++era) {
        store = copy;
        store.m_era = era;
        store.write({"op/unrelated", std::to_string(era)});
        node.receive(store.read());
        auto in_force = values(node.m_in_force);
        in_force.erase("op/unrelated");
        BOOST_TEST((in_force == before), "era " << era);
    }
    store.write({evacuation_key, "{}"});
    node.receive(store.read());
    store.write({evacuation_key, {}});
    node.receive(store.read());
    BOOST_TEST(!node.m_in_force.contains(evacuation_key));
}

// Guards against an order that is taken for one of the copy because its revision is lower than that
// of the order in force.
BOOST_AUTO_TEST_CASE(an_order_of_the_operators_replaces_the_kept_one) {
    store_model store;
    reading_node node;
    store.write({config_key, config_value(1)});
    node.receive(store.read());
    const store_model copy = store;
    for (unsigned target = 2; target <= 5; ++target) {
        store.write({order_key, order_value(target)});
        node.receive(store.read());
    }
    store = copy;
    store.m_era = 1;
    store.write({order_key, order_value(8)});
    node.receive(store.read()); // the first text of the era already holds the new order
    BOOST_TEST(node.m_in_force.at(order_key).m_value == order_value(8));
}

// Guards against the order of a copy that is older than all texts a node has held: it counted as a
// new one.
BOOST_AUTO_TEST_CASE(an_order_from_before_the_history_is_the_copys) {
    store_model store;
    reading_node node;
    store.write({config_key, config_value(1)});
    store.write({order_key, order_value(2)});
    const store_model copy = store;
    store.write({order_key, order_value(3)});
    node.receive(store.read()); // it starts only now
    store = copy;
    store.m_era = 1;
    node.receive(store.read());
    BOOST_TEST(node.m_in_force.at(order_key).m_value == order_value(3));
}

// Guards against an evacuation that stays in force although the operators ended it between the
// restoration and the first list: another item of the list shows that the copy held it.
BOOST_AUTO_TEST_CASE(a_deletion_before_the_first_list_is_a_change) {
    store_model store;
    reading_node node;
    store.write({evacuation_key, "{}"});
    store.write({config_key, config_value(1)});
    node.receive(store.read());
    const store_model copy = store;
    store.write({order_key, order_value(2)});
    node.receive(store.read());
    store = copy;
    store.m_era = 1;
    store.write({evacuation_key, {}});
    node.receive(store.read());
    BOOST_TEST(!node.m_in_force.contains(evacuation_key));
    BOOST_TEST(node.m_in_force.contains(order_key));
}

// Guards against a configuration that operators write again though it had been replaced, when the
// copy held the later one.
BOOST_AUTO_TEST_CASE(a_replaced_configuration_written_again_is_not_in_force) {
    store_model store;
    reading_node node;
    for (unsigned version = 1; version <= 4; ++version) {
        store.write({config_key, config_value(version)});
        node.receive(store.read());
    }
    const store_model copy = store;
    store.write({order_key, order_value(2)});
    node.receive(store.read());
    store = copy;
    store.m_era = 1;
    reading_node started; // it knows only the new era
    started.receive(store.read());
    node.receive(store.read());
    for (unsigned version = 2; version <= 4; ++version) {
        store.write({config_key, config_value(version)});
        for (reading_node* reader : {&node, &started}) {
            reader->receive(store.read());
            BOOST_TEST(reader->m_in_force.at(config_key).m_value == config_value(4));
        }
        node.merge(started.m_kept);
        started.merge(node.m_kept);
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
        node.receive(store.read());
    }
    store = copy;
    store.m_era = 1;
    node.receive(store.read());
    BOOST_TEST(unconfirmed_items(node.m_kept) == 3U);
    write_again(store, 4);
    node.receive(store.read());
    BOOST_TEST(unconfirmed_items(node.m_kept) == 0U);
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
    kept_items expected;
    for (const kept_items& table : tables) {
        merge_kept_items(expected, table);
    }
    BOOST_TEST((expected == make_table(9, {{"a", done}, {"b", later}})));
    std::vector<std::size_t> order{0, 1, 2, 3, 4};
    do {
        kept_items merged;
        for (const std::size_t i : order) {
            merge_kept_items(merged, tables[i]);
        }
        BOOST_TEST((merged == expected));
        BOOST_TEST(kept_items_digest(merged) == kept_items_digest(expected));
        BOOST_TEST(!merge_kept_items(merged, expected));
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
