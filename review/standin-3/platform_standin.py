"""Stand-ins for the platform's store, its workers and its callers, and control of the entry processes.

They follow the users' pages. A scenario imports this module, starts what it needs and reads the events afterwards. Only
the standard library is used; every address is a loopback address.
"""

import base64
import http.client
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse

LOOPBACK = "127.0.0.1"
HOST = "ficu95.example"
PREFIX = "/pufi791/"
ROUTE = "r-quotes"
SERVICE = "lending"
KEY = "d4a3hwrr6x73d3zji9n7"

# Bounds of the site ltlc-spool, as its sheet gives them.
BOUNDS = {
    "hold_max_ms": 6000,
    "stop_grace_ms": 200,
    "gang_wait_ms": 3000,
    "remote_factor": 3,
    "reclaim_ms": 2700,
    "revoke_ms": 5000,
    "contact_ms": 3000,
    "status_s": 120,
    "grace_s": 6,
    "visible_ms": 3000,
    "cancel_ms": 3000,
    "finish_s": 14,
}
HEARTBEAT_S = 1.5
# The store answers in 4 ms; a transaction takes 3 ms, and twice as long over several parts.
ANSWER_S = 0.004
TXN_LATENCY_S = 0.003


# A scenario that is told to end still ends its processes.
signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))


class Journal:
    """What was sent, answered and run, in order of time."""

    def __init__(self):
        self.origin = time.monotonic()
        self.lines = []
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.origin

    def add(self, text):
        with self.lock:
            self.lines.append(f"{self.now():9.3f} {text}")

    def write(self, path):
        with self.lock:
            with open(path, "w", encoding="utf-8") as file:
                file.write("\n".join(self.lines) + "\n")


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """A peer that was killed leaves broken connections behind."""


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def setup(self):
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def log_message(self, format, *args):
        pass

    def body(self):
        # A peer may send head and body apart; the acknowledgement of the head must not be delayed.
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, 1)
        length = int(self.headers.get("Content-Length") or 0)
        return json.loads(self.rfile.read(length)) if length else {}

    def reply(self, status, document=None):
        data = b"" if document is None else json.dumps(document).encode()
        head = f"HTTP/1.1 {status} Reply\r\nContent-Length: {len(data)}\r\nContent-Type: application/json\r\n\r\n"
        self.wfile.write(head.encode() + data)
        self.wfile.flush()

    def hang_up(self):
        """Ends the connection without a reply."""
        self.close_connection = True


def listen(handler, **attributes):
    """Starts a server on a free port and returns its address."""
    server = Server((LOOPBACK, 0), type("Bound", (handler,), attributes))
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return f"{LOOPBACK}:{server.server_address[1]}"


class Store:
    """The platform's store. Each instance has an address of its own, so that the writer of a call is known."""

    def __init__(self, journal):
        self.journal = journal
        self.rows = {}
        self.holders = {}
        self.changes = []
        self.version = 0
        self.changed = threading.Condition()
        self.last_conditional_writer = None
        # Returns whether an instance is cut off from the store.
        self.is_cut_off = lambda instance: False
        # Time that each call takes beyond the usual.
        self.slow_s = 0.0
        # Returns for how many seconds a transaction of an instance gets no reply and is done late; None for an ordinary one.
        self.lose = lambda instance, txn: None

    def address_for(self, instance):
        return listen(StoreHandler, store=self, instance=instance)

    def put(self, table, key, document):
        with self.changed:
            self.version += 1
            self._write((table, "", key), base64.b64encode(json.dumps(document).encode()).decode())
            self.changed.notify_all()

    def value(self, table, part, key):
        with self.changed:
            row = self.rows.get((table, part, key))
        return None if row is None else json.loads(base64.b64decode(row[0]))

    def holder_of(self, epoch):
        """The instance that took the lease in an epoch, which is the fence number of its calls."""
        return self.holders.get(epoch)

    def _write(self, key, value):
        if key[0] == "lease" and key[2] == "epoch" and value is not None:
            row = json.loads(base64.b64decode(value))
            self.holders[row["epoch"]] = row["holder"]
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = (value, self.version)
        self.changes.append((self.version, key, value))

    def commit(self, instance, txn):
        with self.changed:
            expected = [((row["table"], row["part"], row["key"]), row["row_version"]) for row in txn.get("expected_rev", [])]
            if any(self.rows.get(key, (None, 0))[1] != version for key, version in expected):
                rows = [document(key, *self.rows[key]) for key, _ in expected if key in self.rows]
                return 412, {"rows": rows, "row_version": self.version, "now_ms": self.now_ms()}
            self.version += 1
            for row in txn.get("puts", []):
                self._write((row["table"], row["part"], row["key"]), row["value"])
            for row in txn.get("remove", []):
                self._write((row["table"], row["part"], row["key"]), None)
            if expected and any(key[0] != "jobs" for key, _ in expected):
                self.last_conditional_writer = instance
            self.changed.notify_all()
            return 200, {"row_version": self.version, "now_ms": self.now_ms()}

    def now_ms(self):
        return int(self.journal.now() * 1000)


