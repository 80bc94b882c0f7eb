"""An order to evacuate a zone, written as the store comes back from a copy, is never put in force.
See claim.txt."""
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))
import kit  # noqa: E402

ZONE = "martin-dam"
ORDER = "op/evacuate/" + ZONE
EVACUATE_S = 5.0   # evacuate_ms
TOUCH_S = 3.0      # contact_ms
STRETCH_S = 5.0    # max_stretch_ms
AWAY_S = 1.0       # for which the store is away
DRILL_S = 1.5      # for which the first order is in force


def case(record):
    with kit.Mesh(record, kit.configuration(5, kit.ROUTES, kit.SERVICES)) as mesh:
        machines = kit.four_machines(mesh)
        store = mesh.store
        store.take_copy()
        record.write("the store's copy is made")
        store.put(ORDER, "{}")
        record.write(f"operator: {ORDER} written, acknowledged")
        time.sleep(DRILL_S)
        store.delete(ORDER)
        record.write(f"operator: {ORDER} deleted, acknowledged")
        time.sleep(DRILL_S)
        if kit.trouble():
            record.write(f"the store goes away for {AWAY_S} s and comes back from the copy")
            store.restore(AWAY_S)
            record.write(f"the store is back, era {store.era}")
        # The operator's tool repeated the write until the store answered.
        revision = store.put(ORDER, "{}")
        acknowledged = time.monotonic()
        record.write(f"operator: {ORDER} written again, acknowledged, revision {revision}")
        # With all excuses of the rules: the zone's servers count only after evacuate_ms, contact_ms
        # and max_stretch_ms have passed one after the other.
        counts_from = acknowledged + EVACUATE_S + TOUCH_S + STRETCH_S
        until = counts_from + 10
        stop = threading.Event()

        def client(machine):
            while not stop.is_set():
                for path in ("/load/x", "/loss/x"):
                    machine.call(path, deadline_ms=500)
                stop.wait(0.1)
        threads = [threading.Thread(target=client, args=(m,)) for m in machines]
        for thread in threads:
            thread.start()
        time.sleep(max(0, until - time.monotonic()))
        stop.set()
        for thread in threads:
            thread.join()
        late, elsewhere = [], 0
        for machine in machines:
            runs = [run for run in list(machine.server.runs)
                    if mesh.sent_at.get(run[1], 0) > counts_from]
            if machine.zone == ZONE:
                late += [(run[0] - acknowledged, run[1], machine.server.instance_id) for run in runs]
            else:
                elsewhere += len(runs)
        record.write(f"{len(late)} requests reached servers of {ZONE} later than "
                     f"{counts_from - acknowledged:.0f} s after the acknowledgement; "
                     f"{elsewhere} ran elsewhere in that time")
        if not late and not elsewhere:
            raise kit.CannotRun("no request was served")
        return [f"EVAC: {attempt} reached {server} in {ZONE} {at:.1f} s after the evacuation was "
                "acknowledged" for at, attempt, server in late]


kit.run(HERE, case)
