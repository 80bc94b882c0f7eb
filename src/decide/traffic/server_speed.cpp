#include "decide/traffic/server_speed.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace caraway {
namespace {

using seconds_real = std::chrono::duration<double>;

// Averaging time of the usual run times. Much longer than the slow periods of some hundred
// milliseconds, which would otherwise become usual.
constexpr seconds_real usual_lifetime{30.0};
// Averaging time of the recent run times. Slow periods last about 600 ms; a server gives 5 to 45
// answers in this time.
constexpr seconds_real recent_lifetime{0.25};
// Averaging time of the load: about the interval between two answers from one server to one node.
constexpr seconds_real load_lifetime{1.0};
// Weight of the usual speed, in calls. With 20 answers a second, a single answer that takes four
// times as long as usual raises the slowness by less than half.
constexpr double prior_calls = 2;
// Bound of the ratio of one run time to the usual one, so that a single answer that was stuck does
// not look like a slow server.
constexpr double max_single_ratio = 4;
// Answers of a route from which its usual run time is used.
constexpr std::uint32_t min_answers = 4;
// Maximum number of routes tracked; a service has few that are called often.
constexpr std::size_t max_routes = 256;
// Weight of a new report in a server's factor and in the reference of a route. The reports are
// averages already; the reference moves slowly, since reports of all servers change it.
constexpr double factor_weight = 0.5;
constexpr double reference_weight = 0.05;
// Bounds of a server's factor; servers of one service differ in speed by a factor of about three.
constexpr double min_factor = 0.05;
constexpr double max_factor = 20;
// Weight of a higher network time. Lower ones are taken at once, because delays in the two
// processes only ever add to it.
constexpr int network_rise_divisor = 16;
// Slowness from which a server counts as slow in the log, and below which it does no longer. Random
// variation of the run times rarely exceeds a third.
constexpr std::uint32_t slow_permille = 1'600;
constexpr std::uint32_t usual_permille = 1'200;
// Bounds of the figures in a report.
constexpr std::uint64_t max_load_permille = 10'000;
constexpr std::uint64_t max_slots = 100'000;
constexpr std::uint64_t min_slowness_permille = 100;
constexpr std::uint64_t max_slowness_permille = 10'000;
constexpr std::uint64_t max_time_us = 3'600'000'000;

// Returns the weight that remains after the elapsed time.
double remaining_weight(duration elapsed, seconds_real lifetime) {
    return std::exp(-std::max(0.0, seconds_real(elapsed) / lifetime));
}

std::uint64_t clamped_us(duration value) {
    const auto us = std::chrono::duration_cast<std::chrono::microseconds>(value).count();
    return us < 0 ? 0 : std::min<std::uint64_t>(static_cast<std::uint64_t>(us), max_time_us);
}

// Moves the usual run time of a route. The first answers are averaged evenly; later ones have a
// weight according to the time they stand for, so that the rate of calls does not matter.
void update_usual(usual_run_time& usual, duration run_time, time_point now) {
    ++usual.m_answers;
    const double by_time = 1 - remaining_weight(now - usual.m_updated, usual_lifetime);
    const double weight = std::max(std::min(1.0, by_time), 1.0 / usual.m_answers);
    usual.m_mean += std::chrono::duration_cast<duration>(weight * (run_time - usual.m_mean));
    usual.m_updated = now;
}

// Returns the mean load up to now.
double mean_load(const server_speed& speed, time_point now) {
    const double weight = remaining_weight(now - speed.m_load_changed, load_lifetime);
    return weight * speed.m_mean_load + (1 - weight) * speed.m_current_load;
}

} // namespace

// The answer is compared with the usual run time before it changes that.
void record_run_time(server_speed& speed, std::string_view route, duration run_time,
                     time_point now) {
    auto found = speed.m_routes.find(route);
    if (found == speed.m_routes.end()) {
        if (route.empty() || speed.m_routes.size() >= max_routes) {
            return;
        }
        found = speed.m_routes.emplace(route, usual_run_time{}).first;
        found->second.m_updated = now;
    }
    usual_run_time& usual = found->second;
    if (usual.m_answers >= min_answers && usual.m_mean > duration{}) {
        const double weight = remaining_weight(now - speed.m_answered, recent_lifetime);
        const double ratio = seconds_real(run_time) / seconds_real(usual.m_mean);
        speed.m_recent_ratios =
            weight * speed.m_recent_ratios + std::clamp(ratio, 0.0, max_single_ratio);
        speed.m_recent_answers = weight * speed.m_recent_answers + 1;
        speed.m_answered = now;
    }
    update_usual(usual, run_time, now);
}

