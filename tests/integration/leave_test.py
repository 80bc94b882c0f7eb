"""Planned stops of instances: guarantees 10 and 11 (docs/design.md, 1.2) with real processes behind
the proxy."""
import time

from harness import run_tests, wait_until
from mesh import Mesh, check_calls, mesh_text, wait_ignoring_errors

STOP_LIMIT_S = 3.0  # the users' target for new work on a leaving instance
READY_AGAIN_S = 18.0


def start_mesh(mesh, work, **options):
    """Starts `work` instances, and two entry nodes that are never stopped."""
    for i in range(2):
        mesh.add(f"gate-{i}", ("east", "west")[i], "gate")
    for i in range(work):
        mesh.add(f"work-{i}", ("east", "west")[i % 2], "work", **options)
    mesh.start()
    mesh.apply(mesh_text(
        ["east", "west"], {"work": {"version": "1"}, "gate": {"version": "1"}},
        {"/read": {"service": "work", "timeout": "3s", "idempotent": True},
         "/book": {"service": "work", "timeout": "3s"},
         "/survey": {"service": "work", "timeout": "15s"}}))
    mesh.wait_ready()
    mesh.wait_members()
    return mesh


def start_load(mesh, seconds, rate=120):
    return mesh.start_load("load", "--path", "/read/a:1", "--path", "/book/b:1", "--rate", rate,
                           "--duration-s", seconds, targets=["gate-0", "gate-1"], direct=True)


def stop_instance(mesh, name):
    """Stops the node and then its server as planned. Returns the seconds from the announcement to
    the start of the last call."""
    instance = mesh.instances[name]
    assert instance.node.stop() == 0, f"{name}: exit {instance.node.process.returncode}"
    leaving_ms = mesh.log_lines(name, "leaving")[-1]["time"]
    drained = mesh.log_lines(name, "drained")[-1]
    assert drained["calls_cut"] == 0, drained
    last_started_ms = mesh.executions(name)["last_started_ms"]
    assert instance.server.stop() == 0
    return (last_started_ms - leaving_ms) / 1000


def restart_instance(mesh, name):
    mesh.start_instance(name)
    wait_ignoring_errors(lambda: mesh.status(name)["ready"], READY_AGAIN_S, f"{name} ready again")


def check_all_answered(summary):
    failed = {**summary["not_run_reasons"], **summary["other_reasons"]}
    assert summary["answered"] == summary["sent"], f"{summary['answered']} of {summary['sent']}: " \
                                                   f"{failed}"
    return check_calls(summary)


def test_stop_with_calls_under_way():
    """Guards against a stop that cuts calls, takes new work, or exits with a failure while slow
    calls are under way (guarantees 10 and 11)."""
    with Mesh(proxied=True) as mesh:
        start_mesh(mesh, 4, service_ms=200)
        # At any time 10 calls are under way. The two instances that stay have 24 slots, but only 6
        # during their cold start of 5 s, so the test waits until it has ended.
        calls = start_load(mesh, 14, rate=50)
        time.sleep(7)
        last_call_s = []
        for name in ("work-0", "work-1"):
            wait_ignoring_errors(lambda name=name: mesh.executions(name)["running"] > 0, 5,
                                 "calls under way")
            last_call_s.append(stop_instance(mesh, name))
            time.sleep(0.5)
        assert max(last_call_s) <= STOP_LIMIT_S, last_call_s
        return (f"last new calls {last_call_s[0]:+.2f} and {last_call_s[1]:+.2f} s after the "
                f"announcement; {check_all_answered(mesh.summary(calls))}; {mesh.finish()}")


