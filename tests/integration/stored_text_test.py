"""The submitted and accepted texts in the store, which are compressed, restored and removed under
faults."""
import json
import random
import time

from harness import HOST, request, run_tests, seed
from mesh import Mesh, mesh_text, wait_ignoring_errors

DATA_CENTRES = ["east", "west"]


def text(slots):
    """Returns a text of which many bytes change with slots."""
    services = {f"s{i}": {"version": "1", "slots": slots + i} for i in range(40)}
    return mesh_text(DATA_CENTRES, {"alpha": {"version": "1"}, **services},
                     {"/alpha": {"service": "alpha", "timeout": "2s", "idempotent": True}})


def keys(mesh, prefix):
    body = request(f"{HOST}:{mesh.store_port}", "GET",
                   f"/v1/list?prefix={prefix}&keys_only=1")[2]
    return [row["key"] for row in json.loads(body)]


def start_mesh(mesh, count=4):
    for i in range(count):
        mesh.add(f"alpha-{i}", DATA_CENTRES[i % 2], "alpha")
    mesh.start()
    mesh.apply(text(1))
    mesh.wait_ready()
    mesh.wait_members()
    return mesh


def put_raw(mesh, value):
    """Writes an uncompressed text, as other tools do. Repeats the write if its answer is lost."""
    def put():
        return request(f"{HOST}:{mesh.store_port}", "PUT", "/v1/kv/caraway/text", value)[0] == 200

    wait_ignoring_errors(put, 10, "raw text written")


def is_accepted_text(mesh, value):
    """Returns whether the accepted text, restored from the store, is equivalent to value."""
    path = f"{mesh.dir}/expected.toml"
    with open(path, "w") as out:
        out.write(value)
    completed = mesh.ctl("diff", path, check=False)
    return completed.returncode == 0 and completed.stdout == "no change\n"


def restart_all(mesh):
    """Kills all nodes before it starts any again, so that only the store holds the text."""
    for name, instance in mesh.instances.items():
        if instance.node.running():
            instance.node.kill()
    for name in mesh.instances:
        mesh.start_node(name)
    mesh.wait_ready(30)


def test_text_is_restored_at_every_distance_from_a_whole_one():
    """Guards against a version that no node can restore once all of them have restarted, against
    values that are removed too soon or never, and against an uncompressed text that is not
    checked or is checked with the delta of another text."""
    with Mesh() as mesh:
        start_mesh(mesh)
        store = f"{HOST}:{mesh.store_port}"
        counts = []
        for version in range(2, 27):
            value = text(version)
            if version % 5 == 0:
                late_delta = request(store, "GET", "/v1/kv/caraway/text-delta")[2]
                put_raw(mesh, value)
                # The previous text's delta arrives late.
                assert request(store, "PUT", "/v1/kv/caraway/text-delta", late_delta)[0] == 200
            else:
                mesh.apply(value)
            mesh.wait_version(version, 18)
            wait_ignoring_errors(lambda value=value: is_accepted_text(mesh, value), 5,
                                 f"version {version} stored")
            counts.append(len(keys(mesh, "caraway/accepted-")))
            if version % 3 == 0:
                restart_all(mesh)
                assert {mesh.status(n)["config_version"] for n in mesh.instances} == {version}
                mesh.wait_members()
        # Up to two series of a full text and up to 8 deltas are kept, and a third until it has been
        # removed: 3 * 9 values.
        assert max(counts) <= 27, counts
        return f"{counts[-1]} values kept, at most {max(counts)}; {mesh.finish()}"


def test_accepter_ends_between_two_writes():
    """Guards against a text that is lost, accepted in part or can't be restored when the accepter
    is killed, paused past its lease or cut off from the store between any two of its writes, while
    answers are lost and uncompressed texts are written. Store calls take 20 ms more, so that
    faults hit each step."""
    rng = random.Random(seed())
    with Mesh(proxied=True) as mesh:
        start_mesh(mesh, 5)
        mesh.set_store_fault(lose_answers_permille=100)
        mesh.set_link_fault("store/*", delay_ms=10)
        slots, faults = 1, []
        for round_number in range(12):
            wait_ignoring_errors(lambda: mesh.lease_holders("accepter"), 20, "an accepter")
            for _ in range(2):
                slots += 1
                if rng.random() < 0.3:
                    put_raw(mesh, text(slots))
                else:
                    mesh.apply(text(slots), check=False)
            kind = ("kill", "pause", "cut")[round_number % 3]
            time.sleep(rng.uniform(0, 0.5))
            failed_nodes = mesh.lease_holders("accepter")[:1]
            faults.append(f"{kind} at version {mesh.accepted_version()}")
            if kind == "cut":
                mesh.set_link_fault("store/*", cut=True)
                time.sleep(1)
                mesh.set_link_fault("store/*", cut=False)
            for name in failed_nodes if kind != "cut" else []:
                node = mesh.instances[name].node
                node.kill() if kind == "kill" else node.pause()
                if kind == "pause":
                    time.sleep(6)  # lease period: 5 s
                    node.resume()
            put_raw(mesh, text(slots))  # in case an apply was refused or lost
            wait_ignoring_errors(lambda slots=slots: is_accepted_text(mesh, text(slots)), 18,
                                 f"slots {slots}")
            for name in failed_nodes if kind == "kill" else []:
                mesh.start_node(name)
        mesh.set_store_fault(lose_answers_permille=0)
        mesh.set_link_fault("store/*", delay_ms=0)
        mesh.wait_version(mesh.accepted_version(), 18)
        restart_all(mesh)
        assert is_accepted_text(mesh, text(slots))
        version = mesh.accepted_version()
        assert {mesh.status(n)["config_version"] for n in mesh.instances} == {version}
        return f"version {version}; {len(faults)} faults; {mesh.finish()}"


def test_accepter_stays_below_the_bound_with_a_text_of_1_mb():
    """Guards against an accepter that reads or writes the full text for each change. The bound of
    9 KB/s at 7,100 changes a day is 109 KB a change (docs/design.md, section 1.3)."""
    max_bytes_per_change = 9_000 * 86_400 / 7_100

    def large(slots):
        return text(slots) + "".join(
            f'[service.one-of-many-services-{i:05}]\nversion = "1"\nslots = 12\nqueue = 48\nlatency_limit = "5s"\n'
            for i in range(9_900))[:1_000_000].rpartition("[service")[0]

    def control_bytes(name):
        return sum(float(line.rsplit(" ", 1)[1]) for line in mesh.metrics(name).splitlines()
                   if line.startswith("caraway_control_bytes_total"))

    with Mesh() as mesh:
        start_mesh(mesh, 4)
        mesh.apply(large(2))
        mesh.wait_version(2, 18)
        before = {n: control_bytes(n) for n in mesh.instances}
        changes = 16
        for change in range(changes):
            mesh.apply(large(3 + change))
            mesh.wait_version(3 + change, 18)
        worst = max(control_bytes(n) - before[n] for n in mesh.instances) / changes
        assert worst < max_bytes_per_change, worst
        return f"{worst / 1000:.1f} KB a change with {len(large(2))} bytes; {mesh.finish()}"


if __name__ == "__main__":
    run_tests([test_accepter_ends_between_two_writes,
               test_text_is_restored_at_every_distance_from_a_whole_one,
               test_accepter_stays_below_the_bound_with_a_text_of_1_mb], max_parallel=2)