def document(key, value, version, deleted=False):
    row = {"table": key[0], "part": key[1], "key": key[2], "value": value or "", "row_version": version}
    if deleted:
        row["deleted"] = True
    return row


class StoreHandler(Handler):
    store = None
    instance = None

    def reply(self, status, document=None):
        if not self.is_held_up():
            super().reply(status, document)

    def is_held_up(self):
        """Waits while the instance is cut off; what was on its way is lost, as the sender has given up the channel."""
        is_cut_off = False
        while self.store.is_cut_off(self.instance):
            is_cut_off = True
            time.sleep(0.02)
        if is_cut_off:
            self.hang_up()
        return is_cut_off

    def do_POST(self):
        txn = self.body()
        store = self.store
        if self.is_held_up():
            return
        time.sleep(store.slow_s + ANSWER_S + TXN_LATENCY_S * (2 if txn.get("cross_region") else 1))
        late_s = store.lose(self.instance, txn)
        if late_s is not None:

            def perform():
                time.sleep(late_s)
                status, _ = store.commit(self.instance, txn)
                tables = sorted({row["table"] for row in txn.get("puts", [])})
                store.journal.add(f"store: late transaction of {self.instance} on {tables} -> {status}, not answered")

            threading.Thread(target=perform, daemon=True).start()
            # The channel on which a reply is lost delivers nothing further.
            time.sleep(late_s + 30)
            self.hang_up()
            return
        self.reply(*store.commit(self.instance, txn))

    def do_GET(self):
        url = urlparse(self.path)
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        if self.is_held_up():
            return
        time.sleep(self.store.slow_s + ANSWER_S)
        if url.path == "/api/rows-get":
            self.read(query)
        elif url.path == "/api/rows-feed":
            self.feed(query)
        else:
            self.reply(404)

    def read(self, query):
        store = self.store
        table, part = query["table"], query.get("part", "")
        start, end, limit = query.get("from", ""), query.get("target", ""), int(query.get("limit", 500))
        with store.changed:
            keys = sorted(
                key
                for key in store.rows
                if key[0] == table and key[1] == part and key[2] >= start and (not end or key[2] < end)
            )
            rows = [document(key, *store.rows[key]) for key in keys[:limit]]
            reply = {"rows": rows, "has_more": len(keys) > limit, "row_version": store.version, "now_ms": store.now_ms()}
        self.reply(200, reply)

    def feed(self, query):
        store = self.store
        after, until = int(query["after"]), time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        with store.changed:
            while True:
                rows = []
                for version, key, value in reversed(store.changes):
                    if version <= after:
                        break
                    if key[0] == query["table"]:
                        rows.append(document(key, value, version, value is None))
                left_s = until - time.monotonic()
                if rows or left_s <= 0:
                    rows.reverse()
                    break
                store.changed.wait(left_s)
            reply = {"rows": rows, "row_version": store.version, "now_ms": store.now_ms()}
        self.reply(200, reply)


