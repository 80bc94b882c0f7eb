"""A data centre that is cut off in one or both directions: guarantees 1, 6, 8, 9 and 12 during a
network partition."""
import collections
import random
import time

from harness import HOST, request, run_tests, seed
from mesh import Mesh, check_calls, mesh_text, wait_ignoring_errors

STOP_LIMIT_S = 3.0
CONVERGENCE_S = 18.0
DATA_CENTRES = ["harris", "martin", "thurlow"]
CUT_DATA_CENTRE = "harris"
# A node can be a registrar only of keys first sent at least 12 s after the first start under its
# name.
KEYS_READY_S = 12.5
# After a loss of members, only nodes first started at least 75 s before it remain registrars.
MIN_NODE_AGE_S = 76


def text(out=()):
    return mesh_text(
        DATA_CENTRES, {"rake": {"version": "1"}},
        {"/cycle": {"service": "rake", "timeout": "2s"}}, out)


def start_mesh(mesh, count=6, later=()):
    for i in range(count):
        mesh.add(f"rake-{i}", DATA_CENTRES[i % 3], "rake", service_ms=5)
    for name in later:
        mesh.add(name, name.split("-")[0], "rake", service_ms=5)
    mesh.start(later)
    mesh.apply(text())
    mesh.wait_ready()
    mesh.wait_members()


def names_on_side(mesh, inside):
    return [i.name for i in mesh.running_instances()
            if (i.data_centre == CUT_DATA_CENTRE) == inside]


def start_load(mesh, name, targets, seconds):
    """Starts a load of requests that must run at most once, so that every answer can be checked
    against the servers' counts."""
    return mesh.start_load(name, "--path", "/cycle/b", "--rate", 80, "--duration-s", seconds,
                           targets=targets, direct=True)


def last_start_ms(mesh, names):
    return max(mesh.executions(name)["last_started_ms"] for name in names)


def apply_during_cut(mesh, version):
    mesh.apply(text([CUT_DATA_CENTRE]))
    wait_ignoring_errors(lambda: mesh.accepted_version() >= version, CONVERGENCE_S, "acceptance")


def alive_members(mesh, observer):
    members = mesh.status(observer)["members"]
    return {n for n, m in members.items() if m["state"] == "alive"}


def out_during_cut(store_inside, inbound=True, outbound=True):
    """Cuts harris off, takes it out by a text while the store is reachable from one side only, and
    heals the cut. Nodes fetch texts, they don't push them, so harris can get the text before the
    cut heals only if it reaches the store or, by an outbound connection, a node that does."""
    with Mesh(proxied=True) as mesh:
        start_mesh(mesh)

        def is_uninformed_work(line):
            """Returns whether a breach is work in the disconnected data centre, which could not
            know the text. Its last call is checked below against the end of the cut."""
            return "work-in-data-centre-out: " in line and any(f" on {n} " in line for n in inside)

        inside, outside = names_on_side(mesh, True), names_on_side(mesh, False)
        loads = [start_load(mesh, "inside", inside, 32), start_load(mesh, "outside", outside, 32)]
        time.sleep(2)
        mesh.partition(CUT_DATA_CENTRE, inbound, outbound)
        for data_centre in DATA_CENTRES:
            mesh.set_link_fault(f"store/{data_centre}",
                                cut=(data_centre == CUT_DATA_CENTRE) != store_inside)
        two_way = inbound and outbound
        if two_way:  # each side considers the other dead
            wait_ignoring_errors(lambda: not alive_members(mesh, inside[0]) & set(outside)
                                 and not alive_members(mesh, outside[0]) & set(inside),
                                 CONVERGENCE_S, "cut")
        apply_during_cut(mesh, 2)
        informed, uninformed = (inside, outside) if store_inside else (outside, inside)
        accepted_ms = time.time() * 1000
        mesh.wait_version(2, CONVERGENCE_S, informed)
        time.sleep(STOP_LIMIT_S)
        inside_informed = store_inside or not outbound
        if inside_informed:
            last_call_s = (last_start_ms(mesh, inside) - accepted_ms) / 1000
            assert last_call_s <= STOP_LIMIT_S, f"last call {last_call_s:.2f} s after acceptance"
        else:
            # Without the text, the disconnected data centre keeps serving calls.
            assert {mesh.status(n)["config_version"] for n in uninformed} == {1}
            assert last_start_ms(mesh, inside) > accepted_ms + 1000, \
                "the cut off side stopped serving"
        mesh.partition(CUT_DATA_CENTRE, False, False)
        mesh.set_link_fault("store/*", cut=False)
        healed_ms = time.time() * 1000
        elapsed_s = mesh.wait_version(2, CONVERGENCE_S)
        time.sleep(STOP_LIMIT_S)
        last_call_s = (last_start_ms(mesh, inside) - healed_ms) / 1000
        assert last_call_s <= STOP_LIMIT_S, f"last call {last_call_s:.2f} s after the cut healed"
        mesh.wait_members()
        totals = [check_calls(mesh.summary(load_program), None) for load_program in loads]
        records = [r for load_program in loads for r in mesh.records(load_program)]
        started = mesh.check_run_once(records, inside + outside)
        return f"in force {elapsed_s:.2f} s and last call {last_call_s:.2f} s after the cut " \
               f"healed; {started} runs, none twice; inside, outside: {totals}; " \
               f"{mesh.finish(None if inside_informed else is_uninformed_work)}"


