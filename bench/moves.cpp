// Compares the decision code for version moves with a policy of fixed steps and an error threshold
// in simulated moves. Prints a table; --json also writes the results to a file.
#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include <boost/json.hpp>
#include <fmt/format.h>
#include <popt.h>

#include "bench/move_simulation.hpp"

using namespace caraway;
using namespace caraway::bench;

namespace {

// Returns the quantile that is given as a fraction from 0 to 1, or 0 if there are no values.
double quantile(std::vector<double> values, double fraction) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(std::lround(fraction * last))];
}

// Simulates one scenario under one policy, prints its row and returns the row as JSON.
boost::json::object measure(move_scenario scenario, move_policy policy, int runs,
                            std::uint64_t seed, const simulation_options& options) {
    int runs_taken_back = 0;
    int runs_in_time = 0;
    int runs_with_visible_defect = 0;
    std::vector<double> seconds_to_stop;
    std::vector<double> shares_before_visible;
    std::vector<double> harmed_calls;
    std::vector<double> calls_after_3s;
    std::uint32_t largest_weight = 0;
    for (int i = 0; i < runs; ++i) {
        const move_result result =
            simulate_move(scenario, policy, seed + static_cast<std::uint64_t>(i), options);
        runs_taken_back += result.m_state == move_state::taken_back ? 1 : 0;
        runs_in_time += result.m_in_time ? 1 : 0;
        harmed_calls.push_back(static_cast<double>(result.m_harmed_calls));
        if (result.m_defect_visible_s) {
            ++runs_with_visible_defect;
            largest_weight = std::max(largest_weight, result.m_max_weight_before_visible);
            shares_before_visible.push_back(result.m_share_before_visible);
            calls_after_3s.push_back(static_cast<double>(result.m_calls_after_3s));
            if (result.m_traffic_stopped_s) {
                seconds_to_stop.push_back(*result.m_traffic_stopped_s - *result.m_defect_visible_s);
            }
        }
    }
    const std::string name(scenario_name(scenario));
    const std::string policy_name =
        policy == move_policy::sequential ? "sequential" : "fixed steps";
    fmt::print("{:<25} {:<11} {:>5} {:>6} {:>6} {:>7} {:>7.1f} {:>7.1f} {:>7} {:>7.2f} {:>7.0f} "
               "{:>7.0f} {:>7.0f}\n",
               name, policy_name, runs, runs_taken_back, runs_in_time, runs_with_visible_defect,
               quantile(seconds_to_stop, 0.5), quantile(seconds_to_stop, 0.95), largest_weight,
               100 * quantile(shares_before_visible, 1.0), quantile(harmed_calls, 0.5),
               quantile(harmed_calls, 0.95), quantile(calls_after_3s, 0.5));
    boost::json::object row;
    row["kind"] = name;
    row["policy"] = policy_name;
    row["good"] = is_good_scenario(scenario);
    row["runs"] = runs;
    row["taken_back"] = runs_taken_back;
    row["done_in_time"] = runs_in_time;
    row["visible"] = runs_with_visible_defect;
    row["seconds_to_stop_median"] = quantile(seconds_to_stop, 0.5);
    row["seconds_to_stop_p95"] = quantile(seconds_to_stop, 0.95);
    row["largest_weight_before_permille"] = largest_weight;
    row["largest_share_before_percent"] = 100 * quantile(shares_before_visible, 1.0);
    row["calls_harmed_median"] = quantile(harmed_calls, 0.5);
    row["calls_harmed_p95"] = quantile(harmed_calls, 0.95);
    row["calls_after_3s_median"] = quantile(calls_after_3s, 0.5);
    return row;
}

} // namespace

int main(int argc, const char** argv) {
    char* json_file = nullptr;
    int runs = 200;
    long seed = 1;
    double time_limit_s = 300;
    double min_rate = 50;
    double max_rate = 500;
    const std::array option_table{
        poptOption{"json", 0, POPT_ARG_STRING, &json_file, 0, "write the results to FILE", "FILE"},
        poptOption{"runs", 0, POPT_ARG_INT, &runs, 0, "runs of each scenario", "N"},
        poptOption{"seed", 0, POPT_ARG_LONG, &seed, 0, "seed of the first run", "N"},
        poptOption{"given", 0, POPT_ARG_DOUBLE, &time_limit_s, 0, "time limit of a move",
                   "SECONDS"},
        poptOption{"min-rate", 0, POPT_ARG_DOUBLE, &min_rate, 0, "lowest rate in calls per second",
                   "N"},
        poptOption{"max-rate", 0, POPT_ARG_DOUBLE, &max_rate, 0, "highest rate in calls per second",
                   "N"},
        poptOption{nullptr, 0, POPT_ARG_INCLUDE_TABLE,
                   poptHelpOptions, // NOLINT(cppcoreguidelines-pro-type-cstyle-cast): popt's macro
                   0, "Help options:", nullptr},
        poptOption{nullptr, 0, 0, nullptr, 0, nullptr, nullptr}};
    poptContext context = poptGetContext("moves", argc, argv, option_table.data(), 0);
    const int parsed = poptGetNextOpt(context);
    if (parsed < -1 || runs < 1 || time_limit_s < 10 || min_rate <= 0 || max_rate < min_rate) {
        fmt::print(stderr, "moves: invalid arguments; see --help\n");
        poptFreeContext(context);
        return 2;
    }
    const simulation_options options{time_limit_s, min_rate, max_rate};
    fmt::print("{} runs of each kind, seed {}, {} s given, {} to {} calls/s, 5 instances of each "
               "version, 4 routes with 60, 25, 10 and 5% of the calls.\n"
               "A defect is visible from the third call that it harms. before: largest weight "
               "(permille) and largest share of all calls (%) until then; after: calls of the new "
               "version later than 3 s after.\n",
               runs, seed, time_limit_s, min_rate, max_rate);
    fmt::print("{:<25} {:<11} {:>5} {:>6} {:>6} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7}\n",
               "kind", "policy", "runs", "back", "intime", "visible", "stop50", "stop95", "weight",
               "share%", "harm50", "harm95", "after50");
    boost::json::array rows;
    for (const move_scenario scenario : move_scenarios) {
        for (const move_policy policy : {move_policy::sequential, move_policy::fixed_steps}) {
            rows.push_back(
                measure(scenario, policy, runs, static_cast<std::uint64_t>(seed), options));
        }
    }
    int status = 0;
    if (json_file != nullptr) {
        boost::json::object all;
        all["bench"] = "moves";
        all["runs"] = runs;
        all["seed"] = seed;
        all["given_s"] = time_limit_s;
        all["min_rate"] = min_rate;
        all["max_rate"] = max_rate;
        all["rows"] = rows;
        std::ofstream file(json_file);
        file << boost::json::serialize(all) << '\n';
        if (!file.flush()) {
            fmt::print(stderr, "moves: can't write {}\n", json_file);
            status = 1;
        }
    }
    poptFreeContext(context);
    return status;
}
