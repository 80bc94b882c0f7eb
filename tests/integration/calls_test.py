"""Calls under faults: guarantees 5, 7, 8 and 9 (docs/design.md, 1.2) with real processes behind
the proxy."""
import random
import time

from harness import run_tests, seed
from mesh import Mesh, check_calls, mesh_text, wait_ignoring_errors

READY_AGAIN_S = 18.0
# A node can be a registrar of a key (one that records the key's claim) only if the key was first
# sent more than 12 s after an instance with the node's name first started. The tests wait this long
# before they send keys.
KEYS_READY_S = 12.5


def start_mesh(mesh, work, gates=1, service_settings=None, **options):
    """Starts `work` instances of the service "work", whose backend servers get the options, and
    `gates` entry nodes. service_settings are further settings of "work". Callers reach
    the entry nodes directly, so that the proxy's faults affect only the traffic between nodes."""
    mesh.text = mesh_text(
        ["east", "west"],
        {"work": {"version": "1", **(service_settings or {})}, "gate": {"version": "1"}},
        {"/read": {"service": "work", "timeout": "2s", "idempotent": True},
         "/poll": {"service": "work", "timeout": "2s", "idempotent": True,
                   "urgency": "background"},
         "/alarm": {"service": "work", "timeout": "2s", "idempotent": True, "urgency": "urgent"},
         "/book": {"service": "work", "timeout": "3s"}})
    for i in range(gates):
        mesh.add(f"gate-{i}", ("east", "west")[i % 2], "gate")
    for i in range(work):
        mesh.add(f"work-{i}", ("east", "west")[i % 2], "work", **options)
    mesh.start()
    mesh.apply(mesh.text)
    mesh.wait_ready()
    mesh.wait_members()
    return mesh


def start_load(mesh, name, *options):
    return mesh.start_load(name, *options, direct=True,
                           targets=[i.name for i in mesh.of_service("gate")])


def work_names(mesh):
    return [i.name for i in mesh.of_service("work")]


def test_cold_start_and_cold_again():
    """Guards against overload of a cold backend server, at its start and when it turns cold again
    without notice (guarantee 5)."""
    with Mesh(proxied=True) as mesh:
        start_mesh(mesh, 3, service_ms=20, slots=12, cold_s=4)
        calls = start_load(mesh, "cold", "--path", "/read/a", "--rate", 200, "--duration-s", 17)
        time.sleep(8)
        counts_before = [mesh.executions(n) for n in work_names(mesh)]
        assert all(c["falls"] == 0 for c in counts_before), [c["falls"] for c in counts_before]
        assert not any(c["cold"] for c in counts_before), "still cold: the load did not warm it"
        for name in work_names(mesh)[:2]:
            mesh.set_server_fault(name, cold=True)
            time.sleep(4)
        summary = mesh.summary(calls)
        counts_after = [mesh.executions(n) for n in work_names(mesh)]
        # The first sign that a server is cold again is a slow or failed answer. One call that fails
        # from overload may be that sign; a second one means that it was ignored.
        assert all(c["falls"] <= 1 for c in counts_after), [c["falls"] for c in counts_after]
        assert all(c["max_concurrency"] <= 12 for c in counts_after), counts_after
        return \
            f"falls {[c['falls'] for c in counts_after]}; {check_calls(summary)}; {mesh.finish()}"