void record_load(server_speed& speed, std::uint32_t load_permille, time_point now) {
    speed.m_mean_load = mean_load(speed, now);
    speed.m_current_load = load_permille / 1000.0;
    speed.m_load_changed = now;
}

// The recent values decay towards the prior, so that the slowness returns to 1 without answers.
speed_report report_speed(const server_speed& speed, std::string_view route, time_point now) {
    speed_report report;
    const double load = 1000 * mean_load(speed, now);
    report.m_mean_load_permille =
        static_cast<std::uint32_t>(std::min<double>(load, max_load_permille));
    const double weight = remaining_weight(now - speed.m_answered, recent_lifetime);
    const double slowness = (weight * speed.m_recent_ratios + prior_calls) /
                            (weight * speed.m_recent_answers + prior_calls);
    report.m_slowness_permille = static_cast<std::uint32_t>(std::clamp<double>(
        std::round(1000 * slowness), min_slowness_permille, max_slowness_permille));
    const auto found = speed.m_routes.find(route);
    if (found != speed.m_routes.end() && found->second.m_answers >= min_answers) {
        report.m_usual_run = found->second.m_mean;
    }
    return report;
}

bool is_slow(const speed_report& report, bool was_slow) {
    return report.m_slowness_permille >= (was_slow ? usual_permille : slow_permille);
}

std::string format_speed_report(const speed_report& report) {
    std::string text = std::to_string(report.m_mean_load_permille);
    for (const std::uint64_t value :
         {std::uint64_t{report.m_slots}, std::uint64_t{report.m_slowness_permille},
          clamped_us(report.m_usual_run), clamped_us(report.m_held)}) {
        text += ' ';
        text += std::to_string(value);
    }
    return text;
}

std::optional<speed_report> parse_speed_report(std::string_view text) {
    std::array<std::uint64_t, 5> values{};
    const char* position = text.data();
    const char* const end = text.data() + text.size();
    for (std::size_t i = 0; i < values.size(); ++i) {
        if (i > 0) {
            if (position == end || *position != ' ') {
                return std::nullopt;
            }
            ++position;
        }
        const auto [next, problem] = std::from_chars(position, end, values[i]);
        if (problem != std::errc{}) {
            return std::nullopt;
        }
        position = next;
    }
    const auto [load, slots, slowness, usual_us, held_us] = values;
    if (position != end || load > max_load_permille || slots > max_slots ||
        slowness < min_slowness_permille || slowness > max_slowness_permille ||
        usual_us > max_time_us || held_us > max_time_us) {
        return std::nullopt;
    }
    return speed_report{static_cast<std::uint32_t>(load), static_cast<std::uint32_t>(slots),
                        static_cast<std::uint32_t>(slowness), std::chrono::microseconds(usual_us),
                        std::chrono::microseconds(held_us)};
}

// A new route gets its reference from the factor of the server that reported it first, and a new
// server its factor from the reference, so that all values stay on one scale.
double learn_speed_factor(route_references& references, std::string_view route, duration usual_run,
                          double factor) {
    const double run = seconds_real(usual_run).count();
    if (run <= 0 || route.empty()) {
        return factor;
    }
    const auto found = references.find(route);
    if (found == references.end()) {
        factor = factor > 0 ? factor : 1;
        if (references.size() < max_routes) {
            references.emplace(route, run / factor);
        }
        return factor;
    }
    const double measured = run / found->second;
    factor = std::clamp(factor > 0 ? factor + factor_weight * (measured - factor) : measured,
                        min_factor, max_factor);
    found->second += reference_weight * (run / factor - found->second);
    return factor;
}

duration find_reference(const route_references& references, std::string_view route) {
    const auto found = references.find(route);
    return found == references.end()
               ? duration{}
               : std::chrono::duration_cast<duration>(seconds_real(found->second));
}

duration update_network_time(duration known, duration waited, duration held) {
    const duration measured = std::max(waited - held, duration{1});
    if (known == duration{} || measured < known) {
        return measured;
    }
    return known + (measured - known) / network_rise_divisor;
}

} // namespace caraway
