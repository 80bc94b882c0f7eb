"""A server leaves and its leave is acknowledged; then all processes are killed at the same moment
and start again, and a heartbeat that the server had sent before its leave arrives late."""
import json
import os
import signal
import sys
import threading
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(CASE), "standins-2"))
from kit import BOUNDS, BROKEN, HELD, Mesh, main, trouble, wait_until  # noqa: E402

KILL_AFTER_S = 0.5     # from the acknowledgement to the kill
DOWN_S = 1.0           # until the platform starts the processes again
BEAT_LATE_S = 3.0      # by which the heartbeat is late
SERVES_ON_S = 9.0      # for which the server serves on after the acknowledgement
CALLS = 40


def case(mesh: Mesh):
    for service, zone in (("desk", "cairo-a"), ("desk", "cairo-b"), ("desk", "giza-a"),
                          ("pour", "alex-a")):
        mesh.add("%s-%s" % (service, zone), service, zone)
    mesh.configure([("/deposit/", "non_idempotent", "desk", 2500),
                    ("/pour/", "non_idempotent", "pour", 1500)])
    mesh.start()
    for node in mesh.nodes:
        for _ in range(5):
            node.request("POST", "/deposit/before", b"x")
    leaving = mesh.nodes[0].server
    if not leaving.runs:
        raise RuntimeError("the server got no request before it left")
    leaving.beating = False
    late_beat = leaving.make_beat()  # sent now; it arrives late
    leave = json.dumps({"born": leaving.born})
    sent_at = time.monotonic()
    mesh.record.note("server %s sends a heartbeat, which is held up" % leaving.id)
    wait_until(lambda: leaving.send("Deregister", leave) == 200, BOUNDS["ack_ms"] / 1000,
               "the leave is acknowledged")
    acknowledged = mesh.record.now()
    acknowledged_at = time.monotonic()
    mesh.record.note("the leave of server %s is acknowledged with 200" % leaving.id)

    def arrive():
        time.sleep(max(0, sent_at + BEAT_LATE_S - time.monotonic()))
        status = leaving.send("Heartbeat", late_beat)
        mesh.record.note("the heartbeat that was held up arrives; answer %s" % status)
    threading.Thread(target=arrive, daemon=True).start()

    time.sleep(KILL_AFTER_S)
    if trouble():
        for node in mesh.nodes:
            node.signal(signal.SIGKILL)
        for node in mesh.nodes:
            node.process.wait()
        time.sleep(DOWN_S)
        for node in mesh.nodes:
            node.start()
    else:
        time.sleep(DOWN_S)
    in_touch_at = time.monotonic() + BOUNDS["contact_ms"] / 1000 + 0.5
    wait_until(lambda: all(n.ready() for n in mesh.nodes), 10, "all nodes are ready")
    time.sleep(max(0, in_touch_at - time.monotonic()))
    first_sent = mesh.record.now()
    mesh.record.note("all machines are in touch")
    for number in range(CALLS):
        mesh.nodes[number % len(mesh.nodes)].request("POST", "/deposit/%d" % number, b"x")
    if time.monotonic() - acknowledged_at > SERVES_ON_S:
        raise RuntimeError("the server would have ended by now")
    late = [run for run in leaving.runs if run["at"] > max(
        first_sent, acknowledged + BOUNDS["drain_ms"] / 1000)]
    others = [run for run in mesh.runs() if run["at"] > first_sent and run["server"] != leaving.id]
    for run in late:
        mesh.record.note("DRAIN: server %s gets %s %.3f s after its leave was acknowledged" % (
            leaving.id, run["id"], run["at"] - acknowledged))
    mesh.record.note("%d requests at the server that left, %d at others" % (
        len(late), len(others)))
    if not late and not others:
        raise RuntimeError("no request ran")
    return BROKEN if late else HELD


main(case, CASE)
