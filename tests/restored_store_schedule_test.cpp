// Tests the items in force on three nodes over random schedules: operators who write, copies of the
// store, restorations that assign revisions again, and nodes that read late, restart and exchange
// what they know. CARAWAY_SEED replays one schedule; CARAWAY_SCHEDULES sets their number.
#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/random.hpp"
#include "tests/restored_store_model.hpp"
#include "tests/support.hpp"

using namespace caraway;

namespace {

constexpr std::uint64_t default_schedules = 2'000;
constexpr std::size_t steps = 60;

std::uint64_t schedule_count() {
    const char* text = std::getenv("CARAWAY_SCHEDULES");
    return text != nullptr ? std::strtoull(text, nullptr, 10) : default_schedules;
}

const std::array<std::string, 4> written_keys{config_key, evacuation_key, "op/evacuate/south",
                                              order_key};

// One schedule: the store, its copy, the operators' last words and the nodes.
class restored_mesh {
public:
    explicit restored_mesh(std::uint64_t seed) : m_random(seed) {
        order({config_key, next_value(config_key)});
        for (reading_node& node : m_nodes) {
            node.read_store(m_store);
        }
        m_store.write_marker();
        take_copy();
    }

    // Makes one random step.
    void step() {
        const std::uint64_t choice = m_random.below(100);
        if (choice < 30) {
            change_one_key();
        } else if (choice < 36) {
            write_and_take_back();
        } else if (choice < 62) {
            node().read_store(m_store);
        } else if (choice < 70) {
            m_store.write_marker();
        } else if (choice < 80) {
            node().exchange(node());
        } else if (choice < 85) {
            take_copy();
        } else if (choice < 90) {
            restore();
        } else if (choice < 93) {
            restart();
        } else {
            m_now += milliseconds(m_random.below(4'000));
            expire();
        }
        check_no_older_configuration();
    }

    // Lets all nodes learn everything, and checks that what was written since the restoration is in
    // force, whatever the copy held.
    void check_written_items() {
        synchronise();
        for (const auto& [key, value] : m_written_in_era) {
            for (const reading_node& checked : m_nodes) {
                const auto item = checked.m_in_force.find(key);
                BOOST_TEST((item != checked.m_in_force.end() && item->second.m_value == value),
                           "not in force: " << key << " " << value);
            }
        }
    }

    // Lets the operators write again what the store has lost, waits until nothing is kept any more,
    // and checks that all nodes have in force what the store holds.
    void check_settled() {
        write_again();
        synchronise();
        expire();
        m_now += max_kept_time;
        expire();
        synchronise();
        for (const reading_node& checked : m_nodes) {
            BOOST_TEST((values(checked.m_in_force) == values(m_store.m_items)));
        }
        BOOST_TEST((values(m_store.m_items) == m_wanted));
    }

private:
    void take_copy() { m_copy = m_store; }

    reading_node& node() { return m_nodes.at(m_random.below(m_nodes.size())); }

    std::string next_value(const std::string& key) {
        if (key == config_key) {
            ++m_config_version;
            return config_value(m_config_version);
        }
        // Few targets, so that orders are repeated.
        return key == order_key ? order_value(2 + m_random.below(3)) : "{}";
    }

    // Writes or deletes an item of the operators and remembers that it is their last word.
    void order(const operator_write& write) {
        m_store.write(write);
        if (write.m_value.empty()) {
            m_wanted.erase(write.m_key);
            m_written_in_era.erase(write.m_key);
            return;
        }
        m_wanted[write.m_key] = write.m_value;
        m_written_in_era[write.m_key] = write.m_value;
    }

    void change_one_key() {
        const std::string& key = written_keys.at(m_random.below(written_keys.size()));
        const bool deletes = key != config_key && m_wanted.contains(key) && m_random.below(2) == 0;
        order({key, deletes ? std::string{} : next_value(key)});
    }

    void write_and_take_back() {
        order({evacuation_key, "{}"});
        order({evacuation_key, {}});
    }

    void write_again() {
        for (const auto& [key, item] : item_map(m_store.m_items)) {
            if (key.starts_with("op/") && !m_wanted.contains(key)) {
                order({key, {}});
            }
        }
        for (const auto& [key, value] : std::map(m_wanted)) {
            const auto stored = m_store.m_items.find(key);
            if (stored == m_store.m_items.end() || stored->second.m_value != value) {
                order({key, value});
            }
        }
    }

    // Restores the store. Operators notice, at once or later, what it has lost.
    void restore() {
        const std::uint64_t era = m_store.m_era + 1;
        m_store = m_copy;
        m_store.m_era = era;
        m_written_in_era.clear();
        if (m_random.below(2) == 0) {
            write_again();
        }
    }

    // Restarts a node, which then joins through another one.
    void restart() {
        const std::size_t restarted = m_random.below(m_nodes.size());
        m_nodes.at(restarted) = reading_node{};
        m_config_in_force.at(restarted).clear();
        m_nodes.at(restarted).exchange(m_nodes.at((restarted + 1) % m_nodes.size()));
    }

    void synchronise() {
        for (reading_node& reader : m_nodes) {
            reader.read_store(m_store);
        }
        m_store.write_marker();
        for (std::size_t round = 0; round < 2; ++round) {
            for (reading_node& receiver : m_nodes) {
                for (const reading_node& sender : m_nodes) {
                    receiver.exchange(sender);
                }
            }
        }
    }

    void expire() {
        for (reading_node& expiring : m_nodes) {
            expiring.expire(m_now);
        }
    }

    void check_no_older_configuration() {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            const auto config = m_nodes.at(i).m_in_force.find(config_key);
            const std::string value =
                config == m_nodes.at(i).m_in_force.end() ? "" : config->second.m_value;
            BOOST_TEST(value >= m_config_in_force.at(i), "an older configuration");
            m_config_in_force.at(i) = value;
        }
    }

    random_source m_random;
    store_model m_store;
    store_model m_copy;
    std::array<reading_node, 3> m_nodes;
    std::array<std::string, 3> m_config_in_force;
    std::map<std::string, std::string> m_wanted;         // by the operators' last words
    std::map<std::string, std::string> m_written_in_era; // since the last restoration
    unsigned m_config_version = 0;
    time_point m_now;
};

} // namespace

BOOST_AUTO_TEST_SUITE(restored_store_schedule)

// Guards against an item that is written after a restoration and never in force, whatever revision
// the store gives it, against a belief about the copy that overrides the store without end, and
// against a return to an older configuration.
BOOST_AUTO_TEST_CASE(nodes_follow_the_store_over_any_restorations) {
    for (const std::uint64_t seed : schedule_seeds(schedule_count())) {
        BOOST_TEST_CONTEXT("CARAWAY_SEED=" << seed) {
            restored_mesh mesh(seed);
            for (std::size_t i = 0; i < steps; ++i) {
                mesh.step();
                if (i % 10 == 9) {
                    mesh.check_written_items();
                }
            }
            mesh.check_settled();
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
