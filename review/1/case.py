"""Two late transactions leave machines on two registry pages, one of which says that nothing
was started there. Their owner, restarted, believes that page."""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from harness import TROUBLE, World, main, now  # noqa: E402

RESTARTS_EVERY_S = 15.0
BACK_AFTER_S = 4.0
BACK_AT_ONCE_S = 0.3
TASKS = 40


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

    # The machines of the first rental belong to the second controller, later ones to the third.
    rented = []

    def name(rental):
        rented.append(rental["ask"])
        owner = second if rental["ask"] == rented[0] else third
        return world.name_owned_by(owner)

    world.next_name = name
    late = {}
    first_is_late = threading.Event()

    def carry_out_later(key, body, at):
        def run():
            while now() < at():
                time.sleep(0.01)
            late[key] = now() - late[key]
            status, value = world.store.commit(body)
            world.record("store", f"LATE by {late[key]:.1f} s: {key} -> {status} {value}")

        threading.Thread(target=run, daemon=True).start()

    def before(node, method, path, body):
        """Two transactions get no answer and are carried out 2 to 12 s later."""
        if path != "/commit" or not TROUBLE:
            return None
        key = body.get("writes", [{}])[0].get("put", "")
        sent = now()
        if key.startswith("fw/r/") and not late and node == first:
            # The first leader's page of the rented machines. It is carried out while the next
            # leader, which knows nothing of it, waits for the answer to a page of its own.
            late[key] = sent
            world.record("store", f"no answer to {node}, which creates {key}")
            first_is_late.set()

            def at():
                return sent + 11.5 if len(late) < 2 else max(sent + 2.0, found_at[0] + 0.5)

            carry_out_later(key, body, at)
            return "late"
        if key.startswith("fw/r/found-") and len(late) == 1 and node == second:
            found_at.append(sent)
            late[key] = sent
            world.record("store", f"no answer to {node}, which creates {key}")
            carry_out_later(key, body, lambda: sent + 6.0)
            return "late"
        return None

    found_at = []
    world.store.before = before
    world.start_all(first)
    world.submit(world.spec("wk-000412", TASKS, 4.0, 4.0, 300.0))
    if TROUBLE:
        # All controllers are restarted one after the other, the leader first.
        if not first_is_late.wait(15):
            return 2, "nothing was rented"
        time.sleep(0.2)
        world.kill_controller(first)
        next_at = now() + RESTARTS_EVERY_S
        time.sleep(BACK_AFTER_S)
        world.start_controller(first)
    world.wait_for("all tasks", lambda: len(world.running("wk-000412")) == TASKS, 40)
    world.record("case", "all tasks run")
    if TROUBLE:
        while now() < next_at:
            time.sleep(0.05)
        world.record("case", f"late by: {late}")
        if len(late) != 2 or not all(2.0 <= by <= 12.0 for by in late.values()):
            return 2, f"the transactions were not late as intended: {late}"
        world.kill_controller(second)
        time.sleep(BACK_AT_ONCE_S)
        world.start_controller(second)
    time.sleep(12.0)
    if world.ran_twice:
        task, machine, others = world.ran_twice[0]
        return 1, (
            f"ran_twice: {len(world.ran_twice)} of {TASKS} tasks, first {task}: "
            f"started on {machine} while it was on {others[0]}"
        )
    return 0, "no task started on a machine while it was on another"


main(case)
