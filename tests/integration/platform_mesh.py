"""Nodes on the platform for tests: real processes with the settings of the platform, each beside a
stand-in of a backend server."""
import json
import uuid

from harness import HOST, free_ports, request
from platform_standins import ReportingServer

SETTINGS = """
[instance]
name = "{name}"
data_centre = "{data_centre}"
service = "{service}"
[listen]
callers = "{host}:{callers}"
traffic = "{host}:{traffic}"
peer_udp = "{host}:{peer}"
peer_bulk = "{host}:{peer}"
admin = "{host}:{admin}"
reports = "{host}:{reports}"
[backend_server]
address = "{server}"
health_interval = "0ms"
report_interval = "300ms"
[store]
addresses = ["{store}"]
timeout = "500ms"
lease_period = "2s"
[peers]
fetch_timeout = "400ms"
join_backoff_max = "500ms"
[shutdown]
announce_time = "500ms"
drain_timeout = "3s"
"""


def config(version, routes):
    return json.dumps({
        "version": f"{version:08x}",
        "routes": [{"name": path, "host": "shop.example", "path_prefix": path, "kind": kind,
                    "timeout_ms": 2000, "target_latency_ms": 500, "priority": 0, "attempts": 2,
                    **target} for path, kind, target in routes],
        "services": [{"name": name, "max_connections": 100, "warmup_s": 3, "warmup_per_s": 14.0}
                     for name in ("orders", "stock")]})


FIRST_ROUTES = [("/orders/", "non_idempotent", {"service": "orders"}),
                ("/stock/", "idempotent", {"service": "stock"}),
                ("/both/", "idempotent", {"traffic_split": [{"service": "orders", "weight": 75},
                                                            {"service": "stock", "weight": 25}]})]


class Instance:
    """A node and the backend server beside it."""

    def __init__(self, harness, store, name, service, data_centre, server_class=ReportingServer):
        self.harness, self.name = harness, name
        ports = free_ports(5)
        callers, traffic, peer, admin, reports = ports
        self.callers, self.admin = f"{HOST}:{callers}", f"{HOST}:{admin}"
        self.traffic = f"{HOST}:{traffic}"
        self.service, self.data_centre = service, data_centre
        self.reports = f"{HOST}:{reports}"
        self.server = server_class(service, data_centre, self.reports)
        self.settings_path = harness.path(name + ".toml")
        with open(self.settings_path, "w") as out:
            out.write(SETTINGS.format(name=name, data_centre=data_centre, service=service,
                                      host=HOST, callers=callers, traffic=traffic, peer=peer,
                                      admin=admin, reports=reports, server=self.server.address,
                                      store=store.address))
        self.start()

    def start(self):
        self.node = self.harness.start("carawayd", "--platform", self.settings_path, name=self.name,
                                       ready="node_started")

    def replace_server(self, instance_id=None):
        """Ends the server and starts another one at its address, by default with a new identity."""
        self.server.end()
        self.server = ReportingServer(self.service, self.data_centre, self.reports,
                                      port=self.server.port, instance_id=instance_id)

    def ready(self):
        try:
            return request(self.admin, "GET", "/api/ready", timeout_s=1)[0] == 200
        except OSError:
            return False

    def call(self, path, body=b"", deadline_ms=2000, attempt_id=None):
        """Returns the status and the body of the answer."""
        attempt_id = attempt_id or uuid.uuid4().hex[:16]
        answer = request(self.callers, "POST" if body else "GET", path, body,
                         {"Host": "shop.example", "X-Carawaytray-Attempt-Id": attempt_id,
                          "X-Carawaytray-Deadline-Ms": str(deadline_ms)})
        return answer[0], answer[-1]
