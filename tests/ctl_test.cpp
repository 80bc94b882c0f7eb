// Tests of carawayctl's commands against a fake store, and of the log audit.
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <unistd.h>

#include "base/hash.hpp"
#include "config/mesh.hpp"
#include "ctl/audit.hpp"
#include "ctl/commands.hpp"
#include "peer/wire.hpp"
#include "tests/support.hpp"

#include <fmt/format.h>

using namespace caraway;

namespace {

constexpr std::string_view s_text = R"(format = 1
name = "small"
[data_centre.east]
[service.alpha]
version = "1"
[[route]]
path = "/alpha"
service = "alpha"
)";

// A temporary folder that is removed at the end of the test case.
struct scratch_folder {
    std::filesystem::path m_path =
        std::filesystem::temp_directory_path() / fmt::format("caraway-ctl-test-{}", ::getpid());
    scratch_folder() { std::filesystem::create_directories(m_path); }
    scratch_folder(const scratch_folder&) = delete;
    scratch_folder& operator=(const scratch_folder&) = delete;
    scratch_folder(scratch_folder&&) = delete;
    scratch_folder& operator=(scratch_folder&&) = delete;
    ~scratch_folder() { std::filesystem::remove_all(m_path); }

    std::string write(const std::string& name, std::string_view text) const {
        std::ofstream(m_path / name, std::ios::binary) << text;
        return (m_path / name).string();
    }
    std::string read(const std::string& name) const {
        std::ifstream file(m_path / name, std::ios::binary);
        return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    }
};

// Fault of a write: the reply is lost before or after the write takes effect. In the last case the
// written value is also overwritten at once by another writer.
enum class put_fault : std::uint8_t { none, lost_before, lost_after, lost_after_and_overwritten };

// An in-memory store with injected faults.
struct fake_store {
    std::map<std::string, store_entry, std::less<>> m_keys;
    std::uint64_t m_revision = 10;
    std::vector<put_fault> m_faults;    // faults of the next text writes, in order
    bool m_down = false;                // reads fail
    std::vector<store_entry> m_changes; // changes that m_follow passes to the handler
    std::size_t m_writes = 0;           // writes of keys other than the text's delta
    std::size_t m_delta_writes = 0;     // writes of the text's delta, which have no faults

    void set(const std::string& key, std::string_view value) {
        m_keys[key] = {key, ++m_revision, std::string(value), false};
    }

    store_reply put(std::string_view key, std::string_view value, std::uint64_t if_revision) {
        store_reply reply;
        const bool text = key != "caraway/text-delta";
        const put_fault fault =
            text && m_writes < m_faults.size() ? m_faults[m_writes] : put_fault::none;
        ++(text ? m_writes : m_delta_writes);
        const auto found = m_keys.find(key);
        const std::uint64_t current = found == m_keys.end() ? 0 : found->second.m_revision;
        reply.m_kind =
            fault == put_fault::none ? error_kind::none : error_kind::store_outcome_unknown;
        if (fault == put_fault::lost_before) {
            return reply;
        }
        if (current != if_revision) {
            reply.m_kind = error_kind::store_conflict;
            reply.m_revision = current;
            return reply;
        }
        set(std::string(key), value);
        reply.m_revision = m_revision;
        if (fault == put_fault::lost_after_and_overwritten) {
            set(std::string(key), s_text);
        }
        return reply;
    }

    store_interface calls() {
        store_interface calls;
        calls.m_get = [this](std::string_view key) {
            store_reply reply;
            const auto found = m_keys.find(key);
            if (m_down) {
                reply.m_kind = error_kind::store_unreachable;
            } else if (found == m_keys.end()) {
                reply.m_kind = error_kind::store_not_found;
            } else {
                reply.m_value = found->second.m_value;
                reply.m_revision = found->second.m_revision;
            }
            return reply;
        };
        calls.m_put = [this](std::string_view key, std::string_view value,
                             std::uint64_t if_revision) { return put(key, value, if_revision); };
        calls.m_list = [this](std::string_view prefix) {
            store_reply reply;
            reply.m_kind = m_down ? error_kind::store_unreachable : error_kind::none;
            reply.m_revision = m_revision;
            for (const auto& [key, entry] : m_keys) {
                if (key.starts_with(prefix)) {
                    reply.m_entries.push_back(entry);
                }
            }
            return reply;
        };
        calls.m_follow = [this](std::span<const std::string>, std::uint64_t, milliseconds,
                                const change_handler& handler) {
            for (const store_entry& entry : m_changes) {
                if (!handler(entry)) {
                    return error_kind::none;
                }
            }
            return error_kind::deadline_after_send;
        };
        return calls;
    }
};

