"""Tests of carawayctl against the real store stand-in and a small mesh."""
import json
import os
import subprocess

from harness import HOST, Harness, free_addresses, post_json, request, run_tests, wait_until
from mesh import Mesh

TEXT = """format = 1
name = "small"
[data_centre.east]
[data_centre.west]
[service.alpha]
version = "1"
[[route]]
path = "/alpha"
service = "alpha"
idempotent = true
"""


class Store:
    """A store stand-in on which a test runs carawayctl."""

    def __init__(self, harness):
        self.harness = harness
        self.address, self.control = free_addresses(2)
        harness.start("kv_store", "--listen", self.address, "--control", self.control)

    def write(self, name, text):
        with open(self.harness.path(name), "w") as file:
            file.write(text)
        return self.harness.path(name)

    def ctl(self, *arguments):
        """Runs carawayctl. Returns its exit status and its standard output and error."""
        completed = subprocess.run([os.path.join(self.harness.bins, "carawayctl"), "--store",
                                    self.address, *arguments],
                                   capture_output=True, text=True, timeout=60)
        return completed.returncode, completed.stdout + completed.stderr

    def text(self):
        return request(self.address, "GET", "/v1/kv/caraway/text")[2].decode()


def expect(result, code, *parts):
    assert result[0] == code, result
    for part in parts:
        assert part in result[1], (part, result)


def test_operators_edit_concurrently():
    """Guards against an edit that silently overwrites another one."""
    with Harness() as harness:
        store = Store(harness)
        first = store.write("first.toml", TEXT)
        expect(store.ctl("fetch", first), 1, "--from 0")
        expect(store.ctl("apply", first), 2, "no --from")
        expect(store.ctl("apply", first, "--from", "0", "--by", "ana"), 0, "submitted")
        copies = [harness.path(name) for name in ("ana.toml", "bo.toml")]
        for copy in copies:
            expect(store.ctl("fetch", copy), 0, "applied by ana")
        store.write("ana.toml", TEXT + 'timeout = "2s"\n')
        store.write("bo.toml", TEXT + 'timeout = "3s"\n')
        expect(store.ctl("apply", copies[0], "--by", "ana"), 0)
        expect(store.ctl("apply", copies[1], "--by", "bo"), 1, "applied by ana",
               "nothing was changed", "timeout 2s -> 3s")
        assert 'timeout = "2s"' in store.text()
        # The writer that won can apply again without fetching first.
        expect(store.ctl("apply", copies[0], "--by", "ana"), 0)
        expect(store.ctl("check", store.write("bad.toml", TEXT + "slots = 3\n")), 1,
               "bad.toml:11:1")
        expect(store.ctl("apply", harness.path("bad.toml"), "--from", "1"), 1, "unknown key")


def test_store_faults():
    """Guards against repeating or abandoning a write whose answer was lost, and against a command
    that hangs while the store is down."""
    with Harness() as harness:
        store = Store(harness)
        path = store.write("text.toml", TEXT)
        post_json(store.control, "/control", {"lose_answers_permille": 1000})
        expect(store.ctl("apply", path, "--from", "0"), 0, "submitted")
        revision = int(request(store.address, "GET", "/v1/kv/caraway/text")[1]["x-revision"])
        with open(path + ".revision") as file:
            assert int(file.read()) == revision
        for index in range(5):
            expect(store.ctl("apply", store.write("text.toml", TEXT + f"# {index}\n")), 0)
        post_json(store.control, "/control", {"lose_answers_permille": 0, "down": True})
        for command in (["status"], ["verdicts"], ["fetch", path], ["apply", path], ["diff", path]):
            expect(store.ctl(*command), 3, "store")
        post_json(store.control, "/control", {"down": False})
        expect(store.ctl("status"), 0, "accepted: nothing yet", "pending")


def test_follow_a_change_through_a_mesh():
    """Guards against carawayctl misreading the nodes' records of whether a version was refused,
    accepted or is in force."""
    with Mesh() as mesh:
        for name, data_centre in (("a1", "east"), ("a2", "west"), ("a3", "west")):
            mesh.add(name, data_centre, "alpha")
        mesh.start()
        path = f"{mesh.dir}/text.toml"
        with open(path, "w") as file:
            file.write(TEXT)
        first = mesh.ctl("apply", path, "--from", "0", "--by", "ana", "--wait")
        assert "in force on 3 of 3" in first.stdout, first.stdout
        with open(path, "w") as file:
            file.write(TEXT.replace('version = "1"', 'version = "1"\nslots = 5'))
        changes = mesh.ctl("diff", path).stdout
        assert changes == "service alpha: slots 12 -> 5\n", changes
        second = mesh.ctl("apply", path, "--wait", "--json").stdout
        results = [json.loads(line)["result"] for line in second.splitlines()]
        assert results == ["submitted", "accepted", "in_force"], second
        status = json.loads(mesh.ctl("status", "--json").stdout)
        assert status["accepted"]["version"] == 2, status
        assert status["verdict"]["in_force_everywhere"], status
        assert "accepter" in [lease["lease"] for lease in status["leases"]], status

        # The accepter refuses an invalid text that another writer stored without a check.
        request(f"{HOST}:{mesh.store_port}", "PUT", "/v1/kv/caraway/text", "format = 1\nnmae = 1\n")
        refused = wait_until(lambda: (completed := mesh.ctl("status", check=False)).returncode == 1
                             and completed, 10, "refusal")
        assert "text:2:1: found unknown key \"nmae\"" in refused.stdout, refused.stdout
        assert "version 2 accepted" in refused.stdout, refused.stdout
        verdicts = mesh.ctl("verdicts").stdout
        assert "version 1: in force" in verdicts and "version 2: in force" in verdicts, verdicts

        load = mesh.start_load("calls", "--duration-s", "2", "--rate", "50", "--path", "/alpha/x")
        mesh.summary(load)
        assert mesh.stop_nodes() == [0, 0, 0]
        audit = mesh.audit()
        assert " 0 breaches" in audit.stdout, audit.stdout
        started = int(audit.stdout.split(" started at")[0].split()[-1])
        assert started > 0, audit.stdout


if __name__ == "__main__":
    run_tests([test_operators_edit_concurrently, test_store_faults,
               test_follow_a_change_through_a_mesh])
