// Tests of the traffic side: real nodes on loopback in front of small misbehaving backend servers.
#include "tests/traffic_fixture.hpp"

using namespace caraway;
using namespace caraway::traffic_tests;

BOOST_FIXTURE_TEST_SUITE(traffic, mesh_fixture)

// Guards against headers that state a wrong outcome or origin to the caller or the auditor.
BOOST_AUTO_TEST_CASE(answers_carry_outcome_and_origin) {
    fake_server server;
    test_node& backend_node = add_node("n1", "pour", server.port());
    start();
    for (test_node* node : {&entry(), &backend_node}) {
        const http_answer answer =
            caller(*node).call("/once/echo", "two tons", {{"x-caraway-outcome", "unknown"}});
        BOOST_TEST(answer.result_int() == 200U);
        BOOST_TEST(answer.body() == "two tons");
        BOOST_TEST(outcome_and_reason(answer) == "answered/none");
        BOOST_TEST(answer["x-caraway-instance"] == "n1");
        BOOST_TEST(answer["x-caraway-backend-version"] == "v1");
        BOOST_TEST(answer["x-caraway-config-version"] == "5");
        BOOST_TEST(!answer["x-caraway-load"].empty());
        const std::string sent = server.last_headers();
        BOOST_TEST(sent.find("x-caraway-hop=1;") != std::string::npos);
        BOOST_TEST(sent.find("x-caraway-deadline-ms=") != std::string::npos);
        BOOST_TEST(sent.find("traceparent=00-") != std::string::npos);
        BOOST_TEST(sent.find("x-caraway-outcome") == std::string::npos);
        BOOST_TEST(sent.find("x-caraway-service") == std::string::npos);
    }
    BOOST_TEST(caller(entry()).call("/once/forge").at("x-caraway-outcome") == "answered");
}

// Guards against "not run" for a request that may have run, against truncated answers that look
// complete, and against a second run of a request that is not idempotent.
BOOST_AUTO_TEST_CASE(each_faulty_answer_has_its_outcome_and_runs_once) {
    fake_server first;
    fake_server second;
    add_node("n1", "pour", first.port());
    add_node("n2", "pour", second.port());
    start();
    const std::vector<std::pair<std::string, std::string>> expected{
        {"cut", "unknown/connection-cut"},
        {"cut-in-header", "unknown/answer-truncated"},
        {"truncate", "unknown/answer-truncated"},
        {"no-length", "answered/none"},
        {"no-length-reset", "unknown/answer-truncated"},
        {"late-extra", "answered/none"},
        {"huge", "unknown/answer-too-large"},
        {"mixed-up", "unknown/deadline-after-send"}, // its own answer may still follow
        {"error", "answered/none"}};
    for (const auto& [action, result] : expected) {
        const int before = first.runs() + second.runs();
        const http_answer answer =
            caller(entry()).call("/once/" + action, "", {{"x-request-number", "7"}});
        BOOST_TEST_CONTEXT(action) {
            BOOST_TEST(outcome_and_reason(answer) == result);
            BOOST_TEST(first.runs() + second.runs() - before == 1);
        }
    }
}

// Guards against endless bytes in place of an answer. They would fill the memory, hold a slot and
// keep the caller waiting.
BOOST_AUTO_TEST_CASE(endless_answers_are_cut_off) {
    fake_server server;
    test_node& backend_node = add_node("n1", "pour", server.port());
    backend_node.m_settings.m_max_answer_bytes = 200'000;
    start();
    const std::vector<std::pair<std::string, std::string>> expected{
        {"endless-head", "unknown/answer-invalid"},
        {"endless-body", "unknown/answer-too-large"},
        {"endless-body-without-length", "unknown/answer-too-large"},
        {"endless-interim", "unknown/connection-cut"},
        {"endless-noise", "unknown/answer-invalid"}};
    for (const auto& [action, result] : expected) {
        BOOST_TEST_CONTEXT(action) {
            const std::size_t before = server.endless_bytes();
            const auto began = std::chrono::steady_clock::now();
            const http_answer answer = caller(entry()).call("/once/" + action);
            BOOST_TEST(outcome_and_reason(answer) == result);
            // The route's timeout is 1 s; the node must detect much earlier that no valid answer
            // arrives.
            BOOST_TEST((std::chrono::steady_clock::now() - began < milliseconds(500)));
            // Socket buffers hold some megabytes that the node never reads.
            BOOST_TEST(server.endless_bytes() - before < 20'000'000U);
            BOOST_TEST(caller(entry()).call("/once/echo", "mine").body() == "mine");
        }
    }
}

