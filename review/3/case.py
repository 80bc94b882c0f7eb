"""A node is killed and restarted after it has acknowledged that its server leaves."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from standins import *  # noqa: E402,F403

LATE_BY_S = 3.0       # by how much the late heartbeat is late
SERVES_ON_S = 8.0     # for how long the server still serves after the acknowledgement


def case(deployment):
    record, store = deployment.record, deployment.store
    entry, left = deployment.machines
    deployment.configure(7, [("/orders/", "non_idempotent", {"service": "orders"})], ["orders"])
    deployment.start_nodes()
    staying = BackendServer(record, entry, "orders", work_s=0.2)
    leaving = BackendServer(record, left, "orders", work_s=0.2)
    staying.report()
    leaving.report()
    client = Client(record, entry)
    deployment.wait(lambda: client.call("/orders/first") == 200, 10, "the first answer")
    calling = deployment.keep_calling(entry, "/orders/a", 0.05, clients=8)
    deployment.wait(lambda: len(leaving.runs) >= 20, 10, "requests at the second server")
    deployment.sleep_until(max(record.now(), 8.0))

    # The server leaves by a leave notice, as some do. Its last heartbeat is on its way meanwhile.
    leaving.stop_reporting()
    late = leaving.beat()
    sent_at = record.line(f"heartbeat of {leaving.id}, call_seq {late['status']['call_seq']}, "
                          "is sent and delayed")
    acknowledged = leaving.leave()
    if acknowledged is None:
        raise CannotRun("the leave notice was not acknowledged")
    leaving.state = "draining"
    started = None
    if TROUBLE:
        deployment.sleep_until(acknowledged + 0.3)
        left.kill()
        deployment.sleep_until(record.now() + RESTART_DELAY_S)
        started = left.start()
        deployment.wait(left.ready, 10, "the restarted node ready")
    deployment.sleep_until(sent_at + LATE_BY_S)
    leaving.send_beat(late)
    deployment.sleep_until(acknowledged + SERVES_ON_S)
    leaving.exit()
    deployment.sleep_until(record.now() + 2)
    deployment.stopping.set()

    # Both machines are in touch from then on: the entry all the time, the other one contact_ms
    # after its start.
    bound_from = acknowledged + DRAIN_S
    if started is not None:
        bound_from = max(bound_from, started + CONTACT_S)
    sent = {attempt: at for c in calling for at, _, attempt, _ in c.results}
    breaches = [f"DRAIN: {attempt}, sent at {sent.get(attempt, 0):.3f}, reaches the server "
                f"{at - acknowledged:.3f} s after the acknowledgement of its leave"
                for at, attempt, _ in leaving.runs if at > bound_from]
    lost = [attempt for c in calling for _, _, attempt, status in c.results
            if status not in (200, 503)]
    record.line(f"{len(lost)} requests without an answer of the server: {lost}")
    return breaches


play(__file__, [("cairo-a", "orders"), ("cairo-a", "orders")], case)