def test_two_way_cut_store_outside():
    """Guards against work in the cut-off data centre later than 3 s after it can know that it was
    taken out, an older version after the cut, and false answers on either side."""
    return out_during_cut(store_inside=False)


def test_two_way_cut_store_inside():
    """Guards against work in the cut-off data centre, which alone has the text that takes it out,
    and against other nodes that keep the older text after the cut."""
    return out_during_cut(store_inside=True)


def test_inbound_cut():
    """Guards against a data centre that doesn't learn that it was taken out, because others can't
    reach it while its own probes are answered."""
    return out_during_cut(store_inside=False, outbound=False)


def test_outbound_cut():
    """Guards against an older version or a false answer when a data centre hears of a text that it
    cannot fetch."""
    return out_during_cut(store_inside=False, inbound=False)


def test_keys_and_new_names_in_a_cut():
    """Guards against a keyed request that runs on both sides of a cut, or again after it, because
    instances start under new names on either side."""
    later = ["harris-n0", "harris-n1", "harris-n2", "martin-n0", "martin-n1", "thurlow-n0"]
    with Mesh(proxied=True) as mesh:
        start_mesh(mesh, 3, later)
        time.sleep(MIN_NODE_AGE_S)
        rng = random.Random(seed())
        mesh.partition(CUT_DATA_CENTRE)
        time.sleep(2)
        for name in later:
            mesh.start_instance(name)
        mesh.wait_ready()
        # Wait until the new nodes are registrars of keys that are first sent from now on.
        time.sleep(KEYS_READY_S)
        sides = [names_on_side(mesh, True), names_on_side(mesh, False)]
        keys = []  # (key, first sent)
        outcomes = collections.Counter()

        def send(phase, key):
            """Sends the key through a node of either side, the first one at random."""
            rng.shuffle(sides)
            for names in sides:
                port = mesh.instances[rng.choice(names)].ports["traffic"]
                headers = {"idempotency-key": key[0], "x-caraway-first-sent": str(key[1]),
                           "x-request-number": key[0]}
                answer = request(f"{HOST}:{port}", "POST", "/cycle/b", b"", headers)
                outcomes[phase, answer[1].get("x-caraway-outcome")] += 1

        def send_new(phase, count):
            for _ in range(count):
                keys.append((f"{phase}-{len(keys)}", int(time.time() * 1000)))
                send(phase, keys[-1])

        send_new("cut", 200)
        mesh.partition(CUT_DATA_CENTRE, False, False)
        send_new("healing", 100)
        mesh.wait_members(60)
        for key in keys:
            send("healed", key)
        run_counts = collections.Counter(mesh.run_count(key[0]) for key in keys)
        run_twice = sum(n for runs, n in run_counts.items() if runs > 1)
        assert run_twice == 0, f"{run_twice} of {len(keys)} keys ran twice; {dict(outcomes)}"
        assert outcomes["cut", "answered"] > 0, outcomes
        return f"{len(keys)} keys, runs: {dict(run_counts)}; {dict(outcomes)}; {mesh.finish()}"


if __name__ == "__main__":
    run_tests([test_keys_and_new_names_in_a_cut, test_two_way_cut_store_outside,
               test_two_way_cut_store_inside, test_inbound_cut, test_outbound_cut], max_parallel=2)