def test_truncated_and_late_answers():
    """Guards against a truncated answer that is passed to the caller, and a late answer that is
    matched to another request (guarantee 7)."""
    with Mesh(proxied=True) as mesh:
        start_mesh(mesh, 3, gates=2, service_ms=5)
        mesh.set_server_fault("work-0", truncate_permille=100)
        mesh.set_server_fault("work-1", answer_delay_ms=150)
        cut_load = start_load(mesh, "cut", "--path", "/read/a", "--path", "/book/b", "--rate", 80,
                              "--duration-s", 9, "--response-bytes", 20000)
        late_load = start_load(mesh, "late", "--path", "/read/a", "--path", "/book/b", "--rate", 60,
                               "--duration-s", 9, "--response-bytes", 3000, "--deadline-ms", 120)
        truncations = 0
        while cut_load.running():
            for name in work_names(mesh):
                mesh.set_link_fault(f"traffic/{name}", truncate_after_bytes=700)
            truncations += 1
            time.sleep(0.5)
        cut_summary, late_summary = mesh.summary(cut_load), mesh.summary(late_load)
        totals = [check_calls(s, unknown=None) for s in (cut_summary, late_summary)]
        # The faults took effect: truncated answers became unknown outcomes.
        assert cut_summary["unknown"] > 0 and truncations > 5, cut_summary
        assert late_summary["unknown"] + late_summary["deadline"] > 0, late_summary
        checked = sum(mesh.check_not_run(mesh.records(load_program))
                      for load_program in (cut_load, late_load))
        return f"cut: {totals[0]}; late: {totals[1]}; {checked} refusals checked; {mesh.finish()}"


def test_killed_with_calls_under_way():
    """Guards against reporting a call as "not run" that a killed backend server or node had
    received, and against running it twice (guarantees 8 and 9)."""
    with Mesh(proxied=True) as mesh:
        start_mesh(mesh, 5, service_ms=60)
        calls = start_load(mesh, "book", "--path", "/book/b", "--rate", 100, "--duration-s", 10)
        time.sleep(2)
        mesh.instances["work-0"].server.kill()
        time.sleep(1.5)
        mesh.instances["work-1"].node.kill()
        time.sleep(1.5)
        mesh.instances["work-2"].node.kill()
        mesh.start_node("work-2")
        mesh.set_link_fault("traffic/work-3", cut=True)
        time.sleep(1)
        mesh.set_link_fault("traffic/work-3", cut=False)
        summary = mesh.summary(calls)
        records = mesh.records(calls)
        # The killed server's counts are lost, so only the audit checks its calls.
        killed = {"work-0"}
        alive = [n for n in work_names(mesh) if n not in killed]
        checked = mesh.check_not_run(records, alive)
        started = sum(mesh.executions(n)["started"] for n in alive)
        others = [r for r in records if r["outcome"] not in ("answered", "not-run")]
        run_counts = [mesh.run_count(r["number"], alive) for r in others]
        assert all(count <= 1 for count in run_counts), run_counts
        answered = sum(r["outcome"] == "answered" and r["instance"] not in killed for r in records)
        assert started == answered + sum(run_counts), (started, answered, sum(run_counts))
        return f"{check_calls(summary, unknown=None)}; {checked} refusals checked; {mesh.finish()}"


def test_keyed_requests_sent_again_while_nodes_restart():
    """Guards against running a keyed request twice when its registrar or executor restarts between
    the first attempt and the next one through another node (guarantee 9)."""
    with Mesh(proxied=True) as mesh:
        start_mesh(mesh, 5, gates=3, service_ms=10)
        time.sleep(KEYS_READY_S)
        calls = start_load(mesh, "keyed", "--path", "/book/b", "--rate", 100, "--duration-s", 16,
                           "--keyed-permille", 1000, "--resend")
        rng = random.Random(seed())
        restarts = 0
        while calls.running():
            name = rng.choice(work_names(mesh))
            if rng.random() < 0.5:
                mesh.instances[name].node.kill()
                time.sleep(rng.uniform(0, 0.5))
                mesh.start_node(name)
            else:
                mesh.set_link_fault(f"traffic/{name}", cut=True)
                time.sleep(rng.uniform(0.05, 0.4))
                mesh.set_link_fault(f"traffic/{name}", cut=False)
            restarts += 1
            time.sleep(rng.uniform(0.3, 1.2))
        mesh.wait_ready()
        summary = mesh.summary(calls)
        started = mesh.check_run_once(mesh.records(calls), work_names(mesh))
        return f"{restarts} faults, {summary['resent']} sent again, {started} runs, none twice; " \
               f"{check_calls(summary, unknown=None)}; {mesh.finish()}"


