"""While all connections to workers are in use, two calls that wait for one make the scheduler's only thread spin for a minute."""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standin import KYTE_CLASSES, TROUBLE, CannotRun, Client, KeptConnection, ListService, Worker, config, free_port, get, run_case, settings

SOCKETS = 256
# With 256 descriptors the scheduler opens up to 80 connections to workers. The clients are 85, a third of the descriptors.
HELD = 79
# A request has to get its answer at the latest half a second after its time; 50 ms for the recording.
SLACK_S = 0.55
WATCH_S = 9.0


def case(record, platform):
    port = free_port()
    in_use = set()
    accepted = threading.Event()

    def hangs(worker, job):
        """Takes requests and answers none. Without the disruption it takes them and serves them."""
        in_use.add(job.socket)
        if not TROUBLE:
            job.answer(202)
            time.sleep(6)
            worker.call_back(port, job.id, "done", result="result of " + worker.name)

    def works(worker, job):
        job.answer(202)
        if TROUBLE and job.id == "job-first":
            time.sleep(0.01)
            job.answer(202)  # a spoilt answer: the second one comes 10 ms late
        if job.id == "job-a":
            accepted.set()
        time.sleep(1)
        worker.call_back(port, job.id, "done", result="result of " + worker.name)

    lists = ListService(record)
    hanging = Worker(record, "s-0000000a", hangs)
    working = Worker(record, "s-0000000b", works)
    hanging.free_slots, working.free_slots = 100, 100
    lists.add(hanging.name, hanging.port, "tallinn")
    process = platform.start("n1", config("n1", port, lists, settings(KYTE_CLASSES), sockets=SOCKETS), port)
    platform.await_ready(process)
    time.sleep(1)

    # A worker hangs with 79 jobs and is replaced: it begins to drain, another one joins.
    clients = [Client(record, "client-%d" % i, port) for i in range(HELD)]
    for i, client in enumerate(clients):
        client.send("held-%02d" % i, "billing-post", 25000)
        client.read_later()
        time.sleep(0.01)
    time.sleep(0.5)
    if len(hanging.counts) < HELD:
        raise CannotRun("only %d jobs reached the first worker" % len(hanging.counts))
    hanging.close_idle(in_use)
    lists.set_state(hanging.name, "DRAINING")
    lists.add(working.name, working.port, "tallinn")
    time.sleep(1)

    first = Client(record, "client-first", port)
    first.send("job-first", "live-status", 7500)
    if first.read() != 200:
        raise CannotRun("the second worker did not serve the first job")
    time.sleep(1)

    front = KeptConnection(record, "front", port)
    a, b, c, d, e = [Client(record, "client-" + name, port) for name in "abcde"]
    a.send("job-a", "live-status", 7500)
    if not accepted.wait(5):
        raise CannotRun("job-a was not accepted")
    front.get("/healthz")  # after its answer the scheduler has read all that was written before
    b.send("job-b", "live-status", 7500)  # waits until the connection that carried job-a may be used again
    front.get("/healthz")
    c.send("job-c", "billing-post", 25000)  # waits for a connection to become free
    front.get("/healthz")
    if TROUBLE:
        a.leave()  # the scheduler calls job-a off, and that call waits for a connection, too
        front.get("/healthz")
        clients[0].leave()  # one connection becomes free
    time.sleep(0.05)
    d.send("job-d", "live-status", 7500)
    e.send("job-e", "live-status", 7500)
    for client in (a, b, c, d, e):
        client.read_later()
    end = time.monotonic() + WATCH_S
    while time.monotonic() < end:
        begin = record.now()
        status = get(port, "/healthz")
        record.note("front", "healthz", status=status, took_s="%.3f" % (record.now() - begin))
        time.sleep(0.5)
    used = open("/proc/%d/stat" % process.pid).read().rsplit(")", 1)[1].split()
    record.note("platform", "processor-time", process=process.name, s=(int(used[11]) + int(used[12])) / os.sysconf("SC_CLK_TCK"))

    broken = []
    for client in (b, d, e):
        if client.answered_at is None or client.answered_at > client.sent_at + 7.5 + SLACK_S:
            broken.append("request %s, whose client waits 7.5 s, had no answer %.1f s after it was written" % (client.id,
                          (client.answered_at or record.now()) - client.sent_at))
    return broken


run_case(os.path.dirname(os.path.abspath(__file__)), case)
