"""A key that was taken away, at an entry that starts while the restored store is some seconds old."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
from lab import Client, Replica, has_trouble, now, route, run  # noqa: E402

# Bound `revoke_ms` of the deployments, in seconds.
REVOKE_S = 5.0
# Time for which the store is away, and after which the operator has written its newest version again.
AWAY_S = 0.3
WRITTEN_AGAIN_S = 1.5


def case(lab):
    lab.store.era = 1
    runs = {}

    def behave(replica, request):
        request.read_body()
        runs[request.id] = (now(), request.headers.get("tenant"))
        lab.record.add("%s runs %s for tenant %s" % (
            replica.name, request.id, request.headers.get("tenant")))
        request.succeed()

    for number in range(2):
        Replica(lab.store, lab.host(), "i-%d" % number, "app", behave=behave)
    routes = [route("look", "app", "safe", max_attempts=2)]
    lab.configure(routes, ["app"], {"t-1": ["key-kept", "key-gone"], "t-2": ["key-other"]})
    first = lab.entry("front-a")
    second = lab.entry("front-b", [first.control])
    third = lab.entry("front-c", [first.control, second.control])
    for entry in (first, second, third):
        entry.start()
    for entry in (first, second, third):
        entry.wait_ready()
    time.sleep(2.0)
    copy = lab.store.snapshot()
    revoked_at = lab.configure(routes, ["app"], {"t-1": ["key-kept"], "t-2": ["key-other"]})
    lab.record.add("configuration %d, without key-gone, acknowledged" % lab.version)
    sent = {}

    def ask(number, key):
        attempt = "%s-%d" % (key, number)
        client = Client(second.front, 3.0)
        sent[attempt] = now()
        try:
            answer = client.ask("GET", "/look/x", attempt, 1500, {"Api-Key": key})
        except OSError:
            answer = None
        client.close()
        lab.record.add("client sent %s to front-b and got %s" % (
            attempt, "nothing" if answer is None else answer[0]))

    time.sleep(REVOKE_S + 1.0)
    for number in range(3):
        ask(number, "key-gone")
        ask(number, "key-kept")
    if has_trouble():
        lab.store.go_down()
        lab.record.add("store away")
        second.kill()
        lab.record.add("process of front-b killed")
    # The seeds of its settings are stale: machines that are gone.
    second.set_seeds(["127.255.1.1:4000", "127.255.1.2:4000"])
    time.sleep(AWAY_S)
    if has_trouble():
        lab.store.come_back(copy)
        lab.record.add("store back from a copy of %.1f s before, era %d" % (
            now() - revoked_at, lab.store.era))
        second.start()
        lab.record.add("process of front-b started")
    back_at = now()
    number = 10
    while now() < back_at + WRITTEN_AGAIN_S:
        ask(number, "key-gone")
        ask(number, "key-kept")
        number += 1
        time.sleep(0.1)
    lab.store.put("config", "main", lab.config)
    lab.record.add("configuration %d written again" % lab.version)
    time.sleep(0.5)
    for number in range(90, 93):
        ask(number, "key-gone")
        ask(number, "key-kept")
    late = [attempt for attempt in runs
            if attempt.startswith("key-gone") and sent[attempt] > revoked_at + REVOKE_S]
    kept = [attempt for attempt in runs if attempt.startswith("key-kept-9")]
    lab.record.add("%d requests with the key that was taken away ran though they were sent more "
                   "than %.0f s after the acknowledgement; %d of the last 3 with a kept key ran" % (
                       len(late), REVOKE_S, len(kept)))
    return not late


sys.exit(run(case, __file__))
