"""Stand-ins for the cases of this review: list service, workers, clients, and the platform that starts schedulers.

They speak HTTP/1.1 as the operators' PROTOCOL page describes it, on loopback addresses and the real clock. Python 3 only, no
further packages. Everything that is sent, answered and run is written to record.txt in the case's folder.
"""
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not run; exit status 2."""


class Record:
    """The events of a run, in memory and in record.txt, with the seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.events = []

    def now(self):
        return time.monotonic() - self.start

    def note(self, who, what, **details):
        with self.lock:
            at = self.now()
            self.events.append((at, who, what, details))
            text = " ".join("%s=%s" % (k, v) for k, v in details.items())
            self.file.write("%8.3f  %-12s %-24s %s\n" % (at, who, what, text))
            self.file.flush()
            return at


class Message:
    """An HTTP message that was read from a socket."""

    def __init__(self, start, headers, body):
        self.start, self.headers, self.body = start, headers, body

    @property
    def method(self):
        return self.start.split(" ")[0]

    @property
    def target(self):
        return self.start.split(" ")[1]

    @property
    def status(self):
        return int(self.start.split(" ")[1])


def read_message(stream):
    """Reads one message with a Content-Length or chunks from a buffered stream; None at its end."""
    line = stream.readline()
    if not line.endswith(b"\n"):
        return None
    headers = {}
    while True:
        field = stream.readline()
        if not field.endswith(b"\n"):
            return None
        field = field.strip()
        if not field:
            break
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = stream.read(length) if length else b""
    return None if len(body) < length else Message(line.decode("latin-1").strip(), headers, body)


def response(status, body=b"", extra=""):
    return ("HTTP/1.1 %d X\r\nContent-Length: %d\r\n%s\r\n" % (status, len(body), extra)).encode() + body


def listener(port=0):
    s = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    s.bind(("127.0.0.1", port))
    s.listen(512)
    return s


def free_port():
    with listener() as s:
        return s.getsockname()[1]


def connect(port, timeout=10):
    s = socket.create_connection(("127.0.0.1", port), timeout=timeout)
    s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return s


def reset(s):
    """Ends a connection that a Server serves with a reset: its reader sees the end, and the close that follows resets it."""
    try:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        s.shutdown(socket.SHUT_RD)
    except OSError:
        pass


def spawn(target, *args):
    t = threading.Thread(target=target, args=args, daemon=True)
    t.start()
    return t


class Server:
    """Accepts connections and serves each on its own thread."""

    def __init__(self):
        self.socket = listener()
        self.port = self.socket.getsockname()[1]
        spawn(self._accept)

    def _accept(self):
        while True:
            try:
                s, _ = self.socket.accept()
            except OSError:
                return
            s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            spawn(self._serve, s)

    def _serve(self, s):
        try:
            self.serve(s)
        except OSError:
            pass
        finally:
            s.close()

    def serve(self, s):
        raise NotImplementedError


class ListService(Server):
    """Discovery: the whole list, and watches with an empty line every 2 s."""

    def __init__(self, record):
        self.record = record
        self.changed = threading.Condition()
        self.version = 1
        self.entries = {}
        self.history = []
        super().__init__()

    def set_state(self, name, state):
        self._set(dict(self.entries[name], state=state))

    def add(self, name, port, zone, kind="medium", cell=0, state="SERVING", started_ms=0, weight=3.0):
        self._set({"id": name, "addr": "127.0.0.1:%d" % port, "zone": zone, "kind": kind, "cell": cell, "state": state,
                   "weight": weight, "started_ms": started_ms})

    def _set(self, entry):
        with self.changed:
            self.version += 1
            self.entries[entry["id"]] = entry
            self.history.append((self.version, entry))
            self.changed.notify_all()

    def whole(self):
        with self.changed:
            return {"version": self.version, "full": True, "servers": list(self.entries.values())}

    def serve(self, s):
        stream = s.makefile("rb")
        while True:
            request = read_message(stream)
            if request is None:
                return
            if "watch=1" in request.target:
                self._watch(s, int(re.search(r"after=(\d+)", request.target).group(1)))
                return
            s.sendall(response(200, json.dumps(self.whole()).encode()))

    def _watch(self, s, after):
        s.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        first = True
        while True:
            with self.changed:
                if not first and self.version == after:
                    self.changed.wait(2)
                entries = [e for v, e in self.history if v > after]
                line = b"\n"
                if entries or first:
                    first = False
                    after = self.version
                    line = json.dumps({"version": after, "full": False, "servers": entries}).encode() + b"\n"
            s.sendall(b"%x\r\n%s\r\n" % (len(line), line))