// Guards against an answer to one request that is delivered to the next caller on the same
// connection.
BOOST_AUTO_TEST_CASE(stale_answer_is_never_passed_on) {
    fake_server server;
    add_node("n1", "pour", server.port());
    start();
    for (int i = 0; i < 5; ++i) {
        BOOST_TEST(caller(entry()).call("/once/twice").body() == "first");
        BOOST_TEST(caller(entry()).call("/once/echo", "mine").body() == "mine");
    }
}

// Guards against an earlier refusal that a server repeats on a kept connection and that is taken
// for the answer to the next request: its caller was told "not run" although it ran, and it ran
// again at a second server.
BOOST_AUTO_TEST_CASE(repeated_refusal_says_nothing_about_the_next_request) {
    fake_server first;
    fake_server second;
    for (fake_server* server : {&first, &second}) {
        test_node& added = add_node(server == &first ? "n1" : "n2", "pour", server->port());
        added.m_settings.m_edge_headers.m_servers_echo_number = true;
    }
    start();
    for (test_node* node : {m_nodes[1].get(), m_nodes[2].get()}) {
        caller on_kept_connection(*node);
        const auto call = [&on_kept_connection](const std::string& path) {
            return on_kept_connection.call(path, "",
                                           node_call_headers({{"x-request-number", "7"}}));
        };
        BOOST_TEST(call("/once/echo").result_int() == 200U);
        const int before = first.runs() + second.runs();
        const http_answer answer = call("/once/late-refusal");
        BOOST_TEST(outcome_and_reason(answer) == "answered/none");
        BOOST_TEST(answer.body() == "yes");
        BOOST_TEST(first.runs() + second.runs() - before == 1);
        // An idempotent request is better sent again than kept waiting.
        BOOST_TEST(outcome_and_reason(call("/again/late-refusal")) == "unknown/connection-cut");
    }
}

// Guards against an answer that the server broke off in its head and that the caller gets as a
// complete one with an empty body.
BOOST_AUTO_TEST_CASE(no_part_of_a_head_is_an_answer) {
    fake_server server;
    add_node("n1", "pour", server.port());
    start();
    for (std::size_t bytes = 1; bytes < whole_head.size(); ++bytes) {
        const std::string path = "/once/cut-after-" + std::to_string(bytes);
        const http_answer answer = caller(entry()).call(path, "", {{"x-request-number", "7"}});
        BOOST_TEST(outcome_and_reason(answer) == "unknown/answer-truncated", path);
        BOOST_TEST(answer.result_int() == 502U, path);
    }
}

// Guards against an answer without a body that makes the caller wait for a body.
BOOST_AUTO_TEST_CASE(head_and_empty_answers_end) {
    fake_server server;
    add_node("n1", "pour", server.port());
    start();
    caller connection(entry());
    for (int i = 0; i < 2; ++i) {
        connection.send("/once/nothing");
        BOOST_TEST(connection.receive().result_int() == 204U);
        connection.send("/once/echo", "", {}, http::verb::head);
        BOOST_TEST(connection.receive_head()["x-caraway-outcome"] == "answered");
        connection.send("/nowhere", "", {}, http::verb::head);
        BOOST_TEST(connection.receive_head().result_int() == 404U);
    }
    BOOST_TEST(connection.call("/once/echo", "mine").body() == "mine");
}

