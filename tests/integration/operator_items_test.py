"""Operators' items that refer to what the configuration doesn't list, or that another writer left
unfinished, on the platform: none of them holds up the others."""
import json
import time

from harness import get_json, run_tests, wait_until
from platform_mesh import FIRST_ROUTES, config
from platform_test import APPLY_S, EVACUATE_S, Platform

MOVE_S = 1      # time that an order gives
ENDED_S = 15    # until a move without a server of its version is taken back
CALLS = 20

# Orders that can't be used, by the last part of their key.
UNUSABLE_ORDERS = {
    "gone": json.dumps({"service": "gone", "target_version": "v2", "duration_s": MOVE_S}),
    "orders": json.dumps({"service": "orders", "target_version": "v2"}),
    "stock": json.dumps({"service": "orders", "target_version": "v2", "duration_s": MOVE_S}),
    "unfinished": '{"service":"stock","target_ver', "empty": "", "bytes": "\x00\x01"}


def retired_config(version):
    """Returns a configuration that no longer lists the service "stock"; its route leads to "orders",
    and a route is added."""
    value = json.loads(config(version, [
        FIRST_ROUTES[0], ("/stock/", "idempotent", {"service": "orders"}),
        ("/new/", "idempotent", {"service": "orders"})]))
    value["services"] = [s for s in value["services"] if s["name"] == "orders"]
    return json.dumps(value)


def check_in_force(platform, what):
    """Checks that the retired configuration is in force at each node."""
    def in_force():
        return all(i.call("/new/a")[0] == 200 and i.call("/stock/a")[0] == 200
                   for i in platform.instances)
    wait_until(in_force, APPLY_S, what)


def check_evacuation(platform):
    """Checks that an evacuation takes effect, and ends it."""
    platform.store.put("op/evacuate/north", "{}")
    time.sleep(EVACUATE_S)
    north = [i.server for i in platform.instances if i.data_centre == "north"]
    before = sum(len(server.runs) for server in north)
    for number in range(CALLS):
        assert platform.instances[number % 4].call("/orders/a")[0] == 200
    assert sum(len(server.runs) for server in north) == before, "calls to an evacuated data centre"
    platform.store.delete("op/evacuate/north")


def status(store):
    return json.loads(store.value("status/rollout/stock") or "{}")


def test_the_order_of_a_retired_service_holds_up_nothing():
    """Guards against a configuration without the service of a finished order that is never applied,
    nor a later item, and with which no node becomes ready; and against a move that starts again when
    its service comes back."""
    with Platform() as platform:
        store = platform.store
        store.put("op/rollout/stock", json.dumps(
            {"service": "stock", "target_version": "v2", "duration_s": MOVE_S}))
        wait_until(lambda: status(store).get("state") == "rolled_back", ENDED_S, "taken back")
        ended = status(store)
        store.put("op/config", retired_config(8))
        check_in_force(platform, "the service is retired")
        items = get_json(platform.instances[0].admin, "/status")["unusable_items"]
        assert len(items) == 1 and "op/rollout/stock" in items[0], items
        check_evacuation(platform)
        platform.restart_all()
        check_in_force(platform, "after a restart of all nodes")
        store.put("op/config", config(11, FIRST_ROUTES))
        wait_until(lambda: all(i.call("/both/a")[0] == 200 for i in platform.instances), APPLY_S,
                   "the service is back")
        time.sleep(2 * MOVE_S + APPLY_S)
        assert status(store) == ended, status(store)


def test_orders_that_come_before_their_service():
    """Guards against an order that names a service which a later configuration lists: it held up all
    items until then, and must be carried out afterwards."""
    with Platform() as platform:
        store = platform.store
        store.put("op/config", retired_config(8))
        check_in_force(platform, "the service is retired")
        store.put("op/rollout/stock", json.dumps(
            {"service": "stock", "target_version": "v2", "duration_s": MOVE_S}))
        check_evacuation(platform)
        store.put("op/config", config(11, FIRST_ROUTES))
        wait_until(lambda: status(store).get("state") == "rolled_back", ENDED_S, "taken back")


def test_a_service_that_is_retired_during_its_move():
    """Guards against a move that never ends, or starts again, when its service is not listed for a
    time while it runs."""
    with Platform() as platform:
        store = platform.store
        for version, away_s in ((8, 0.5), (14, 2 * MOVE_S + APPLY_S)):
            store.put("op/rollout/stock", json.dumps(
                {"service": "stock", "target_version": f"v{version}", "duration_s": 2 * MOVE_S}))
            wait_until(lambda version=version: status(store).get("target_version") == f"v{version}",
                       APPLY_S, "begun")
            move_id = json.loads(status(store)["record"])["move_id"]
            store.put("op/config", retired_config(version))
            check_in_force(platform, "the service is retired")
            time.sleep(away_s)
            store.put("op/config", config(version + 3, FIRST_ROUTES))
            wait_until(lambda: status(store).get("state") == "rolled_back", ENDED_S, "taken back")
            assert json.loads(status(store)["record"])["move_id"] == move_id, "another move"


def test_unusable_items_hold_up_nothing():
    """Guards against an unfinished or unreadable item that keeps all others from being applied, or
    nodes that start from becoming ready."""
    with Platform() as platform:
        store = platform.store
        store.put("status/rollout/orders", '{"state":"running"')
        for name, value in UNUSABLE_ORDERS.items():
            store.put("op/rollout/" + name, value)
        store.put("op/config", retired_config(8))
        check_in_force(platform, "a configuration")
        check_evacuation(platform)
        platform.restart_all()
        check_in_force(platform, "after a restart of all nodes")
        items = get_json(platform.instances[0].admin, "/status")["unusable_items"]
        assert len(items) == len(UNUSABLE_ORDERS), items
        # A record that can't be read doesn't hold up the move of its service.
        store.put("op/rollout/orders", json.dumps(
            {"service": "orders", "target_version": "v2", "duration_s": MOVE_S}))
        wait_until(lambda: '"rolled_back"' in store.value("status/rollout/orders"), ENDED_S,
                   "taken back")


def test_an_unusable_configuration_holds_up_no_order():
    """Guards against an evacuation that isn't applied because the configuration can't be read; the
    one before it stays in force."""
    with Platform() as platform:
        platform.store.put("op/config", retired_config(8)[:-40])
        check_evacuation(platform)
        assert platform.instances[0].call("/both/a")[0] == 200
        platform.store.put("op/config", retired_config(11))
        check_in_force(platform, "the next configuration")


if __name__ == "__main__":
    run_tests([test_the_order_of_a_retired_service_holds_up_nothing,
               test_orders_that_come_before_their_service,
               test_a_service_that_is_retired_during_its_move, test_unusable_items_hold_up_nothing,
               test_an_unusable_configuration_holds_up_no_order])
