#include "node/node.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <random>

#include "base/hash.hpp"
#include "node/control.hpp"
#include "node/recorded.hpp"
#include "observe/log.hpp"
#include "observe/recorder.hpp"
#include "traffic/admin.hpp"

namespace caraway {
namespace {

// Interval of the control loop. Probe timeouts are 300 ms, so 20 ms adds little to any reaction.
constexpr milliseconds tick_interval{20};
// A leaving node keeps running at least this long, and for refusal_time after it begins to refuse
// new work, so that its leave spreads and calls that were sent before the sender learnt of it are
// answered.
constexpr milliseconds min_drain_time{1'000};
constexpr milliseconds refusal_time{300};
// If one reader dies, the other still watches the store, so that no change is missed until the dead
// reader's lease has expired and another node has taken it over.
constexpr int readers_per_data_centre = 2;
constexpr milliseconds gauge_interval{1'000};
// Interval of the log lines with the byte and store call counts. They are written while the process
// runs, so that a process that is killed has logged most of its counts.
constexpr milliseconds byte_log_interval{10'000};

// Time after the start in which member tables are compared more often. Where entry points have no
// lease, nodes that start together join through a few arbitrary others, so their tables are
// incomplete for this long.
constexpr milliseconds member_complete_time{6'000};

// Returns the seed from the settings, or a random one if that is 0.
std::uint64_t choose_seed(const node_settings& settings) {
    if (settings.m_seed != 0) {
        return settings.m_seed;
    }
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

// Creates this node's entry in the member table. The incarnation is the start time in milliseconds,
// so a restart normally raises it.
member make_own_member(const node_settings& settings, const clock_source& clock) {
    member self;
    self.m_instance = settings.m_instance;
    self.m_incarnation = static_cast<std::uint64_t>(unix_ms(clock.wall_now()));
    self.m_first_incarnation = self.m_incarnation;
    self.m_data_centre = settings.m_data_centre;
    self.m_service = settings.m_service;
    self.m_version = settings.m_version;
    self.m_traffic = settings.m_announce_traffic;
    self.m_udp = settings.m_announce_udp;
    self.m_bulk = settings.m_announce_bulk;
    return self;
}

// Creates a reader role that competes for the lease with the given index in its data centre.
std::unique_ptr<reader_role> make_reader(const node_settings& settings, int index,
                                         std::uint64_t seed, time_point now) {
    const std::string reader_slot = settings.m_data_centre + "/" + std::to_string(index);
    auto reader = std::make_unique<reader_role>();
    reader->m_entry_key = std::string(entry_point_prefix) + reader_slot;
    reader->m_lease.m_keeper =
        create_lease_keeper("caraway/lease/reader/" + reader_slot, settings, seed, now);
    return reader;
}

} // namespace

control::control(boost::asio::io_context& context, node_settings settings, adapter platform_adapter,
                 const clock_source& clock, std::uint64_t seed)
    : m_context(context), m_settings(std::move(settings)), m_adapter(std::move(platform_adapter)),
      m_clock(clock), m_random(seed) {
    m_metrics = node_metrics::create(m_settings.m_instance, m_settings.m_data_centre);
    membership_options options;
    options.m_probe_interval = m_settings.m_probe_interval;
    options.m_probe_timeout = m_settings.m_probe_timeout;
    if (reads_operator_items()) {
        options.m_initial_comparison_time = member_complete_time;
    }
    m_members =
        make_membership(make_own_member(m_settings, clock), options, m_random(), clock.now());
    m_distribution = create_distribution(m_settings, m_random(), clock.now());
    m_kept_items = make_kept_item_state(m_adapter.m_configuration_key, m_adapter.m_compare_items);
    for (int i = 0; i < readers_per_data_centre; ++i) {
        m_readers.push_back(make_reader(m_settings, i, m_random(), clock.now()));
    }
    m_accepter.m_lease.m_keeper =
        create_lease_keeper("caraway/lease/accepter", m_settings, m_random(), clock.now());
    m_departures.m_start_incarnation = m_members.m_self.m_incarnation;
    m_departures.m_predecessors.m_started = m_members.m_started;
    m_own_view = make_own_server_view(*this);
    if (reads_operator_items()) {
        // The store itself accepts configurations here and never loses an acknowledged write, so a
        // text is applied without waiting until other members hold it.
        m_distribution.m_required_replicas = 0;
    }
}

class node::impl {
public:
    impl(boost::asio::io_context& context, const node_settings& settings, adapter platform_adapter,
         const clock_source& clock)
        : m_context(context),
          m_state(context, settings, std::move(platform_adapter), clock, choose_seed(settings)),
          m_timer(context) {}

    bool open(error& reason) {
        open_store();
        return open_peer_transports(reason) && start_traffic_server(reason) &&
               start_admin_server(reason) && start_report_server(reason);
    }

    void start() {
        m_state.m_resync.m_last_tick = m_state.now();
        tick();
    }

    void tick() {
        const time_point now = m_state.now();
        tick_gossip(m_state, now);
        tick_join(m_state, now);
        tick_config(m_state, now);
        if (m_state.reads_operator_items()) {
            tick_operator_watch(m_state, now);
        } else {
            tick_store_roles(m_state, now);
            tick_collector(m_state, now);
        }
        tick_move(m_state, now);
        tick_departures(m_state, now);
        refresh_own_server(m_state);
        refresh_snapshot(m_state);
        tick_resync(m_state, now);
        refresh_gauges(now);
        flush_recording();
        flush_log_lines(now);
        if (m_drain_deadline && continue_shut_down(now)) {
            return;
        }
        m_timer.expires_after(tick_interval);
        m_timer.async_wait([this](const boost::system::error_code& ec) {
            if (!ec) {
                tick();
            }
        });
    }

    void shut_down() {
        if (m_drain_deadline) {
            return;
        }
        const time_point now = m_state.now();
        const duration timeout = m_state.m_settings.m_drain_timeout;
        m_drain_deadline = now + timeout * 9 / 10; // the rest is for exiting
        // Just after five sixths, so that no call is ended before that point: other nodes end the
        // calls that they got from here some milliseconds earlier than this node.
        m_state.m_traffic->end_calls_by(now + timeout * 17 / 20, now + timeout * 2 / 3);
        // New work gets at least half of the drain timeout to end.
        m_refuse_at = now + std::min<duration>(m_state.m_settings.m_announce_time, timeout / 2);
        m_earliest_stop = std::max(now + min_drain_time, m_refuse_at + refusal_time);
        m_state.m_leaving = true;
        log_event(log_level::info, "leaving", {});
        perform(m_state, membership_leave(m_state.m_members, now));
        release_leases(m_state);
    }

    void reload(const node_settings& settings) {
        node_settings& current = m_state.m_settings;
        // The new settings except for those that can change while the process runs. Any remaining
        // difference needs a restart.
        node_settings compared = settings;
        compared.m_report_interval = current.m_report_interval;
        compared.m_drain_timeout = current.m_drain_timeout;
        compared.m_announce_time = current.m_announce_time;
        compared.m_fetch_timeout = current.m_fetch_timeout;
        compared.m_join_backoff_max = current.m_join_backoff_max;
        compared.m_joins_per_second = current.m_joins_per_second;
        compared.m_seeds = current.m_seeds;
        log_event(log_level::info, "settings_reloaded", {{"needs_restart", compared != current}});
        current.m_report_interval = settings.m_report_interval;
        current.m_drain_timeout = settings.m_drain_timeout;
        current.m_announce_time = settings.m_announce_time;
        current.m_fetch_timeout = settings.m_fetch_timeout;
        current.m_join_backoff_max = settings.m_join_backoff_max;
        current.m_joins_per_second = settings.m_joins_per_second;
        current.m_seeds = settings.m_seeds;
    }

private:
    // Returns the field name of a call in the log event store_calls: the operation and the category
    // of the key, such as list.entry_points.
    std::string store_call_label(const store_command& command) const {
        const auto category = [this, &command]() -> std::string_view {
            const adapter& platform_adapter = m_state.m_adapter;
            if (command.m_key.starts_with(entry_point_prefix)) {
                return "entry_points";
            }
            if (!platform_adapter.m_operator_key_prefix.empty() &&
                command.m_key.starts_with(platform_adapter.m_operator_key_prefix)) {
                return "operator_items";
            }
            if (!platform_adapter.m_move_key_prefix.empty() &&
                command.m_key.starts_with(platform_adapter.m_move_key_prefix)) {
                return "moves";
            }
            return "other";
        };
        return std::string(store_operation_name(command.m_operation))
            .append(".")
            .append(category());
    }

    void log_store_calls() const {
        std::vector<log_field> fields;
        for (const auto& [label, count] : m_store_calls) {
            fields.emplace_back(label, count);
        }
        write_log_line(format_event(log_level::info, "store_calls", fields));
    }

    void open_store() {
        m_state.m_store = store_client::create(
            m_context, m_state.m_settings.m_store, m_state.m_adapter.m_store_codec,
            m_state.m_settings.m_store_timeout,
            [this](const store_command& command, error_kind result, std::uint64_t sent,
                   std::uint64_t received) {
                node_metrics& metrics = *m_state.m_metrics;
                metrics.count_store_call(store_operation_name(command.m_operation), result);
                metrics.count_control_bytes("store", sent, received);
                ++m_store_calls[store_call_label(command)];
            });
    }

    bool open_peer_transports(error& reason) {
        node_metrics& metrics = *m_state.m_metrics;
        control& state = m_state;
        m_state.m_udp = datagram_socket::open(
            m_context, m_state.m_settings.m_peer_udp,
            [&state](const ip_endpoint& from, std::string_view bytes) {
                receive_datagram(state, from, bytes);
            },
            [&metrics](std::uint64_t sent, std::uint64_t received) {
                metrics.count_control_bytes("udp", sent, received);
            },
            reason);
        if (!m_state.m_udp) {
            return false;
        }
        m_state.m_bulk = bulk_transport::open(
            m_context, m_state.m_settings.m_peer_bulk,
            [&state](std::string_view request) { return serve_bulk(state, request); },
            [&metrics](std::uint64_t sent, std::uint64_t received) {
                metrics.count_control_bytes("bulk", sent, received);
            },
            reason, m_state.m_settings.m_source_address);
        return m_state.m_bulk != nullptr;
    }

    bool start_traffic_server(error& reason) {
        refresh_snapshot(m_state);
        traffic_hooks hooks;
        hooks.m_newer_version_seen = [this](const std::string& instance, std::uint64_t version) {
            boost::asio::post(m_context, [this, instance, version] {
                handle_peer_version(m_state, instance, version);
            });
        };
        hooks.m_server_unreachable = [this](const std::string& server) {
            boost::asio::post(m_context,
                              [this, server] { mark_server_unreachable(m_state, server); });
        };
        m_state.m_traffic =
            traffic_server::start(m_state.m_settings, m_state.m_clock, m_state.m_snapshot,
                                  *m_state.m_metrics, std::move(hooks), reason);
        return m_state.m_traffic != nullptr;
    }

    bool start_admin_server(error& reason) {
        const control& state = m_state;
        m_admin_server = admin_server::start(
            m_context, m_state.m_settings.m_admin,
            [&state](const admin_request& request) {
                return answer_admin_request(state, request.m_path);
            },
            reason);
        return m_admin_server != nullptr;
    }

    bool start_report_server(error& reason) {
        if (m_state.m_settings.m_reports.m_port == 0) {
            return true;
        }
        control& state = m_state;
        m_report_server = admin_server::start_async(
            m_context, m_state.m_settings.m_reports,
            [&state](const admin_request& request, const admin_responder& respond) {
                answer_server_request(state, request, respond);
            },
            reason, admin_server::methods::get_and_post);
        return m_report_server != nullptr;
    }

    void refresh_gauges(time_point now) {
        if (now < m_state.m_next_gauges) {
            return;
        }
        m_state.m_next_gauges = now + gauge_interval;
        if (now >= m_state.m_next_byte_log) {
            m_state.m_next_byte_log = now + byte_log_interval;
            log_byte_counters(m_state.m_metrics->moved_bytes());
            log_store_calls();
        }
        const auto behind_since = m_state.m_text_progress.m_behind_since;
        m_state.m_metrics->set_config_behind(behind_since ? now - *behind_since : duration{});
        std::map<member_state, std::uint64_t> counts;
        for (const auto& [name, tracked] : m_state.m_members.m_members) {
            ++counts[tracked.m_member.m_state];
        }
        for (const member_state counted_state :
             {member_state::alive, member_state::suspect, member_state::dead, member_state::left}) {
            m_state.m_metrics->set_members(member_state_name(counted_state), counts[counted_state]);
        }
    }

    void flush_log_lines(time_point now) {
        if (now >= m_next_flush) {
            m_next_flush = now + m_state.m_settings.m_flush_interval;
            flush_log();
        }
    }

    // Refuses new work once the leave has had time to spread. Stops the context and returns true
    // once no call is in progress or the drain timeout has passed.
    bool continue_shut_down(time_point now) {
        if (!m_state.m_draining && now >= m_refuse_at) {
            m_state.m_draining = true;
            m_state.m_snapshot_dirty = true;
            m_state.m_traffic->drain();
            refresh_snapshot(m_state);
        }
        const std::size_t calls_left = m_state.m_traffic->calls_in_progress();
        const bool drained = calls_left == 0 && now >= m_earliest_stop;
        if (!drained && now < *m_drain_deadline) {
            release_leases(m_state);
            return false;
        }
        log_byte_counters(m_state.m_metrics->moved_bytes());
        log_store_calls();
        log_event(log_level::info, "drained",
                  {{"calls_cut", static_cast<std::uint64_t>(calls_left)}});
        flush_recording();
        set_log_batching(false);
        flush_log();
        m_context.stop();
        return true;
    }

    boost::asio::io_context& m_context;
    control m_state;
    std::unique_ptr<admin_server> m_admin_server;
    std::unique_ptr<admin_server> m_report_server;
    boost::asio::steady_timer m_timer;
    time_point m_next_flush;
    std::map<std::string, std::uint64_t> m_store_calls; // by label
    std::optional<time_point>
        m_drain_deadline;       // set by shut_down; calls still running then are cut
    time_point m_earliest_stop; // the process runs at least until then
    time_point m_refuse_at;     // when new work begins to be refused
};

std::unique_ptr<node> node::start(boost::asio::io_context& context, const node_settings& settings,
                                  adapter platform_adapter, const clock_source& clock,
                                  error& reason) {
    set_log_identity(settings.m_instance, settings.m_data_centre, log_level::info);
    set_log_batching(settings.m_flush_interval.count() > 0);
    begin_recording(settings, clock.now());
    auto implementation =
        std::make_unique<impl>(context, settings, std::move(platform_adapter), clock);
    if (!implementation->open(reason)) {
        return nullptr;
    }
    log_event(log_level::info, "node_started",
              {{"service", settings.m_service},
               {"version", settings.m_version},
               {"traffic", format_endpoint(settings.m_traffic)}});
    boost::asio::post(context, [raw = implementation.get()] { raw->start(); });
    return std::unique_ptr<node>(new node(std::move(implementation)));
}

node::node(std::unique_ptr<impl> implementation) : m_impl(std::move(implementation)) {}

node::~node() = default;

void node::shut_down() {
    m_impl->shut_down();
}

void node::reload(const node_settings& settings) {
    m_impl->reload(settings);
}

} // namespace caraway
