"""Starts a small mesh of real processes for tests, the demo and measurements.

A Mesh holds one store stand-in and a set of instances. Each instance is a backend server stand-in
with a carawayd beside it. With proxied=True all traffic between nodes and to the store passes
through the fault-injecting proxy, so that links can be cut, delayed or frozen by name:
traffic/INSTANCE, udp/INSTANCE, bulk/INSTANCE, store/DATA_CENTRE. The nodes of a data centre then
share a source address, by which the proxy can cut them off.
"""

import http.client as http_client
import json
import os
import shutil
import subprocess
import time

from harness import HOST, Harness, free_port, get_json, request, wait_until

# If set, nodes record the inputs of their decisions, and their logs are copied to this folder at
# the end of a test.
RECORD_DIR = os.environ.get("CARAWAY_RECORD_DIR")
# Maximum number of recorded lines that wait to be written; far more than accumulate between two
# writes, so that none is dropped.
RECORD_LINES = 100_000


def http(method, port, path, body=None, timeout_s=5.0):
    """Sends one HTTP request, with body as JSON unless it is None. Returns status, headers (lower
    case) and body."""
    data = b"" if body is None else json.dumps(body).encode()
    return request(f"{HOST}:{port}", method, path, data, timeout_s=timeout_s)


def http_json(port, path, timeout_s=5.0):
    return get_json(f"{HOST}:{port}", path, timeout_s=timeout_s)


def wait_ignoring_errors(check, timeout_s, what):
    """Waits like wait_until, but treats connection errors and failed assertions of check as "not
    yet". Returns the seconds waited."""
    started = time.monotonic()

    def attempt():
        try:
            return check()
        except (OSError, AssertionError, http_client.HTTPException):
            return False

    wait_until(attempt, timeout_s, what, interval_s=0.05)
    return time.monotonic() - started


class Instance:
    """A backend server and the node beside it."""

    def __init__(self, name, data_centre, service, version, options):
        self.name = name
        self.data_centre = data_centre
        self.service = service
        self.version = version
        self.options = options  # extra options of the backend server, with _ for -
        self.ports = {
            key: free_port()
            for key in ("traffic", "udp", "bulk", "admin", "server", "server_control")
        }
        self.advertised_ports = {key: self.ports[key] for key in ("traffic", "udp", "bulk")}
        self.server = None
        self.node = None
        self.node_logs = []  # one path for each start of the node


