"""Stand-ins and processes for the cases of the review.

The module has a key-value store, a cloud, workers and users, all on loopback addresses, and
starts controllers as separate processes with the `run` line of the deploy file. The stand-ins
follow the protocol page. A case changes their behaviour through hooks, within the limits that
its claim quotes. Only the standard library is used.
"""

import atexit
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STARTED_AT = time.monotonic()
HARD_LIMIT_S = 115.0


def now():
    """Seconds since the start of the case."""
    return time.monotonic() - STARTED_AT


class Record:
    """Writes what was sent, answered and run to a file, one line for each event."""

    def __init__(self, path):
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, kind, text):
        line = f"{now():8.3f} {kind:<10} {text}"
        with self.lock:
            if not self.file.closed:
                self.file.write(line + "\n")
                self.file.flush()


class CannotRun(Exception):
    """The case could not be brought about; the script exits with 2."""


# ---------------------------------------------------------------------------------------
# HTTP


def reason(status):
    return http.client.responses.get(status, "Other")


class HttpServer:
    """A small HTTP/1.1 server, one thread for each connection.

    `handle(method, path, query, body)` returns (status, value), or None to give no answer:
    the connection then stays open and silent until the client gives up.
    """

    BODY_LIMIT = 64 * 1024

    def __init__(self, handle, body_limit=None, refused=None):
        self.handle = handle
        self.body_limit = body_limit
        self.refused = refused
        self.closed = False
        self.connections = set()
        self.lock = threading.Lock()
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(("127.0.0.1", 0))
        self.socket.listen(256)
        self.address = "127.0.0.1:%d" % self.socket.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self.closed = True
        try:
            self.socket.close()
        except OSError:
            pass
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def _accept(self):
        while not self.closed:
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        with self.lock:
            self.connections.add(connection)
        try:
            stream = connection.makefile("rb")
            while not self.closed:
                line = stream.readline()
                if not line.strip():
                    return
                method, target, _ = line.decode().split(" ", 2)
                length = 0
                close = False
                while True:
                    header = stream.readline().strip()
                    if not header:
                        break
                    name, _, value = header.decode().partition(":")
                    if name.lower() == "content-length":
                        length = int(value)
                    if name.lower() == "connection" and value.strip().lower() == "close":
                        close = True
                data = stream.read(length) if length else b""
                if self.body_limit is not None and length > self.body_limit:
                    if self.refused is not None:
                        self.refused(method, target, length)
                    self._answer(connection, 413, {"error": "the body is too large"})
                    continue
                try:
                    body = json.loads(data) if data else None
                except ValueError:
                    body = None
                path, _, query = target.partition("?")
                parameters = dict(
                    part.partition("=")[::2] for part in query.split("&") if part
                )
                answer = self.handle(method, path, parameters, body)
                if answer is None:
                    # No answer: wait until the client closes the connection.
                    stream.read(1)
                    return
                self._answer(connection, answer[0], answer[1])
                if close:
                    return
        except (OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.connections.discard(connection)
            try:
                connection.close()
            except OSError:
                pass

    @staticmethod
    def _answer(connection, status, value):
        data = json.dumps(value).encode()
        head = (
            f"HTTP/1.1 {status} {reason(status)}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
        )
        connection.sendall(head.encode() + data)


def call(address, method, path, value=None, timeout=5.0):
    """Sends one request on a connection of its own. Returns (status, value); status 0 if
    there is no answer."""
    host, _, port = address.partition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        data = None if value is None else json.dumps(value).encode()
        connection.request(method, path, data, {"Content-Type": "application/json"})
        response = connection.getresponse()
        text = response.read()
        try:
            return response.status, json.loads(text)
        except ValueError:
            return response.status, None
    except (OSError, http.client.HTTPException):
        return 0, None
    finally:
        connection.close()


# ---------------------------------------------------------------------------------------
# The state service


class Store:
    """The key-value store. Each controller has an address of its own, so that the store can
    treat one of them differently.

    Hooks, all optional and called without the lock:
    - `before(node, method, path, body)`: may wait; returns "late" if a transaction gets no
      answer and is not carried out now (the hook's owner calls `commit` later).
    - `after(node, method, path, body, status, value)`: may wait, before the answer is sent.
    """

    LATENCY_S = 0.004

    def __init__(self, record):
        self.record = record
        self.lock = threading.RLock()
        self.revision = 0
        self.entries = {}
        self.leases = {}
        self.next_lease = 1
        self.events = []
        self.before = None
        self.after = None
        self.commits = 0
        self.servers = []

    def listen(self, node):
        server = HttpServer(lambda *request: self._handle(node, *request))
        self.servers.append(server)
        return server.address

    def get(self, key):
        with self.lock:
            self._expire()
            entry = self.entries.get(key)
            return None if entry is None else entry["value"]

    def keys(self, prefix):
        with self.lock:
            return sorted(key for key in self.entries if key.startswith(prefix))

    def _expire(self):
        moment = time.monotonic()
        ended = [lease for lease, state in self.leases.items() if moment > state[0] + state[1]]
        for lease in ended:
            del self.leases[lease]
            keys = [key for key, entry in self.entries.items() if entry["lease"] == lease]
            if keys:
                self.revision += 1
            for key in keys:
                del self.entries[key]
                self.events.append({"delete": key, "mark": self.revision})
                self.record("store", f"lease {lease} ended, {key} removed at {self.revision}")

    def commit(self, body):
        """Carries out a transaction now."""
        with self.lock:
            self._expire()
            failed = [
                condition["k"]
                for condition in body.get("if", [])
                if self.entries.get(condition["k"], {"mark": 0})["mark"] != condition["mark"]
            ]
            if failed:
                return 409, {"failed": failed, "ring": self.revision}
            writes = body.get("writes", [])
            if any(w.get("roost") and w["roost"] not in self.leases for w in writes):
                return 400, {"error": "no such lease"}
            if writes:
                self.revision += 1
            for write in writes:
                if "put" in write:
                    self.entries[write["put"]] = {
                        "value": write["value"],
                        "mark": self.revision,
                        "lease": write.get("roost"),
                    }
                    self.events.append(
                        {"put": write["put"], "value": write["value"], "mark": self.revision}
                    )
                elif write["delete"] in self.entries:
                    del self.entries[write["delete"]]
                    self.events.append({"delete": write["delete"], "mark": self.revision})
            return 200, {"ring": self.revision}

    def _handle(self, node, method, path, query, body):
        time.sleep(self.LATENCY_S / 2)
        if self.before is not None:
            if self.before(node, method, path, body) == "late":
                return None
        status, value = self._execute(node, method, path, query, body)
        if path == "/commit":
            self.commits += 1
            keys = [w.get("put") or "-" + w["delete"] for w in body.get("writes", [])]
            self.record("store", f"{node} commit {keys} -> {status} {value}")
        if self.after is not None:
            self.after(node, method, path, body, status, value)
        time.sleep(self.LATENCY_S / 2)
        return status, value

    def _execute(self, node, method, path, query, body):
        with self.lock:
            self._expire()
            if method == "POST" and path == "/commit":
                return self.commit(body)
            if method == "GET" and path == "/changes":
                since = int(query.get("from", "0"))
                prefix = query.get("starts", "")
                events = []
                for event in reversed(self.events):
                    if event["mark"] <= since:
                        break
                    if (event.get("put") or event.get("delete")).startswith(prefix):
                        events.append(event)
                events.reverse()
                return 200, {"ring": self.revision, "events": events}
            if method == "GET" and path == "/store":
                prefix, after = query.get("starts", ""), query.get("from", "")
                most = min(int(query.get("most", "1000")), 1000)
                keys = sorted(k for k in self.entries if k.startswith(prefix) and k > after)
                entries = [
                    {"k": k, "value": self.entries[k]["value"], "mark": self.entries[k]["mark"]}
                    for k in keys[:most]
                ]
                return 200, {
                    "entries": entries,
                    "truncated": len(keys) > most,
                    "ring": self.revision,
                }
            if method == "GET" and path.startswith("/store/"):
                key = path[len("/store/") :]
                if key not in self.entries:
                    return 404, {"ring": self.revision}
                entry = self.entries[key]
                return 200, {
                    "k": key,
                    "value": entry["value"],
                    "mark": entry["mark"],
                    "roost": entry["lease"],
                }
            if method == "POST" and path == "/leases":
                lease = self.next_lease
                self.next_lease += 1
                self.leases[lease] = [time.monotonic(), body["life_ms"] / 1000.0]
                self.record("store", f"{node} lease {lease} for {body['life_ms']} ms")
                return 200, {"roost": lease}
            if method == "POST" and path.startswith("/leases/") and path.endswith("/renew"):
                lease = int(path.split("/")[2])
                if lease not in self.leases:
                    return 404, {}
                self.leases[lease][0] = time.monotonic()
                return 200, {"roost": lease}
        return 400, {"error": "malformed"}


# ---------------------------------------------------------------------------------------
# Workers


class Task:
    def __init__(self, name, attempt, spec):
        self.name = name
        self.attempt = attempt
        self.spec = spec
        self.mood = "fetching"
        self.cause = None
        self.ready_at = 0.0
        self.done_at = None

    def on_machine(self):
        return self.mood in ("running", "saving", "gathering")

    def report(self):
        report = {"chick": self.name, "hatch": self.attempt, "mood": self.mood}
        if self.mood == "ended":
            report["cause"] = self.cause
        return report


class Worker:
    """The worker of one machine: sessions, lease, tokens, commands and reports as the
    protocol page has them. Arrays and services only."""

    def __init__(self, world, name, breed, zone, spot, nodes):
        self.world = world
        self.name = name
        self.breed = breed
        self.zone = zone
        self.spot = spot
        self.nodes = nodes
        self.images = {}
        self.lock = threading.RLock()
        self.flight = 1
        self.chirp = 0
        self.crest = 0
        self.tasks = {}
        self.alive = True
        self.renewed_at = time.monotonic()
        self.changed = threading.Event()
        self.server = HttpServer(self._serve, HttpServer.BODY_LIMIT, self._refused)
        self.address = self.server.address
        self.reporting = False
        self.at = random.randrange(len(nodes))

    def start(self, delay_s=0.0):
        """Begins to report after `delay_s` seconds: the machine is up."""
        def run():
            time.sleep(delay_s)
            with self.lock:
                if not self.alive:
                    return
                self.renewed_at = time.monotonic()
                self.reporting = True
            self.world.record("machine", f"{self.name} is up at {self.address}")
            threading.Thread(target=self._tick, daemon=True).start()
            self._report_loop()

        threading.Thread(target=run, daemon=True).start()

    def gone(self):
        """The machine is deleted, with all that is on it."""
        with self.lock:
            self.alive = False
            for task in self.tasks.values():
                if task.on_machine():
                    self.world.left(self, task, "machine gone")
            self.tasks.clear()
        self.server.close()

    # State ---------------------------------------------------------------------------

    def _report(self):
        self.chirp += 1
        return {
            "perch": self.name,
            "address": self.address,
            "breed": self.breed["name"],
            "grove": self.zone,
            "windfall": self.spot,
            "flight": self.flight,
            "chirp": self.chirp,
            "crest": self.crest,
            "warning_s": None,
            "chicks": [task.report() for task in self.tasks.values()],
        }

    def _expire(self):
        if time.monotonic() - self.renewed_at <= self.world.lease_s:
            return
        for task in self.tasks.values():
            if task.on_machine():
                self.world.left(self, task, "lease past")
        self.tasks.clear()
        self.flight += 1
        self.renewed_at = time.monotonic()
        self.changed.set()
        self.world.record("worker", f"{self.name} begins session {self.flight}")

    def _tick(self):
        while self.alive:
            time.sleep(0.02)
            with self.lock:
                if not self.alive:
                    return
                self._expire()
                moment = time.monotonic()
                for task in self.tasks.values():
                    if task.mood == "fetching" and moment >= task.ready_at:
                        task.mood = "running"
                        run_s = task.spec.get("run_s")
                        task.done_at = None if run_s is None else moment + run_s
                        self.changed.set()
                        self.world.started(self, task)
                        if task.name in self.world.results:
                            task.done_at = moment
                    if task.mood == "running" and task.done_at and moment >= task.done_at:
                        task.mood, task.cause = "ended", "done"
                        self.world.results.add(task.name)
                        self.changed.set()
                        self.world.left(self, task, "done")

    def _free(self):
        free = [self.breed["cpus"], self.breed["mem_gb"]]
        for task in self.tasks.values():
            if task.mood != "ended":
                free[0] -= task.spec["cpus"]
                free[1] -= task.spec["mem_gb"]
        return free

    def _execute(self, calls, via):
        for command in calls:
            kind, name, attempt = command["call"], command["chick"], command["hatch"]
            key = (name, attempt)
            if kind == "start":
                if key in self.tasks:
                    continue
                self.world.record("command", f"{self.name} start {name} attempt {attempt} {via}")
                job, _, index = name.partition("/")
                spec = self.world.jobs.get(job)
                task = Task(name, attempt, spec)
                self.tasks[key] = task
                self.changed.set()
                free = self._free_without(task) if spec else None
                if spec is None or int(index) >= spec["chicks"]:
                    task.mood, task.cause = "ended", "unknown"
                elif any(
                    other.name == name and other.mood != "ended" and other is not task
                    for other in self.tasks.values()
                ):
                    task.mood, task.cause = "ended", "busy"
                elif spec["cpus"] > free[0] + 1e-6 or spec["mem_gb"] > free[1] + 1e-6:
                    task.mood, task.cause = "ended", "no_room"
                else:
                    fetch_s = spec["size_gb"] / self.breed["pull_gb_per_s"]
                    task.ready_at = self.images.setdefault(
                        spec["egg"], time.monotonic() + fetch_s
                    )
            elif kind == "halt" and key in self.tasks:
                task = self.tasks[key]
                if task.mood != "ended":
                    self.world.record("command", f"{self.name} halt {name} {via}")
                    if task.on_machine():
                        self.world.left(self, task, "stopped")
                    task.mood, task.cause = "ended", "stopped"
                    self.changed.set()
            elif kind == "reap" and key in self.tasks and self.tasks[key].mood == "ended":
                del self.tasks[key]
                self.changed.set()

    def _free_without(self, task):
        mood, task.mood = task.mood, "ended"
        free = self._free()
        task.mood = mood
        return free

    # Direct commands -----------------------------------------------------------------

    def _refused(self, method, target, length):
        self.world.record(
            "worker", f"{self.name} refuses {method} {target} with a body of {length} bytes"
        )

    def _serve(self, method, path, query, body):
        with self.lock:
            if not self.alive or not self.reporting:
                return None
            self._expire()
            if method == "GET" and path == "/show":
                return 200, self._report()
            if method == "POST" and path == "/commands":
                if not isinstance(body, dict) or "crest" not in body or "flight" not in body:
                    return 400, {"error": "crest or flight is missing"}
                if body["crest"] < self.crest or body["flight"] != self.flight:
                    return 409, self._report()
                if body["crest"] > self.crest:
                    self.crest = body["crest"]
                self._execute(body.get("calls", []), "direct")
                return 200, self._report()
        return 404, {}

    # Reports -------------------------------------------------------------------------

    def _report_loop(self):
        connection, connected_to = None, None
        sent_at = None
        seen_crest, crest_change_at = 0, 0.0
        while True:
            with self.lock:
                if not self.alive:
                    return
                self._expire()
                report = self._report()
                flight = self.flight
                self.changed.clear()
            node = self.nodes[self.at % len(self.nodes)]
            sent_at = time.monotonic()
            if connected_to != node:
                if connection is not None:
                    connection.close()
                host, _, port = node[1].partition(":")
                connection = http.client.HTTPConnection(host, int(port), timeout=4.0)
                connected_to = node
            status, value = 0, None
            try:
                connection.request(
                    "POST", "/agent/beat", json.dumps(report), {"Content-Type": "application/json"}
                )
                response = connection.getresponse()
                text = response.read()
                status = response.status
                if max(len(line) for line in text.split(b"\n")) > HttpServer.BODY_LIMIT:
                    self.world.record(
                        "worker", f"{self.name} refuses an answer with a line of {len(text)} bytes"
                    )
                    raise ValueError("a line is longer than 64 KiB")
                value = json.loads(text) if text else None
            except (OSError, http.client.HTTPException, ValueError):
                connection.close()
                connected_to, status = None, 0
            wait_s = None
            if status == 200 and time.monotonic() - sent_at < 4.0:
                with self.lock:
                    crest = (value or {}).get("crest")
                    if crest is not None and crest >= self.crest and flight == self.flight:
                        self.crest = crest
                        self.renewed_at = sent_at
                        self._execute(value.get("calls", []), "by answer")
                wait_s = self.world.report_s * random.uniform(0.75, 1.25)
            elif status == 421:
                connection.close()
                connected_to = None
                target = (value or {}).get("sings_to")
                names = [name for name, _ in self.nodes]
                if target in names and target != node[0]:
                    self.at = names.index(target)
                    time.sleep(random.uniform(0.0, 0.5))
                else:
                    self.at += 1
                    time.sleep(1.0)
                continue
            else:
                self.at += 1
                time.sleep(1.0)
                continue
            # The next report goes out after the interval, or on a change, but no more often
            # than every half second.
            earliest, latest = sent_at + 0.5, sent_at + wait_s
            while self.alive:
                moment = time.monotonic()
                if self.crest > seen_crest and moment - crest_change_at > self.world.lease_s / 2:
                    seen_crest, crest_change_at = self.crest, moment
                    self.changed.set()
                if moment >= latest or moment >= earliest and self.changed.is_set():
                    break
                time.sleep(0.01)


# ---------------------------------------------------------------------------------------
# Hash owners, so that the cloud can name machines as a case needs them


def owner_by_hash(nodes, machine):
    """The controller that owns a machine by hash: a case chooses names of machines by it."""
    def pair_hash(node):
        value = 0xCBF29CE484222325
        for byte in node.encode() + b"\xff" + machine.encode():
            value = ((value ^ byte) * 0x100000001B3) & (2**64 - 1)
        value ^= value >> 33
        value = value * 0xFF51AFD7ED558CCD & (2**64 - 1)
        value ^= value >> 33
        value = value * 0xC4CEB9FE1A85EC53 & (2**64 - 1)
        return value ^ value >> 33

    return max(sorted(nodes), key=pair_hash)


# ---------------------------------------------------------------------------------------
# The world of a case


class World:
    """Store, cloud, workers, controllers and users of one case."""

    def __init__(self, folder, breeds, zones, workers, state, cloud, teams, controllers=3,
                 limits=None):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="finchwood-review-")
        self.breeds, self.zones = breeds, zones
        self.workers_settings, self.state, self.cloud_settings = workers, state, cloud
        self.teams = teams
        self.limits = limits or {"core_share": 0.32, "ram_mb": 136.0, "max_connections": 3000}
        self.report_s, self.lease_s = workers["report_s"], workers["lease_s"]
        self.cancel_s = workers["cancel_s"]
        self.lock = threading.RLock()
        self.jobs = {}
        self.results = set()
        self.machines = {}
        self.rentals = {}
        self.next_number = 1
        self.places = {}
        self.ran_twice = []
        self.starts = []
        self.boot_s = lambda name: 1.0
        self.next_name = self._plain_name
        self.before_rental = None
        self.names = [f"perch-{index}" for index in range(controllers)]
        self.processes = {}
        self.store = Store(self.record)
        self.cloud = HttpServer(self._serve_cloud)
        ports = self._free_ports(controllers * 2)
        self.client = {n: f"127.0.0.1:{ports[2 * i]}" for i, n in enumerate(self.names)}
        self.back = {n: f"127.0.0.1:{ports[2 * i + 1]}" for i, n in enumerate(self.names)}
        self.nodes = [(name, self.client[name]) for name in self.names]
        self.state_address = {name: self.store.listen(name) for name in self.names}
        for name in self.names:
            self._write_settings(name)
        atexit.register(self.close)
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        guard = threading.Timer(HARD_LIMIT_S, self._overtime)
        guard.daemon = True
        guard.start()

    def _overtime(self):
        self.record("case", "over the time limit")
        self.close()
        os._exit(2)

    @staticmethod
    def _free_ports(count):
        # Below the range of ephemeral ports, so that no client of the case is given one.
        ports, base = [], 21000 + os.getpid() * 7 % 9000
        while len(ports) < count:
            base += 1
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", base))
                except OSError:
                    continue
            ports.append(base)
        return ports

    # Controllers ---------------------------------------------------------------------

    def zone_of(self, name):
        return self.zones[self.names.index(name) % len(self.zones)]

    def _write_settings(self, name):
        def table(values):
            return "".join(f"{key} = {json.dumps(value)}\n" for key, value in values.items())

        text = (
            f'node_name = "{name}"\nzone = "{self.zone_of(name)}"\n'
            f'client_listen = "{self.client[name]}"\nback = "{self.back[name]}"\n'
        )
        for peer in self.names:
            if peer != name:
                text += (
                    f'[[members]]\nnode_name = "{peer}"\nzone = "{self.zone_of(peer)}"\n'
                    f'endpoint = "{self.peer_endpoint(name, peer)}"\n'
                )
        text += (
            f'[services]\ncloud = "{self.cloud.address}"\nstate = "{self.state_address[name]}"\n'
            f"[params]\ninitial_size = {len(self.names)}\nzones = {json.dumps(self.zones)}\n"
            f"time_bound_ms = 100.0\n"
        )
        for team in self.teams:
            text += "[[params.teams]]\n" + table(team)
        text += "[params.workers]\n" + table(self.workers_settings)
        text += "[params.state]\n" + table(self.state)
        text += "[params.cloud]\n" + table(self.cloud_settings)
        text += "[params.machine_limits]\n" + table(self.limits)
        with open(os.path.join(self.folder, f"{name}.toml"), "w", encoding="utf-8") as file:
            file.write(text)

    def peer_endpoint(self, name, peer):
        return self.back[peer]

    def start_controller(self, name):
        with open(os.path.join(ROOT, "deploy", "service.toml"), "rb") as file:
            run = tomllib.load(file)["run"].split()
        if not os.path.exists(os.path.join(ROOT, run[0])):
            raise CannotRun("the service is not built")
        environment = {**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "error")}
        log = open(os.path.join(self.folder, f"{name}.log"), "ab")
        self.processes[name] = subprocess.Popen(
            run + [os.path.join(self.folder, f"{name}.toml")],
            cwd=ROOT, env=environment, stderr=log, stdout=log, stdin=subprocess.DEVNULL,
        )
        log.close()
        self.record("process", f"{name} started, pid {self.processes[name].pid}")

    def kill_controller(self, name):
        process = self.processes.pop(name)
        process.kill()
        process.wait()
        self.record("process", f"{name} killed")

    def ended_by_itself(self):
        return [name for name, process in self.processes.items() if process.poll() is not None]

    def close(self):
        for process in list(self.processes.values()):
            try:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
            except OSError:
                pass
        self.processes.clear()
        for machine in list(self.machines.values()):
            machine.alive = False
        if os.environ.get("KEEP_LOGS"):
            print("logs are in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # What runs where -----------------------------------------------------------------

    def started(self, worker, task):
        with self.lock:
            places = self.places.setdefault(task.name, [])
            others = [place for place in places if place != worker.name]
            places.append(worker.name)
            self.starts.append((now(), task.name, task.attempt, worker.name))
            self.record("run", f"{task.name} attempt {task.attempt} runs on {worker.name}")
            if others:
                self.ran_twice.append((task.name, worker.name, others))
                self.record(
                    "RAN TWICE", f"{task.name} starts on {worker.name} while it is on {others}"
                )

    def left(self, worker, task, why):
        with self.lock:
            places = self.places.get(task.name, [])
            if worker.name in places:
                places.remove(worker.name)
            self.record("run", f"{task.name} attempt {task.attempt} left {worker.name}: {why}")

    def running(self, job):
        with self.lock:
            return {
                task: list(places)
                for task, places in self.places.items()
                if task.partition("/")[0] == job and places
            }

    # The cloud -----------------------------------------------------------------------

    def _plain_name(self, rental):
        name = f"m-{self.next_number:06}"
        self.next_number += 1
        return name

    def name_owned_by(self, owner, nodes=None):
        """The next name of a machine that `owner` owns by hash."""
        while True:
            name = self._plain_name(None)
            if owner_by_hash(nodes or self.names, name) == owner:
                return name

    def _serve_cloud(self, method, path, query, body):
        time.sleep(0.05)
        if method == "GET" and path == "/catalog":
            return 200, {"breeds": self.breeds}
        if method == "POST" and path == "/machines":
            if self.before_rental is not None:
                self.before_rental(body)
            with self.lock:
                if body["ask"] not in self.rentals:
                    self.rentals[body["ask"]] = [
                        self._rent(body) for _ in range(min(body["number"], 50))
                    ]
                names = self.rentals[body["ask"]]
            self.record("cloud", f"rent {body} -> {names}")
            return 200, {"perches": names}
        if method == "POST" and path == "/machines/delete":
            self.record("cloud", f"delete {body['perches']}")
            for name in body["perches"]:
                with self.lock:
                    machine = self.machines.pop(name, None)
                if machine is not None:
                    machine.gone()
            return 200, {}
        if method == "GET" and path == "/machines":
            after, most = query.get("from", ""), int(query.get("most", "500"))
            with self.lock:
                names = sorted(name for name in self.machines if name > after)
                page = [
                    {
                        "id": name,
                        "address": self.machines[name].address,
                        "breed": self.machines[name].breed["name"],
                        "grove": self.machines[name].zone,
                        "windfall": self.machines[name].spot,
                        "mood": "running" if self.machines[name].reporting else "booting",
                        "held_s": round(now() - self.machines[name].rented_at, 3),
                    }
                    for name in names[:most]
                ]
            return 200, {"perches": page, "truncated": len(names) > most}
        return 400, {"error": "malformed"}

    def _rent(self, rental):
        name = self.next_name(rental)
        breed = next(breed for breed in self.breeds if breed["name"] == rental["breed"])
        worker = Worker(self, name, breed, rental["grove"], rental["windfall"], self.nodes)
        worker.rented_at = now()
        self.machines[name] = worker
        worker.start(self.boot_s(name))
        return name

    # Users ---------------------------------------------------------------------------

    def spec(self, job, chicks, cpus, mem_gb, run_s, **changes):
        """The body of a submission. `run_s` is how long a task runs; None for a service."""
        spec = {
            "id": job, "flock": "survey-sweep", "nest": self.teams[0]["name"],
            "shape": "array" if run_s is not None else "standing", "rank": "standard",
            "chicks": chicks, "cpus": cpus, "accelerators": 0.0, "mem_gb": mem_gb,
            "egg": "img-07", "size_gb": 0.1, "breeds": None, "grove": None, "one_zone": False,
            "scatter": False, "windfall": False,
            "guess_s": 0.0 if run_s is None else run_s, "molt_s": 0.0, "stash_s": 0.0,
            "dusk_s": None,
        }
        spec.update(changes)
        self.jobs[job] = {**spec, "run_s": run_s}
        return spec

    def user(self, node, method, path, value=None, timeout=5.0):
        status, answer = call(self.client[node], method, path, value, timeout)
        body = "" if value is None else f" {value.get('id', value)}"
        self.record("user", f"{method} {path}{body} at {node} -> {status} {answer}")
        return status, answer

    def submit(self, spec, nodes=None, for_s=60.0):
        """Submits a job as a user does, until it is accepted. Returns the answer."""
        until = now() + for_s
        while now() < until:
            status, answer = self.user(
                random.choice(nodes or self.names), "POST", "/v2/runs", spec
            )
            if status in (200, 201):
                return answer
            if status in (400, 422):
                raise CannotRun(f"{spec['id']} was refused: {status} {answer}")
            time.sleep(1.0)
        raise CannotRun(f"{spec['id']} was not accepted")

    def withdraw(self, job, nodes=None, for_s=30.0):
        until = now() + for_s
        while now() < until:
            status, answer = self.user(
                random.choice(nodes or self.names), "POST", f"/v2/runs/{job}/withdraw"
            )
            if status == 200:
                return answer
            time.sleep(1.0)
        raise CannotRun(f"the cancellation of {job} was not answered")

    def wait_for(self, what, condition, for_s):
        until = now() + for_s
        while now() < until:
            value = condition()
            if value:
                return value
            time.sleep(0.02)
        raise CannotRun(f"waited {for_s} s in vain: {what}")

    def epoch(self):
        return self.store.get("fw/epoch") or {}

    def start_all(self, first):
        """Starts `first`, which then leads, and the others."""
        self.start_controller(first)
        self.wait_for("an epoch", lambda: self.epoch().get("leader") == first, 15)
        for name in self.names:
            if name != first:
                self.start_controller(name)
        self.wait_for(
            "all members", lambda: len(self.epoch().get("members", {})) == len(self.names), 15
        )
        self.wait_for("the catalogue", lambda: self.store.get("fw/c"), 15)


def main(case):
    """Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    try:
        code, text = case()
    except CannotRun as error:
        code, text = 2, f"could not run: {error}"
    except Exception as error:  # noqa: BLE001
        import traceback

        traceback.print_exc()
        code, text = 2, f"could not run: {error!r}"
    print({0: "HELD", 1: "BROKEN", 2: "COULD NOT RUN"}[code] + ": " + text, flush=True)
    sys.exit(code)
