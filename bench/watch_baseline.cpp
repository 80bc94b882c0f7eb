// Baseline for the distribution of configurations: every node watches the store itself and reads
// the whole text after each change. Prints one JSON object.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iterator>
#include <memory>
#include <vector>

#include <fmt/format.h>
#include <popt.h>

#include "store/store_client.hpp"

namespace {

using namespace caraway;

constexpr const char* watched_prefix = "caraway/state/";
constexpr const char* accepted_key = "caraway/state/accepted";
constexpr const char* text_key = "caraway/accepted-text/baseline";
constexpr milliseconds watch_wait{20'000};
constexpr milliseconds call_timeout{10'000};
constexpr milliseconds pause_between_changes{1'000};

// Totals of all watchers' store calls.
struct store_totals {
    std::uint64_t m_calls = 0;
    std::uint64_t m_bytes = 0;
    std::uint64_t m_throttled = 0;
};

// A node of the baseline, which watches the store on its own.
struct watcher {
    std::unique_ptr<store_client> m_client;
    std::uint64_t m_watch_revision = 0;   // the watch returns later changes
    std::uint64_t m_last_read_change = 0; // number of the last change whose text it read
};

// State of the whole measurement; used on one thread only.
struct measurement {
    boost::asio::io_context m_context{1};
    std::vector<std::unique_ptr<watcher>> m_watchers;
    store_totals m_totals;
    std::uint64_t m_change = 0;
    std::chrono::steady_clock::time_point m_written;
    std::vector<double> m_delays_ms;        // of the current change
    std::vector<double> m_median_delays_ms; // of each change
    std::vector<double> m_max_delays_ms;    // of each change
};

// Watches the prefix. After a change, reads the text before it watches again. Without a change or
// after a failure, watches again at once.
void watch(measurement& state, watcher& node);

// Reads the text of a change, retries until that succeeds, records the delay and watches again.
void read_text(measurement& state, watcher& node, std::uint64_t change) {
    node.m_client->get(text_key, [&state, &node, change](const store_reply& reply) {
        if (reply.m_kind != error_kind::none) {
            read_text(state, node, change);
            return;
        }
        node.m_last_read_change = change;
        const std::chrono::duration<double, std::milli> delay =
            std::chrono::steady_clock::now() - state.m_written;
        state.m_delays_ms.push_back(delay.count());
        watch(state, node);
    });
}

void watch(measurement& state, watcher& node) {
    node.m_client->watch(watched_prefix, node.m_watch_revision, watch_wait,
                         [&state, &node](const store_reply& reply) {
                             if (reply.m_kind != error_kind::none || reply.m_entries.empty()) {
                                 watch(state, node);
                                 return;
                             }
                             node.m_watch_revision = reply.m_revision;
                             read_text(state, node, state.m_change);
                         });
}

// Runs the event loop until the condition holds or the limit expires.
template <typename Condition>
void run_until(measurement& state, milliseconds limit, Condition is_met) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!is_met() && std::chrono::steady_clock::now() < end) {
        state.m_context.run_one_for(milliseconds{50});
    }
}

// Writes a new text and a new accepted version, then waits until every watcher has read the text,
// at most 18 s.
void apply_change(measurement& state, store_client& writer, const std::string& text) {
    state.m_delays_ms.clear();
    ++state.m_change;
    bool written = false;
    writer.put(text_key, text + fmt::format("# {}\n", state.m_change), std::nullopt, {},
               [&](const store_reply&) {
                   state.m_written = std::chrono::steady_clock::now();
                   writer.put(accepted_key, fmt::format("{}", state.m_change), std::nullopt, {},
                              [&](const store_reply&) { written = true; });
               });
    run_until(state, milliseconds{18'000},
              [&] { return written && state.m_delays_ms.size() >= state.m_watchers.size(); });
    std::sort(state.m_delays_ms.begin(), state.m_delays_ms.end());
    if (!state.m_delays_ms.empty()) {
        state.m_median_delays_ms.push_back(state.m_delays_ms[state.m_delays_ms.size() / 2]);
        state.m_max_delays_ms.push_back(state.m_delays_ms.back());
    }
    run_until(state, pause_between_changes, [] { return false; });
}

double median(std::vector<double> values) {
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[values.size() / 2];
}

} // namespace

int main(int argc, char** argv) {
    char* store_address = nullptr;
    char* text_file = nullptr;
    int nodes = 20;
    int changes = 20;
    const std::array options{
        poptOption{"store", 0, POPT_ARG_STRING, &store_address, 0, "address of the store",
                   "IP:PORT"},
        poptOption{"text", 0, POPT_ARG_STRING, &text_file, 0, "text to write", "FILE"},
        poptOption{"nodes", 0, POPT_ARG_INT, &nodes, 0, "number of watching nodes", nullptr},
        poptOption{"changes", 0, POPT_ARG_INT, &changes, 0, "number of changes", nullptr},
        poptOption POPT_AUTOHELP poptOption POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext(nullptr, argc, const_cast<const char**>(argv), options.data(), 0),
        &poptFreeContext);
    while (poptGetNextOpt(context.get()) >= 0) {
    }
    const auto address = parse_endpoint(store_address == nullptr ? "" : store_address);
    std::ifstream in(text_file == nullptr ? "" : text_file, std::ios::binary);
    if (!address || !in) {
        fmt::print(stderr, "watch_baseline: --store IP:PORT and --text FILE are required\n");
        return 2;
    }
    const std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());

    measurement state;
    const auto count_call = [&state](const store_command&, error_kind kind, std::uint64_t sent,
                                     std::uint64_t received) {
        ++state.m_totals.m_calls;
        state.m_totals.m_bytes += sent + received;
        state.m_totals.m_throttled += kind == error_kind::store_throttled ? 1 : 0;
    };
    const auto writer = store_client::create(state.m_context, {*address}, native_store_codec(),
                                             call_timeout, nullptr);
    for (int i = 0; i < nodes; ++i) {
        auto node = std::make_unique<watcher>();
        node->m_client = store_client::create(state.m_context, {*address}, native_store_codec(),
                                              call_timeout, count_call);
        state.m_watchers.push_back(std::move(node));
        watch(state, *state.m_watchers.back());
    }
    run_until(state, pause_between_changes, [] { return false; });
    for (int i = 0; i < changes; ++i) {
        apply_change(state, *writer, text);
    }
    fmt::print("{{\"nodes\":{},\"changes\":{},\"median_ms\":{:.1f},\"worst_ms\":{:.1f},"
               "\"store_calls_per_change\":{:.1f},\"bytes_per_change_per_node\":{:.0f},"
               "\"throttled\":{}}}\n",
               nodes, changes, median(state.m_median_delays_ms),
               state.m_max_delays_ms.empty()
                   ? 0.0
                   : *std::max_element(state.m_max_delays_ms.begin(), state.m_max_delays_ms.end()),
               static_cast<double>(state.m_totals.m_calls) / changes,
               static_cast<double>(state.m_totals.m_bytes) / changes / nodes,
               state.m_totals.m_throttled);
    return 0;
}
