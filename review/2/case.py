"""During an upgrade a bad client sends the id of another client's open request; the new process takes it for a new one."""
import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standin import KYTE_CLASSES, TROUBLE, CannotRun, Client, ListService, Worker, config, listener, run_case, settings

JOB = "9b1f03aa5c7e2d41"
# SIGKILL follows SIGTERM after the longest deadline, which counts as 3 s here, plus 0.7 s.
KILL_AFTER_TERM_S = 3.7
FINAL = ("done", "failed", "returned", "lost")


def case(record, platform):
    shared = listener()  # held by the platform, inherited by every process as descriptor 0
    port = shared.getsockname()[1]
    may_end = threading.Event()

    def behaviour(worker, job):
        worker.free_slots -= 1
        job.answer(202)
        record.note(worker.name, "RUN-BEGINS", id=job.id, body=job.request.body.decode())
        worker.call_back(port, job.id, "started")
        may_end.wait()
        time.sleep(0.2 * (job.number - 1))  # the second run ends after the first
        record.note(worker.name, "RUN-ENDS", id=job.id, body=job.request.body.decode())
        worker.call_back(port, job.id, "done", result="result of '%s'" % job.request.body.decode())

    lists = ListService(record)
    worker, busy = Worker(record, "s-0000000a", behaviour), Worker(record, "s-0000000b", behaviour)
    worker.free_slots, busy.free_slots = 2, 0
    for w in (worker, busy):
        lists.add(w.name, w.port, "tallinn")
    site = settings(KYTE_CLASSES)
    old = platform.start("n1-old", config("n1", port, lists, site), port, shared)
    platform.await_ready(old)
    time.sleep(1)

    client = Client(record, "client", port)
    client.send(JOB, "billing-post", 25000, body=b"bill of the client", extra="Req-Cost: 2000000\r\n")
    client.read_later()
    time.sleep(1)
    if not any(what == "RUN-BEGINS" for _, _, what, _ in record.events):
        raise CannotRun("the job did not begin before the upgrade")

    terminated = None
    if TROUBLE:
        new = platform.start("n1-new", config("n1", port, lists, site), port, shared)
        platform.await_ready(new, 6)  # it says yes
        platform.signal(old, signal.SIGTERM)
        terminated = time.monotonic()
        time.sleep(0.2)
    bad = Client(record, "bad-client", port)
    bad.send(JOB, "billing-post", 25000, body=b"something else")
    bad.read_later()
    time.sleep(1)
    may_end.set()
    time.sleep(1)
    if terminated is not None:
        time.sleep(max(0, terminated + KILL_AFTER_TERM_S - time.monotonic()))
        if old.poll() is None:
            platform.signal(old, signal.SIGKILL)
    time.sleep(0.5)

    broken = []
    out = None
    for at, who, what, details in record.events:
        if details.get("id") != JOB:
            continue
        if what == "attempt":
            if out is not None:
                broken.append("%s got an attempt of %s at %.3f s, while the one of %.3f s at %s had neither ended nor been given up"
                              % (who, JOB, at, out[0], out[1]))
            out = (at, who)
        elif what == "call" and details["state"] in FINAL or what in ("cancel", "closed-before-202"):
            out = None
    runs = [(at, who) for at, who, what, _ in record.events if what == "RUN-BEGINS"]
    if len(runs) > 1:
        broken.append("billing-post %s began %d times: %s" % (JOB, len(runs), ", ".join("%.3f s at %s" % run for run in runs)))
    if bad.status == 200:
        broken.append("the bad client was served: %s" % bad.body.decode())
    return broken


run_case(os.path.dirname(os.path.abspath(__file__)), case)
