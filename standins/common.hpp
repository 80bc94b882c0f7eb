// Command line, log line and signal handling shared by the stand-ins.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/json/object.hpp>

#include "base/clock.hpp"
#include "base/error.hpp"

namespace caraway::standins {

// One command-line option with the variable that receives its value. A vector collects the values
// of a repeated option; a bool is a flag without a value.
struct option_spec {
    const char* m_name;
    std::variant<std::int64_t*, double*, std::string*, std::vector<std::string>*, bool*> m_value;
    const char* m_help;
};

// Parses the command line. --help prints the options and exits with 0. Returns false with kind
// usage for an unknown option or a value that isn't a number where one is needed.
bool parse_command_line(int argc, const char** argv, std::span<const option_spec> options,
                        error& reason);

// Parses the command line; on a fault prints the reason and exits with the usage exit code.
void parse_command_line_or_exit(int argc, const char** argv, std::span<const option_spec> options);

// Parses IP:PORT. Fails with kind usage.
std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text, error& reason);

// Parses IP:PORT; on a fault prints the reason and exits with the usage exit code.
boost::asio::ip::tcp::endpoint endpoint_or_exit(std::string_view text);

// Prints the reason as a JSON line and exits with the exit code of its kind.
[[noreturn]] void exit_with_error(const error& reason);

// Writes one JSON line to standard error: time, level, event and the fields.
void log_line(std::string_view level, std::string_view event, boost::json::object fields = {});

// Runs the context until it is stopped, then exits the process with 0. On SIGTERM or SIGINT calls
// on_stop, which stops the context when the program's work is finished. Does not return.
[[noreturn]] void run_until_signal(boost::asio::io_context& context,
                                   std::function<void()> on_signal);

// Milliseconds since the Unix epoch, now.
std::int64_t now_unix_ms();

// 64-bit xxHash (XXH64, seed 0) of the bytes as 16 hexadecimal digits.
std::string xxh64_hex(std::string_view bytes);

} // namespace caraway::standins
