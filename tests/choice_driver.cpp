#include "tests/choice_driver.hpp"

#include <algorithm>
#include <cmath>

namespace caraway {
namespace {

using seconds_real = std::chrono::duration<double>;

constexpr std::uint32_t slots = 13;
constexpr std::uint32_t queue_length = 52;
constexpr std::uint32_t max_attempts = 3;
// One-way time within a data centre and between two.
constexpr std::chrono::microseconds local_trip{100};
constexpr std::chrono::microseconds remote_trip{1'000};
constexpr double interval_s = 0.25; // of drive_result::m_left_by_interval

// What one caller's node knows about one server.
struct known_server {
    candidate m_figures;
    time_point m_reported_at; // time_point{} if never
    refusal_state m_refusals;
};

struct node {
    std::size_t m_data_centre = 0;
    std::vector<known_server> m_servers;
    route_references m_references;
};

struct server {
    std::size_t m_data_centre = 0;
    double m_speed = 1;
    admission_state m_admission;
    server_speed m_estimate;
};

struct driven_call {
    std::size_t m_node = 0;
    std::size_t m_server = 0;
    std::size_t m_route = 0;
    std::uint32_t m_attempts = 0;
    std::vector<bool> m_tried;
    time_point m_began;
    time_point m_arrived; // at the present server
    time_point m_started; // to run
    // Set with the answer of the present server.
    speed_report m_report;
    server_quality m_quality;
    bool m_refused = false;
    duration m_retry_after{};
};

enum class step : std::uint8_t { begin, arrive, finish, answer };

struct event {
    time_point m_at;
    std::uint64_t m_order = 0;
    step m_step = step::begin;
    std::size_t m_call = 0; // for begin: the node
    bool operator<(const event& other) const {
        return m_at != other.m_at ? m_at > other.m_at : m_order > other.m_order;
    }
};

duration to_duration(double seconds) {
    return std::chrono::duration_cast<duration>(seconds_real(seconds));
}

// State of one run.
class driver {
public:
    explicit driver(const drive& conditions)
        : m_conditions(conditions), m_random(conditions.m_seed) {
        admission_limits limits;
        limits.m_slots = slots;
        limits.m_queue = queue_length;
        limits.m_detect_cold_start = false;
        for (std::size_t i = 0; i < conditions.m_data_centres; ++i) {
            for (const double speed : conditions.m_speeds) {
                m_servers.push_back({i, speed, make_admission(limits), {}});
                set_admission_limits(m_servers.back().m_admission, limits);
            }
        }
        for (std::size_t i = 0; i < conditions.m_data_centres * conditions.m_nodes_each; ++i) {
            m_nodes.push_back({i % conditions.m_data_centres, {}, {}});
            m_nodes.back().m_servers.resize(m_servers.size());
            schedule(m_start + to_duration(0.1 * m_random.unit()), step::begin, i);
        }
        m_result.m_server_calls.resize(m_servers.size());
        m_result.m_left_calls.resize(m_servers.size());
        m_intervals.resize(static_cast<std::size_t>(conditions.m_duration / interval_s) + 1);
    }

    drive_result run() {
        const time_point end =
            m_start + to_duration(m_conditions.m_warmup + m_conditions.m_duration);
        while (!m_events.empty() && m_events.top().m_at < end) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.m_at;
            switch (next.m_step) {
            case step::begin:
                begin(next.m_call);
                break;
            case step::arrive:
                arrive(next.m_call);
                break;
            case step::finish:
                finish(next.m_call);
                break;
            case step::answer:
                answer(next.m_call);
                break;
            }
        }
        summarise();
        return m_result;
    }

private:
    double elapsed() const { return seconds_real(m_now - m_start).count(); }
    bool is_counted(const driven_call& call) const {
        return call.m_began >= m_start + to_duration(m_conditions.m_warmup);
    }

    void schedule(time_point at, step what, std::size_t call) {
        m_events.push({at, m_order++, what, call});
    }

    duration trip(const driven_call& call) const {
        return m_nodes[call.m_node].m_data_centre == m_servers[call.m_server].m_data_centre
                   ? local_trip
                   : remote_trip;
    }

    // Starts a call of a node and schedules the node's next one.
    void begin(std::size_t sender) {
        const std::size_t data_centre = m_nodes[sender].m_data_centre;
        double speeds = 0;
        for (const double speed : m_conditions.m_speeds) {
            speeds += speed;
        }
        const double rate = m_conditions.m_load(data_centre, elapsed()) * speeds * slots /
                            mean_work_s / static_cast<double>(m_conditions.m_nodes_each);
        schedule(m_now + to_duration(-std::log(1 - m_random.unit()) / rate), step::begin, sender);
        driven_call call;
        call.m_node = sender;
        std::uint64_t drawn = m_random.below(10);
        while (drawn >= driven_routes.at(call.m_route).m_weight) {
            drawn -= driven_routes.at(call.m_route).m_weight;
            ++call.m_route;
        }
        call.m_began = m_now;
        call.m_tried.assign(m_servers.size(), false);
        m_calls.push_back(std::move(call));
        send(m_calls.size() - 1);
    }

    // Chooses a server for a call with the node's present knowledge.
    void send(std::size_t index) {
        driven_call& call = m_calls[index];
        node& sender = m_nodes[call.m_node];
        std::vector<candidate> candidates;
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            const known_server& known = sender.m_servers[i];
            candidate entry = known.m_figures;
            entry.m_own_data_centre = m_servers[i].m_data_centre == sender.m_data_centre;
            entry.m_load_age = m_now - known.m_reported_at;
            entry.m_refusing = is_refusing(known.m_refusals, urgency::normal, m_now);
            entry.m_tried = call.m_tried[i];
            candidates.push_back(entry);
        }
        const duration usual =
            find_reference(sender.m_references, driven_routes.at(call.m_route).m_name);
        const auto chosen = is_overloaded(candidates) ? std::nullopt
                            : m_conditions.m_by_expected_time
                                ? choose_by_expected_time(candidates, usual, m_random)
                                : choose_candidate(candidates, m_random);
        if (!chosen || call.m_attempts == max_attempts) {
            m_result.m_refused += is_counted(call) ? 1 : 0;
            m_result.m_calls += is_counted(call) ? 1 : 0;
            return;
        }
        ++call.m_attempts;
        call.m_server = *chosen;
        call.m_tried[*chosen] = true;
        ++sender.m_servers[*chosen].m_figures.m_outstanding;
        ++sender.m_servers[*chosen].m_figures.m_unreported;
        schedule(m_now + trip(call), step::arrive, index);
    }

