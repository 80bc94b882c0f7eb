"""Configuration under faults: guarantees 1, 2, 3 and 12 (docs/design.md, 1.2) with real processes
behind the proxy."""
import threading
import time

from harness import HOST, request, run_tests
from mesh import Mesh, check_calls, http, mesh_text, wait_ignoring_errors

CONVERGENCE_S = 18.0  # the users' target from acceptance until a change is in force everywhere
DATA_CENTRES = ["east", "west"]
READ_ROUTE = {"service": "alpha", "timeout": "2s", "idempotent": True}


def text(slots=12, services=None, routes=None, out=()):
    """Returns a text with two services. Different values of slots make texts differ."""
    return mesh_text(
        DATA_CENTRES,
        {"alpha": {"version": "1", "slots": slots}, "beta": {"version": "1"}, **(services or {})},
        {"/alpha": READ_ROUTE, "/beta": {"service": "beta", "timeout": "2s"},
         **(routes or {})},
        out)


def start_mesh(mesh, count=6):
    """Starts instances of both services in both data centres and applies the first text."""
    for i in range(count):
        mesh.add(f"{('alpha', 'beta')[i // 2 % 2]}-{i}", DATA_CENTRES[i % 2],
                 ("alpha", "beta")[i // 2 % 2], service_ms=3)
    mesh.start()
    mesh.apply(text())
    mesh.wait_ready()
    mesh.wait_members()
    return mesh


def start_load(mesh, name, seconds, rate=60, targets=None):
    return mesh.start_load(name, "--path", "/alpha/x:2", "--path", "/beta/y:1", "--rate", rate,
                           "--duration-s", seconds, targets=targets)


def wait_accepted(mesh, version, timeout_s=15):
    """Waits until the store holds the accepted version. Returns the monotonic time then."""
    wait_ignoring_errors(lambda: mesh.accepted_version() >= version, timeout_s,
                         f"accepted {version}")
    return time.monotonic()


def wait_in_force(mesh, version, start_time, names=None):
    """Fails if a node lacks the version 18 s after start_time, a monotonic time. Returns the
    seconds since then."""
    mesh.wait_version(version, max(0.1, CONVERGENCE_S - (time.monotonic() - start_time)), names)
    return time.monotonic() - start_time


def test_store_fails_right_after_acceptance():
    """Guards against an accepted text that only the store holds, a node that returns to an older
    version while the store is unavailable, and calls that need the store (guarantees 1 and 12)."""
    with Mesh(proxied=True) as mesh:
        start_mesh(mesh)
        load = start_load(mesh, "away", 11)
        times_s = []
        for version, fault in ((2, "down"), (3, "stall")):
            mesh.apply(text(slots=10 + version))
            accepted_at = wait_accepted(mesh, version)
            mesh.set_store_fault(**{fault: True})
            times_s.append(wait_in_force(mesh, version, accepted_at))
            time.sleep(2.5)
            mesh.set_store_fault(**{fault: False})
            wait_ignoring_errors(lambda: mesh.lease_holders("accepter"), 15, "an accepter again")
        mesh.set_store_fault(down=True)
        calls = check_calls(mesh.summary(load))
        mesh.set_store_fault(down=False)
        assert mesh.accepted_version() == 3
        return f"in force after {times_s[0]:.2f} and {times_s[1]:.2f} s; {calls}; {mesh.finish()}"


def test_store_down_for_the_whole_load():
    """Guards against calls that depend on the store: all must be answered while it is down."""
    with Mesh(proxied=True) as mesh:
        start_mesh(mesh, 4)
        mesh.set_store_fault(down=True)
        load = start_load(mesh, "down", 12, rate=150)
        summary = mesh.summary(load)
        assert summary["answered"] == summary["sent"], summary
        assert all(mesh.status(n)["config_version"] == 1 for n in mesh.instances)
        mesh.set_store_fault(down=False)
        return f"{check_calls(summary)}; {mesh.finish()}"


def test_accepter_and_readers_fail_during_a_change():
    """Guards against a change that stops half-way when the accepter or a reader is killed or paused
    past its lease, and against a late writer that restores an older version."""
    with Mesh(proxied=True) as mesh:
        start_mesh(mesh)
        times_s = []
        version = 1

        def holders(role):
            if role == "accepter":
                return mesh.lease_holders("accepter")
            return sorted({n for i in range(2) for n in mesh.lease_holders(f"reader/west/{i}")})

        for role, kind in (("accepter", "kill"), ("accepter", "pause"), ("reader", "pause"),
                           ("reader", "kill")):
            wait_ignoring_errors(lambda role=role: holders(role), 15, f"a {role}")
            version += 1
            mesh.apply(text(slots=10 + version))
            failed_nodes = holders(role)[:1] if role == "accepter" else holders(role)
            for name in failed_nodes:
                node = mesh.instances[name].node
                node.kill() if kind == "kill" else node.pause()
            paused_at = time.monotonic()
            others = [n for n in mesh.instances if n not in failed_nodes]
            # If the accepter failed, another node becomes accepter within a lease period. The
            # time limit counts from the acceptance.
            accepted_at = wait_accepted(mesh, version)
            times_s.append(wait_in_force(mesh, version, accepted_at, others))
            if kind == "pause":
                time.sleep(max(0, 6 - (time.monotonic() - paused_at)))  # lease period: 5 s
            for name in failed_nodes:
                mesh.start_node(name) if kind == "kill" else mesh.instances[name].node.resume()
            wait_in_force(mesh, version, time.monotonic())
        assert mesh.accepted_version() == version
        mesh.wait_ready()
        return ("in force after " + ", ".join(f"{t:.2f}" for t in times_s) +
                f" s; {mesh.finish()}")


def test_concurrent_edits_with_lost_answers_and_datagrams():
    """Guards against a lost edit, a text applied out of order and a node that keeps an older
    version when the store loses answers and watch events and UDP loses 5% (guarantees 1 and 12)."""
    with Mesh(proxied=True) as mesh:
        start_mesh(mesh)
        mesh.set_link_fault("udp/*", loss_permille=50)
        mesh.set_store_fault(lose_answers_permille=150, drop_watch_events_permille=500)
        edits = {"alpha": 0, "beta": 0}
        first_queue = {"alpha": 100, "beta": 500}
        load = start_load(mesh, "race", 12)

        def edit_repeatedly(service):
            path = f"{mesh.dir}/operator-{service}.toml"
            first_queue_size = first_queue[service]
            end = time.monotonic() + 9
            while time.monotonic() < end:
                if mesh.ctl("fetch", path, check=False).returncode != 0:
                    continue
                with open(path) as source:
                    edited = source.read().replace(
                        f"queue = {first_queue_size + edits[service]}\n", "")
                edited = edited.replace(
                    f"[service.{service}]\n",
                    f"[service.{service}]\nqueue = {first_queue_size + 1 + edits[service]}\n")
                with open(path, "w") as out:
                    out.write(edited)
                if mesh.ctl("apply", path, "--by", service, check=False).returncode == 0:
                    edits[service] += 1
                time.sleep(0.3)

        operators = [threading.Thread(target=edit_repeatedly, args=(s,)) for s in edits]
        for operator in operators:
            operator.start()
        for operator in operators:
            operator.join()
        edits_ended_at = time.monotonic()
        mesh.set_store_fault(lose_answers_permille=0, drop_watch_events_permille=0)
        final = http("GET", mesh.store_port, "/v1/kv/caraway/text")[2].decode()
        for service, count in edits.items():
            assert count > 2 and f"queue = {first_queue[service] + count}\n" in final, \
                (edits, final)

        # The accepted text is stored compressed; carawayctl restores it and compares all of it.
        path = f"{mesh.dir}/final.toml"
        with open(path, "w") as out:
            out.write(final)

        def newest_accepted():
            completed = mesh.ctl("diff", path, check=False)
            return completed.returncode == 0 and completed.stdout == "no change\n"

        wait_ignoring_errors(newest_accepted, CONVERGENCE_S, "the newest text accepted")
        elapsed_s = wait_in_force(mesh, mesh.accepted_version(), edits_ended_at)
        calls = check_calls(mesh.summary(load))
        return (f"{edits['alpha']}+{edits['beta']} edits, version {mesh.accepted_version()} in "
                f"force {elapsed_s:.2f} s after the last; {calls}; {mesh.finish()}")


def test_bad_text_is_refused_whole():
    """Guards against a text that takes effect in part, and against a route to a service that does
    not exist (guarantees 2 and 3). The faulty texts also take a data centre out of
    service, so that a partly applied text is visible."""
    with Mesh(proxied=True) as mesh:
        start_mesh(mesh, 4)
        load = start_load(mesh, "refused", 9)
        bad_texts = [
            text(out=["west"], routes={"/gamma": {"service": "gamma"}}),
            text(out=["west"]) + "[service.alpha]\nslots = 1\n",
            text(out=["west"]) + '\n[[route]]\npath = "/beta"\nservice = "alpha"\n',
            text(out=["west"])[:-30],
        ]
        for bad_text in bad_texts:
            text_revision = http("GET", mesh.store_port, "/v1/kv/caraway/text")[1]["x-revision"]
            path = f"{mesh.dir}/bad.toml"
            with open(path, "w") as out:
                out.write(bad_text)
            assert mesh.ctl("apply", path, "--from", text_revision, check=False).returncode == 1
            # Another tool writes the text without carawayctl's check.
            http_put(mesh, "caraway/text", bad_text)

            def refusal_recorded():
                record = http("GET", mesh.store_port, "/v1/kv/caraway/state/refused")[2].decode()
                revision = http("GET", mesh.store_port, "/v1/kv/caraway/text")[1]["x-revision"]
                return f'"source_revision":{revision}' in record.replace(" ", "")

            wait_ignoring_errors(refusal_recorded, CONVERGENCE_S, "the refusal")
        time.sleep(1)
        assert mesh.accepted_version() == 1
        for name in mesh.instances:
            assert mesh.applied_versions(name) == [1], mesh.applied_versions(name)
            assert not mesh.log_lines(name, "data_centre_out")
        # A service without instances is added with its route, called at once, and removed again.
        started_at = time.monotonic()
        gamma_load = mesh.start_load("gamma", "--path", "/gamma/z", "--rate", 100,
                                     "--duration-s", 3, targets=["alpha-0"])
        mesh.apply(text(services={"gamma": {"version": "1"}},
                        routes={"/gamma": {"service": "gamma"}}))
        elapsed_s = wait_in_force(mesh, 2, started_at)
        # Each call is refused; none hangs or is misrouted.
        gamma_summary = mesh.summary(gamma_load)
        assert gamma_summary["not_run"] == gamma_summary["sent"], gamma_summary
        mesh.apply(text())
        wait_in_force(mesh, 3, time.monotonic())
        summary = mesh.summary(load)
        assert summary["answered"] == summary["sent"], summary["not_run_reasons"]
        return f"{len(bad_texts)} texts refused; valid one in force after {elapsed_s:.2f} s; " \
               f"{check_calls(summary)}; {mesh.finish()}"


def http_put(mesh, key, value):
    status, _, body = request(f"{HOST}:{mesh.store_port}", "PUT", f"/v1/kv/{key}", value)
    assert status == 200, (status, body)


def test_restarted_nodes_never_go_back():
    """Guards against a restarted node that applies an older version from a member that lags
    behind: with the store up, with the store down, and behind a cut data centre (guarantee 1)."""
    with Mesh(proxied=True) as mesh:
        # A restarted node asks three members, so at least three must stay reachable.
        start_mesh(mesh, 8)
        east = [i.name for i in mesh.in_data_centre("east")]
        west = [i.name for i in mesh.in_data_centre("west")]
        load = start_load(mesh, "restarts", 14, targets=[east[2]])
        mesh.apply(text(slots=9))
        mesh.wait_version(2, CONVERGENCE_S)
        mesh.wait_members()

        def restart(name, min_version):
            mesh.instances[name].node.kill()
            mesh.start_node(name)
            wait_ignoring_errors(lambda: mesh.status(name)["ready"], CONVERGENCE_S,
                                 f"{name} ready again")
            version = mesh.status(name)["config_version"]
            assert version >= min_version, f"{name} ready with {version}, had {min_version}"

        restart(east[0], 2)
        mesh.cut_data_centre("west")
        mesh.apply(text(slots=8))
        wait_in_force(mesh, 3, time.monotonic(), east)
        mesh.set_store_fault(down=True)
        restart(east[0], 3)
        restart(west[0], 2)
        mesh.cut_data_centre("west", cut=False)
        healed_at = time.monotonic()
        restart(east[1], 3)
        restart(west[1], 3)
        elapsed_s = wait_in_force(mesh, 3, healed_at)
        mesh.set_store_fault(down=False)
        calls = check_calls(mesh.summary(load), unknown=None)
        return f"all at version 3 {elapsed_s:.2f} s after the cut healed; {calls}; {mesh.finish()}"


def test_restart_among_nodes_that_are_behind():
    """Guards against a restarted node that applies an older version from the first members that
    answer while the store is down: two nodes, paused before, missed a change that it had applied
    (guarantee 1)."""
    with Mesh(proxied=True) as mesh:
        start_mesh(mesh, 8)
        names = list(mesh.instances)
        restarted, lagging = names[0], [names[1], names[3]]
        up_to_date = [n for n in names[1:] if n not in lagging]

        def signal_nodes(node_names, action):
            for name in node_names:
                getattr(mesh.instances[name].node, action)()

        mesh.apply(text(slots=9))
        mesh.wait_version(2, CONVERGENCE_S)
        signal_nodes(lagging, "pause")
        mesh.apply(text(slots=8))
        accepted_at = wait_accepted(mesh, 3)
        wait_in_force(mesh, 3, accepted_at, [restarted, *up_to_date])
        mesh.set_store_fault(down=True)
        mesh.instances[restarted].node.kill()
        signal_nodes(up_to_date, "pause")
        signal_nodes(lagging, "resume")
        mesh.start_node(restarted)
        time.sleep(4)  # only nodes with version 2 answer
        assert not mesh.status(restarted)["ready"], mesh.applied_versions(restarted)
        signal_nodes(up_to_date, "resume")
        resumed_at = time.monotonic()
        elapsed_s = wait_in_force(mesh, 3, resumed_at)
        mesh.set_store_fault(down=False)
        assert mesh.applied_versions(restarted)[-1] == 3
        return f"version 3 {elapsed_s:.2f} s after the others answered; {mesh.finish()}"


if __name__ == "__main__":
    run_tests([test_accepter_and_readers_fail_during_a_change,
               test_restart_among_nodes_that_are_behind,
               test_store_fails_right_after_acceptance, test_restarted_nodes_never_go_back,
               test_concurrent_edits_with_lost_answers_and_datagrams,
               test_bad_text_is_refused_whole,
               test_store_down_for_the_whole_load], max_parallel=3)