class Worker(Server):
    """A worker. Its behaviour is a function (worker, job), called on a thread of its own after the request's last byte; it answers the
    attempt with job.answer() and may call back with worker.call_back()."""

    def __init__(self, record, name, behaviour):
        self.record, self.name, self.behaviour = record, name, behaviour
        self.counts = {}
        self.free_slots = 3
        self.open = set()
        super().__init__()

    def close_idle(self, in_use):
        """Closes the connections that are not in use, as the worker's machine may."""
        for s in self.open - in_use:
            try:
                s.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def serve(self, s):
        self.open.add(s)
        stream = s.makefile("rb")
        open_job = None
        try:
            while True:
                request = read_message(stream)
                if request is None:
                    return
                if request.method == "POST":
                    open_job = self._job(s, request)
                elif request.method == "DELETE":
                    self.record.note(self.name, "cancel", id=request.target.rsplit("/", 1)[1])
                    s.sendall(response(200))
                elif request.target in ("/load", "/healthz"):
                    s.sendall(response(200, b"x0=%d,utilization=0.1,errors_per_s=0" % self.free_slots))
                else:
                    s.sendall(response(404))
        finally:
            if open_job is not None and not open_job.answered:
                self.record.note(self.name, "closed-before-202", id=open_job.id)

    def _job(self, s, request):
        job = Job(self, s, request)
        self.counts[job.id] = job.number = self.counts.get(job.id, 0) + 1
        self.record.note(self.name, "attempt", id=job.id, at_worker=job.number, kind=request.headers.get("req-kind"),
                         left_ms=request.headers.get("req-deadline-ms"), body=request.body.decode("latin-1")[:40])
        spawn(self._behave, job)
        return job

    def _behave(self, job):
        try:
            self.behaviour(self, job)
        except OSError as e:
            self.record.note(self.name, "error", id=job.id, error=e)

    def call_back(self, port, job_id, state, result=None, wait=1.0, pause=0.1, while_waiting=None):
        """Tells the scheduler what became of a job: tries until there is an answer, ten times at most."""
        if while_waiting is not None:
            spawn(while_waiting, self)
        content = {"id": job_id, "from": self.name, "state": state}
        if result is not None:
            content["result"] = result
        body = json.dumps(content).encode()
        for attempt in range(1, 11):
            self.record.note(self.name, "call", id=job_id, state=state, try_=attempt)
            try:
                with connect(port, wait) as s:
                    s.sendall(b"POST /callback HTTP/1.1\r\nHost: scheduler\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                              % (len(body), body))
                    answer = read_message(s.makefile("rb"))
                if answer is not None:
                    self.record.note(self.name, "call-answered", id=job_id, state=state, try_=attempt, status=answer.status)
                    return answer.status
            except OSError as e:
                self.record.note(self.name, "call-unanswered", id=job_id, state=state, try_=attempt, why=type(e).__name__)
            time.sleep(pause)
        return None


class Job:
    """One attempt that reached a worker."""

    def __init__(self, worker, s, request):
        self.worker, self.socket = worker, s
        self.id = request.headers.get("req-id")
        self.request = request
        self.answered = False
        self.number = 0

    def answer(self, status, extra=""):
        self.answered = True
        self.worker.record.note(self.worker.name, "answer", id=self.id, status=status)
        self.socket.sendall(response(status, b"", extra))


def job_bytes(job_id, kind, deadline_ms, body=b"{}", path="/api/7f3a9c21e0b4d655", key=None, extra=""):
    return (("POST %s HTTP/1.1\r\nHost: app.svc\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Deadline-Ms: %d\r\n%s%sContent-Length: %d\r\n\r\n"
             % (path, job_id, kind, deadline_ms, "Idempotency-Key: %s\r\n" % key if key else "", extra, len(body))).encode() + body)


class Client:
    """A client that sends one job on a connection of its own and waits for the answer."""

    def __init__(self, record, name, port, wait=30):
        self.record, self.name = record, name
        self.socket = connect(port, wait)
        self.status, self.body, self.answered_at = None, None, None

    def send(self, job_id, kind, deadline_ms, **more):
        self.id = job_id
        self.socket.sendall(job_bytes(job_id, kind, deadline_ms, **more))
        self.sent_at = self.record.note(self.name, "request", id=job_id, kind=kind, deadline_ms=deadline_ms)

    def read(self):
        try:
            answer = read_message(self.socket.makefile("rb"))
            if answer is None:
                self.record.note(self.name, "closed-unanswered", id=self.id)
            else:
                self.status, self.body = answer.status, answer.body
                self.answered_at = self.record.note(self.name, "answered", id=self.id, status=answer.status,
                                                    body=answer.body.decode("latin-1")[:60])
        except OSError as e:
            self.record.note(self.name, "no-answer", id=self.id, why=type(e).__name__)
        return self.status

    def read_later(self):
        return spawn(self.read)

    def leave(self):
        self.record.note(self.name, "leaves", id=self.id)
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass


class KeptConnection:
    """A connection for several small requests, as the front has."""

    def __init__(self, record, name, port):
        self.record, self.name = record, name
        self.socket = connect(port, 2)
        self.stream = self.socket.makefile("rb")

    def get(self, path):
        try:
            self.socket.sendall(("GET %s HTTP/1.1\r\nHost: h\r\n\r\n" % path).encode())
            answer = read_message(self.stream)
            status = answer.status if answer else 0
        except OSError:
            status = 0
        self.record.note(self.name, "get", path=path, status=status)
        return status


def settings(classes, **limits):
    """The settings of a small deployment like kyte-main; classes are (name, semantics, aim ms, deadline ms, window ms)."""
    return {
        "classes": [{"name": n, "semantics": s, "aim_us": aim * 1000, "deadline_us": deadline * 1000, "importance": 3.0,
                     "key_scope": "zone", "window_us": window * 1000, "late_value": 0.0, "streaming": False}
                    for n, s, aim, deadline, window in classes],
        "clients": {"marks_retry": False}, "discovery": "ask",
        "family_info": {"class_kind": [-1] * len(classes), "class_priority": [0] * len(classes), "class_stretch": [2.0] * len(classes),
                        "progress_us": 0, "queue_order": "fifo", "tells_start": True},
        "instances": 3, "kinds": ["large", "medium", "small"], "zones": ["tallinn", "tartu", "parnu"], "zone": 0, "me": 0, "layer": 0,
        "limits": dict({"cancel": True, "conn_idle_us": 15000000, "dial_timeout_us": 250000, "max_attempts": 5, "max_open": 20000,
                        "max_retry_after_us": 2000000, "peers": False, "probes": True, "retry_after": True, "second_copies": False,
                        "streams_per_conn": 1}, **limits),
        "prices": {"cross_zone": 0.025, "handshake": 0.02, "late_fail": 0.08, "probe": 0.01, "waste": 0.055},
        "rules": {"answer_slack_us": 8000, "ask_within_us": 10000000, "cold_share": 0.16, "drain_grace_us": 250000, "fall_multiple": 3.0,
                  "fall_us": 1000000, "warm_within_us": 24000000},
        "stats": {"fields": ["x0", "utilization", "errors_per_s"], "via": "pull"},
        "tick_us": 2000, "weights": "nominal", "workload": "jobs",
    }


KYTE_CLASSES = [("live-status", "read_like", 300, 7500, 5000), ("usage-report", "read_like", 2000, 25000, 5000),
                ("billing-post", "non_idempotent", 3000, 25000, 5000), ("load-order", "idempotency_key", 2000, 25000, 40000)]


class Platform:
    """Starts schedulers with the run command of the deploy file, and ends everything that it started."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="hw-review-")
        self.processes = []
        deploy = open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8").read()
        self.run_command = re.search(r'^run = "([^"]*)"', deploy, re.M).group(1)
        for name in ("hookweir.jar", "hookweir.jsa"):
            if not os.path.exists(os.path.join(ROOT, "node", "target", name)):
                raise CannotRun("node/target/%s is missing: run make build first" % name)

    def start(self, name, config, listen_port, listen_socket=None):
        """Starts one process of the scheduler. All processes of one name share TMPDIR, as in an upgrade."""
        shared = os.path.join(self.folder, config["name"])
        os.makedirs(shared, exist_ok=True)
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w", encoding="utf-8") as f:
            json.dump(config, f)
        admin = free_port()
        env = dict(os.environ, RELAY_NAME=config["name"], RELAY_CONFIG=path, RELAY_LISTEN="127.0.0.1:%d" % listen_port,
                   RELAY_DISCOVERY=config["discovery"], RELAY_ADMIN_ADDR="127.0.0.1:%d" % admin, TMPDIR=shared)
        if listen_socket is not None:
            env["RELAY_FD"] = "0"
        log = open(os.path.join(self.folder, name + ".log"), "w", encoding="utf-8")
        process = subprocess.Popen(["/bin/sh", "-c", self.run_command], cwd=ROOT, env=env, stdout=log, stderr=subprocess.STDOUT,
                                   stdin=listen_socket if listen_socket is not None else subprocess.DEVNULL)
        process.admin, process.name, process.log_path = admin, name, log.name
        self.processes.append(process)
        self.record.note("platform", "start", process=name)
        return process

    def await_ready(self, process, timeout=20):
        end = time.monotonic() + timeout
        while time.monotonic() < end and process.poll() is None:
            if get(process.admin, "/admin/health") == 200:
                self.record.note("platform", "ready", process=process.name)
                return
            time.sleep(0.02)
        raise CannotRun("%s was not ready: %s" % (process.name, open(process.log_path).read()[-2000:]))

    def signal(self, process, which):
        self.record.note("platform", which.name, process=process.name)
        process.send_signal(which)

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
            for line in open(process.log_path, encoding="utf-8", errors="replace").read().splitlines()[-30:]:
                self.record.note("log", process.name, line=line[:400])
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def get(port, path):
    try:
        with connect(port, 2) as s:
            s.sendall(("GET %s HTTP/1.1\r\nHost: h\r\n\r\n" % path).encode())
            answer = read_message(s.makefile("rb"))
            return answer.status if answer else 0
    except OSError:
        return 0


def config(name, port, list_service, site_settings, sockets=256, known=None):
    return {"name": name, "listen": "127.0.0.1:%d" % port, "discovery": "127.0.0.1:%d" % list_service.port, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets}, "known": known or list_service.whole(),
            "settings": site_settings}


def run_case(folder, case, limit=110):
    """Runs case(record, platform), which returns a list of broken rules, and exits with 0, 1 or 2."""
    record = Record(folder)
    platform = None

    def too_long(*_):
        raise CannotRun("the case took over %d s" % limit)

    signal.signal(signal.SIGALRM, too_long)
    signal.signal(signal.SIGTERM, too_long)
    signal.alarm(limit)
    code = 2
    try:
        record.note("case", "disruption" if TROUBLE else "no-disruption")
        platform = Platform(record)
        broken = case(record, platform)
        for line in broken:
            record.note("verdict", "BROKEN", text=line)
            print("BROKEN: " + line)
        if not broken:
            record.note("verdict", "held")
            print("held")
        code = 1 if broken else 0
    except CannotRun as e:
        record.note("verdict", "cannot-run", why=str(e)[:500])
        print("cannot run: %s" % e)
    except Exception as e:  # a fault of the stand-ins, not of the scheduler
        record.note("verdict", "cannot-run", why=repr(e))
        print("cannot run: %r" % e)
    finally:
        signal.alarm(0)
        if platform is not None:
            platform.end()
    sys.stdout.flush()
    os._exit(code)
