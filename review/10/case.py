"""Sound streams that end with their connection, with ids that increase by uneven steps."""

import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
from lab import Client, Replica, has_trouble, route, run  # noqa: E402

STREAMS = 90
# More than three connections that end without a whole answer break the rule.
ALLOWED = 3


def ids_of(attempt):
    """Ids of a stream's events: the tokens so far, where an event holds one to nine tokens."""
    draw = random.Random(attempt)
    ids, last = [], 0
    for _ in range(draw.randint(2, 6)):
        last += draw.randint(1, 9)
        ids.append(last)
    return ids


def case(lab):
    ended = set()

    def behave(replica, request):
        request.read_body()
        if request.method == "GET":
            request.succeed()
            return
        request.begin_stream(is_chunked=not has_trouble())
        for number in ids_of(request.id):
            request.send_event(number)
            time.sleep(0.02)
        ended.add(request.id)
        request.end_stream()
        lab.record.add("%s has run %s to its end, events %s, and closed in order" % (
            replica.name, request.id, ids_of(request.id)))

    for number, zone in enumerate(["z-a", "z-b", "z-c"]):
        Replica(lab.store, lab.host(), "i-%d" % number, "writers", zone=zone, behave=behave)
    lab.configure([
        route("draft", "writers", "streaming", timeout_ms=20000, target_latency_ms=4000,
              target_gap_ms=1500, max_attempts=1, stream_resume=False),
        route("look", "writers", "safe", max_attempts=2),
    ], ["writers"])
    entry = lab.entry("front-a")
    entry.start()
    entry.wait_ready()
    time.sleep(0.5)
    client = Client(entry.front)
    without_answer = []
    for number in range(STREAMS):
        if client.sock is None:
            # The connection is a kept one when the next stream is asked for.
            client.ask("GET", "/look/x", "look-%d" % number, 1500)
        attempt = "draft-%d" % number
        answer = client.ask("POST", "/draft/x", attempt, 20000, body=b"notes")
        pieces = 0 if answer is None else answer[2].count(b"data: ")
        is_whole = answer is not None and answer[0] == 200 and pieces == len(ids_of(attempt))
        lab.record.add("client of %s got %s" % (attempt, (
            "no whole answer: its connection was closed" if answer is None else
            "%d with %d events" % (answer[0], pieces))))
        if not is_whole:
            without_answer.append(attempt)
    time.sleep(0.5)
    lost = sum(attempt in ended for attempt in without_answer)
    lab.record.add("%d of %d streams, each run to its end by a sound replica, ended without a "
                   "whole answer; the rule allows %d" % (lost, STREAMS, ALLOWED))
    return lost <= ALLOWED


sys.exit(run(case, __file__))