    void arrive(std::size_t index) {
        driven_call& call = m_calls[index];
        server& target = m_servers[call.m_server];
        const driven_route& route = driven_routes.at(call.m_route);
        call.m_arrived = m_now;
        const admission_result offered =
            admission_offer(target.m_admission,
                            {index + 1, urgency::normal, call.m_began + 3 * route.m_target,
                             call.m_began + route.m_target, route.m_name},
                            m_now);
        record_load(target.m_estimate, admission_load_permille(target.m_admission, m_now), m_now);
        if (offered.m_verdict == admission_verdict::run) {
            start(index);
        } else if (offered.m_verdict == admission_verdict::refuse) {
            reply(index, true, offered.m_retry_after);
        } else if (is_counted(call)) {
            ++m_result.m_queued;
            const std::size_t own = m_nodes[call.m_node].m_data_centre;
            m_result.m_waited += std::any_of(m_servers.begin(), m_servers.end(),
                                             [own](const server& other) {
                                                 return other.m_data_centre == own &&
                                                        other.m_admission.m_running < slots;
                                             })
                                     ? 1
                                     : 0;
        }
    }

    void start(std::size_t index) {
        driven_call& call = m_calls[index];
        call.m_started = m_now;
        const double spread = 0.6 + 0.8 * m_random.unit();
        const double run = seconds_real(driven_routes.at(call.m_route).m_work).count() * spread /
                           m_servers[call.m_server].m_speed *
                           m_conditions.m_slowness(call.m_server, elapsed());
        schedule(m_now + to_duration(run), step::finish, index);
    }

    // Starts and refuses the calls that left a server's queue.
    void apply(const released_calls& released) {
        for (const std::uint64_t call : released.m_run) {
            start(call - 1);
        }
        for (const std::uint64_t call : released.m_expired) {
            reply(call - 1, true, {});
        }
    }

    void finish(std::size_t index) {
        const driven_call& call = m_calls[index];
        server& target = m_servers[call.m_server];
        call_sample sample;
        sample.m_route = driven_routes.at(call.m_route).m_name;
        sample.m_latency = m_now - call.m_started;
        record_run_time(target.m_estimate, sample.m_route, sample.m_latency, m_now);
        const released_calls released = admission_finish(target.m_admission, sample, m_now);
        record_load(target.m_estimate, admission_load_permille(target.m_admission, m_now), m_now);
        reply(index, false, {});
        apply(released);
    }

