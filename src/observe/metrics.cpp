#include "observe/metrics.hpp"

#include <mutex>
#include <shared_mutex>
#include <unordered_map>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include "base/hash.hpp"

namespace caraway {
namespace {

// Upper bounds in seconds, dense around the usual timeouts and around 0.52 ms, the latency that a
// node may add.
const prometheus::Histogram::BucketBoundaries latency_bucket_bounds_s{
    0.0001, 0.0002, 0.0003, 0.0005, 0.00075, 0.001, 0.002, 0.003, 0.005, 0.0075, 0.01,
    0.02,   0.03,   0.05,   0.075,  0.1,     0.2,   0.3,   0.5,   1.0,   2.0,    5.0};

} // namespace

class node_metrics::impl {
public:
    impl(std::string_view instance, std::string_view data_centre)
        : m_labels{{"instance", std::string(instance)}, {"data_centre", std::string(data_centre)}},
          m_calls(
              add_counter_family("caraway_calls_total", "Calls that ended, by side and outcome")),
          m_retries(
              add_counter_family("caraway_retries_total", "Second attempts of the entry side")),
          m_control_bytes(
              add_counter_family("caraway_control_bytes_total", "Bytes of control traffic")),
          m_moved_bytes(
              add_counter_family("caraway_moved_bytes_total",
                                 "Bytes of exchanges with other nodes, by purpose and scope")),
          m_store_calls(
              add_counter_family("caraway_store_calls_total", "Calls to the store by result")),
          m_latency(add_histogram_family("caraway_call_seconds",
                                         "Time from the request to its answer, by side")),
          m_entry_latency(m_latency.Add({{"side", "entry"}}, latency_bucket_bounds_s)),
          m_backend_latency(m_latency.Add({{"side", "backend"}}, latency_bucket_bounds_s)),
          m_config_version(
              add_gauge_family("caraway_config_version", "Configuration version in force")),
          m_config_behind(add_gauge_family("caraway_config_behind_seconds",
                                           "Time for which a newer version has been known")),
          m_config_phases(add_histogram_family("caraway_config_phase_seconds",
                                               "Phases of putting a version in force")),
          m_unknown_config_values(
              add_gauge_family("caraway_config_unknown_values",
                               "Values of the configuration in force that are not known here")),
          m_unusable_items(add_gauge_family("caraway_operator_items_unusable",
                                            "Operators' items that can't be used")),
          m_store_era(
              add_gauge_family("caraway_store_era", "Restorations of the store from a copy")),
          m_kept_items(add_gauge_family("caraway_kept_items",
                                        "Items in force that the restored store lacks")),
          m_members(add_gauge_family("caraway_members", "Members known, by state")),
          m_load(add_gauge_family("caraway_admission_calls",
                                  "Calls at the own backend server, by state")),
          m_background_slots(
              add_gauge_family("caraway_background_slots", "Slots that background calls may use")),
          m_limited_routes(add_gauge_family("caraway_limited_routes",
                                            "Routes of which only a part of the calls is let in")),
          m_link_backlog(add_gauge_family("caraway_link_backlog_seconds",
                                          "Time until the large answers that are due are sent")),
          m_attempts(add_counter_family("caraway_attempts_total",
                                        "Attempts of the entry side, by the data centre of the "
                                        "backend server")),
          m_own_attempts(m_attempts.Add({{"server_data_centre", "own"}})),
          m_other_attempts(m_attempts.Add({{"server_data_centre", "other"}})),
          m_speed(add_gauge_family("caraway_server_speed",
                                   "Present run times of the own backend server relative to its "
                                   "usual ones (slowness), and its mean load")),
          m_held_bytes(
              add_gauge_family("caraway_held_bytes", "Bytes held for clients, and their limit")),
          m_rejected_connections(
              add_counter_family("caraway_rejected_connections_total",
                                 "Connections rejected outside the limits, by cause")) {}

    prometheus::Family<prometheus::Counter>& add_counter_family(const char* name,
                                                                const char* help) {
        return prometheus::BuildCounter().Name(name).Help(help).Labels(m_labels).Register(
            m_registry);
    }
    prometheus::Family<prometheus::Gauge>& add_gauge_family(const char* name, const char* help) {
        return prometheus::BuildGauge().Name(name).Help(help).Labels(m_labels).Register(m_registry);
    }

    prometheus::Family<prometheus::Histogram>& add_histogram_family(const char* name,
                                                                    const char* help) {
        return prometheus::BuildHistogram().Name(name).Help(help).Labels(m_labels).Register(
            m_registry);
    }