class Run:
    def __init__(self, task, number, work_s, now):
        self.task, self.number, self.work_s = task, number, work_s
        self.started, self.stop_at = now, None

    def percent(self, now):
        return min(99, int((now - self.started) * 100 / self.work_s))


class Worker:
    """A sound worker. `work_s` gives the run time of a task by its name; a stop takes `stop_s`."""

    CAPACITY = {"cpu": 32000, "mem_mb": 65536, "gpu": 8}

    def __init__(self, store, journal, number, work_s, stop_s, zone="colombo", rack="r1-0"):
        self.store, self.journal, self.work_s, self.stop_s = store, journal, work_s, stop_s
        self.number = number
        self.id, self.rack, self.zone = f"i-{number:08x}", rack, zone
        # Returns whether the worker is cut off from an instance.
        self.is_cut_off = lambda instance: False
        self.history = []
        self.born = int(time.time() * 1000)
        self.clock_start = time.monotonic()
        self.changed = threading.Condition()
        self.runs, self.ends, self.settled = {}, [], {}
        self.next_end, self.fence, self.lease_until = 1, 0, None
        self.sequence = 0
        self.address = listen(WorkerHandler, worker=self)
        self.starts = []
        threading.Thread(target=self.beat, daemon=True).start()
        threading.Thread(target=self.tick, daemon=True).start()

    def clock_ms(self):
        return int((time.monotonic() - self.clock_start) * 1000)

    def beat(self):
        # Workers do not write at the same moment.
        time.sleep(HEARTBEAT_S * (self.number % 7) / 7)
        while True:
            self.sequence += 1
            entry = {
                "service": SERVICE, "address": self.address, "zone": self.zone, "version": "v1", "slots": 8,
                "state": "ready", "cold_left_ms": 0, "capacity": self.CAPACITY, "labels": ["a", self.rack],
                "clock_ms": self.clock_ms(), "born": self.born, "sequence": self.sequence,
            }
            self.store.put("servers", self.id, entry)
            time.sleep(HEARTBEAT_S)

    def tick(self):
        while True:
            with self.changed:
                self.advance()
            time.sleep(0.002)

    def advance(self):
        """Ends the runs that are complete or stopped, or whose lease has expired."""
        now = time.monotonic()
        is_lapsed = self.lease_until is not None and now > self.lease_until
        for key, run in list(self.runs.items()):
            if now >= run.started + run.work_s:
                how = "done"
            elif run.stop_at is not None and now >= run.stop_at:
                how = "stopped"
            elif is_lapsed:
                how = "lapsed"
            else:
                continue
            del self.runs[key]
            self.settled[run.task] = max(self.settled.get(run.task, 0), run.number)
            self.ends.append([self.next_end, run.task, run.number, how, ""])
            self.next_end += 1
            self.history.append((run.task, run.number, run.started - self.journal.origin, self.journal.now(), how))
            self.journal.add(f"worker {self.id}: {run.task} run {run.number} ended {how}")
            self.changed.notify_all()

    def extend(self, deadline_ms):
        until = min(self.clock_start + deadline_ms / 1000, time.monotonic() + BOUNDS["hold_max_ms"] / 1000)
        self.lease_until = until if self.lease_until is None else max(self.lease_until, until)

    def has_lower_fence(self, call):
        fence = call.get("fencing_token", 0)
        if fence < self.fence:
            return True
        self.fence = fence
        return False

    def start(self, call):
        task, number = call["task"], call["run"]
        if self.has_lower_fence(call):
            return "fence"
        if (task, number) in self.runs:
            return None
        if self.settled.get(task, 0) >= number:
            return "old"
        if call["deadline_ms"] <= self.clock_ms():
            return "late"
        self.extend(call["deadline_ms"])
        self.runs[task, number] = Run(task, number, self.work_s(task), time.monotonic())
        self.starts.append((self.journal.now(), task, number))
        self.journal.add(f"worker {self.id}: {task} run {number} started, fence {self.fence}")
        return None

    def stop(self, call):
        task, number = call["task"], call["run"]
        if self.has_lower_fence(call):
            return "fence"
        run = self.runs.get((task, number))
        if run is None:
            self.settled[task] = max(self.settled.get(task, 0), number)
        elif run.stop_at is None:
            run.stop_at = time.monotonic() + self.stop_s
        return None

    def hold(self, call):
        if self.has_lower_fence(call):
            return "fence", None
        self.ends = [end for end in self.ends if end[0] > call.get("last_seen", 0)]
        if call.get("deadline_ms"):
            self.extend(call["deadline_ms"])
        until = time.monotonic() + call.get("wait_ms", 0) / 1000
        while not self.ends and time.monotonic() < until:
            self.changed.wait(until - time.monotonic())
        now = time.monotonic()
        running = [[run.task, run.number, "", run.percent(now), 0] for run in self.runs.values()]
        return None, {"running": running, "finished": self.ends[:500]}