// Guards against lost bytes when a socket accepts only part of a message at once.
BOOST_AUTO_TEST_CASE(large_bodies_pass_whole_to_a_slow_reader) {
    fake_server server;
    add_node("n1", "pour", server.port());
    start();
    std::string body(1'000'000, 'x');
    for (std::size_t i = 0; i < body.size(); i += 1'000) {
        body.replace(i, 8, std::to_string(10'000'000 + i));
    }
    caller slow(entry());
    slow.socket().set_option(tcp::socket::receive_buffer_size(65'536));
    for (int i = 0; i < 2; ++i) {
        slow.send("/once/echo", body);
        std::this_thread::sleep_for(milliseconds(30));
        BOOST_TEST((slow.receive().body() == body));
    }
}

// Guards against retries where the request may have run, and against missing retries where they are
// safe.
BOOST_AUTO_TEST_CASE(retries_only_where_safe) {
    fake_server good;
    add_node("n1", "pour", 1); // nothing listens on port 1
    add_node("n2", "pour", good.port());
    start();
    for (int i = 0; i < 6; ++i) {
        const http_answer answer = caller(entry()).call("/once/echo", "x");
        BOOST_TEST(outcome_and_reason(answer) == "answered/none");
        BOOST_TEST(answer["x-caraway-instance"] == "n2");
    }
    BOOST_TEST(good.runs() == 6);
    const int before = good.runs();
    BOOST_TEST(outcome_and_reason(caller(entry()).call("/again/cut")) != "answered/none");
    BOOST_TEST(good.runs() - before <= 2);
}

// Guards against a Retry-After header added to a backend server's own answer, and against a refusal
// without one.
BOOST_AUTO_TEST_CASE(only_node_refusals_carry_retry_after) {
    fake_server server;
    add_node("n1", "pour", server.port());
    start();
    const http_answer refused = caller(entry()).call("/once/shed");
    BOOST_TEST(outcome_and_reason(refused) == "not-run/backend-shed");
    BOOST_TEST(!refused["retry-after"].empty());
    const http_answer own = caller(entry()).call("/once/own-503");
    BOOST_TEST(outcome_and_reason(own) == "answered/none");
    BOOST_TEST(own.result_int() == 503U);
    BOOST_TEST(own["retry-after"].empty());
}

// Guards against an idempotent call that is not retried, or runs more than twice, when its
// connection is cut or the backend server sheds it.
BOOST_AUTO_TEST_CASE(idempotent_call_is_retried_after_a_cut) {
    fake_server first;
    fake_server second;
    add_node("n1", "pour", first.port());
    add_node("n2", "pour", second.port());
    start();
    BOOST_TEST(outcome_and_reason(caller(entry()).call("/again/cut")) == "unknown/connection-cut");
    BOOST_TEST(first.runs() == 1);
    BOOST_TEST(second.runs() == 1);
    BOOST_TEST(outcome_and_reason(caller(entry()).call("/again/shed")) == "not-run/backend-shed");
    BOOST_TEST(first.runs() == 2);
    BOOST_TEST(second.runs() == 2);
}

// Guards against swapped or lost answers when many calls share connections and wait for slots.
BOOST_AUTO_TEST_CASE(concurrent_answers_match_their_requests) {
    fake_server first;
    fake_server second;
    add_node("n1", "pour", first.port());
    add_node("n2", "pour", second.port());
    start();
    std::atomic<int> wrong{0};
    std::vector<std::thread> threads;
    threads.reserve(8);
    for (int t = 0; t < 8; ++t) {
        threads.emplace_back([this, t, &wrong] {
            caller connection(*m_nodes[static_cast<std::size_t>(t) % m_nodes.size()]);
            for (int i = 0; i < 100; ++i) {
                const std::string body = std::to_string(t) + "-" + std::to_string(i) +
                                         std::string(static_cast<std::size_t>(i) * 50, '.');
                const http_answer answer = connection.call("/once/echo", body);
                wrong += answer.result_int() != 200 || answer.body() != body ? 1 : 0;
            }
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    BOOST_TEST(wrong == 0);
    BOOST_TEST(first.runs() + second.runs() == 800);
}

// Guards against a deadline that is exceeded, or that is reported as "not run" although the request
// was sent.
BOOST_AUTO_TEST_CASE(deadline_is_enforced_and_reported) {
    fake_server server;
    test_node& backend_node = add_node("n1", "pour", server.port());
    start();
    const auto begin = std::chrono::steady_clock::now();
    const http_answer answer =
        caller(entry()).call("/once/slow", "", {{"x-caraway-deadline-ms", "80"}});
    BOOST_TEST(outcome_and_reason(answer) == "unknown/deadline-after-send");
    BOOST_TEST((std::chrono::steady_clock::now() - begin < milliseconds(250)));
    // The backend side answered, which knows whether the call was sent.
    BOOST_TEST(answer["x-caraway-instance"] == "n1");
    BOOST_TEST(outcome_and_reason(
                   caller(backend_node).call("/once/echo", "", {{"x-caraway-deadline-ms", "0"}})) ==
               "deadline/deadline-before-send");
    BOOST_TEST(wait_for_value([&server] { return server.closed_while_slow(); }, 1U) == 1U);

    // The cold-start limit is one call: the second call is queued, and its deadline expires there.
    caller running(entry());
    running.send("/once/slow", "a");
    BOOST_TEST(wait_for_value([&server] { return server.slow_started(); }, 2U) == 2U);
    BOOST_TEST(outcome_and_reason(
                   caller(entry()).call("/once/echo", "", {{"x-caraway-deadline-ms", "60"}})) ==
               "deadline/deadline-before-send");
    BOOST_TEST(running.receive().body() == "a");
    BOOST_TEST(server.runs() == 2);
}

// Guards against an admission control that treats a healthy server as cold because its callers set
// short deadlines.
BOOST_AUTO_TEST_CASE(short_deadlines_do_not_close_admission) {
    fake_server server;
    test_node& backend_node = add_node("n1", "pour", server.port());
    start();
    for (int i = 0; i < 20; ++i) {
        caller(backend_node).call("/once/slower");
    }
    for (int i = 0; i < 4; ++i) {
        BOOST_TEST(
            outcome_and_reason(
                caller(backend_node).call("/once/slower", "", {{"x-caraway-deadline-ms", "4"}})) ==
            "unknown/deadline-after-send");
    }
    caller first(backend_node);
    caller second(backend_node);
    first.send("/once/slow");
    second.send("/once/slow");
    BOOST_TEST(wait_for_value([&server] { return server.slow_started(); }, 2U) == 2U);
    first.receive();
    second.receive();
}

// Guards against calls that continue to run after their caller has closed the connection.
BOOST_AUTO_TEST_CASE(caller_disconnect_cancels_both_hops) {
    fake_server server;
    test_node& backend_node = add_node("n1", "pour", server.port());
    start();
    for (const std::size_t expected : {1U, 2U}) {
        {
            caller leaving(expected == 1 ? entry() : backend_node);
            leaving.send("/once/slow");
            BOOST_TEST(wait_for_value([&server] { return server.slow_started(); }, expected) ==
                       expected);
        }
        BOOST_TEST(wait_for_value([&server] { return server.closed_while_slow(); }, expected) ==
                   expected);
    }
    BOOST_TEST(
        wait_for_value([&backend_node] { return backend_node.m_server->calls_in_progress(); }, 0) ==
        0U);
}

// Guards against a drain that aborts running calls or accepts new ones.
BOOST_AUTO_TEST_CASE(drain_finishes_running_calls_and_refuses_others) {
    fake_server server;
    test_node& backend_node = add_node("n1", "pour", server.port());
    start();
    caller running(entry());
    caller waiting(entry());
    const auto in_progress = [&backend_node] { return backend_node.m_server->calls_in_progress(); };
    running.send("/once/slow", "a");
    BOOST_TEST(wait_for_value([&server] { return server.slow_started(); }, 1U) == 1U);
    waiting.send("/once/echo", "b"); // the cold-start limit is one call
    BOOST_TEST(wait_for_value(in_progress, 2U) == 2U);
    backend_node.m_server->drain();
    BOOST_TEST(outcome_and_reason(waiting.receive()) == "not-run/draining");
    BOOST_TEST(outcome_and_reason(caller(entry()).call("/once/echo")) == "not-run/draining");
    BOOST_TEST(outcome_and_reason(caller(backend_node).call("/once/echo")) == "not-run/draining");
    BOOST_TEST(wait_for_value(in_progress, 1) == 1U);
    BOOST_TEST(running.receive().body() == "a");
    BOOST_TEST(wait_for_value(in_progress, 0) == 0U);
    BOOST_TEST(server.runs() == 1);
}

// Guards against calls that outlast the process: their connections were cut at its exit, without an
// answer.
BOOST_AUTO_TEST_CASE(calls_end_with_an_answer_before_the_process_exits) {
    fake_server server;
    add_node("n1", "pour", server.port());
    start();
    caller waiting(entry());
    waiting.send("/once/slow");
    BOOST_TEST(wait_for_value([&server] { return server.slow_started(); }, 1U) == 1U);
    const system_clock_source clock;
    m_nodes.front()->m_server->end_calls_by(clock.now() + milliseconds(100), clock.now());
    BOOST_TEST(outcome_and_reason(waiting.receive()) == "unknown/deadline-after-send");
    BOOST_TEST(outcome_and_reason(caller(entry()).call("/once/slow")) ==
               "deadline/deadline-before-send");
    BOOST_TEST(server.slow_started() == 1U);
}

// Guards against a process that resumes after a pause and routes calls by its outdated snapshot:
// one call ran on a suspended version in the millisecond before the node received the suspension.
BOOST_AUTO_TEST_CASE(stale_snapshot_is_not_used_for_routing) {
    fake_server server;
    test_node& backend_node = add_node("n1", "pour", server.port());
    start();
    const time_point now = std::chrono::steady_clock::now();
    for (test_node* stale : {&entry(), &backend_node}) {
        stale->m_server->trust_snapshot_until(now - milliseconds(1));
        BOOST_TEST(outcome_and_reason(caller(entry()).call("/once/echo")) ==
                   "not-run/node-not-ready");
        stale->m_server->trust_snapshot_until(now + std::chrono::minutes(1));
    }
    BOOST_TEST(server.runs() == 0);
    BOOST_TEST(caller(entry()).call("/once/echo", "a").body() == "a");
}

// Guards against a call that runs under an older configuration than its sender's.
BOOST_AUTO_TEST_CASE(call_waits_for_the_configuration_of_its_sender) {
    fake_server server;
    test_node& backend_node = add_node("n1", "pour", server.port());
    start();
    publish(entry(), 6);
    const auto begin = std::chrono::steady_clock::now();
    BOOST_TEST(outcome_and_reason(caller(entry()).call("/once/echo")) == "not-run/config-behind");
    BOOST_TEST((std::chrono::steady_clock::now() - begin >= milliseconds(250)));
    BOOST_TEST(backend_node.m_newer_config_version == 6U);
    caller patient(entry());
    patient.send("/once/echo", "late");
    std::this_thread::sleep_for(milliseconds(50));
    publish(backend_node, 6);
    BOOST_TEST(patient.receive().body() == "late");
    BOOST_TEST(server.runs() == 1);
    // A node with a newer configuration reports its version to the sender in the answer.
    publish(backend_node, 7);
    caller(entry()).call("/once/echo");
    BOOST_TEST(entry().m_newer_config_version == 7U);
}

// Guards against requests that exceed a limit, and against refused requests that reach the server.
BOOST_AUTO_TEST_CASE(limits_are_enforced_before_the_server) {
    fake_server server;
    test_node& backend_node = add_node("n1", "pour", server.port());
    backend_node.m_settings.m_max_body_bytes = 1'000;
    backend_node.m_settings.m_max_connections = 3;
    start();
    BOOST_TEST(
        outcome_and_reason(caller(backend_node).call("/once/echo", std::string(2'000, 'x'))) ==
        "not-run/body-too-large");
    BOOST_TEST(
        outcome_and_reason(
            caller(backend_node).call("/once/echo", "", {{"filler", std::string(40'000, 'x')}})) ==
        "not-run/bad-request");
    BOOST_TEST(outcome_and_reason(caller(entry()).call(
                   "/once/echo", "", {{"x-caraway-hop", "7"}})) == "not-run/hop-limit");
    BOOST_TEST(outcome_and_reason(caller(entry()).call("/nowhere")) == "not-run/no-route");
    BOOST_TEST(outcome_and_reason(caller(entry()).call("/front/echo")) ==
               "not-run/no-backend-server");
    BOOST_TEST(outcome_and_reason(caller(backend_node)
                                      .call("/once/echo", "",
                                            {{"x-caraway-service", "pour"},
                                             {"x-caraway-backend-version", "v9"}})) ==
               "not-run/version-not-served");
    std::this_thread::sleep_for(milliseconds(20));
    std::vector<std::unique_ptr<caller>> connected_callers;
    connected_callers.reserve(3);
    for (int i = 0; i < 3; ++i) {
        connected_callers.push_back(std::make_unique<caller>(backend_node));
        BOOST_TEST(outcome_and_reason(connected_callers.back()->call("/nowhere")) ==
                   "not-run/no-route");
    }
    BOOST_TEST(outcome_and_reason(caller(backend_node).call("/once/echo")) ==
               "not-run/too-many-connections");
    // The entry side passes on that the call did not run.
    BOOST_TEST(outcome_and_reason(caller(entry()).call("/once/echo")) ==
               "not-run/too-many-connections");
    BOOST_TEST(server.runs() == 0);
}

// Guards against connections without a request that keep out callers, and against the closing of
// connections that are in use.
BOOST_AUTO_TEST_CASE(connections_without_a_request_give_way) {
    fake_server server;
    test_node& backend_node = add_node("n1", "pour", server.port());
    backend_node.m_settings.m_max_connections = 3;
    start();
    std::this_thread::sleep_for(milliseconds(20));
    caller used(backend_node);
    BOOST_TEST(used.call("/once/echo", "a").body() == "a");
    std::vector<std::unique_ptr<caller>> silent_callers;
    silent_callers.reserve(10);
    for (int i = 0; i < 10; ++i) {
        silent_callers.push_back(std::make_unique<caller>(backend_node));
    }
    BOOST_TEST(caller(backend_node).call("/once/echo", "b").body() == "b");
    BOOST_TEST(used.call("/once/echo", "c").body() == "c");
    BOOST_TEST(server.runs() == 3);
}

// Guards against a second run of a request that is sent again to any node, also concurrently.
BOOST_AUTO_TEST_CASE(key_runs_once_and_is_replayed) {
    std::vector<std::unique_ptr<fake_server>> servers;
    for (const char* name : {"n1", "n2", "n3"}) {
        servers.push_back(std::make_unique<fake_server>());
        add_node(name, "pour", servers.back()->port());
    }
    start();
    const auto runs = [&servers] {
        return servers[0]->runs() + servers[1]->runs() + servers[2]->runs();
    };
    std::atomic<int> wrong{0};
    std::vector<std::thread> threads;
    threads.reserve(8);
    for (int t = 0; t < 6; ++t) {
        threads.emplace_back([this, t, &wrong] {
            caller connection(*m_nodes[static_cast<std::size_t>(t) % m_nodes.size()]);
            const http_answer answer =
                connection.call("/once/slow", "booked", key_headers("same-time"));
            const bool answered = answer.body() == "booked";
            wrong +=
                answered || outcome_and_reason(answer) == "unknown/key-already-claimed" ? 0 : 1;
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    BOOST_TEST(wrong == 0);
    BOOST_TEST(runs() <= 1);
    const int before = runs();
    for (int i = 0; i < 12; ++i) {
        const http_answer answer =
            caller(*m_nodes[static_cast<std::size_t>(i) % m_nodes.size()])
                .call("/once/echo", "call " + std::to_string(i), key_headers("in-turn"));
        BOOST_TEST(outcome_and_reason(answer) == "answered/none");
        BOOST_TEST(answer.body() == "call 0");
        BOOST_TEST((answer["x-caraway-replayed"] == "1") == (i > 0));
    }
    BOOST_TEST(runs() - before == 1);
    for (int i = 0; i < 6; ++i) {
        BOOST_TEST(outcome_and_reason(caller(entry()).call("/once/cut", "", key_headers("cut"))) ==
                   (i == 0 ? "unknown/connection-cut" : "unknown/key-already-claimed"));
    }
    BOOST_TEST(runs() - before == 2);
    // Without the time of the first attempt, recently started registrars cannot tell whether the
    // key is new.
    BOOST_TEST(
        outcome_and_reason(caller(entry()).call("/once/echo", "", {{"idempotency-key", "k"}})) ==
        "unknown/key-history-incomplete");
    BOOST_TEST(runs() - before == 2);
}

// Guards against a refused request that leaves its key claimed, so that it could never run.
BOOST_AUTO_TEST_CASE(refused_request_leaves_its_key_unclaimed) {
    fake_server good;
    add_node("n1", "pour", 1); // nothing listens on port 1
    add_node("n2", "pour", good.port());
    add_node("n3", "pour", 1);
    start();
    int refused = 0;
    for (int i = 0; i < 10; ++i) {
        const auto headers = key_headers("key " + std::to_string(i));
        http_answer answer = caller(entry()).call("/once/echo", "x", headers);
        for (int again = 0; again < 10 && outcome_and_reason(answer) == "not-run/connect-failed";
             ++again) {
            ++refused;
            answer = caller(entry()).call("/once/echo", "x", headers);
        }
        BOOST_TEST(outcome_and_reason(answer) == "answered/none");
        BOOST_TEST(outcome_and_reason(caller(entry()).call(
                       "/once/shed", "", key_headers("shed"))) != "answered/none");
    }
    BOOST_TEST(refused < 30);
}

// Guards against running a request although one of its key's registrars (the nodes that record the
// claims of the key) is considered alive but can't be reached, or although only one of the three
// registrars is left.
BOOST_AUTO_TEST_CASE(unreachable_registrar_prevents_a_run) {
    fake_server server;
    test_node& called_node = add_node("n1", "pour", server.port());
    add_node("n2", "pour", 1);
    add_node("n3", "pour", 1);
    start();
    m_nodes[2]->m_server.reset();
    BOOST_TEST(
        outcome_and_reason(
            caller(called_node).call("/once/echo", "", node_call_headers(key_headers("k")))) ==
        "not-run/peer-unreachable");
    BOOST_TEST(server.runs() == 0);
    publish(called_node, 6, {"n2"}); // now considered dead; two of three registrars remain
    BOOST_TEST(
        outcome_and_reason(
            caller(called_node).call("/once/echo", "", node_call_headers(key_headers("k")))) ==
        "answered/none");
    publish(called_node, 7, {"n2", "n3"}); // n3 is dead too; only one of three registrars remains
    BOOST_TEST(
        outcome_and_reason(
            caller(called_node).call("/once/echo", "", node_call_headers(key_headers("other")))) ==
        "unknown/key-history-incomplete");
    BOOST_TEST(server.runs() == 1);
}

// Guards against evidence that misses failures or counts calls that the server never received.
BOOST_AUTO_TEST_CASE(evidence_counts_the_own_servers_calls) {
    fake_server server;
    test_node& backend_node = add_node("n1", "pour", server.port());
    start();
    caller(backend_node).call("/once/echo");
    caller(backend_node).call("/once/cut");
    caller(backend_node).call("/once/error");
    caller(backend_node).call("/once/shed");
    const evidence_report report = backend_node.m_server->take_evidence();
    BOOST_TEST(report.m_version == "v1");
    BOOST_REQUIRE(report.m_routes.contains("/once"));
    BOOST_TEST(report.m_routes.at("/once").m_calls == 3U);
    BOOST_TEST(report.m_routes.at("/once").m_failures == 2U);
    BOOST_TEST(backend_node.m_server->take_evidence().m_routes.empty());
}

// Guards against a health endpoint that affects routing when it is slow, truncated, oversized,
// closed or failing, and against a probe whose result is not logged.
BOOST_AUTO_TEST_CASE(every_health_probe_result_is_logged_and_does_not_affect_routing) {
    const std::map<std::string, std::string> expected{{"echo", "none"},
                                                      {"error", "none"},
                                                      {"cut", "connection-cut"},
                                                      {"truncate", "answer-truncated"},
                                                      {"huge", "answer-too-large"},
                                                      {"hang", "deadline-after-send"}};
    std::vector<std::unique_ptr<fake_server>> servers;
    for (const auto& [action, reason] : expected) {
        servers.push_back(std::make_unique<fake_server>());
        servers.back()->set_health(action);
        add_node(action, "pour", servers.back()->port()).m_settings.m_health_interval =
            milliseconds(10'000);
    }
    add_node("refused", "pour", 1).m_settings.m_health_interval = milliseconds(10'000);
    std::multiset<std::string> reasons{"connect-failed"};
    for (const auto& [action, reason] : expected) {
        reasons.insert(reason);
    }
    // Probes start 1 s after the start of the node and end within another second.
    set_log_identity("test", "north", log_level::info);
    const std::string log = capture_stdout([this] {
        start();
        std::this_thread::sleep_for(milliseconds(2'500));
    });
    set_log_identity("test", "north", log_level::error);
    std::multiset<std::string> logged;
    std::multiset<std::int64_t> statuses;
    std::istringstream lines(log);
    for (std::string line; std::getline(lines, line);) {
        const auto fields = boost::json::parse(line);
        BOOST_TEST(fields.at("event").as_string() == "health_probe");
        logged.insert(std::string(fields.at("reason").as_string()));
        statuses.insert(fields.at("status").to_number<std::int64_t>());
    }
    BOOST_TEST(logged == reasons, boost::test_tools::per_element());
    BOOST_TEST((statuses == std::multiset<std::int64_t>{0, 0, 0, 0, 0, 200, 500}));
    for (std::size_t i = 0; i < servers.size(); ++i) {
        test_node& node = *m_nodes[i + 1];
        BOOST_TEST(servers[i]->runs() == 1);
        BOOST_TEST(node.m_server->take_evidence().m_routes.empty());
        BOOST_TEST(node.m_server->calls_in_progress() == 0U);
        BOOST_TEST(outcome_and_reason(caller(node).call("/once/echo", "", node_call_headers({}))) ==
                   "answered/none");
    }
}

// Guards against probes that take up a busy server's time, and against probes that cannot be turned
// off.
BOOST_AUTO_TEST_CASE(health_is_not_probed_while_calls_are_served) {
    fake_server idle;
    fake_server busy;
    fake_server unprobed;
    add_node("idle", "pour", idle.port()).m_settings.m_health_interval = milliseconds(10'000);
    test_node& called = add_node("busy", "pour", busy.port());
    called.m_settings.m_health_interval = milliseconds(10'000);
    add_node("unprobed", "pour", unprobed.port()); // interval 0
    start();
    caller(called).call("/once/echo", "", node_call_headers({}));
    std::this_thread::sleep_for(milliseconds(2'300)); // a probe could start twice in this time
    BOOST_TEST(idle.runs() == 1);
    BOOST_TEST(busy.runs() == 1); // the call
    BOOST_TEST(unprobed.runs() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
