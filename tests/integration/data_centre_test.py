"""Data centres that are taken out, return, fail and flap: guarantee 6 with real processes behind
the fault-injecting proxy."""
import time

from harness import run_tests
from mesh import Mesh, check_calls, mesh_text, wait_ignoring_errors

# Time limits that the users require.
STOP_LIMIT_S = 3.0
CONVERGENCE_S = 18.0
DATA_CENTRES = ["harris", "martin", "thurlow"]


def text(out=()):
    return mesh_text(
        DATA_CENTRES, {"rake": {"version": "1"}},
        {"/read": {"service": "rake", "timeout": "1s", "idempotent": True},
         "/cycle": {"service": "rake", "timeout": "2s"}}, out)


def start_mesh(mesh, **options):
    for i in range(6):
        mesh.add(f"rake-{i}", DATA_CENTRES[i % 3], "rake", **{"service_ms": 5, **options})
    mesh.start()
    mesh.apply(text())
    mesh.wait_ready()
    mesh.wait_members()
    return mesh


def names_in(mesh, data_centre):
    return [i.name for i in mesh.in_data_centre(data_centre)]


def apply_and_wait_accepted(mesh, new_text):
    """Applies a text and waits for its acceptance; returns its version and the Unix time in ms."""
    version = mesh.accepted_version() + 1
    mesh.apply(new_text)
    wait_ignoring_errors(lambda: mesh.accepted_version() >= version, CONVERGENCE_S, "acceptance")
    return version, time.time() * 1000


def last_start_ms(mesh, data_centre):
    return max(mesh.executions(name)["last_started_ms"] for name in names_in(mesh, data_centre))


def start_load(mesh, seconds, targets, rate=150, name="load"):
    return mesh.start_load(name, "--path", "/read/a:2", "--path", "/cycle/b:1", "--rate", rate,
                           "--duration-s", seconds, targets=targets, direct=True)


def is_serving(mesh, data_centre):
    now = time.time() * 1000
    return all(mesh.executions(n)["last_started_ms"] > now - 500
               for n in names_in(mesh, data_centre))


def test_out_and_back():
    """Guards against new work in a data centre that was taken out, calls lost by the change, and
    overload of cold servers at its return. Callers enter in all data centres."""
    with Mesh(proxied=True) as mesh:
        start_mesh(mesh, cold_s=2)
        calls = start_load(mesh, 18, None)
        time.sleep(4)
        _, accepted_ms = apply_and_wait_accepted(mesh, text(["harris"]))
        time.sleep(STOP_LIMIT_S + 2)
        last_call_s = (last_start_ms(mesh, "harris") - accepted_ms) / 1000
        assert last_call_s <= STOP_LIMIT_S, f"last call {last_call_s:.2f} s after acceptance"
        for name in names_in(mesh, "harris"):
            mesh.set_server_fault(name, cold=True)
        apply_and_wait_accepted(mesh, text())
        return_s = wait_ignoring_errors(lambda: is_serving(mesh, "harris"), CONVERGENCE_S,
                                        "work again")
        summary = mesh.summary(calls)
        overload_failures = [mesh.executions(n)["falls"] for n in names_in(mesh, "harris")]
        assert overload_failures == [0, 0], overload_failures
        assert summary["answered"] == summary["sent"], summary["not_run_reasons"]
        return f"last call {last_call_s:.2f} s after acceptance, works {return_s:.2f} s after " \
               f"return; {check_calls(summary)}; {mesh.finish()}"


def test_killed_whole():
    """Guards against calls that keep failing after all processes of a data centre were killed, and
    against a mesh that no longer accepts changes."""
    with Mesh(proxied=True) as mesh:
        start_mesh(mesh, service_ms=40)  # some calls are under way at the kill
        entry_names = names_in(mesh, "martin") + names_in(mesh, "thurlow")
        calls = start_load(mesh, 16, entry_names)
        time.sleep(3)
        for name in names_in(mesh, "harris"):
            mesh.instances[name].node.kill()
            mesh.instances[name].server.kill()
        killed_ms = time.time() * 1000
        version, _ = apply_and_wait_accepted(mesh, text(["harris"]))
        elapsed_s = mesh.wait_version(version, CONVERGENCE_S)
        for name in names_in(mesh, "harris"):
            mesh.start_instance(name)
        mesh.wait_ready()
        mesh.wait_version(version, CONVERGENCE_S)
        time.sleep(1)
        assert last_start_ms(mesh, "harris") == 0, "work in a data centre that is out"
        apply_and_wait_accepted(mesh, text())
        # Entry nodes prefer their own data centre, so this one gets calls through its own nodes.
        inside_load = start_load(mesh, 30, names_in(mesh, "harris"), 60, "inside")
        return_s = wait_ignoring_errors(lambda: is_serving(mesh, "harris"), CONVERGENCE_S,
                                        "work again")
        inside_load.terminate()
        check_calls(mesh.summary(inside_load))
        summary = mesh.summary(calls)
        records = mesh.records(calls)
        # No call fails once the failure is detected and the change is in force.
        failed = [r["sent_ms"] - killed_ms for r in records if r["outcome"] != "answered"]
        assert all(f <= CONVERGENCE_S * 1000 for f in failed), failed
        last_s = max(failed, default=0) / 1000
        assert last_s <= STOP_LIMIT_S, \
            f"a call failed that was sent {last_s:.2f} s after the kill"
        return \
            f"in force in {elapsed_s:.2f} s, works {return_s:.2f} s after return; {len(failed)} " \
            f"failed, last {last_s:.2f} s after kill; {check_calls(summary, None)}; {mesh.finish()}"