def test_stop_with_slow_calls_under_way():
    """Guards against a stop that doesn't wait for calls of several seconds (guarantee 11)."""
    with Mesh(proxied=True) as mesh:
        start_mesh(mesh, 4, service_ms=2000)  # each call takes 1 s to 3 s
        calls = mesh.start_load("slow", "--path", "/survey/a", "--rate", 1, "--duration-s", 90,
                                targets=["gate-0", "gate-1"], direct=True)
        last_call_s = []
        remaining = [f"work-{i}" for i in range(4)]

        def instances_with_new_calls():
            before = {n: mesh.executions(n)["started"] for n in remaining}
            time.sleep(0.05)
            return [n for n in remaining if mesh.executions(n)["started"] > before[n]]

        for _ in range(2):
            name = wait_until(instances_with_new_calls, 30, "a call begun")[0]
            remaining.remove(name)
            last_call_s.append(stop_instance(mesh, name))
        calls.terminate()
        assert max(last_call_s) <= STOP_LIMIT_S, last_call_s
        return f"last new calls {last_call_s[0]:+.2f} and {last_call_s[1]:+.2f} s after the " \
               f"announcement; {check_all_answered(mesh.summary(calls))}; {mesh.finish()}"


def test_leave_with_lost_datagrams():
    """Guards against an instance that keeps getting work when its announcement is lost to some
    members (guarantee 10)."""
    with Mesh(proxied=True) as mesh:
        start_mesh(mesh, 4, service_ms=10)
        mesh.set_link_fault("udp/*", loss_permille=300)
        calls = start_load(mesh, 9)
        time.sleep(2)
        last_call_s = [stop_instance(mesh, name) for name in ("work-0", "work-1")]
        assert max(last_call_s) <= STOP_LIMIT_S, last_call_s
        return f"last new call {max(last_call_s):+.2f} s after the announcement; " \
               f"{check_all_answered(mesh.summary(calls))}; {mesh.finish()}"


def test_rolling_restart():
    """Guards against a call that is lost or refused while every instance of a service is
    restarted in turn under load (guarantees 10 and 11)."""
    with Mesh(proxied=True) as mesh:
        start_mesh(mesh, 4, service_ms=10, cold_s=1)
        calls = start_load(mesh, 60)
        time.sleep(1)
        started = time.monotonic()
        last_call_s = []
        for i in range(4):
            last_call_s.append(stop_instance(mesh, f"work-{i}"))
            restart_instance(mesh, f"work-{i}")
            mesh.wait_members(READY_AGAIN_S)
        elapsed_s = time.monotonic() - started
        time.sleep(1)
        calls.terminate()
        assert max(last_call_s) <= STOP_LIMIT_S, last_call_s
        return f"4 restarts in {elapsed_s:.1f} s, last new call {max(last_call_s):+.2f} s after " \
               f"an announcement; {check_all_answered(mesh.summary(calls))}; {mesh.finish()}"


def test_simultaneous_restarts():
    """Guards against a burst of joins when many instances restart at the same time, and against
    simultaneous planned stops that are not graceful (guarantee 11)."""
    with Mesh(proxied=True) as mesh:
        start_mesh(mesh, 6, service_ms=10)
        calls = start_load(mesh, 60)
        restarted = [f"work-{i}" for i in range(4)]
        time.sleep(1)
        for name in restarted:
            mesh.instances[name].node.terminate()
        statuses = [mesh.instances[name].node.wait(40) for name in restarted]
        assert statuses == [0] * 4, statuses
        last_call_s = max((mesh.executions(n)["last_started_ms"] -
                           mesh.log_lines(n, "leaving")[-1]["time"]) / 1000 for n in restarted)
        assert last_call_s <= STOP_LIMIT_S, last_call_s
        started_at = time.monotonic()
        for name in restarted:
            mesh.start_node(name)
        mesh.wait_ready(READY_AGAIN_S)
        mesh.wait_members(READY_AGAIN_S)
        return_s = time.monotonic() - started_at
        time.sleep(1)
        calls.terminate()
        return f"4 of 6 back after {return_s:.2f} s, last new call {last_call_s:+.2f} s; " \
               f"{check_all_answered(mesh.summary(calls))}; {mesh.finish()}"


if __name__ == "__main__":
    run_tests([test_rolling_restart, test_simultaneous_restarts, test_stop_with_calls_under_way,
               test_stop_with_slow_calls_under_way, test_leave_with_lost_datagrams], max_parallel=2)
