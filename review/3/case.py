"""A worker repeats a call-back whose answer was lost; the scheduler takes the repeat for a later attempt at the same worker."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standin import (KYTE_CLASSES, TROUBLE, CannotRun, Client, ListService, Server, Worker, config, connect, free_port, read_message, reset,
                     response, run_case, settings)

JOB = "9b1f03aa5c7e2d41"
RUN_S = 4.0
# How long the network leaves the lost answer's connection silent before it resets it.
SILENCE_S = 1.0


class LossyPath(Server):
    """The network between one worker and the scheduler. It passes each call on. With the disruption the answer to the first one is
    lost: the worker's connection stays silent and is then reset."""

    def __init__(self, record, scheduler_port):
        self.record, self.scheduler_port, self.lose_next = record, scheduler_port, TROUBLE
        super().__init__()

    def serve(self, s):
        request = read_message(s.makefile("rb"))
        if request is None:
            return
        with connect(self.scheduler_port) as onward:
            onward.sendall(b"POST /callback HTTP/1.1\r\nHost: scheduler\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                           % (len(request.body), request.body))
            answer = read_message(onward.makefile("rb"))
        if self.lose_next:
            self.lose_next = False
            self.record.note("network", "answer-lost", status=answer.status)
            time.sleep(SILENCE_S)
            reset(s)
        else:
            s.sendall(response(answer.status))


def case(record, platform):
    port = free_port()
    path = LossyPath(record, port)
    turned_away = []

    def behaviour(worker, job):
        """The first two attempts find their worker full: it takes the job and hands it back unstarted. Later ones are run."""
        job.answer(202)
        if len(turned_away) < 2:
            turned_away.append(worker.name)
            worker.free_slots = 0
            worker.call_back(path.port if len(turned_away) == 1 else port, job.id, "returned", wait=2 * SILENCE_S, while_waiting=has_room)
            return
        record.note(worker.name, "RUN-BEGINS", id=job.id)
        worker.free_slots -= 1
        worker.call_back(port, job.id, "started")
        time.sleep(RUN_S)
        record.note(worker.name, "RUN-ENDS", id=job.id)
        worker.free_slots += 1
        worker.call_back(port, job.id, "done", result="result of " + worker.name)

    def has_room(worker):
        """What filled the worker ends soon after."""
        time.sleep(0.1)
        worker.free_slots = 3

    lists = ListService(record)
    workers = [Worker(record, name, behaviour) for name in ("s-0000000a", "s-0000000b")]
    for worker in workers:
        lists.add(worker.name, worker.port, "tallinn")
    process = platform.start("n1", config("n1", port, lists, settings(KYTE_CLASSES)), port)
    platform.await_ready(process)
    time.sleep(1)

    client = Client(record, "client", port)
    client.send(JOB, "billing-post", 25000, extra="Req-Cost: 2000000\r\n")
    client.read()
    time.sleep(RUN_S + 1)

    runs = [(at, who) for at, who, what, _ in record.events if what == "RUN-BEGINS"]
    if not runs:
        raise CannotRun("no worker ran the job, the client got %s" % client.status)
    if len(runs) > 1:
        return ["billing-post %s, which must never run twice, began %d times: %s" % (JOB, len(runs),
                ", ".join("%.3f s at %s" % run for run in runs))]
    return []


run_case(os.path.dirname(os.path.abspath(__file__)), case)