    // Returns the counter of one combination of labels, from a cache. Family::Add would build and
    // compare label maps for every call, but the cache needs only one hash and a shared lock.
    prometheus::Counter& call_counter(std::string_view side, std::string_view service,
                                      outcome result, error_kind reason) {
        const std::uint64_t hash_seed = static_cast<std::uint64_t>(reason) * 2 + (side == "entry");
        const std::uint64_t cache_key = hash_bytes(service, hash_seed);
        {
            const std::shared_lock lock(m_cache_mutex);
            const auto found = m_call_cache.find(cache_key);
            if (found != m_call_cache.end()) {
                return *found->second;
            }
        }
        prometheus::Counter& new_counter =
            m_calls.Add({{"side", std::string(side)},
                         {"service", std::string(service)},
                         {"outcome", std::string(outcome_name(result))},
                         {"reason", std::string(error_info_for(reason).m_name)}});
        const std::unique_lock lock(m_cache_mutex);
        return *m_call_cache.emplace(cache_key, &new_counter).first->second;
    }

    // Updates the exported counters from the byte account. Exchanges are counted in the account
    // first, because that is cheaper than looking up and incrementing the counters.
    void export_exchanged_bytes() {
        for (std::size_t i = 0; i < byte_purpose_count * byte_scope_count; ++i) {
            const auto purpose = static_cast<byte_purpose>(i / byte_scope_count);
            const auto scope = static_cast<byte_scope>(i % byte_scope_count);
            const auto bytes = static_cast<double>(m_bytes.bytes(purpose, scope));
            if (bytes > 0) {
                auto& counter =
                    m_moved_bytes.Add({{"purpose", std::string(byte_purpose_name(purpose))},
                                       {"scope", std::string(byte_scope_name(scope))}});
                counter.Increment(bytes - counter.Value());
            }
        }
    }

