"""Cuts off one worker, then the zone of the lease holder, and looks for tasks that run twice."""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
sys.path.insert(0, os.path.join(ROOT, "review", "standin-3"))

from platform_standin import PREFIX, CouldNotRun, Deployment, call  # noqa: E402

JOB = "a68a2cc50dccdfa2"
TASKS = 4
# Times from the cut of the worker on; they are those of one round of day.toml.
SLOW_AT_S, SLOW_FOR_S, SLOW_S = 2.0, 0.8, 0.136
ZONE_CUT_AT_S, ZONE_CUT_FOR_S = 4.4, 5.4
WORKER_CUT_FOR_S = 4.5


def play(deployment, has_trouble):
    journal, store = deployment.journal, deployment.store
    deployment.wait_until(lambda: len(deployment.ready_instances()) == len(deployment.instances), 20, "instances not ready")
    deployment.wait_until(lambda: deployment.leader() is not None, 10, "no instance schedules")
    time.sleep(3.0)
    leader = deployment.leader()
    # The data of the job lies in a rack of another zone, so that its tasks begin there.
    rack = next(worker.rack for worker in deployment.workers if worker.zone != leader.zone)
    steps = [{"count": TASKS, "cpu": 1000, "mem_mb": 512, "gpu": 2, "estimate_ms": 50, "affinity": rack, "checkpointing": True}]
    status, _ = call(journal, leader, "POST", PREFIX + JOB, {"spec": "work", "steps": steps})
    if status != 200:
        raise CouldNotRun("the job was not accepted")
    deployment.wait_until(lambda: len(deployment.runs_of(JOB)) == TASKS, 5, "the job did not start")
    time.sleep(1.5)
    if deployment.leader() is not leader:
        raise CouldNotRun("another instance schedules")
    lost = max(deployment.workers, key=lambda worker: len(worker.runs))
    began = time.monotonic()

    def is_within(since_s, for_s):
        return has_trouble and since_s <= time.monotonic() - began < since_s + for_s

    def is_zone_cut(first, second):
        return (first == leader.zone) != (second == leader.zone) and is_within(ZONE_CUT_AT_S, ZONE_CUT_FOR_S)

    zone_of = {instance.name: instance.zone for instance in deployment.instances}

    def cut_of(worker):
        def is_cut_off(instance):
            is_lost = worker is lost and is_within(0.0, WORKER_CUT_FOR_S)
            return is_lost or (instance is not None and is_zone_cut(zone_of[instance], worker.zone))

        return is_cut_off

    if has_trouble:
        journal.add(f"trouble: {lost.id} in {lost.zone} is cut off for {WORKER_CUT_FOR_S} s; {leader.name} schedules")
    for worker in deployment.workers:
        worker.is_cut_off = cut_of(worker)
    # The store is reached from the zones that are not cut off.
    store.is_cut_off = lambda instance: zone_of[instance] == leader.zone and is_within(ZONE_CUT_AT_S, ZONE_CUT_FOR_S)

    def change_store():
        time.sleep(SLOW_AT_S)
        if has_trouble:
            journal.add(f"trouble: the store is slow for {SLOW_FOR_S} s")
            store.slow_s = SLOW_S
            time.sleep(SLOW_FOR_S)
            store.slow_s = 0.0
            time.sleep(ZONE_CUT_AT_S - SLOW_AT_S - SLOW_FOR_S)
            journal.add(f"trouble: zone {leader.zone} is cut off for {ZONE_CUT_FOR_S} s")

    def keep_calling():
        """Ordinary traffic beside it: a short job each 0.2 s, once the silence of the worker is known."""
        number = 0
        time.sleep(1.4)
        while time.monotonic() - began < ZONE_CUT_AT_S + ZONE_CUT_FOR_S:
            number += 1
            short = [{"count": 1, "cpu": 1000, "mem_mb": 512, "estimate_ms": 300}]
            call(journal, other, "POST", f"{PREFIX}{number:016x}", {"spec": "short", "steps": short})
            time.sleep(0.2)

    other = next(instance for instance in deployment.instances if instance is not leader)
    threading.Thread(target=keep_calling, daemon=True).start()
    threading.Thread(target=change_store, daemon=True).start()
    time.sleep(ZONE_CUT_AT_S + ZONE_CUT_FOR_S + 4.0)
    now = journal.now()
    runs = [run for worker in deployment.workers for run in list(worker.history)]
    for worker in deployment.workers:
        runs += [(run.task, run.number, run.started - journal.origin, now, "running") for run in list(worker.runs.values())]
    is_broken = False
    for task in sorted({run[0] for run in runs}):
        of_task = sorted((run for run in runs if run[0] == task), key=lambda run: run[2])
        for first, second in zip(of_task, of_task[1:]):
            if second[2] < first[3]:
                is_broken = True
                journal.add(f"TWICE: {task} run {second[1]} started at {second[2]:.3f} while run {first[1]} ran until "
                            f"{first[3]:.3f} ({first[4]})")
    return 1 if is_broken else 0


def main():
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = Deployment(ROOT, instances=3, workers=6, work_s=lambda task: 60.0 if task.startswith(JOB) else 0.3)
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
