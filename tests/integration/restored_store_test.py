"""Nodes on the platform whose store is restored from a copy: it loses the latest writes, and assigns
their revisions again to other ones."""
import json
import threading
import time

from harness import run_tests, wait_until
from platform_mesh import FIRST_ROUTES, config
from platform_standins import ReportingServer
from platform_test import APPLY_S, EVACUATE_S, READY_S, Platform

OUTAGE_S = 0.5    # the store is unavailable before it continues from the copy
OBSERVED_S = 2.5  # longer than a watch, so that every watching node has read the restored items
CONTACT_S = 3     # until a joining node has received what the members know
MOVE_S = 20       # time given to a move
LOST_S = 10       # until what the system had written is written again; a lost lease has expired
CALLS = 20


def write_after_copy(platform):
    """Copies the store and then takes a data centre out and writes a configuration, both of which
    the copy lacks. Returns the last revision."""
    store = platform.store
    store.take_copy()
    for number in range(4):  # more changes than the nodes write themselves after the restoration
        store.put("op/evacuate/east", str(number))
    store.put("op/evacuate/north", "{}")
    revision = store.put("op/config", config(9, FIRST_ROUTES[:2]))
    wait_until(lambda: all(i.call("/both/a")[0] == 404 for i in platform.instances), APPLY_S,
               "in force")
    time.sleep(EVACUATE_S)
    return revision


def runs_in_north(platform):
    return sum(len(i.server.runs) for i in platform.instances if i.data_centre == "north")


def check_in_force(platform, entry, runs_before):
    """Checks that the configuration and the evacuation that the copy lacks are in force."""
    for _ in range(CALLS):
        assert entry.call("/stock/a")[0] == 200
    assert entry.call("/both/a")[0] == 404, "the configuration of the copy is in force"
    assert runs_in_north(platform) == runs_before, "a run in an evacuated data centre"


def test_changes_after_the_copy_stay_in_force():
    """Guards against a return to the configuration of the copy, against calls to a data centre whose
    evacuation the copy lacks, and against a next configuration that is never in force because its
    revision is not higher than the one in force."""
    with Platform() as platform:
        store, entry = platform.store, platform.instances[1]
        lost_revision = write_after_copy(platform)
        runs_before = runs_in_north(platform)
        store.restore(OUTAGE_S)
        until = time.monotonic() + OBSERVED_S
        while time.monotonic() < until:
            for instance in platform.instances:
                check_in_force(platform, instance, runs_before)
        revision = store.put("op/config", config(10, [*FIRST_ROUTES[:2], ("/new/", "idempotent",
                                                                         {"service": "stock"})]))
        assert revision <= lost_revision, "the revision had not been assigned before"
        written_at = time.monotonic()
        wait_until(lambda: all(i.call("/new/z")[0] == 200 for i in platform.instances), APPLY_S,
                   "in force")
        delay_s = time.monotonic() - written_at
        check_in_force(platform, entry, runs_before)
        store.put("op/evacuate/north", "{}")
        time.sleep(APPLY_S)
        check_in_force(platform, entry, runs_before)
        store.delete("op/evacuate/north")
        wait_until(lambda: [platform.instances[0].call("/stock/d") for _ in range(8)] and
                   runs_in_north(platform) > runs_before, 5, "taken back")
        return f"applied in {delay_s:.2f} s"


def test_writes_right_after_the_restoration():
    """Guards against writes that are lost to nodes whose watches go on over the restoration: they
    wait for revisions that had been assigned before, and get no event of these writes."""
    with Platform() as platform:
        store = platform.store
        for repetition in range(3):
            store.take_copy()
            for number in range(3):
                store.put("op/evacuate/east", str(number))
            old = FIRST_ROUTES if repetition % 2 else FIRST_ROUTES[:2]
            lost_revision = store.put("op/config", config(9 + 4 * repetition, old))
            status = 200 if repetition % 2 else 404
            wait_until(lambda: all(i.call("/both/a")[0] == status for i in platform.instances),
                       APPLY_S, "in force")
            time.sleep(0.5 * repetition)
            store.restore(0, end_watches=False)
            new = FIRST_ROUTES[:2] if repetition % 2 else FIRST_ROUTES
            assert store.put("op/config", config(10 + 4 * repetition, new)) < lost_revision
            status = 404 if repetition % 2 else 200
            wait_until(lambda: all(i.call("/both/a")[0] == status for i in platform.instances),
                       APPLY_S, "in force after the restoration")