    byte_account m_bytes;
    prometheus::Registry m_registry;
    prometheus::Labels m_labels;
    prometheus::Family<prometheus::Counter>& m_calls;
    prometheus::Family<prometheus::Counter>& m_retries;
    prometheus::Family<prometheus::Counter>& m_control_bytes;
    prometheus::Family<prometheus::Counter>& m_moved_bytes;
    prometheus::Family<prometheus::Counter>& m_store_calls;
    prometheus::Family<prometheus::Histogram>& m_latency;
    prometheus::Histogram& m_entry_latency;
    prometheus::Histogram& m_backend_latency;
    prometheus::Family<prometheus::Gauge>& m_config_version;
    prometheus::Family<prometheus::Gauge>& m_config_behind;
    prometheus::Family<prometheus::Histogram>& m_config_phases;
    prometheus::Family<prometheus::Gauge>& m_unknown_config_values;
    prometheus::Family<prometheus::Gauge>& m_unusable_items;
    prometheus::Family<prometheus::Gauge>& m_store_era;
    prometheus::Family<prometheus::Gauge>& m_kept_items;
    prometheus::Family<prometheus::Gauge>& m_members;
    prometheus::Family<prometheus::Gauge>& m_load;
    prometheus::Family<prometheus::Gauge>& m_background_slots;
    prometheus::Family<prometheus::Gauge>& m_limited_routes;
    prometheus::Family<prometheus::Gauge>& m_link_backlog;
    prometheus::Family<prometheus::Counter>& m_attempts;
    prometheus::Counter& m_own_attempts;
    prometheus::Counter& m_other_attempts;
    prometheus::Family<prometheus::Gauge>& m_speed;
    prometheus::Family<prometheus::Gauge>& m_held_bytes;
    prometheus::Family<prometheus::Counter>& m_rejected_connections;

private:
    std::shared_mutex m_cache_mutex;
    std::unordered_map<std::uint64_t, prometheus::Counter*> m_call_cache;
};

std::unique_ptr<node_metrics> node_metrics::create(std::string_view instance,
                                                   std::string_view data_centre) {
    return std::unique_ptr<node_metrics>(
        new node_metrics(std::make_unique<impl>(instance, data_centre)));
}

node_metrics::node_metrics(std::unique_ptr<impl> implementation)
    : m_impl(std::move(implementation)) {}

node_metrics::~node_metrics() = default;

void node_metrics::count_call(std::string_view side, std::string_view service, outcome result,
                              error_kind reason, duration latency) {
    m_impl->call_counter(side, service, result, reason).Increment();
    const double seconds = std::chrono::duration<double>(latency).count();
    (side == "entry" ? m_impl->m_entry_latency : m_impl->m_backend_latency).Observe(seconds);
}

void node_metrics::count_retry(std::string_view service) {
    m_impl->m_retries.Add({{"service", std::string(service)}}).Increment();
}

void node_metrics::count_control_bytes(std::string_view channel, std::uint64_t sent,
                                       std::uint64_t received) {
    const std::string name(channel);
    m_impl->m_control_bytes.Add({{"channel", name}, {"direction", "sent"}})
        .Increment(static_cast<double>(sent));
    m_impl->m_control_bytes.Add({{"channel", name}, {"direction", "received"}})
        .Increment(static_cast<double>(received));
}

void node_metrics::count_store_call(std::string_view operation, error_kind result) {
    m_impl->m_store_calls
        .Add({{"operation", std::string(operation)},
              {"result", std::string(error_info_for(result).m_name)}})
        .Increment();
}

void node_metrics::set_config_version(std::uint64_t version) {
    m_impl->m_config_version.Add({}).Set(static_cast<double>(version));
}

void node_metrics::count_applied_config(const text_phases& phases) {
    const auto observe = [this](std::string_view phase, duration time) {
        m_impl->m_config_phases.Add({{"phase", std::string(phase)}}, latency_bucket_bounds_s)
            .Observe(std::chrono::duration<double>(time).count());
    };
    observe("behind", phases.m_behind);
    observe("fetch", phases.m_fetch);
    observe("parse", phases.m_parse);
    observe("wait", phases.m_wait);
}

void node_metrics::set_config_behind(duration time) {
    m_impl->m_config_behind.Add({}).Set(std::chrono::duration<double>(time).count());
}

void node_metrics::set_unknown_config_values(std::uint64_t count) {
    m_impl->m_unknown_config_values.Add({}).Set(static_cast<double>(count));
}

void node_metrics::set_unusable_items(std::uint64_t count) {
    m_impl->m_unusable_items.Add({}).Set(static_cast<double>(count));
}

void node_metrics::set_store_era(std::uint64_t era) {
    m_impl->m_store_era.Add({}).Set(static_cast<double>(era));
}

void node_metrics::set_kept_items(std::uint64_t count) {
    m_impl->m_kept_items.Add({}).Set(static_cast<double>(count));
}

void node_metrics::set_members(std::string_view state, std::uint64_t count) {
    m_impl->m_members.Add({{"state", std::string(state)}}).Set(static_cast<double>(count));
}

void node_metrics::set_overload(double background_slots, std::uint64_t limited_routes,
                                double link_backlog_s) {
    m_impl->m_background_slots.Add({}).Set(background_slots);
    m_impl->m_limited_routes.Add({}).Set(static_cast<double>(limited_routes));
    m_impl->m_link_backlog.Add({}).Set(link_backlog_s);
}

void node_metrics::set_load(std::uint32_t running, std::uint32_t waiting, std::uint32_t limit) {
    m_impl->m_load.Add({{"state", "running"}}).Set(running);
    m_impl->m_load.Add({{"state", "waiting"}}).Set(waiting);
    m_impl->m_load.Add({{"state", "limit"}}).Set(limit);
}

void node_metrics::count_attempt(bool own_data_centre) {
    (own_data_centre ? m_impl->m_own_attempts : m_impl->m_other_attempts).Increment();
}

void node_metrics::set_speed(std::uint32_t slowness_permille, std::uint32_t mean_load_permille) {
    m_impl->m_speed.Add({{"figure", "slowness"}}).Set(slowness_permille / 1000.0);
    m_impl->m_speed.Add({{"figure", "mean_load"}}).Set(mean_load_permille / 1000.0);
}

void node_metrics::set_held_bytes(std::uint64_t held, std::uint64_t limit) {
    m_impl->m_held_bytes.Add({{"state", "held"}}).Set(static_cast<double>(held));
    m_impl->m_held_bytes.Add({{"state", "limit"}}).Set(static_cast<double>(limit));
}

void node_metrics::set_rejected_connections(std::string_view cause, std::uint64_t count) {
    auto& counter = m_impl->m_rejected_connections.Add({{"cause", std::string(cause)}});
    counter.Increment(static_cast<double>(count) - counter.Value());
}

byte_account& node_metrics::moved_bytes() {
    return m_impl->m_bytes;
}

std::string node_metrics::render() const {
    m_impl->export_exchanged_bytes();
    return prometheus::TextSerializer().Serialize(m_impl->m_registry.Collect());
}

} // namespace caraway
