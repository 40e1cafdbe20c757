"""Loses the reply of one write of the waiting jobs' count, which the store performs some seconds later."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
sys.path.insert(0, os.path.join(ROOT, "review", "standin-3"))

from platform_standin import BOUNDS, PREFIX, CouldNotRun, Deployment, call  # noqa: E402

LATE_S = 5.5
FULL = "00000000000000f0"
FEW, MANY = 2, 12
WATCH_S = 8.0


def waiting_id(number):
    return f"{number:016x}"


def play(deployment, has_trouble):
    journal, caller_of = deployment.journal, deployment.instances[0]
    deployment.wait_until(lambda: len(deployment.ready_instances()) == len(deployment.instances), 20, "instances not ready")
    deployment.wait_until(lambda: deployment.leader() is not None, 10, "no instance schedules")
    time.sleep(2.0)

    def submit(job, count):
        steps = [{"count": count, "cpu": 1000, "mem_mb": 512, "gpu": 1, "estimate_ms": 60000}]
        status, _ = call(journal, caller_of, "POST", PREFIX + job, {"spec": job, "steps": steps})
        if status != 200:
            raise CouldNotRun(f"{job} was not accepted")

    # All accelerators are in use from here on, so that the others wait.
    submit(FULL, 8 * len(deployment.workers))
    deployment.wait_until(lambda: len(deployment.runs_of(FULL)) == 8 * len(deployment.workers), 8, "the service is not full")
    time.sleep(2.0)
    lost = []

    def lose(instance, txn):
        tables = {row["table"] for row in txn.get("puts", [])}
        if has_trouble and not lost and "pending" in tables:
            lost.append(instance)
            journal.add(f"trouble: the reply to a write of {instance} on {sorted(tables)} is lost; it is done {LATE_S} s later")
            return LATE_S
        return None

    deployment.store.lose = lose
    for number in range(FEW):
        submit(waiting_id(number + 1), 4)
    if has_trouble:
        deployment.wait_until(lambda: lost, 3, "no write of the count")
    lost_at = journal.now()
    for number in range(FEW, MANY):
        submit(waiting_id(number + 1), 4)
    accepted_at = journal.now()
    # The store is stable, and calm machines are in touch, contact_ms after the last late write.
    settled_at = max(lost_at + LATE_S + BOUNDS["contact_ms"] / 1000 + 0.5, accepted_at + BOUNDS["visible_ms"] / 1000 + 2.5)
    time.sleep(max(0.0, settled_at - journal.now()))
    broken, until = [], time.monotonic() + WATCH_S
    while time.monotonic() < until:
        for instance in deployment.instances:
            status, reply = call(journal, instance, "GET", PREFIX)
            if status != 200:
                raise CouldNotRun("the count was not answered")
            begun = sum(bool(deployment.starts_of(waiting_id(number + 1))) for number in range(MANY))
            if 2 * reply["pending"] < MANY - begun:
                broken.append(f"MIXED: {instance.name} gives {reply['pending']} jobs as waiting; {MANY - begun} were accepted "
                              f"{journal.now() - accepted_at:.1f} s ago or before and have not begun")
        time.sleep(1.0)
    for line in broken:
        journal.add(line)
    return 1 if broken else 0


def main():
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = Deployment(ROOT, instances=3, workers=2, work_s=lambda task: 80.0)
    outcome = 2
    try:
        outcome = play(deployment, has_trouble)
    except CouldNotRun as error:
        deployment.journal.add(f"could not run: {error}")
    finally:
        deployment.journal.add(f"trouble={int(has_trouble)} result={outcome}")
        deployment.close(os.path.join(HERE, "record.txt"))
    return outcome


sys.exit(main())