def test_a_deleted_order_stays_deleted():
    """Guards against an evacuation that the copy still holds and that its deletion had ended: its
    data centre would get no calls."""
    with Platform() as platform:
        store, entry = platform.store, platform.instances[0]
        store.put("op/evacuate/north", "{}")
        time.sleep(EVACUATE_S)
        store.take_copy()
        store.delete("op/evacuate/north")
        runs_before = runs_in_north(platform)
        wait_until(lambda: [entry.call("/stock/d") for _ in range(8)] and
                   runs_in_north(platform) > runs_before, 5, "taken back")
        store.restore(OUTAGE_S)
        until = time.monotonic() + OBSERVED_S
        while time.monotonic() < until:
            assert entry.call("/stock/d")[0] == 200
        runs_before = runs_in_north(platform)
        for _ in range(CALLS):
            assert entry.call("/stock/d")[0] == 200
        assert runs_in_north(platform) > runs_before, "evacuated again"


def test_an_order_with_a_reissued_revision():
    """Guards against an evacuation that is never in force because it was written right after the
    restoration and got the revision of an earlier one, which had been taken back, and against one
    that stays in force after it was written again and taken back at once."""
    with Platform() as platform:
        store, entry = platform.store, platform.instances[0]
        order = "op/evacuate/north"
        store.take_copy()
        lost_revision = store.put(order, "{}")
        time.sleep(EVACUATE_S)
        store.delete(order)
        wait_until(lambda: entry.call("/stock/a")[0] == 200, 5, "taken back")
        store.restore(OUTAGE_S)
        assert store.put(order, "{}") == lost_revision, "the revision was not assigned again"
        time.sleep(EVACUATE_S)
        runs_before = runs_in_north(platform)
        for instance in platform.instances:
            for _ in range(CALLS):
                assert instance.call("/stock/a")[0] == 200
        assert runs_in_north(platform) == runs_before, "a run in an evacuated data centre"
        store.restore(OUTAGE_S)
        store.put(order, "{}")
        store.delete(order)
        wait_until(lambda: [entry.call("/stock/d") for _ in range(8)] and
                   runs_in_north(platform) > runs_before, EVACUATE_S, "taken back at once")


def test_a_node_that_starts_afterwards():
    """Guards against a restarted node that knows only the copy: it would use the older
    configuration, and send calls to the data centre whose evacuation the copy lacks."""
    with Platform() as platform:
        restarted = platform.instances[1]
        write_after_copy(platform)
        restarted.node.kill()
        restarted.node.wait(5)
        platform.store.restore(OUTAGE_S)
        time.sleep(OBSERVED_S)
        restarted.start()
        wait_until(restarted.ready, READY_S, "ready")
        time.sleep(CONTACT_S)
        runs_before = runs_in_north(platform)
        check_in_force(platform, restarted, runs_before)


def test_a_node_that_was_away():
    """Guards against a node that was paused before the restoration and brings back an evacuation
    that had been ended meanwhile, for itself or for all."""
    with Platform() as platform:
        store, paused = platform.store, platform.instances[0]
        store.put("op/evacuate/north", "{}")
        time.sleep(EVACUATE_S)
        paused.node.pause()
        store.delete("op/evacuate/north")
        store.take_copy()
        store.put("op/config", config(9, FIRST_ROUTES[:2]))
        others = platform.instances[1:]
        wait_until(lambda: all(i.call("/both/a")[0] == 404 for i in others), APPLY_S, "in force")
        store.restore(OUTAGE_S)
        time.sleep(OBSERVED_S)
        paused.node.resume()
        time.sleep(CONTACT_S)
        for instance in platform.instances:
            runs_before = runs_in_north(platform)
            for _ in range(CALLS):
                assert instance.call("/stock/a")[0] == 200
            assert instance.call("/both/a")[0] == 404, "the configuration of the copy is in force"
            if instance.data_centre == "north":
                assert runs_in_north(platform) > runs_before, "evacuated again"


def test_a_move_written_again_continues():
    """Guards against a move that starts again because its order, which the copy lacks, was written
    again with another revision: a version that was taken back would get calls again."""
    with Platform() as platform:
        store = platform.store
        store.take_copy()
        order = json.dumps({"service": "stock", "target_version": "v2", "duration_s": 1})
        store.put("op/rollout/stock", order)

        def state():
            value = store.value("status/rollout/stock")
            return json.loads(value)["state"] if value else None

        wait_until(lambda: state() == "rolled_back", 15, "taken back without a server of v2")
        records = [json.loads(json.loads(store.value("status/rollout/stock"))["record"])]
        store.restore(OUTAGE_S)
        time.sleep(OBSERVED_S)
        store.put("op/config", config(6, FIRST_ROUTES))  # shifts the order's revision
        store.put("op/rollout/stock", order)
        until = time.monotonic() + 8
        while time.monotonic() < until:
            if store.value("status/rollout/stock"):
                records.append(json.loads(json.loads(store.value("status/rollout/stock"))["record"]))
            time.sleep(0.05)
        assert {r["move_id"] for r in records} == {records[0]["move_id"]}, "another move"
        assert {r["state"] for r in records} == {"taken_back"}, "the move runs again"
        return f"{len(records) - 1} records seen afterwards"


