"""A controller returns and takes over new machines, while the leader, which does not know of
that epoch yet, marks them as used and starts tasks there. The new owner believes that nothing
was ever started on them."""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from harness import TROUBLE, World, main, owner_by_hash  # noqa: E402

SLOW_ANSWER_S = 0.5
# A controller that returns joins the epoch about a second after it has stored its member key,
# as it is heard then. The machines come up around that time.
UP_AFTER_S = [0.90, 0.95, 1.0, 1.05]
MACHINES = len(UP_AFTER_S)
TASKS = 4 * MACHINES


def case():
    world = World(
        HERE,
        breeds=[{"name": "deckbox", "cpus": 16.0, "accelerators": 0.0, "mem_gb": 128.0,
                 "cache_gb": 60.0, "pull_gb_per_s": 0.8, "hourly": 1.09, "spot_price": 0.42,
                 "ready_s": 25.0, "groves": ["pier-a"]}],
        zones=["pier-a", "pier-b", "island-c"],
        workers={"report_s": 3.0, "lease_s": 22.0, "gang_wait_s": 45.0, "gang_peer_s": 4.0,
                 "cancel_s": 42.0},
        state={"rps": 60.0, "write_rps": 20.0, "value_kb": 8.0, "txn_ops": 12},
        cloud={"rps": 4.0, "list_lag_s": 6.0},
        teams=[{"name": "harbor-desk", "cpus": 0.0, "cpus_max": 400.0, "gpus": 0.0,
                "gpus_max": 0.0}],
        limits={"core_share": 0.2, "ram_mb": 136.0, "max_connections": 2500},
    )
    first, second, third = world.names
    both = [first, second]

    def name_of_a_moving_machine(rental):
        """The first controller owns it while the third is away, and the third afterwards."""
        while True:
            name = world.name_owned_by(first, both)
            if owner_by_hash(world.names, name) == third:
                return name

    def name_of_a_staying_machine(rental):
        while True:
            name = world.name_owned_by(second, both)
            if owner_by_hash(world.names, name) == second:
                return name

    # Only two controllers run at first, the third is down.
    world.start_controller(first)
    world.wait_for("an epoch", lambda: world.epoch().get("leader") == first, 15)
    world.start_controller(second)
    world.wait_for("two members", lambda: len(world.epoch().get("members", {})) == 2, 15)
    world.wait_for("the catalogue", lambda: world.store.get("fw/c"), 15)
    running = both

    # A job on a machine that stays with the second controller.
    world.next_name = name_of_a_staying_machine
    world.submit(world.spec("wk-000001", 4, 4.0, 10.0, 300.0), running)
    world.wait_for("the first job", lambda: len(world.running("wk-000001")) == 4, 30)
    time.sleep(3.0)

    # A second job, whose machines are still booting.
    world.next_name = name_of_a_moving_machine
    world.boot_s = lambda name: 600.0
    known = set(world.machines)
    world.submit(world.spec("wk-000412", TASKS, 4.0, 10.0, 300.0, size_gb=0.02), running)
    world.wait_for("the rental", lambda: len(set(world.machines) - known) == MACHINES, 15)
    new = sorted(set(world.machines) - known)
    time.sleep(1.0)
    pages = [world.store.get(key) for key in world.store.keys("fw/r/")]
    if not all(any(name in page["m"] for page in pages) for name in new):
        return 2, "the machines are not registered"

    returned, joined = threading.Event(), threading.Event()
    state = {"joined": False, "slow": False}

    def after(node, method, path, body, status, value):
        if path == "/commit" and status == 200:
            for write in body.get("writes", []):
                if write.get("put") == f"fw/m/{third}":
                    returned.set()
                if write.get("put") == "fw/epoch" and third in write["value"]["members"]:
                    state["joined"] = True
                    joined.set()
                    world.record("store", f"epoch {write['value']['n']} has {third}")
        if path == "/changes" and node == first and state["joined"] and not state["slow"]:
            # One answer takes a few hundred milliseconds.
            state["slow"] = True
            if TROUBLE:
                world.record("store", f"the answer to a reading of {node} takes {SLOW_ANSWER_S} s")
                time.sleep(SLOW_ANSWER_S)

    world.store.after = after

    # The third controller is back, and the machines are up, one shortly after the other, with
    # the first controller as the node that they report to.
    world.start_controller(third)
    if not returned.wait(15):
        return 2, "the third controller did not return"
    for name, delay_s in zip(new, UP_AFTER_S):
        world.machines[name].at = 0
        world.machines[name].start(delay_s)
    if not joined.wait(15):
        return 2, "the third controller did not join"
    time.sleep(0.3)
    # A user cancels the first job, whose machine then has room.
    world.withdraw("wk-000001", [second])
    time.sleep(10.0)
    if not state["slow"]:
        return 2, "no answer was slow"
    if not world.starts or not any(s[1].startswith("wk-000412") for s in world.starts):
        return 2, "the second job did not start"
    if world.ran_twice:
        task, place, others = world.ran_twice[0]
        return 1, (
            f"ran_twice: {len(world.ran_twice)} of {TASKS} tasks, first {task}: started on {place} "
            f"while it was on {others[0]}"
        )
    return 0, "no task started on a machine while it was on another"


main(case)