class WorkerHandler(Handler):
    worker = None

    def is_held_up(self, caller):
        """Waits while the worker is cut off; what was on its way is lost, as the sender has given up the channel."""
        is_cut_off = False
        while self.worker.is_cut_off(caller):
            is_cut_off = True
            time.sleep(0.02)
        if is_cut_off:
            self.hang_up()
        return is_cut_off

    def do_POST(self):
        call, worker = self.body(), self.worker
        caller = worker.store.holder_of(call.get("fencing_token"))
        if self.is_held_up(caller):
            return
        expected = self.headers.get("Galenaspool-Expect-Instance")
        if expected not in (None, worker.id):
            self.reply(421, {"clock_ms": worker.clock_ms()})
            return
        with worker.changed:
            worker.advance()
            document = {}
            if self.path == "/api/run-start":
                reason = worker.start(call)
            elif self.path == "/api/run-stop":
                reason = worker.stop(call)
            elif self.path == "/api/hold":
                reason, lists = worker.hold(call)
                document = lists or {}
            else:
                reason = None
            document |= {"clock_ms": worker.clock_ms(), "born": worker.born}
        if self.is_held_up(caller):
            return
        if reason is None:
            self.reply(200, document)
        else:
            self.reply(409, document | {"reason": reason})


class Nothing(Handler):
    """The list of machines and the placement service, which no scenario uses."""

    def do_GET(self):
        self.reply(200, {"machines": [], "next_token": None})

    def do_POST(self):
        self.reply(429)


def render(template, values):
    """Fills in the placeholders of the settings template."""

    def value(match):
        found = values
        for name in match.group(1).split("."):
            found = found[int(name)] if isinstance(found, list) else found[name]
        return {True: "true", False: "false"}.get(found, str(found)) if isinstance(found, bool) else str(found)

    return re.sub(r"\{\{([a-z_0-9.]+)\}\}", value, template)


def free_port():
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return probe.getsockname()[1]


class Instance:
    """An entry instance: the process and its settings."""

    def __init__(self, root, folder, name, store_address, other_address, zone="colombo"):
        self.root, self.folder, self.name, self.zone = root, folder, name, zone
        self.front = f"{LOOPBACK}:{free_port()}"
        self.ready = f"{LOOPBACK}:{free_port()}"
        values = {
            "node": name, "zone": zone, "ip": LOOPBACK, "port_range": [free_port(), 0], "hint": other_address,
            "bind_addrs": {"front": self.front, "ready": self.ready},
            "platform": {"address": store_address, "cross_region": True, "row_bytes": 65536},
            "cloud_api": {"address": other_address},
            "limits": {"cpu_share": 0.25, "memory_mb": 260, "max_fds": 4100},
            "bounds": BOUNDS,
        }
        with open(os.path.join(root, "deploy/settings.json5"), encoding="utf-8") as file:
            text = render(file.read(), values)
        self.settings = os.path.join(folder, f"{name}.json5")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)
        self.process = None

    def start(self):
        log = open(os.path.join(self.folder, f"{self.name}.log"), "a", encoding="utf-8")
        # The command of the deploy file.
        command = ["target/release/galenaspoold", "--settings", self.settings, "--memory-mb", "260", "--max-fds", "4100"]
        self.process = subprocess.Popen(command, cwd=self.root, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def log_lines(self, pattern):
        with open(os.path.join(self.folder, f"{self.name}.log"), encoding="utf-8", errors="replace") as file:
            return [line.rstrip() for line in file if re.search(pattern, line)]


def call(journal, instance, method, path, body=None, timeout_s=3.0):
    """A caller's request; returns the status and the body, or 0 without an answer."""
    host, port = instance.front.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s + 0.5)
    headers = {
        "Host": HOST, "Authorization": f"Token {KEY}", "Galenaspool-Deadline-Ms": str(int(timeout_s * 1000)),
        "Content-Type": "application/json",
    }
    try:
        connection.request(method, path, None if body is None else json.dumps(body), headers)
        reply = connection.getresponse()
        data = reply.read()
        status, found = reply.status, json.loads(data) if data else None
    except (OSError, http.client.HTTPException):
        status, found = 0, None
    finally:
        connection.close()
    journal.add(f"caller: {method} {path} at {instance.name} -> {status or 'no answer'} {json.dumps(found)}")
    return status, found