def stored_record(store):
    """Returns the move record that the store holds, or None."""
    value = store.value("status/rollout/stock")
    return json.loads(json.loads(value)["record"]) if value else None


def test_a_running_move_goes_on():
    """Guards against a move that stops, starts again or falls back to the stage of the copy when the
    store is restored while it runs, and against a lease of the copy that two nodes hold."""
    with Platform() as platform:
        store, moved = platform.store, platform.instances[3]
        moved.server.end()
        moved.server = ReportingServer("stock", "south", moved.reports, version="v2",
                                       port=moved.server.port)
        order = json.dumps({"service": "stock", "target_version": "v2", "duration_s": MOVE_S})
        records, restored, ended = [], False, threading.Event()

        def keep_calling(instance):
            while not ended.is_set():
                instance.call("/stock/a")

        # Every stage needs evidence, also while the store is away.
        callers = [threading.Thread(target=keep_calling, args=(i,), daemon=True)
                   for i in platform.instances]
        for caller in callers:
            caller.start()
        begin = time.monotonic()
        store.put("op/rollout/stock", order)
        while not records or records[-1]["state"] == "running":
            assert time.monotonic() < begin + MOVE_S + CONTACT_S, records[-1:]
            time.sleep(0.02)
            record = stored_record(store)
            if record and (not records or record != records[-1]):
                records.append(record)
            if record and record["stage"] == 1 and not store.copied:
                store.take_copy()
            if record and record["stage"] == 3 and not restored:
                restored = True
                store.restore(OUTAGE_S)
                time.sleep(1)
                store.put("op/rollout/stock", order)
        ended.set()
        for caller in callers:
            caller.join(CONTACT_S)
        assert restored and records[-1]["state"] == "done", records[-1]
        assert len({r["move_id"] for r in records}) == 1, "another move"
        assert len({r["started_ms"] for r in records}) == 1, "started again"
        # The copy's own record is seen for a moment; what the nodes write goes on.
        written = [r for r in records if r.get("era")]
        assert [r["stage"] for r in written] == sorted(r["stage"] for r in written), written
        assert written[0]["stage"] >= 3, written[0]
        return f"{len(records)} records, done after {time.monotonic() - begin:.1f} s"


def test_lost_results_and_entry_points_are_written_again():
    """Guards against a move's result that operators no longer find, and against entry points that
    nobody writes again: a node that starts would find no member."""
    with Platform() as platform:
        store, restarted = platform.store, platform.instances[0]
        entries = {k for k in store.items if k.startswith("caraway/entry/")}
        assert entries
        order = json.dumps({"service": "stock", "target_version": "v2", "duration_s": 1})
        store.put("op/rollout/stock", order)
        store.take_copy()
        for key in [*entries, "status/rollout/stock"]:
            store.copied[0].pop(key, None)
        wait_until(lambda: (stored_record(store) or {}).get("state") == "taken_back", 15, "result")
        move_id = stored_record(store)["move_id"]
        store.restore(OUTAGE_S)
        wait_until(lambda: stored_record(store), LOST_S, "the result again")
        record = stored_record(store)
        assert (record["state"], record["move_id"]) == ("taken_back", move_id), record
        wait_until(lambda: entries <= set(store.items), LOST_S, "entry points again")
        calls = store.calls
        time.sleep(3)
        idle_calls = store.calls - calls
        restarted.node.kill()
        restarted.node.wait(5)
        restarted.start()
        wait_until(restarted.ready, READY_S, "ready")
        wait_until(lambda: restarted.call("/stock/a")[0] == 200, 5, "joined")
        return f"{idle_calls} store calls of 4 nodes in 3 s afterwards"


if __name__ == "__main__":
    run_tests([test_changes_after_the_copy_stay_in_force,
               test_writes_right_after_the_restoration, test_a_deleted_order_stays_deleted,
               test_an_order_with_a_reissued_revision,
               test_a_node_that_starts_afterwards, test_a_node_that_was_away,
               test_a_move_written_again_continues,
               test_a_running_move_goes_on, test_lost_results_and_entry_points_are_written_again])
