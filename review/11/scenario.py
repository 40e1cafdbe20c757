"""Kills the lease holder while a job runs, cancels the job before the takeover, and hands in another job afterwards."""

import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
sys.path.insert(0, os.path.join(ROOT, "review", "standin-3"))

from platform_standin import BOUNDS, PREFIX, CouldNotRun, Deployment, call  # noqa: E402

FIRST, SECOND = "5c0e7a21d94b36f8", "9a3d3d0437702897"
WIDE_TASKS = 160
# Time after the second job's acceptance by which everything is calm: the longest lease, and contact_ms after the restart.
CALM_S = 12.0
WATCH_S = 14.0


def work_s(task):
    """Run times: a wide step whose tasks differ in size, and two steps of one task, the second after the first."""
    job, _, step, index = task.split(".")
    if job != FIRST:
        return 0.5
    return {"0": 1.7 + 0.01 * (int(index) * 37 % WIDE_TASKS), "1": 1.2, "2": 3.0}[step]


def play(deployment, has_trouble):
    journal = deployment.journal
    deployment.wait_until(lambda: len(deployment.ready_instances()) == len(deployment.instances), 20, "instances not ready")
    deployment.wait_until(lambda: deployment.leader() is not None, 10, "no instance schedules")
    time.sleep(2.0)
    steps = [
        {"count": WIDE_TASKS, "cpu": 600, "mem_mb": 256, "estimate_ms": 2500},
        {"count": 1, "cpu": 600, "mem_mb": 256, "estimate_ms": 1200},
        {"count": 1, "cpu": 600, "mem_mb": 256, "estimate_ms": 3000, "after": [1]},
    ]
    status, _ = call(journal, deployment.instances[0], "POST", PREFIX + FIRST, {"spec": "first", "steps": steps})
    if status != 200:
        raise CouldNotRun("the first job was not accepted")
    deployment.wait_until(lambda: deployment.starts_of(FIRST + ".0.2"), 8, "the last step did not start")
    started = time.monotonic()
    leader = deployment.leader()
    others = [instance for instance in deployment.instances if instance is not leader]
    time.sleep(max(0.0, started + 0.25 - time.monotonic()))
    if has_trouble:
        journal.add(f"trouble: SIGKILL to {leader.name}")
        leader.signal(signal.SIGKILL)
    time.sleep(0.3)
    status, _ = call(journal, others[0], "DELETE", PREFIX + FIRST)
    if status not in (200, 410):
        raise CouldNotRun("the cancellation was not acknowledged")
    time.sleep(3.2)
    if has_trouble:
        journal.add(f"{leader.name} starts again")
        leader.end()
        leader.start()
    # After the longest lease nothing of the first job runs any more.
    deployment.wait_until(lambda: not deployment.runs_of(FIRST), 10, "the first job still runs")
    deployment.wait_until(lambda: len(deployment.ready_instances()) == len(deployment.instances), 20, "instances not ready")
    steps = [{"count": 2, "cpu": 1000, "mem_mb": 512, "estimate_ms": 500}]
    status, _ = call(journal, others[0], "POST", PREFIX + SECOND, {"spec": "second", "steps": steps})
    if status != 200:
        raise CouldNotRun("the second job was not accepted")
    time.sleep(CALM_S)
    watched_from = journal.now()
    until = time.monotonic() + WATCH_S
    while time.monotonic() < until:
        _, state = call(journal, others[0], "GET", PREFIX + SECOND)
        if state == {"state": "done"}:
            return 0
        time.sleep(1.0)
    if deployment.starts_of(SECOND):
        return 0
    journal.add(
        f"LOST: {SECOND} was accepted; since {watched_from:.1f} s, for {WATCH_S:.0f} s on end, none of its tasks has run, "
        "while all workers are idle and nothing is disturbed"
    )
    return 1


def main():
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = Deployment(ROOT, instances=3, workers=4, work_s=work_s)
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
