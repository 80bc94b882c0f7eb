// Baseline for the spread of configurations: every node watches the store itself and reads the
// whole text on each change. Prints one JSON object.

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

struct totals {
    std::uint64_t m_calls = 0;
    std::uint64_t m_bytes = 0;
    std::uint64_t m_throttled = 0;
};

// One node of the baseline.
struct watcher {
    std::unique_ptr<store_client> m_client;
    std::uint64_t m_after = 0;
    std::uint64_t m_seen = 0; // last change whose text was read
};

struct measurement {
    boost::asio::io_context m_context{1};
    std::vector<std::unique_ptr<watcher>> m_watchers;
    totals m_totals;
    std::uint64_t m_change = 0;
    std::chrono::steady_clock::time_point m_written;
    std::vector<double> m_delays_ms; // of the current change
    std::vector<double> m_medians_ms;
    std::vector<double> m_worsts_ms;
};

void watch(measurement& all, watcher& node);

void read_text(measurement& all, watcher& node, std::uint64_t change) {
    node.m_client->get(text_key, [&all, &node, change](const store_reply& reply) {
        if (reply.m_kind != error_kind::none) {
            read_text(all, node, change);
            return;
        }
        node.m_seen = change;
        const std::chrono::duration<double, std::milli> delay =
            std::chrono::steady_clock::now() - all.m_written;
        all.m_delays_ms.push_back(delay.count());
        watch(all, node);
    });
}

void watch(measurement& all, watcher& node) {
    node.m_client->watch(watched_prefix, node.m_after, watch_wait,
                         [&all, &node](const store_reply& reply) {
                             if (reply.m_kind != error_kind::none || reply.m_entries.empty()) {
                                 watch(all, node);
                                 return;
                             }
                             node.m_after = reply.m_revision;
                             read_text(all, node, all.m_change);
                         });
}

// Runs the context until the time has passed or the condition holds.
template <typename Condition>
void run_until(measurement& all, milliseconds limit, Condition holds) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!holds() && std::chrono::steady_clock::now() < end) {
        all.m_context.run_one_for(milliseconds{50});
    }
}

void change_once(measurement& all, store_client& writer, const std::string& text) {
    all.m_delays_ms.clear();
    ++all.m_change;
    bool written = false;
    writer.put(text_key, text + fmt::format("# {}\n", all.m_change), std::nullopt, {},
               [&](const store_reply&) {
                   all.m_written = std::chrono::steady_clock::now();
                   writer.put(accepted_key, fmt::format("{}", all.m_change), std::nullopt, {},
                              [&](const store_reply&) { written = true; });
               });
    run_until(all, milliseconds{18'000},
              [&] { return written && all.m_delays_ms.size() >= all.m_watchers.size(); });
    std::sort(all.m_delays_ms.begin(), all.m_delays_ms.end());
    if (!all.m_delays_ms.empty()) {
        all.m_medians_ms.push_back(all.m_delays_ms[all.m_delays_ms.size() / 2]);
        all.m_worsts_ms.push_back(all.m_delays_ms.back());
    }
    run_until(all, pause_between_changes, [] { return false; });
}

double median(std::vector<double> values) {
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[values.size() / 2];
}

} // namespace

int main(int argc, char** argv) {
    char* store = nullptr;
    char* file = nullptr;
    int nodes = 20;
    int changes = 20;
    const std::array options{
        poptOption{"store", 0, POPT_ARG_STRING, &store, 0, "address of the store", "IP:PORT"},
        poptOption{"text", 0, POPT_ARG_STRING, &file, 0, "text to write", "FILE"},
        poptOption{"nodes", 0, POPT_ARG_INT, &nodes, 0, "watching nodes", nullptr},
        poptOption{"changes", 0, POPT_ARG_INT, &changes, 0, "changes to make", nullptr},
        poptOption POPT_AUTOHELP poptOption POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext(nullptr, argc, const_cast<const char**>(argv), options.data(), 0),
        &poptFreeContext);
    while (poptGetNextOpt(context.get()) >= 0) {
    }
    const auto address = parse_endpoint(store == nullptr ? "" : store);
    std::ifstream in(file == nullptr ? "" : file, std::ios::binary);
    if (!address || !in) {
        fmt::print(stderr, "watch_baseline: --store IP:PORT and --text FILE are required\n");
        return 2;
    }
    const std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());

    measurement all;
    const auto count = [&all](const store_command&, error_kind kind, std::uint64_t sent,
                              std::uint64_t received) {
        ++all.m_totals.m_calls;
        all.m_totals.m_bytes += sent + received;
        all.m_totals.m_throttled += kind == error_kind::store_throttled ? 1 : 0;
    };
    const auto writer = store_client::create(all.m_context, {*address}, native_store_codec(),
                                             call_timeout, nullptr);
    for (int i = 0; i < nodes; ++i) {
        auto node = std::make_unique<watcher>();
        node->m_client = store_client::create(all.m_context, {*address}, native_store_codec(),
                                              call_timeout, count);
        all.m_watchers.push_back(std::move(node));
        watch(all, *all.m_watchers.back());
    }
    run_until(all, pause_between_changes, [] { return false; });
    for (int i = 0; i < changes; ++i) {
        change_once(all, *writer, text);
    }
    fmt::print(
        "{{\"nodes\":{},\"changes\":{},\"median_ms\":{:.1f},\"worst_ms\":{:.1f},"
        "\"store_calls_per_change\":{:.1f},\"bytes_per_change_per_node\":{:.0f},"
        "\"throttled\":{}}}\n",
        nodes, changes, median(all.m_medians_ms),
        all.m_worsts_ms.empty() ? 0.0
                                : *std::max_element(all.m_worsts_ms.begin(), all.m_worsts_ms.end()),
        static_cast<double>(all.m_totals.m_calls) / changes,
        static_cast<double>(all.m_totals.m_bytes) / changes / nodes, all.m_totals.m_throttled);
    return 0;
}