    // Sends the answer or refusal of the present server with its figures.
    void reply(std::size_t index, bool refused, duration retry_after) {
        driven_call& call = m_calls[index];
        const server& target = m_servers[call.m_server];
        call.m_refused = refused;
        call.m_retry_after = retry_after;
        call.m_quality = admission_quality(target.m_admission, m_now);
        speed_report report =
            report_speed(target.m_estimate, driven_routes.at(call.m_route).m_name, m_now);
        report.m_slots = slots;
        report.m_held = m_now - call.m_arrived;
        call.m_report = parse_speed_report(format_speed_report(report)).value();
        schedule(m_now + trip(call), step::answer, index);
    }

    // Updates the node's knowledge with an answer; a refused call is sent to another server.
    void answer(std::size_t index) {
        driven_call& call = m_calls[index];
        node& sender = m_nodes[call.m_node];
        known_server& known = sender.m_servers[call.m_server];
        candidate& figures = known.m_figures;
        known.m_reported_at = m_now;
        --figures.m_outstanding;
        figures.m_unreported = 0;
        figures.m_load_permille = call.m_quality.m_load_permille;
        figures.m_failure_permille = call.m_quality.m_failure_permille;
        figures.m_latency = call.m_quality.m_latency;
        figures.m_slots = call.m_report.m_slots;
        figures.m_mean_load_permille = call.m_report.m_mean_load_permille;
        figures.m_slowness_permille = call.m_report.m_slowness_permille;
        figures.m_speed_factor =
            learn_speed_factor(sender.m_references, driven_routes.at(call.m_route).m_name,
                               call.m_report.m_usual_run, figures.m_speed_factor);
        figures.m_network_time = update_network_time(
            figures.m_network_time, m_now - call.m_arrived + trip(call), call.m_report.m_held);
        if (call.m_refused) {
            record_refusal(known.m_refusals, urgency::normal, call.m_retry_after, m_now);
            m_result.m_refusals += is_counted(call) ? 1 : 0;
            send(index);
            return;
        }
        record_acceptance(known.m_refusals, urgency::normal);
        if (is_counted(call)) {
            count_answer(call);
        }
    }

    void count_answer(const driven_call& call) {
        const duration took = m_now - call.m_began;
        const bool left =
            m_servers[call.m_server].m_data_centre != m_nodes[call.m_node].m_data_centre;
        ++m_result.m_calls;
        m_result.m_late += took > driven_routes.at(call.m_route).m_target ? 1 : 0;
        m_result.m_left += left ? 1 : 0;
        ++m_result.m_server_calls[call.m_server];
        m_result.m_left_calls[call.m_server] += left ? 1 : 0;
        m_times_ms.push_back(1'000 * seconds_real(took).count());
        const double began = seconds_real(call.m_began - m_start).count() - m_conditions.m_warmup;
        auto& interval = m_intervals[static_cast<std::size_t>(began / interval_s)];
        ++interval[0];
        interval[1] += left ? 1 : 0;
    }

    void summarise() {
        std::sort(m_times_ms.begin(), m_times_ms.end());
        for (const double time : m_times_ms) {
            m_result.m_mean_ms += time / static_cast<double>(m_times_ms.size());
        }
        m_result.m_p99_ms = m_times_ms.empty() ? 0 : m_times_ms[m_times_ms.size() * 99 / 100];
        for (const auto& interval : m_intervals) {
            m_result.m_left_by_interval.push_back(interval[0] > 0 ? interval[1] / interval[0]
                                                                  : 0.0);
        }
    }

    const drive& m_conditions;
    random_source m_random;
    const time_point m_start{std::chrono::seconds(100)};
    time_point m_now = m_start;
    std::vector<server> m_servers;
    std::vector<node> m_nodes;
    std::vector<driven_call> m_calls;
    std::priority_queue<event> m_events;
    std::uint64_t m_order = 0;
    std::vector<double> m_times_ms;
    std::vector<std::array<double, 2>> m_intervals; // calls, calls that left
    drive_result m_result;
};

} // namespace

drive_result run_drive(const drive& conditions) {
    return driver(conditions).run();
}

} // namespace caraway
