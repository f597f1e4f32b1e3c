"""Bad clients send hundreds of requests at once. What their heads take is counted by no limit: the process runs out of memory and ends."""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standin import KYTE_CLASSES, TROUBLE, CannotRun, Client, ListService, Worker, config, connect, free_port, job_bytes, run_case, settings, spawn

JOB = "9b1f03aa5c7e2d41"
RUN_S = 8.0
SLOTS = 3
# With the usual client 341 connections, a third of the 1,024 descriptors.
BAD_CLIENTS, CONNECTIONS, REQUESTS = 17, 20, 9
# The head of each request stays under the 16 KiB that the scheduler allows, its body under the 64 KiB that the protocol allows.
QUERY_BYTES, BODY_BYTES = 15600, 2000


def bad_client(record, port, number):
    """Sends 180 requests at once: nine on each of twenty connections. Reads what is sent to it."""
    name = "bad-%d" % number
    record.note(name, "sends-at-once", requests=CONNECTIONS * REQUESTS, connections=CONNECTIONS)
    for c in range(CONNECTIONS):
        try:
            s = connect(port, 30)
            spawn(read_all, s)
            s.sendall(b"".join(job_bytes("%04x%04x%08x" % (number, c, r), "usage-report", 25000, extra="Req-Cost: 8000000\r\n",
                                         path="/api/7f3a9c21e0b4d655?q=" + "a" * QUERY_BYTES, body=b"b" * BODY_BYTES)
                               for r in range(REQUESTS)))
        except OSError as e:
            record.note(name, "cut-off", connection=c, why=type(e).__name__)
            return
    record.note(name, "has-sent")


def read_all(s):
    try:
        while s.recv(65536):
            pass
    except OSError:
        pass


def case(record, platform):
    port = free_port()
    lock = threading.Lock()

    def behaviour(worker, job):
        """Runs three jobs at a time and turns others away. The jobs of bad clients are long ones."""
        with lock:
            full = worker.free_slots == 0
            worker.free_slots -= 0 if full else 1
        if full:
            job.answer(503, "Srv-Declined: 1\r\n")
            return
        job.answer(202)
        record.note(worker.name, "RUN-BEGINS", id=job.id)
        worker.call_back(port, job.id, "started")
        time.sleep(RUN_S if job.id == JOB else 60)
        record.note(worker.name, "RUN-ENDS", id=job.id)
        worker.call_back(port, job.id, "done", result="result of " + worker.name)

    lists = ListService(record)
    workers = [Worker(record, "s-0000000" + letter, behaviour) for letter in "abc"]
    for worker in workers:
        worker.free_slots = SLOTS
        lists.add(worker.name, worker.port, "tallinn")
    process = platform.start("n1", config("n1", port, lists, settings(KYTE_CLASSES), sockets=1024), port)
    platform.await_ready(process)
    time.sleep(1)

    client = Client(record, "client", port)
    client.send(JOB, "billing-post", 25000, extra="Req-Cost: 2000000\r\n")
    reader = client.read_later()
    time.sleep(1)
    if not any(what == "RUN-BEGINS" for _, _, what, _ in record.events):
        raise CannotRun("the job did not begin before the bad clients came")
    if TROUBLE:
        for number in range(BAD_CLIENTS):
            spawn(bad_client, record, port, number)
    end = time.monotonic() + RUN_S + 6
    while time.monotonic() < end and reader.is_alive() and process.poll() is None:
        time.sleep(0.05)
    time.sleep(0.5)

    broken = []
    if process.poll() is not None:
        record.note("platform", "EXITED", process=process.name, status=process.poll())
        broken.append("the scheduler ended by itself with status %s" % process.poll())
    if client.status is None:
        broken.append("billing-post %s, which the scheduler had taken and a worker was running, got no answer" % JOB)
    return broken


run_case(os.path.dirname(os.path.abspath(__file__)), case)