def test_cut_off():
    """Guards against a disconnected data centre that returns to an older version or keeps one after
    the cut, and against work there although the accepted text in the store takes it out."""
    with Mesh(proxied=True) as mesh:
        start_mesh(mesh)
        entry_names = names_in(mesh, "martin") + names_in(mesh, "thurlow")
        calls = start_load(mesh, 16, entry_names)
        inside_load = start_load(mesh, 60, names_in(mesh, "harris"), 60, "inside")
        time.sleep(2)
        mesh.cut_data_centre("harris")
        cut_ms = time.time() * 1000
        time.sleep(1)
        version, accepted_ms = apply_and_wait_accepted(mesh, text(["harris"]))
        mesh.wait_version(version, CONVERGENCE_S, entry_names)
        time.sleep(STOP_LIMIT_S)
        last_call_s = (last_start_ms(mesh, "harris") - accepted_ms) / 1000
        assert last_call_s <= STOP_LIMIT_S, f"last call {last_call_s:.2f} s after acceptance"
        mesh.cut_data_centre("harris", cut=False)
        healed_at = time.monotonic()
        mesh.wait_version(version, CONVERGENCE_S)
        version, _ = apply_and_wait_accepted(mesh, text())
        mesh.wait_version(version, CONVERGENCE_S)
        wait_ignoring_errors(lambda: is_serving(mesh, "harris"), CONVERGENCE_S, "work again")
        return_s = time.monotonic() - healed_at
        inside_load.terminate()
        inside_totals = check_calls(mesh.summary(inside_load), None)
        summary = mesh.summary(calls)
        failed = [r["sent_ms"] - cut_ms for r in mesh.records(calls)
                  if r["outcome"] != "answered"]
        last_failure_s = max(failed, default=0) / 1000
        assert last_failure_s <= STOP_LIMIT_S, \
            f"a call failed that was sent {last_failure_s:.2f} s after the cut"
        checked = mesh.check_not_run(mesh.records(calls))
        return f"last call {last_call_s:.2f} s after acceptance, works {return_s:.2f} s after " \
               f"the cut healed; {len(failed)} failed; {checked} refusals checked; " \
               f"{check_calls(summary, None)}; inside: {inside_totals}; {mesh.finish()}"


def test_flapping():
    """Guards against a node that ends with an older configuration when data centres are taken out
    and returned faster than the changes propagate, with 5% of the datagrams lost."""
    with Mesh(proxied=True) as mesh:
        start_mesh(mesh)
        mesh.set_link_fault("udp/*", loss_permille=50)
        calls = start_load(mesh, 14, None)
        for turn in range(6):
            apply_and_wait_accepted(mesh, text(["harris"] if turn % 2 == 0 else ["martin"]))
            time.sleep(0.5)
        version, accepted_ms = apply_and_wait_accepted(mesh, text(["harris"]))
        mesh.wait_version(version, CONVERGENCE_S)
        time.sleep(STOP_LIMIT_S + 1)
        last_call_s = (last_start_ms(mesh, "harris") - accepted_ms) / 1000
        assert last_call_s <= STOP_LIMIT_S, f"last call {last_call_s:.2f} s after acceptance"
        wait_ignoring_errors(lambda: is_serving(mesh, "martin"), CONVERGENCE_S, "work in martin")
        summary = mesh.summary(calls)
        checked = mesh.check_not_run(mesh.records(calls))
        return f"version {version}, last call {last_call_s:.2f} s after acceptance; {checked} " \
               f"refusals checked; {check_calls(summary)}; {mesh.finish()}"


if __name__ == "__main__":
    run_tests([test_out_and_back, test_killed_whole, test_cut_off, test_flapping], max_parallel=2)
