// carawayd: the node process beside each backend server instance.

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <fstream>
#include <iterator>
#include <malloc.h>
#include <memory>

#include <fmt/format.h>
#include <popt.h>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "config/settings.hpp"
#include "node/node.hpp"
#include "observe/log.hpp"
#include "platform/platform_adapter.hpp"

namespace {

using namespace caraway;

constexpr const char* version_text = "carawayd 0.1.0\n";

// The parsed command line.
struct arguments {
    bool m_check_only = false;
    bool m_print_version = false;
    bool m_use_platform = false;
    std::string m_settings_file;
    // Facts about the instance that replace those of the settings file; 0 if not stated.
    double m_memory_mb = 0;
    double m_link_mbps = 0;
};

// Upper bound of the stated facts, so that conversions can't overflow.
constexpr double max_stated_fact = 1e9;
constexpr double bytes_per_mb = 1e6;

// Parses the command line. On failure, prints the reason or the usage and returns nothing.
std::optional<arguments> parse_arguments(int argc, char** argv) {
    int check = 0;
    int version = 0;
    int platform = 0;
    double memory_mb = 0;
    double link_mbps = 0;
    const std::array options{
        poptOption{"check", 'c', POPT_ARG_NONE, &check, 0, "check the settings and exit", nullptr},
        poptOption{"version", 'V', POPT_ARG_NONE, &version, 0, "print the version and exit",
                   nullptr},
        poptOption{"platform", 'p', POPT_ARG_NONE, &platform, 0,
                   "use the platform's interfaces instead of the built-in ones", nullptr},
        poptOption{"memory-mb", 0, POPT_ARG_DOUBLE, &memory_mb, 0,
                   "memory of the instance; replaces instance.memory", "MB"},
        poptOption{"link-mbps", 0, POPT_ARG_DOUBLE, &link_mbps, 0,
                   "rate of the instance's link; replaces traffic.link_mbps", "MBIT/S"},
        poptOption POPT_AUTOHELP poptOption POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext(nullptr, argc, const_cast<const char**>(argv), options.data(), 0),
        &poptFreeContext);
    poptSetOtherOptionHelp(context.get(), "[OPTION...] SETTINGS.toml");
    const int status = poptGetNextOpt(context.get());
    if (status < -1) {
        fmt::print(stderr, "{}: {}\n", poptBadOption(context.get(), 0), poptStrerror(status));
        return std::nullopt;
    }
    const auto is_fact = [](double value) { return value >= 0 && value <= max_stated_fact; };
    if (!is_fact(memory_mb) || !is_fact(link_mbps)) {
        fmt::print(stderr, "--memory-mb and --link-mbps must be from 0 to {}\n", max_stated_fact);
        return std::nullopt;
    }
    arguments result{check != 0, version != 0, platform != 0, {}, memory_mb, link_mbps};
    const char* file = poptGetArg(context.get());
    if (file == nullptr && !result.m_print_version) {
        poptPrintUsage(context.get(), stderr, 0);
        return std::nullopt;
    }
    result.m_settings_file = file == nullptr ? "" : file;
    return result;
}

// Loads and validates the settings file. On failure, prints every fault and returns nothing.
std::optional<node_settings> load_settings(const arguments& parsed_arguments) {
    std::ifstream in(parsed_arguments.m_settings_file, std::ios::binary);
    if (!in) {
        fmt::print(stderr, "{}: cannot be read\n", parsed_arguments.m_settings_file);
        return std::nullopt;
    }
    const std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    std::vector<text_fault> faults;
    auto settings = parse_settings(text, faults);
    for (const text_fault& fault : faults) {
        fmt::print(stderr, "{}\n", format_fault(parsed_arguments.m_settings_file, fault));
    }
    if (settings && parsed_arguments.m_memory_mb > 0) {
        settings->m_memory_bytes =
            static_cast<std::uint64_t>(parsed_arguments.m_memory_mb * bytes_per_mb);
    }
    if (settings && parsed_arguments.m_link_mbps > 0) {
        settings->m_link_mbps = parsed_arguments.m_link_mbps;
    }
    if (settings && parsed_arguments.m_use_platform) {
        settings->m_edge_headers = platform::make_edge_headers();
    }
    return settings;
}

// Reloads the settings on each SIGHUP. If the new ones are invalid, the current settings stay in
// force.
void reload_on_hangup(boost::asio::signal_set& hangups, node& running,
                      const arguments& parsed_arguments) {
    hangups.async_wait(
        [&hangups, &running, &parsed_arguments](const boost::system::error_code& ec, int) {
            if (ec) {
                return;
            }
            if (auto settings = load_settings(parsed_arguments)) {
                running.reload(*settings);
            } else {
                log_event(log_level::error, "settings_rejected",
                          {{"file", parsed_arguments.m_settings_file}});
            }
            reload_on_hangup(hangups, running, parsed_arguments);
        });
}

// Size in bytes from which malloc maps memory separately, and returns it to the system when it is
// freed. Unless it is set, malloc raises it up to 32 MiB after large answers, whose memory then
// stays in the heap and comes on top of that of held bodies.
constexpr int mapped_allocation_bytes = 256 << 10;
// Free bytes at the end of the heap above which malloc returns them to the system. Larger than what
// a burst of small requests frees, so that these cause no system calls.
constexpr int kept_free_bytes = 4 << 20;

// Runs a node until SIGTERM or SIGINT has shut it down; returns the exit code.
int run(const node_settings& settings, const arguments& parsed_arguments) {
    const system_clock_source clock;
    boost::asio::io_context context(1);
    error reason;
    const std::unique_ptr<node> running =
        node::start(context, settings,
                    parsed_arguments.m_use_platform ? platform::make_adapter() : default_adapter(),
                    clock, reason);
    if (!running) {
        log_event(log_level::error, "start_failed", {{"reason", reason.m_text}});
        return error_info_for(reason.m_kind).m_exit_code;
    }
    boost::asio::signal_set hangups(context, SIGHUP);
    reload_on_hangup(hangups, *running, parsed_arguments);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&running](const boost::system::error_code& ec, int /*signal*/) {
        if (!ec) {
            running->shut_down();
        }
    });
    context.run();
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    mallopt(M_MMAP_THRESHOLD, mapped_allocation_bytes);
    mallopt(M_TRIM_THRESHOLD, kept_free_bytes);
    const auto parsed_arguments = parse_arguments(argc, argv);
    if (!parsed_arguments) {
        return error_info_for(error_kind::usage).m_exit_code;
    }
    if (parsed_arguments->m_print_version) {
        fmt::print("{}", version_text);
        return 0;
    }
    const auto settings = load_settings(*parsed_arguments);
    if (!settings) {
        return error_info_for(error_kind::invalid_settings).m_exit_code;
    }
    return parsed_arguments->m_check_only ? 0 : run(*settings, *parsed_arguments);
}
