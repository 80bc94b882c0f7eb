"""After a bad version was taken back, the operator orders the next one while the servers of the bad
version are still there."""
import json
import os
import sys
import threading
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(CASE), "standins-2"))
from kit import BROKEN, HELD, Mesh, Server, main, make_answer, trouble, wait_until  # noqa: E402

MOVE_S = 16                # time that each order gives
NEXT_ORDER_AFTER_S = 1.0   # from rolled_back to the order of the next version
BAD_STAYS_S = 7.0          # from rolled_back until the servers of the bad version drain
SENDERS, PAUSE_S = 8, 0.08
EXPOSURE_SHARE, EXPOSURE_SLACK, ROLLBACK_S = 0.1, 50, 5.0


class BadServer(Server):
    """A server of the bad version: half of its answers are failures."""

    def answer(self, connection, run):
        run["bad"] = len(self.runs) % 2 == 0
        if run["bad"]:
            run["ended"] = self.record.now()
            connection.sendall(make_answer(500, b"failed", self.seal(run)))
            return True
        return super().answer(connection, run)


def add_version(mesh, version, zones, server_class=Server):
    nodes = [mesh.add("pour-%s-%s" % (version, zone), "pour", zone, server_class, version=version)
             for zone in zones]
    for node in nodes:
        node.start()
        node.server.start_beats()
    wait_until(lambda: all(node.ready() for node in nodes), 15, version + " is ready")
    return nodes


def order(mesh, version):
    mesh.store.put("op/rollout/pour", json.dumps(
        {"service": "pour", "target_version": version, "duration_s": MOVE_S}))
    mesh.record.note("operator orders pour to version %s in %d s" % (version, MOVE_S))
    return mesh.record.now()


def case(mesh: Mesh):
    for service, zone in (("desk", "cairo-a"), ("desk", "cairo-b"), ("pour", "giza-a"),
                          ("pour", "alex-a")):
        mesh.add("%s-%s" % (service, zone), service, zone)
    mesh.configure([("/pour/", "non_idempotent", "pour", 1500),
                    ("/deposit/", "non_idempotent", "desk", 2500)])
    mesh.start()
    entries = list(mesh.nodes)
    sending = True

    def send(node):
        while sending:
            node.request("POST", "/pour/x", b"x", deadline_ms=3000)
            time.sleep(PAUSE_S)
    threads = [threading.Thread(target=send, args=(entries[i % 4],), daemon=True)
               for i in range(SENDERS)]
    for thread in threads:
        thread.start()
    bad = add_version(mesh, "v2", ("cairo-a", "cairo-b", "giza-a", "alex-a"), BadServer)
    ordered = order(mesh, "v2")
    wait_until(lambda: '"rolled_back"' in (mesh.store.value("status/rollout/pour") or ""),
               MOVE_S + 5, "the bad version is taken back")
    taken_back_at = time.monotonic()
    mesh.record.note("status/rollout/pour says rolled_back")
    time.sleep(NEXT_ORDER_AFTER_S)
    if trouble():
        # The servers of the next version start beside the others.
        add_version(mesh, "v3", ("cairo-a", "giza-a"))
        order(mesh, "v3")
    time.sleep(max(0, taken_back_at + BAD_STAYS_S - time.monotonic()))
    for node in bad:
        node.server.state = "draining"
        node.server.send("Heartbeat", node.server.make_beat())
    mesh.record.note("the servers of v2 drain")
    time.sleep(max(2, ordered + MOVE_S - mesh.record.now()))
    sending = False
    for thread in threads:
        thread.join(5)
    runs = sorted((run for node in mesh.nodes if node.service == "pour"
                   for run in node.server.runs), key=lambda run: run["at"])
    bad_ids = {node.server.id for node in bad}
    in_time = [run for run in runs if ordered <= run["at"] <= ordered + MOVE_S]
    exposed = [run for run in in_time if run["server"] in bad_ids]
    allowed = EXPOSURE_SHARE * len(in_time) + EXPOSURE_SLACK
    mesh.record.note("between the order of v2 and its deadline %d of %d requests reach v2, %d are "
                     "allowed" % (len(exposed), len(in_time), allowed))
    failures = sorted(run["ended"] for run in runs if run.get("bad") and "ended" in run)
    late = []
    if len(failures) >= 50:
        late = [run for run in runs if run["server"] in bad_ids and
                run["at"] > failures[49] + ROLLBACK_S]
    mesh.record.note("%d bad answers; %d requests reach v2 later than %d s after the 50th" % (
        len(failures), len(late), ROLLBACK_S))
    if not exposed:
        raise RuntimeError("v2 got no request")
    return BROKEN if len(exposed) > allowed or late else HELD


main(case, CASE)