// Captures the output of a command.
struct captured_output {
    std::string m_out;
    std::string m_err;
    console open(bool json = false) {
        return {[this](std::string_view line) { m_out.append(line).append("\n"); },
                [this](std::string_view line) { m_err.append(line).append("\n"); }, json};
    }
};

apply_options make_apply_options(const std::string& file, std::uint64_t from) {
    apply_options options;
    options.m_file = file;
    options.m_from_revision = from;
    options.m_author = "ana";
    return options;
}

std::string accepted_json(std::uint64_t version, std::uint64_t source) {
    return fmt::format(R"({{"version":{},"source_revision":{},"hash":"{:016x}","accepter":"n1",)"
                       R"("accepted_ms":1800000000000}})",
                       version, source, hash_bytes(s_text));
}

} // namespace

BOOST_AUTO_TEST_SUITE(ctl)

// Guards against a check that accepts an invalid text or reports faults without their line and
// column.
BOOST_AUTO_TEST_CASE(check_reports_faults_with_line_and_column) {
    const scratch_folder folder;
    captured_output good;
    BOOST_TEST(check_text(good.open(), folder.write("good.toml", s_text), "", s_now) == exit_done);
    const std::string bad = folder.write("bad.toml", std::string(s_text) + "timout = \"1s\"\n");
    captured_output output;
    BOOST_TEST(check_text(output.open(), bad, "", s_now) == exit_refused);
    BOOST_TEST(contains(output.m_err, "bad.toml:9:1: found unknown key \"timout\""));
    captured_output as_json;
    BOOST_TEST(check_text(as_json.open(true), bad, "", s_now) == exit_refused);
    BOOST_TEST(contains(as_json.m_out, R"("line":9,"column":1,"found":"unknown key)"));
    captured_output absent;
    BOOST_TEST(check_text(absent.open(), "/nonexistent/x", "", s_now) == exit_usage);
}

// Guards against changes that are missing from the diff, so that an operator applies them unseen.
BOOST_AUTO_TEST_CASE(diff_lists_every_change) {
    const scratch_folder folder;
    const std::string before = folder.write("before.toml", s_text);
    const std::string after = folder.write(
        "after.toml",
        "format = 1\nname = \"small\"\n[data_centre.east]\n[data_centre.west]\nout = true\n"
        "[service.alpha]\nversion = \"1\"\nslots = 3\nlatency_limit = \"1500ms\"\n"
        "depends_on = [\"beta\"]\nmove = { to = \"2\", deadline = 2027-02-01T00:00:00Z }\n"
        "[service.beta]\nversion = \"4\"\n[[route]]\npath = \"/alpha\"\nservice = \"beta\"\n"
        "idempotent = true\nurgency = \"urgent\"\ntimeout = \"2s\"\n");
    captured_output output;
    BOOST_TEST(diff_files(output.open(), before, after, s_now) == exit_done);
    BOOST_TEST(output.m_out == "data_centre west: added, out of service\n"
                               "service alpha: move none -> to 2 by 2027-02-01T00:00:00Z\n"
                               "service alpha: depends_on [] -> [beta]\n"
                               "service alpha: slots 12 -> 3\n"
                               "service alpha: latency_limit none -> 1500ms\n"
                               "service beta: added with version 4\n"
                               "route /alpha: service alpha -> beta\n"
                               "route /alpha: timeout 1s -> 2s\n"
                               "route /alpha: idempotent false -> true\n"
                               "route /alpha: urgency normal -> urgent\n");
    captured_output reverse;
    BOOST_TEST(diff_files(reverse.open(), after, before, s_now) == exit_done);
    BOOST_TEST(contains(reverse.m_out, "data_centre west: removed\n"));
    BOOST_TEST(contains(reverse.m_out, "service beta: removed\n"));

    fake_store store;
    store.set("caraway/state/accepted", accepted_json(3, 5));
    store.set(fmt::format("caraway/accepted-text/3-{:016x}", hash_bytes(s_text)), s_text);
    captured_output against_store;
    BOOST_TEST(diff_accepted(against_store.open(), store.calls(), after, s_now) == exit_done);
    BOOST_TEST(against_store.m_out == output.m_out);
}

// Guards against a fetched file that can't be applied again, and against attribution lines that
// accumulate in the text with each apply.
BOOST_AUTO_TEST_CASE(fetched_text_is_applied_from_its_revision) {
    const scratch_folder folder;
    fake_store store;
    const std::string file = folder.write("text.toml", s_text);
    captured_output output;
    apply_options options = make_apply_options(file, 0);
    options.m_from_revision.reset();
    BOOST_TEST(apply_text(output.open(), store.calls(), options, s_now) == exit_usage);
    BOOST_TEST(apply_text(output.open(), store.calls(), make_apply_options(file, 0), s_now) ==
               exit_done);
    BOOST_TEST(folder.read("text.toml.revision") == "11\n");
    const std::string first = store.m_keys["caraway/text"].m_value;
    BOOST_TEST(first == std::string(s_text) + "# carawayctl: applied by ana at "
                                              "2027-01-15T00:00:00.000Z from revision 0\n");
    const std::string copy = (folder.m_path / "copy.toml").string();
    BOOST_TEST(fetch_text(output.open(), store.calls(), copy) == exit_done);
    BOOST_TEST(folder.read("copy.toml") == first);
    options.m_file = copy;
    options.m_author = "bo\n[service.x]";
    BOOST_TEST(apply_text(output.open(), store.calls(), options, s_now) == exit_done);
    const std::string& second = store.m_keys["caraway/text"].m_value;
    BOOST_TEST(second == std::string(s_text) + "# carawayctl: applied by bo?[service.x] at "
                                               "2027-01-15T00:00:00.000Z from revision 11\n");
}

// Guards against a submitted delta that yields another text than the submitted one, contains a
// wrong revision or replaces the delta of a later text. Also guards against an accepted delta from
// which carawayctl can't restore the accepted text.
BOOST_AUTO_TEST_CASE(delta_of_a_submitted_text_restores_it) {
    const scratch_folder folder;
    const std::string accepted = std::string(s_text) + "timeout = \"3s\"\n";
    const std::uint64_t base_hash = hash_bytes(s_text);
    const std::uint64_t hash = hash_bytes(accepted);
    fake_store store;
    store.set("caraway/state/accepted",
              fmt::format(R"({{"version":4,"source_revision":5,"hash":"{:016x}","accepter":"n1",)"
                          R"("accepted_ms":1,"base_version":3,"base_hash":"{:016x}"}})",
                          hash, base_hash));
    store.set(fmt::format("caraway/accepted-text/3-{:016x}", base_hash),
              encode_full_text(3, base_hash, s_text));
    store.set(fmt::format("caraway/accepted-delta/4-{:016x}", hash),
              encode_stored_text(pack_text(4, hash, accepted, 3, s_text)));
    captured_output output;
    const std::string file = folder.write("text.toml", accepted + "urgency = \"urgent\"\n");
    BOOST_TEST(diff_accepted(output.open(), store.calls(), file, s_now) == exit_done);
    BOOST_TEST(output.m_out == "route /alpha: urgency normal -> urgent\n");
    BOOST_TEST(apply_text(output.open(), store.calls(), make_apply_options(file, 0), s_now) ==
               exit_done);
    const store_entry text = store.m_keys["caraway/text"];
    const store_entry written = store.m_keys["caraway/text-delta"];
    error reason;
    const auto delta = decode_stored_text(written.m_value, reason);
    BOOST_REQUIRE(delta);
    BOOST_TEST(delta->m_version == text.m_revision);
    BOOST_TEST(delta->m_base_version == 4U);
    BOOST_TEST((unpack_text(*delta, accepted, reason) == text.m_value));
    // Another operator writes a text and its delta between this operator's text and delta.
    store_interface racing_store = store.calls();
    racing_store.m_put = [&](std::string_view key, std::string_view value, std::uint64_t revision) {
        store_reply reply = store.put(key, value, revision);
        if (key == "caraway/text") {
            store.set("caraway/text-delta", "later");
        }
        return reply;
    };
    BOOST_TEST(apply_text(output.open(), racing_store, make_apply_options(file, text.m_revision),
                          s_now) == exit_done);
    BOOST_TEST(store.m_keys["caraway/text-delta"].m_value == "later");
}

// Guards against an edit that silently reverts another operator's edit, when both started from the
// same revision.
BOOST_AUTO_TEST_CASE(lost_race_names_the_winner_and_changes_nothing) {
    const scratch_folder folder;
    fake_store store;
    const std::string file = folder.write("text.toml", s_text);
    captured_output output;
    BOOST_TEST(apply_text(output.open(), store.calls(), make_apply_options(file, 0), s_now) ==
               exit_done);
    const std::string winner = store.m_keys["caraway/text"].m_value;
    apply_options losing_options = make_apply_options(
        folder.write("late.toml", std::string(s_text) + "idempotent = true\n"), 0);
    losing_options.m_author = "bo";
    captured_output losing_output;
    BOOST_TEST(apply_text(losing_output.open(), store.calls(), losing_options, s_now) ==
               exit_refused);
    BOOST_TEST(contains(losing_output.m_err, "is at revision 11, applied by ana at"));
    BOOST_TEST(contains(losing_output.m_err, "nothing was changed"));
    BOOST_TEST(contains(losing_output.m_err, "route /alpha: idempotent false -> true"));
    BOOST_TEST(store.m_keys["caraway/text"].m_value == winner);
    BOOST_TEST(folder.read("late.toml.revision").empty());
}

// Guards against a write whose reply is lost and that is then reported as failed although it took
// effect, or repeated over another operator's write.
BOOST_AUTO_TEST_CASE(write_is_read_back_after_a_lost_answer) {
    const scratch_folder folder;
    const std::string file = folder.write("text.toml", std::string(s_text) + "# own\n");
    struct lost_case {
        std::vector<put_fault> m_faults;
        int m_exit_code;
        std::size_t m_writes;
    };
    const lost_case cases[] = {
        {{put_fault::lost_after}, exit_done, 1},
        {{put_fault::lost_before}, exit_done, 2},
        {{put_fault::lost_before, put_fault::lost_after}, exit_done, 2},
        {{put_fault::lost_after_and_overwritten}, exit_refused, 1},
        {{4, put_fault::lost_before}, exit_unreachable, 4},
    };
    for (const lost_case& lost : cases) {
        fake_store store;
        store.m_faults = lost.m_faults;
        captured_output output;
        BOOST_TEST(apply_text(output.open(), store.calls(), make_apply_options(file, 0), s_now) ==
                   lost.m_exit_code);
        BOOST_TEST(store.m_writes == lost.m_writes);
        BOOST_TEST(store.m_delta_writes == (lost.m_exit_code == exit_done ? 1U : 0U));
        if (lost.m_exit_code == exit_refused) {
            BOOST_TEST(contains(output.m_err, "may have stood before the winner's"));
        }
    }
    fake_store down;
    down.m_down = true;
    captured_output output;
    BOOST_TEST(apply_text(output.open(), down.calls(), make_apply_options(file, 0), s_now) ==
               exit_unreachable);
    BOOST_TEST(down.m_writes == 0U);
}

// Guards against a wait that ends with the verdict on another text.
BOOST_AUTO_TEST_CASE(wait_ends_with_the_verdict_on_the_submitted_text) {
    const scratch_folder folder;
    const std::string file = folder.write("text.toml", s_text);
    const auto verdict = [](std::uint64_t version, int in_force, bool final_verdict) {
        return store_entry{fmt::format("caraway/verdict/config/{}", version), 30,
                           fmt::format(R"({{"version":{},"in_force":{},"members":3,)"
                                       R"("missing":["n3"],"final":{}}})",
                                       version, in_force, final_verdict),
                           false};
    };
    const auto accepted = [](std::uint64_t version, std::uint64_t source) {
        return store_entry{"caraway/state/accepted", 20, accepted_json(version, source), false};
    };
    const store_entry refused{"caraway/state/refused", 20,
                              R"({"source_revision":11,"faults":[{"line":2,"column":3,)"
                              R"("found":"a","expected":"b"}]})",
                              false};
    struct wait_case {
        std::vector<store_entry> m_changes;
        int m_exit_code;
        std::string_view m_expected_output;
    };
    const wait_case cases[] = {
        {{verdict(6, 3, true), accepted(7, 11), verdict(7, 2, false), verdict(7, 3, true)},
         exit_done,
         "in force on 3 of 3"},
        {{accepted(7, 11), verdict(7, 2, true)}, exit_negative, "missing n3"},
        {{accepted(7, 11), accepted(8, 12), verdict(8, 3, true)}, exit_done, "version 8: in force"},
        {{accepted(7, 12)}, exit_refused, "a later text was accepted"},
        {{refused}, exit_refused, "text.toml:2:3: found a; expected b"},
        {{accepted(7, 11)}, exit_negative, "no verdict on revision 11"},
    };
    for (const wait_case& waited : cases) {
        fake_store store;
        store.m_changes = waited.m_changes;
        apply_options options = make_apply_options(file, 0);
        options.m_wait = true;
        options.m_timeout = milliseconds(200);
        captured_output output;
        BOOST_TEST(apply_text(output.open(), store.calls(), options, s_now) == waited.m_exit_code);
        BOOST_TEST(contains(output.m_out + output.m_err, waited.m_expected_output));
    }
}

// Guards against a status or verdict that omits a refusal, a missing instance or a rolled-back
// move.
BOOST_AUTO_TEST_CASE(status_and_verdicts_show_what_the_store_holds) {
    fake_store store;
    captured_output empty;
    BOOST_TEST(show_status(empty.open(), store.calls()) == exit_done);
    BOOST_TEST(contains(empty.m_out, "accepted: nothing yet"));
    const auto move = [](std::string_view id, std::string_view state, int weight) {
        return fmt::format(R"({{"move_id":"{}","service":"alpha","from":"1","to":"2","state":"{}",)"
                           R"("stage":1,"weight_permille":{},"deadline_ms":1800000000000,)"
                           R"("holder":"n2","reason":"slow on /alpha"}})",
                           id, state, weight);
    };
    store.set("caraway/state/accepted", accepted_json(7, 5));
    store.set("caraway/verdict/config/7",
              R"({"version":7,"in_force":2,"members":3,"missing":["n3"],"final":true})");
    store.set("caraway/state/move/alpha", move("m2", "running", 50));
    store.set("caraway/verdict/move/alpha/m1", move("m1", "taken_back", 0));
    store.set("caraway/lease/accepter", "n1 lease-2");
    captured_output output;
    BOOST_TEST(show_status(output.open(), store.calls()) == exit_negative);
    BOOST_TEST(contains(output.m_out, "version 7 accepted by n1 at 2027-01-15T08:00:00.000Z"));
    BOOST_TEST(contains(output.m_out, "not in force everywhere on 2 of 3 instances; missing n3"));
    BOOST_TEST(contains(output.m_out, "from 1 to 2: running, stage 1, weight 50 permille"));
    BOOST_TEST(contains(output.m_out, "lease accepter: held by n1"));
    store.set("caraway/text", "x");
    store.set("caraway/state/refused",
              fmt::format(R"({{"source_revision":{},"faults":[{{"line":1,"column":2,)"
                          R"("found":"a","expected":"b"}}]}})",
                          store.m_revision));
    captured_output as_json;
    BOOST_TEST(show_status(as_json.open(true), store.calls()) == exit_refused);
    BOOST_TEST(contains(as_json.m_out, R"("faults":[{"line":1,"column":2,"found":"a")"));
    BOOST_TEST(contains(as_json.m_out, R"("leases":[{"lease":"accepter","holder":"n1"}])"));

    captured_output all;
    BOOST_TEST(show_verdicts(all.open(), store.calls(), {}) == exit_done);
    BOOST_TEST(contains(all.m_out, "move m1 of alpha from 1 to 2: taken_back"));
    BOOST_TEST(!contains(all.m_out, "running"));
    // When following begins, the stored record still belongs to the previous move.
    const std::string text =
        std::string(s_text) + "[service.alpha.move]\nto = \"2\"\ndeadline = 2027-02-01T00:00:00Z\n";
    const std::string id =
        move_id("alpha", {"2", std::chrono::sys_days(std::chrono::year(2027) / 2 / 1)});
    store.set(fmt::format("caraway/accepted-text/7-{:016x}", hash_bytes(s_text)), text);
    store.set("caraway/state/move/alpha", move("m1", "taken_back", 0));
    store.m_changes = {
        {"caraway/state/move/alpha", 30, move(id, "running", 250), false},
        {"caraway/state/move/alpha", 31, move(id, "done", 1000), false},
    };
    verdict_options follow;
    follow.m_follow = true;
    follow.m_service = "alpha";
    captured_output followed;
    BOOST_TEST(show_verdicts(followed.open(), store.calls(), follow) == exit_done);
    BOOST_TEST(contains(followed.m_out, "weight 250 permille"));
    BOOST_TEST(followed.m_out.find(": done") == followed.m_out.rfind(": done"));
    store.m_changes.pop_back();
    captured_output too_late;
    BOOST_TEST(show_verdicts(too_late.open(), store.calls(), follow) == exit_negative);
    store.set("caraway/state/move/alpha", move(id, "taken_back", 0));
    captured_output taken_back;
    BOOST_TEST(show_verdicts(taken_back.open(), store.calls(), follow) == exit_negative);
    BOOST_TEST(!contains(taken_back.m_out, "running"));
}

namespace {

// Returns one log line of an instance. The first four characters of the instance's name are its
// data centre.
std::string make_log_line(std::int64_t time, std::string_view instance, std::string_view event,
                          std::string_view fields) {
    return fmt::format(R"({{"time":{},"level":"info","event":"{}","instance":"{}",)"
                       R"("data_centre":"{}","config_version":3{}{}}})"
                       "\n",
                       time, event, instance, instance.substr(0, 4), fields.empty() ? "" : ",",
                       fields);
}

// Returns the log line of a call that starts at a backend server.
std::string make_start_line(std::int64_t time, std::string_view instance, int request,
                            std::string_view more = R"("key":"")") {
    return make_log_line(
        time, instance, "backend_call_started",
        fmt::format(R"("request":"{}","service":"pour","version":"1","route":"/p",{})", request,
                    more));
}

// Returns the log line of a call's outcome at the entry side.
std::string make_end_line(std::int64_t time, std::string_view instance, int request,
                          std::string_view outcome, bool idempotent = false, bool sent = false) {
    return make_log_line(
        time, instance, "call_ended",
        fmt::format(R"("side":"entry","request":"{}","service":"pour","route":"/p",)"
                    R"("outcome":"{}","sent":{},"idempotent":{})",
                    request, outcome, sent, idempotent));
}

// Returns the log line of a call whose backend server reported that it did not run the request.
std::string make_shed_line(std::int64_t time, std::string_view instance, int request,
                           std::string_view key) {
    return make_log_line(
        time, instance, "call_ended",
        fmt::format(R"("side":"backend","request":"{}","key":"{}","service":"pour",)"
                    R"("route":"/p","outcome":"not-run","reason":"backend-shed",)"
                    R"("sent":false,"idempotent":false)",
                    request, key));
}

} // namespace

// Guards against an audit that misses a breach, names a wrong line or reports a breach in a correct
// run.
BOOST_AUTO_TEST_CASE(audit_finds_each_planted_breach_and_nothing_else) {
    const scratch_folder folder;
    // A correct run: a restart, a resent call, an idempotent retry, a call chain that passes on its
    // request number, calls shed by a backend server, a leave, a data centre that is taken out and
    // put back in, and a move whose final record is read back.
    const std::string east =
        make_log_line(1'000, "east-1", "node_started", "") +
        make_log_line(1'001, "east-1", "config_applied", R"("version":3,"previous":0)") +
        make_start_line(2'000, "east-1", 1, R"("key":"k1")") +
        make_end_line(2'010, "east-1", 1, "answered") +
        make_end_line(2'020, "east-1", 2, "not-run") +
        make_end_line(2'090, "east-1", 2, "answered") +
        make_log_line(2'030, "east-1", "backend_call_started",
                      R"("request":"1","service":"survey","version":"1","route":"/s")") +
        make_start_line(2'040, "east-1", 3, R"("idempotent":true)") +
        make_start_line(2'050, "east-1", 3, R"("idempotent":true)") +
        make_log_line(
            3'000, "east-1", "move_written",
            R"("service":"pour","move":"m1","state":"running","weight":10,"revision":70)") +
        make_log_line(
            3'100, "east-1", "move_written",
            R"("service":"pour","move":"m1","state":"taken_back","weight":0,"revision":71)") +
        make_log_line(
            3'110, "east-1", "move_written",
            R"("service":"pour","move":"m1","state":"taken_back","weight":0,"revision":71)") +
        make_log_line(3'200, "east-1", "version_suspended",
                      R"("move":"m1","version":"2","reason":"x")") +
        make_log_line(4'000, "east-1", "leaving", "") + make_start_line(6'900, "east-1", 4) +
        make_log_line(9'000, "east-1", "node_started", "") +
        make_log_line(9'001, "east-1", "config_applied", R"("version":3,"previous":0)") +
        make_start_line(9'100, "east-1", 5);
    const std::string west =
        make_start_line(2'060, "west-1", 2) + make_start_line(2'070, "west-1", 8, R"("key":"k8")") +
        make_shed_line(2'071, "west-1", 8, "k8") +
        make_start_line(2'075, "west-2", 8, R"("key":"k8")") +
        make_end_line(2'080, "west-1", 8, "answered") + make_start_line(2'081, "west-1", 9) +
        make_shed_line(2'082, "west-1", 9, "") + make_end_line(2'083, "west-1", 9, "not-run") +
        make_log_line(5'000, "west-1", "data_centre_out", R"("of":"west","version":4)") +
        make_start_line(7'900, "west-1", 6) +
        make_log_line(20'000, "west-1", "data_centre_in", R"("of":"west","version":5)") +
        make_log_line(20'100, "east-2", "data_centre_out", R"("of":"west","version":4)") +
        make_start_line(30'000, "west-1", 7) + "not json\n";
    const std::vector<std::string> files{folder.write("east.log", east),
                                         folder.write("west.log", west)};
    const audit_report clean = audit_logs(files);
    for (const audit_breach& breach : clean.m_breaches) {
        BOOST_ERROR(breach.m_file << ":" << breach.m_line << " " << breach.m_kind);
    }
    BOOST_TEST(clean.m_unreadable_lines == 1U);
    BOOST_TEST(clean.m_start_count == 12U);

    struct planted_case {
        std::string_view m_kind;
        std::uint64_t m_line; // line of the breach in the third file
        std::string m_lines;
    };
    const planted_case cases[] = {
        {"version-fell", 1,
         make_log_line(10'000, "east-1", "config_applied", R"("version":2,"previous":3)")},
        {"version-fell", 3,
         make_log_line(10'000, "nort-1", "config_applied", R"("version":5,"previous":4)") +
             make_log_line(10'100, "nort-1", "node_started", "") +
             make_log_line(10'200, "nort-1", "config_applied", R"("version":4,"previous":0)")},
        {"started-twice", 1, make_start_line(10'000, "nort-1", 1)},
        {"started-twice", 1, make_start_line(10'000, "nort-1", 91, R"("key":"k1")")},
        {"started-twice", 1, make_start_line(10'000, "nort-1", 8, R"("key":"k9")")},
        {"not-run-but-started", 2,
         make_start_line(9'000, "nort-1", 92) + make_end_line(10'000, "nort-1", 92, "not-run")},
        {"not-run-but-started", 2,
         make_start_line(9'000, "nort-1", 97) + make_end_line(10'000, "nort-1", 97, "deadline")},
        {"not-run-but-sent", 1, make_end_line(10'000, "nort-1", 93, "not-run", false, true)},
        {"work-after-leaving", 1, make_start_line(7'001, "east-1", 94)},
        {"work-in-data-centre-out", 1, make_start_line(8'001, "west-2", 95)},
        {"final-state-rewritten", 1,
         make_log_line(
             3'300, "nort-1", "move_written",
             R"("service":"pour","move":"m1","state":"done","weight":1000,"revision":72)")},
        {"work-on-suspended-version", 1,
         make_log_line(6'201, "nort-1", "backend_call_started",
                       R"("request":"96","service":"pour","version":"2","route":"/p")")},
    };
    for (const planted_case& planted : cases) {
        std::vector<std::string> with_breach = files;
        with_breach.push_back(folder.write("planted.log", planted.m_lines));
        const audit_report report = audit_logs(with_breach);
        BOOST_TEST_CONTEXT(planted.m_kind) {
            BOOST_TEST(report.m_breach_count == 1U);
            BOOST_REQUIRE(!report.m_breaches.empty());
            BOOST_TEST(report.m_breaches[0].m_kind == planted.m_kind);
            BOOST_TEST(report.m_breaches[0].m_line == planted.m_line);
            BOOST_TEST(report.m_breaches[0].m_file == with_breach[2]);
        }
        captured_output output;
        BOOST_TEST(audit_files(output.open(), with_breach) == exit_negative);
        BOOST_TEST(contains(output.m_out, planted.m_kind));
    }
    captured_output output;
    BOOST_TEST(audit_files(output.open(), files) == exit_done);
    BOOST_TEST(audit_files(output.open(), {"/nonexistent/log"}) == exit_usage);
}

BOOST_AUTO_TEST_SUITE_END()