class Mesh:
    def __init__(self, bins=None, proxied=False, settings=None, store_options=()):
        self.harness = Harness(bins)
        self.bins = self.harness.bins
        self.dir = self.harness.dir
        self.proxied = proxied
        self.settings = settings or {}  # section -> {key: TOML value}, for every node
        self.instances = {}
        self.store_options = store_options
        self.store_port = free_port()
        self.store_control_port = free_port()
        self.source_addresses = {}  # data centre -> address that its nodes send from
        self.store_ports = {}  # data centre -> port at which its nodes reach the store
        self.proxy_control_port = free_port()
        self.store = None
        self.proxy = None
        self.applied_texts = 0
        self.started_programs = 0

    def __enter__(self):
        return self

    def __exit__(self, kind, value, trace):
        if RECORD_DIR:
            for path in self.node_logs():
                shutil.copy(path, RECORD_DIR)
        self.harness.__exit__(kind, value, trace)

    def start_program(self, program, name, *arguments, ready="listening", timeout_s=20):
        """Starts a program whose log file is named after it. Each restart gets a new log file."""
        self.started_programs += 1
        return self.harness.start(
            program, *arguments, name=f"{name}.{self.started_programs}", ready=ready,
            timeout_s=timeout_s
        )

    def add(self, name, data_centre, service, version="1", **options):
        instance = Instance(name, data_centre, service, version, options)
        if self.proxied:
            instance.advertised_ports = {key: free_port() for key in ("traffic", "udp", "bulk")}
        self.instances[name] = instance
        if data_centre not in self.source_addresses:
            self.source_addresses[data_centre] = \
                f"127.0.1.{len(self.source_addresses) + 1}" if self.proxied else HOST
            self.store_ports[data_centre] = free_port() if self.proxied else self.store_port
        return instance

    def start(self, later=()):
        """Starts the store, the proxy and all instances except those that later names."""
        self.start_store()
        if self.proxied:
            self.start_proxy()
        for instance in self.instances.values():
            if instance.name not in later:
                self.start_instance(instance.name)
        return self

    def start_store(self):
        self.store = self.start_program(
            "kv_store",
            "store",
            "--listen", f"{HOST}:{self.store_port}",
            "--control", f"{HOST}:{self.store_control_port}",
            *self.store_options,
        )

    def start_proxy(self):
        links = [
            f"store/{data_centre}=tcp,{HOST}:{port},{HOST}:{self.store_port}"
            for data_centre, port in self.store_ports.items()
        ]
        for instance in self.instances.values():
            for key in ("traffic", "udp", "bulk"):
                kind = "udp" if key == "udp" else "tcp"
                host = self.source_addresses[instance.data_centre] if key == "udp" else HOST
                links.append(
                    f"{key}/{instance.name}={kind},{HOST}:{instance.advertised_ports[key]},"
                    f"{host}:{instance.ports[key]}"
                )
        arguments = ["--control", f"{HOST}:{self.proxy_control_port}"]
        for link in links:
            arguments += ["--link", link]
        self.proxy = self.start_program("fault_proxy", "proxy", *arguments)

    def set_link_fault(self, link, **values):
        """Sets fault values of a link of the proxy. A name ending in * selects all links with that
        prefix."""
        status, _, body = http("POST", self.proxy_control_port, "/control",
                               {"link": link, **values})
        assert status == 200, (status, body)

    def cut_data_centre(self, data_centre, cut=True):
        """Cuts or restores the inbound links of all nodes in a data centre, including those from
        each other."""
        for instance in self.in_data_centre(data_centre):
            for key in ("traffic", "udp", "bulk"):
                self.set_link_fault(f"{key}/{instance.name}", cut=cut)

    def partition(self, data_centre, inbound=True, outbound=True):
        """Cuts a data centre off from the others, in both directions or one. Its nodes still reach
        each other and, unless that link is cut, the store. With neither direction, heals the
        cut."""
        own_sources = [self.source_addresses[data_centre]]
        other_sources = [s for d, s in self.source_addresses.items() if d != data_centre]
        for instance in self.instances.values():
            inside = instance.data_centre == data_centre
            cut = (other_sources if inbound else []) if inside else \
                (own_sources if outbound else [])
            for key in ("traffic", "udp", "bulk"):
                self.set_link_fault(f"{key}/{instance.name}", cut_sources=cut)

    def in_data_centre(self, data_centre):
        return [i for i in self.instances.values() if i.data_centre == data_centre]

    def of_service(self, service, version=None):
        return [
            i
            for i in self.instances.values()
            if i.service == service and version in (None, i.version)
        ]

    def start_instance(self, name):
        self.start_server(name)
        self.start_node(name)

    def start_server(self, name):
        instance = self.instances[name]
        arguments = [
            "--listen", f"{HOST}:{instance.ports['server']}",
            "--control", f"{HOST}:{instance.ports['server_control']}",
            "--egress", f"{HOST}:{instance.ports['traffic']}",
            "--instance", instance.name,
            "--service", instance.service,
            "--version", instance.version,
        ]
        for key, value in instance.options.items():
            arguments += [f"--{key.replace('_', '-')}", str(value)]
        instance.server = self.start_program("backend_server", f"server-{name}", *arguments)

    def start_node(self, name):
        instance = self.instances[name]
        path = f"{self.dir}/{name}.toml"
        with open(path, "w") as out:
            out.write(self.node_settings(instance))
        instance.node = self.start_program("carawayd", f"node-{name}", path, ready="node_started")
        instance.node_logs.append(instance.node.log_path)

    def node_settings(self, instance):
        seeds = [
            f"{HOST}:{i.advertised_ports['bulk']}"
            for i in list(self.instances.values())[:6]
            if i is not instance
        ]
        ports, advertised = instance.ports, instance.advertised_ports
        sections = {
            "instance": {
                "name": instance.name,
                "data_centre": instance.data_centre,
                "service": instance.service,
                "version": instance.version,
            },
            "listen": {
                "traffic": f"{HOST}:{ports['traffic']}",
                "peer_udp": f"{self.source_addresses[instance.data_centre]}:{ports['udp']}",
                "peer_bulk": f"{HOST}:{ports['bulk']}",
                "admin": f"{HOST}:{ports['admin']}",
                "announce_traffic": f"{HOST}:{advertised['traffic']}",
                "announce_udp": f"{HOST}:{advertised['udp']}",
                "announce_bulk": f"{HOST}:{advertised['bulk']}",
                **({"source": self.source_addresses[instance.data_centre]} if self.proxied else {}),
            },
            "backend_server": {"address": f"{HOST}:{ports['server']}"},
            "store": {"addresses": [f"{HOST}:{self.store_ports[instance.data_centre]}"]},
            "peers": {"seeds": seeds},
            "log": {"record_lines": RECORD_LINES if RECORD_DIR else 0},
        }
        for section, values in self.settings.items():
            sections.setdefault(section, {}).update(values)
        lines = []
        for section, values in sections.items():
            lines.append(f"[{section}]")
            lines += [f"{key} = {json.dumps(value)}" for key, value in values.items()]
        return "\n".join(lines) + "\n"

    def ctl(self, *arguments, check=True, timeout=60):
        """Runs carawayctl and returns the completed process."""
        command = [f"{self.bins}/carawayctl", "--store", f"{HOST}:{self.store_port}"]
        completed = subprocess.run(
            command + list(arguments), capture_output=True, text=True, timeout=timeout
        )
        if check and completed.returncode != 0:
            raise AssertionError(
                f"{arguments}: exit {completed.returncode}: {completed.stdout}{completed.stderr}")
        return completed

    def apply(self, text, check=True):
        """Applies a text with carawayctl, based on the current revision."""
        self.applied_texts += 1
        path = f"{self.dir}/text-{self.applied_texts}.toml"
        with open(path, "w") as out:
            out.write(text)
        status, headers, _ = http("GET", self.store_port, "/v1/kv/caraway/text")
        revision = headers["x-revision"] if status == 200 else "0"
        return self.ctl("apply", path, "--from", revision, check=check)

    def store_counters(self):
        return http_json(self.store_control_port, "/control")

    def set_store_fault(self, **values):
        return http("POST", self.store_control_port, "/control", values)

    def status(self, name):
        return http_json(self.instances[name].ports["admin"], "/status", timeout_s=2)

    def metrics(self, name):
        return http("GET", self.instances[name].ports["admin"], "/metrics")[2].decode()

    def running_instances(self):
        return [i for i in self.instances.values() if i.node is not None and i.node.running()]

    def wait_ready(self, timeout=30):
        return wait_ignoring_errors(
            lambda: all(self.status(i.name)["ready"] for i in self.running_instances()), timeout,
            "all ready"
        )

    def wait_version(self, version, timeout=30, names=None):
        """Waits until the nodes run the version or a newer one. A node that does is not polled
        again. Returns the seconds waited."""
        pending = list(names or [i.name for i in self.running_instances()])

        def complete():
            while pending and self.status(pending[-1])["config_version"] >= version:
                pending.pop()
            return not pending

        return wait_ignoring_errors(complete, timeout, f"version {version} everywhere")

    def wait_members(self, timeout=30):
        """Waits until every running node sees every other one alive and ready."""
        expected = {i.name for i in self.running_instances()}

        def complete():
            for instance in self.running_instances():
                members = self.status(instance.name)["members"]
                alive = {n for n, m in members.items() if m["state"] == "alive" and m["ready"]}
                if alive | {instance.name} != expected:
                    return False
            return True

        return wait_ignoring_errors(complete, timeout, "all members known")

    def accepted_version(self):
        status, _, body = http("GET", self.store_port, "/v1/kv/caraway/state/accepted")
        return json.loads(body)["version"] if status == 200 else 0

    def move_record(self, service):
        """Returns the store's move record of a service, or None."""
        status, _, body = http("GET", self.store_port, f"/v1/kv/caraway/state/move/{service}")
        # The store answers with another status if it is down or above its rate limit.
        assert status in (200, 404), f"the store answered {status}"
        return json.loads(body) if status == 200 else None

    def executions(self, name):
        return http_json(self.instances[name].ports["server_control"], "/control/executions")

    def set_server_fault(self, name, **values):
        return http("POST", self.instances[name].ports["server_control"], "/control", values)

    def start_load(self, name, *options, targets=None, direct=False):
        """Starts a load generator on the given instances (all running ones by default). With
        direct=True the callers' connections bypass the proxy and its faults."""
        targets = targets or [i.name for i in self.running_instances()]
        arguments = list(options)
        for target in targets:
            instance = self.instances[target]
            port = (instance.ports if direct else instance.advertised_ports)["traffic"]
            arguments += ["--target", f"{HOST}:{port}"]
        return self.harness.start_load(*arguments, name=name)

    def summary(self, load, timeout_s=180):
        """Waits until a load generator ends and returns its summary."""
        load.wait(timeout_s)
        with open(self.harness.path(load.name + ".json")) as source:
            return json.load(source)

    def records(self, load):
        with open(self.harness.path(load.name + ".records")) as source:
            return [json.loads(line) for line in source]

    def node_logs(self):
        return [path for i in self.instances.values() for path in i.node_logs]

    def log_lines(self, name, event):
        """Returns the log lines with the event name from all runs of the node."""
        matching = []
        for path in self.instances[name].node_logs:
            with open(path) as source:
                lines = [json.loads(line) for line in source if line.startswith("{")]
            matching += [line for line in lines if line.get("event") == event]
        return matching

    def lease_holders(self, lease):
        """Returns the names of the running nodes that report that they hold a lease, such as
        "accepter"."""
        holders = []
        for instance in self.running_instances():
            try:
                if self.status(instance.name)["leases"].get(f"caraway/lease/{lease}"):
                    holders.append(instance.name)
            except (OSError, http_client.HTTPException):
                pass  # paused or about to end
        return holders

    def applied_versions(self, name):
        return [line["version"] for line in self.log_lines(name, "config_applied")]

    def check_versions(self):
        """Fails if a node ever applied an older version, also across restarts (guarantee 1)."""
        for name in self.instances:
            versions = self.applied_versions(name)
            assert versions == sorted(versions), f"{name} went back: {versions}"

    def run_count(self, number, names=None):
        """Returns how often the backend servers ran a request, by their own counts. Without names,
        asks all running backend servers."""
        names = names or [i.name for i in self.instances.values() if i.server.running()]
        ports = [self.instances[name].ports["server_control"] for name in names]
        return sum(http_json(port, f"/control/ran?request={number}")["ran"] for port in ports)

    def check_not_run(self, records, names=None, min_checked=150):
        """Fails if a backend server ran a request that was answered as not run (guarantee 8).
        Checks all of them or, if there are many, at least min_checked evenly spaced ones; returns
        how many were checked."""
        refused = [r["number"] for r in records if is_refused(r)]
        sample = refused[:: max(1, len(refused) // min_checked)]
        for number in sample:
            run_count = self.run_count(number, names)
            assert run_count == 0, f"{number} was refused as not run but ran {run_count} times"
        return len(sample)

    def check_run_once(self, records, names):
        """Fails unless the named backend servers ran each answered request once, each refused one
        never and each other one at most once (guarantee 9). They must have received no other
        requests, because their total number of starts is compared with that of the records.
        Returns the number of starts by the servers' own counts."""
        others = [r for r in records if r["outcome"] != "answered" and not is_refused(r)]
        run_counts = [self.run_count(r["number"], names) for r in others]
        assert all(count <= 1 for count in run_counts), f"run twice: {run_counts}"
        counts = [self.executions(name) for name in names]
        repeated = {k: v for c in counts for k, v in c["run_again"].items()}
        assert not repeated, f"run twice: {repeated}"
        started = sum(c["started"] for c in counts)
        answered = sum(r["outcome"] == "answered" for r in records)
        assert started == answered + sum(run_counts), (started, answered, sum(run_counts))
        return started

    def audit(self, check=True):
        """Runs carawayctl audit, which checks the guarantees, on the logs of all nodes."""
        completed = subprocess.run(
            [f"{self.bins}/carawayctl", "audit", *self.node_logs()], capture_output=True, text=True
        )
        if check and completed.returncode != 0:
            raise AssertionError(
                f"audit: exit {completed.returncode}: {completed.stdout}{completed.stderr}")
        return completed

    def stop_nodes(self, timeout_s=40):
        """Stops all nodes at the same time with SIGTERM and returns their exit statuses."""
        nodes = [i.node for i in self.running_instances()]
        for node in nodes:
            node.process.terminate()
        return [node.wait(timeout_s) for node in nodes]

    def finish(self, is_allowed_breach=None):
        """Ends a test: checks that planned stops are graceful (guarantee 11), that versions never
        decrease and that the audit of all logs finds only breaches for which
        is_allowed_breach(line) is true (none without it). Returns the counts in the audit's last
        line."""
        statuses = self.stop_nodes()
        assert set(statuses) <= {0}, f"exit statuses {statuses}"
        self.check_versions()
        if is_allowed_breach:
            *breaches, report = self.audit(check=False).stdout.strip().splitlines()
            others = [line for line in breaches if not is_allowed_breach(line)]
            assert not others, others
            return report.split("), ", 1)[-1]
        report = self.audit().stdout.strip().splitlines()[-1]
        assert report.endswith(" 0 breaches"), report
        return report.split("), ", 1)[-1]


def mesh_text(data_centres, services, routes, out=(), name="proof"):
    """Returns a configuration text. services and routes map a name or path to a dict of TOML
    values; out lists the data centres that are taken out."""
    lines = ["format = 1", f'name = "{name}"']
    for data_centre in data_centres:
        lines += [f"[data_centre.{data_centre}]", f"out = {json.dumps(data_centre in out)}"]
    for service, values in services.items():
        lines.append(f"[service.{service}]")
        lines += [f"{key} = {json.dumps(value)}" for key, value in values.items()]
    for path, values in routes.items():
        lines += ["[[route]]", f'path = "{path}"']
        lines += [f"{key} = {json.dumps(value)}" for key, value in values.items()]
    return "\n".join(lines) + "\n"


def is_refused(record):
    """Returns whether the answer guarantees that the request did not run. The refusal of a resent
    request does not cover its earlier attempts."""
    return record["outcome"] == "not-run" and record["attempts"] == 1


def check_calls(summary, unknown=0):
    """Fails if a call got no answer (lost), an answer to another request (crossed) or an incomplete
    answer (cut), if no call was answered, or if more than unknown calls had an unknown outcome
    (None: no limit). Returns the totals as text."""
    for what in ("lost", "crossed", "cut"):
        assert summary[what] == 0, f"{what}: {summary[what]}, {summary['other_reasons']}"
    assert unknown is None or summary["unknown"] <= unknown, summary["other_reasons"]
    assert summary["answered"] > 0, summary
    return (f"{summary['sent']} calls, {summary['answered']} answered, {summary['not_run']} not "
            f"run, {summary['unknown']} unknown, {summary['deadline']} deadline")
