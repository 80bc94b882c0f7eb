#include "standins/common.hpp"

#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <memory>

#include <boost/asio/signal_set.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>
#include <popt.h>
#include <xxhash.h>

namespace caraway::standins {
namespace {

// Parses a number that makes up the whole text. Returns false for anything else.
template <typename T>
bool parse_number(std::string_view text, T& value) {
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    return ec == std::errc() && end == text.data() + text.size();
}

// Stores the value of one option in its variable. Returns false if the option requires a number and
// the text isn't one.
bool store_option_value(const option_spec& option, const char* text) {
    if (auto* const* flag = std::get_if<bool*>(&option.m_value)) {
        **flag = true;
        return true;
    }
    if (text == nullptr) {
        return false;
    }
    if (auto* const* number = std::get_if<std::int64_t*>(&option.m_value)) {
        return parse_number(text, **number);
    }
    if (auto* const* real = std::get_if<double*>(&option.m_value)) {
        return parse_number(text, **real);
    }
    if (auto* const* string = std::get_if<std::string*>(&option.m_value)) {
        **string = text;
    } else {
        std::get<std::vector<std::string>*>(option.m_value)->emplace_back(text);
    }
    return true;
}

// Returns the text that --help prints for an option: its description and, for a number, its
// default.
std::string help_text(const option_spec& option) {
    if (auto* const* number = std::get_if<std::int64_t*>(&option.m_value)) {
        return fmt::format("{} ({})", option.m_help, **number);
    }
    if (auto* const* real = std::get_if<double*>(&option.m_value)) {
        return fmt::format("{} ({})", option.m_help, **real);
    }
    return option.m_help;
}

} // namespace

bool parse_command_line(int argc, const char** argv, std::span<const option_spec> options,
                        error& reason) {
    std::vector<poptOption> table;
    // popt keeps pointers to the texts, which stay valid while a deque grows.
    std::deque<std::string> help_texts;
    for (std::size_t i = 0; i < options.size(); ++i) {
        const bool flag = std::holds_alternative<bool*>(options[i].m_value);
        help_texts.push_back(help_text(options[i]));
        table.push_back({options[i].m_name, '\0',
                         static_cast<unsigned>(flag ? POPT_ARG_NONE : POPT_ARG_STRING), nullptr,
                         static_cast<int>(i + 1), help_texts.back().c_str(),
                         flag ? nullptr : "VALUE"});
    }
    table.push_back({nullptr, '\0', POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0, "Help:", nullptr});
    table.push_back({nullptr, '\0', 0, nullptr, 0, nullptr, nullptr});
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
        poptGetContext(nullptr, argc, argv, table.data(), 0), poptFreeContext);
    int index = 0;
    while ((index = poptGetNextOpt(context.get())) > 0) {
        const option_spec& option = options[static_cast<std::size_t>(index) - 1];
        const std::unique_ptr<char, void (*)(void*)> text(poptGetOptArg(context.get()), std::free);
        if (!store_option_value(option, text.get())) {
            fail(reason, error_kind::usage,
                 fmt::format("--{}: missing or malformed value", option.m_name));
            return false;
        }
    }
    if (index < -1) {
        fail(reason, error_kind::usage,
             fmt::format("{}: {}", poptBadOption(context.get(), 0), poptStrerror(index)));
        return false;
    }
    if (const char* unexpected_argument = poptGetArg(context.get())) {
        fail(reason, error_kind::usage, fmt::format("unexpected argument {}", unexpected_argument));
        return false;
    }
    return true;
}

void parse_command_line_or_exit(int argc, const char** argv, std::span<const option_spec> options) {
    error reason;
    if (!parse_command_line(argc, argv, options, reason)) {
        exit_with_error(reason);
    }
}

std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text, error& reason) {
    const std::size_t colon = text.rfind(':');
    std::uint16_t port = 0;
    boost::system::error_code ec;
    if (colon == std::string_view::npos || !parse_number(text.substr(colon + 1), port)) {
        return fail(reason, error_kind::usage, fmt::format("'{}' is not IP:PORT", text));
    }
    // make_address resolves no host names.
    const auto address = boost::asio::ip::make_address(std::string(text.substr(0, colon)), ec);
    if (ec) {
        return fail(reason, error_kind::usage, fmt::format("'{}' is not IP:PORT", text));
    }
    return boost::asio::ip::tcp::endpoint(address, port);
}

boost::asio::ip::tcp::endpoint endpoint_or_exit(std::string_view text) {
    error reason;
    const auto endpoint = parse_endpoint(text, reason);
    if (!endpoint) {
        exit_with_error(reason);
    }
    return *endpoint;
}

void exit_with_error(const error& reason) {
    const error_info& info = error_info_for(reason.m_kind);
    log_line("error", "failed", {{"reason", info.m_name}, {"text", reason.m_text}});
    std::exit(info.m_exit_code);
}

void log_line(std::string_view level, std::string_view event, boost::json::object fields) {
    boost::json::object line{{"time", now_unix_ms()}, {"level", level}, {"event", event}};
    for (auto& field : fields) {
        line.insert(field);
    }
    const std::string text = boost::json::serialize(line) + "\n";
    std::fwrite(text.data(), 1, text.size(), stderr);
}

void run_until_signal(boost::asio::io_context& context, std::function<void()> on_signal) {
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code ec, int) {
        if (!ec) {
            on_signal();
        }
    });
    context.run();
    std::fflush(nullptr);
    // Suspended coroutines refer to objects in main(), so the process exits without unwinding them.
    std::_Exit(0);
}

std::int64_t now_unix_ms() {
    return unix_ms(std::chrono::system_clock::now());
}

std::string xxh64_hex(std::string_view bytes) {
    return fmt::format("{:016x}", XXH64(bytes.data(), bytes.size(), 0));
}

} // namespace caraway::standins
