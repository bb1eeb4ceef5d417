"""An array of small tasks, of which more than a thousand fit on one machine, is accepted and
never starts: the commands for the machine are longer than the protocol allows."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from harness import TROUBLE, World, main, now  # noqa: E402

TASKS = 1200 if TROUBLE else 400
WAITS_S = 90.0


def case():
    world = World(
        HERE,
        breeds=[{"name": "silo", "cpus": 64.0, "accelerators": 0.0, "mem_gb": 128.0,
                 "cache_gb": 70.0, "pull_gb_per_s": 0.6, "hourly": 2.5, "spot_price": 0.54,
                 "ready_s": 15.0, "groves": ["town-hall"]}],
        zones=["hill-east", "river-west", "town-hall", "coast-south"],
        workers={"report_s": 3.0, "lease_s": 31.0, "gang_wait_s": 45.0, "gang_peer_s": 4.0,
                 "cancel_s": 56.0},
        state={"rps": 250.0, "write_rps": 40.0, "value_kb": 16.0, "txn_ops": 32},
        cloud={"rps": 8.0, "list_lag_s": 5.0},
        teams=[{"name": "radio-ops", "cpus": 320.0, "cpus_max": 960.0, "gpus": 0.0,
                "gpus_max": 0.0}],
    )
    world.start_all(world.names[0])
    job = "wk-000412"
    world.submit(world.spec(job, TASKS, 0.05, 0.05, 1.0))

    def up():
        with world.lock:
            return [machine for machine in world.machines.values() if machine.reporting]

    world.wait_for("a machine", up, 15)
    since = now()
    mood = None
    while now() - since < WAITS_S:
        time.sleep(5.0)
        status, answer = world.user(world.names[1], "GET", f"/v2/runs/{job}", timeout=2.0)
        mood = answer.get("mood") if status == 200 else mood
        if mood == "done":
            return 0, f"all {TASKS} tasks are done after {now() - since:.0f} s"
    started = len({start[1] for start in world.starts})
    text = f"{started} of {TASKS} tasks started in {now() - since:.0f} s, the job is {mood}"
    if started == 0:
        return 1, "an accepted job is left waiting while a machine that fits has room: " + text
    return 0, text


main(case)