def operators_config(version=1, guaranteed_gpu=0, priority=1, **limits):
    return {
        "version": version,
        "routes": [{
            "name": ROUTE, "host": HOST, "path_prefix": PREFIX, "kind": "non_idempotent", "timeout_ms": 3000,
            "slo_ms": 1000, "priority": priority, "service": SERVICE, "attempts": 4, "slo_factor": 3.0, "public": False,
        }],
        "services": [{"name": SERVICE, "health_path": "/health", "max_conns": 64, "rejects_overload": False, "standby": False}],
        "limits": {"header_bytes": 16384, "body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "kaje80", "api_keys": [KEY], "priority": 1, "guaranteed": {"gpu": guaranteed_gpu}}],
    }


class CouldNotRun(Exception):
    """The scenario did not get to the point where the rule can be judged."""


class Deployment:
    """Store, workers and instances of a scenario."""

    ZONES = ("colombo", "gampaha", "kalutara")

    def __init__(self, root, instances, workers, work_s, stop_s=0.15, priority=1):
        self.journal = Journal()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(self.journal)
        self.store.put("op", "config", operators_config(priority=priority))
        # Workers and instances are spread over the zones in turn; each zone is a rack.
        zone_of = [self.ZONES[number % 3] for number in range(max(workers, instances))]
        self.workers = [
            Worker(self.store, self.journal, number, work_s, stop_s, zone_of[number], f"r1-{number % 3}")
            for number in range(workers)
        ]
        other = listen(Nothing)
        self.instances = []
        for number in range(instances):
            name = f"edge-{zone_of[number]}-{1 + number // 3}"
            address = self.store.address_for(name)
            self.instances.append(Instance(root, self.folder, name, address, other, zone_of[number]))
        for instance in self.instances:
            instance.start()

    def ready_instances(self):
        return [instance for instance in self.instances if self.is_ready(instance)]

    @staticmethod
    def is_ready(instance):
        host, port = instance.ready.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=1)
        try:
            connection.request("GET", "/api/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def wait_until(self, condition, timeout_s, what):
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if condition():
                return
            time.sleep(0.02)
        raise CouldNotRun(what)

    def leader(self):
        """The instance that wrote last to the store under a condition other than that a job is new."""
        name = self.store.last_conditional_writer
        return next((instance for instance in self.instances if instance.name == name), None)

    def starts_of(self, job, since=0.0):
        starts = [start for worker in self.workers for start in worker.starts]
        return sorted(start for start in starts if start[1].startswith(job + ".") and start[0] >= since)

    def runs_of(self, job):
        return [run for worker in self.workers for run in list(worker.runs.values()) if run.task.startswith(job + ".")]

    def close(self, record):
        for instance in self.instances:
            instance.end()
        for instance in self.instances:
            for line in instance.log_lines("panicked|invalid SlotMap"):
                self.journal.add(f"log of {instance.name}: {line}")
        self.journal.write(record)
        if "KEEP" in os.environ:
            shutil.copytree(self.folder, os.environ["KEEP"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