def test_overload_with_urgent_calls():
    """Guards against exceeding the slots of a server, urgent calls that wait behind background
    ones, and calls refused under overload that ran nevertheless (guarantees 5 and 8)."""
    with Mesh(proxied=True) as mesh:
        start_mesh(mesh, 2, service_settings={"slots": 2, "queue": 8}, service_ms=40, slots=2)
        # Two servers with two slots each and a handler time of 40 ms serve at most 100 calls/s.
        calls = start_load(mesh, "overload", "--path", "/poll/a:6", "--path", "/alarm/b:1",
                           "--rate", 200, "--duration-s", 8)
        summary = mesh.summary(calls)
        servers = [mesh.executions(n) for n in work_names(mesh)]
        assert all(c["shed"] == 0 and c["max_concurrency"] <= 2 for c in servers), servers
        answered = {}
        for path, counted in summary["by_path"].items():
            sent = sum(counted["outcomes"].values())
            answered[path] = counted["outcomes"].get("answered", 0) / sent
        assert answered["/alarm/b"] > answered["/poll/a"], answered
        checked = mesh.check_not_run(mesh.records(calls))
        assert checked > 0, summary
        # Not checked here: late calls are cancelled, so a server starts no more calls than the
        # callers sent.
        return f"answered: {answered['/alarm/b']:.0%} of alarms, {answered['/poll/a']:.0%} of " \
               f"polls; {checked} refusals checked; {check_calls(summary, None)}; {mesh.finish()}"


def test_chains_seven_deep():
    """Guards against a chain that runs a hop twice, loses its answer, or reports "not run" after a
    later hop failed although its first hops ran. The eighth hop is refused (guarantees 7 to 9)."""
    names = [f"c{i}" for i in range(1, 8)]
    with Mesh(proxied=True) as mesh:
        routes = {f"/{n}": {"service": n, "timeout": f"{5000 - 500 * int(n[1])}ms"} for n in names}
        for i, name in enumerate(names):
            mesh.add(f"{name}-0", ("east", "west")[i % 2], name, service_ms=3)
        mesh.start()
        mesh.apply(mesh_text(["east", "west"], {n: {"version": "1"} for n in names}, routes))
        mesh.wait_ready()
        mesh.wait_members()
        time.sleep(KEYS_READY_S)

        def start_chain_load(name, hops, **more):
            return mesh.start_load(name, "--path", "/c1", "--chain", ",".join(hops), "--rate", 30,
                                   "--duration-s", 4, "--keyed-permille", 500, "--resend",
                                   targets=["c1-0"], direct=True, **more)

        seven_hop_load = start_chain_load("seven", [f"/{n}" for n in names[1:]])
        summary = mesh.summary(seven_hop_load)
        assert summary["answered"] == summary["sent"], summary
        counts = [mesh.executions(f"{n}-0")["started"] for n in names]
        assert counts == [summary["sent"]] * 7, counts
        eight_hop_load = start_chain_load("eight", [f"/{n}" for n in names[1:]] + ["/c1"])
        eight_hop_summary = mesh.summary(eight_hop_load)
        counts = [mesh.executions(f"{n}-0")["started"] for n in names]
        assert counts == [summary["sent"] + eight_hop_summary["sent"]] * 7, \
            (counts, eight_hop_summary["sent"])
        mesh.check_not_run(mesh.records(eight_hop_load))
        broken_load = start_chain_load("broken", [f"/{n}" for n in names[1:]])
        time.sleep(1)
        mesh.instances["c5-0"].node.kill()
        time.sleep(1)
        mesh.start_node("c5-0")
        broken_summary = mesh.summary(broken_load)
        mesh.check_not_run(mesh.records(broken_load))
        wait_ignoring_errors(lambda: mesh.status("c5-0")["ready"], READY_AGAIN_S, "c5 ready")
        for name in names:
            assert not mesh.executions(f"{name}-0")["run_again"], name
        return f"whole: {check_calls(summary)}; broken: {check_calls(broken_summary, None)}; " \
               f"{mesh.finish()}"


if __name__ == "__main__":
    run_tests([test_keyed_requests_sent_again_while_nodes_restart, test_cold_start_and_cold_again,
               test_chains_seven_deep, test_truncated_and_late_answers,
               test_killed_with_calls_under_way, test_overload_with_urgent_calls], max_parallel=3)
