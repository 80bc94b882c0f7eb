// Command-line parsing, logging and signal handling for the stand-ins, the programs that replace
// the users' store, backend servers, callers and network in tests.
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

// Describes one command-line option and points to the variable that receives its value, which must
// outlive the parsing. A vector collects the values of a repeated option; a bool is a flag that
// takes no value.
struct option_spec {
    const char* m_name;
    std::variant<std::int64_t*, double*, std::string*, std::vector<std::string>*, bool*> m_value;
    const char* m_help;
};

// Parses the command line into the variables of the options. Returns false with an error of kind
// usage for an unknown option, an unexpected argument or a malformed number. With --help, prints
// the options and exits the process with 0.
bool parse_command_line(int argc, const char** argv, std::span<const option_spec> options,
                        error& reason);

// Parses the command line like parse_command_line(). On an error, logs the reason and exits the
// process with the exit code for usage errors.
void parse_command_line_or_exit(int argc, const char** argv, std::span<const option_spec> options);

// Parses IP:PORT; host names are not resolved. Returns nothing and an error of kind usage if the
// text is malformed.
std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text, error& reason);

// Parses IP:PORT. On an error, logs the reason and exits the process with the exit code for usage
// errors.
boost::asio::ip::tcp::endpoint endpoint_or_exit(std::string_view text);

// Logs the error and exits the process with the exit code that belongs to its kind.
[[noreturn]] void exit_with_error(const error& reason);

// Writes one line of JSON to standard error with the time in Unix milliseconds, the level, the
// event and the fields.
void log_line(std::string_view level, std::string_view event, boost::json::object fields = {});

// Runs the context until it is stopped, then exits the process with 0. On the first SIGTERM or
// SIGINT calls on_signal, which must stop the context once the program has finished its work. Does
// not return.
[[noreturn]] void run_until_signal(boost::asio::io_context& context,
                                   std::function<void()> on_signal);

// Returns the current time in milliseconds since the Unix epoch.
std::int64_t now_unix_ms();

// Returns the 64-bit xxHash (XXH64, seed 0) of the bytes as 16 hexadecimal digits.
std::string xxh64_hex(std::string_view bytes);

} // namespace caraway::standins
