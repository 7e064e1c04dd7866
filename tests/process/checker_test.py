"""Tests the checker with histories that are known to be valid or invalid."""

import json
import unittest

import checker

SETTINGS = {"kind": "settings", "at": 0, "lease_ms": 1000, "grace_ms": 500, "leaving_grace_ms": 500}
BODY = "booth 7"


def sent(call=1, id="r-1"):
    return {"kind": "sent", "at": 10, "call": call, "id": id, "attempt": call, "request_kind": "slot-match", "body": BODY}


def answered(state, at=50, call=1, id="r-1", body=""):
    return {"kind": "answered", "at": at, "call": call, "id": id, "attempt": call, "run_state": state, "body": body}


def ran(runner="runner-1", started=20, id="r-1"):
    return {"kind": "ran", "at": 99, "id": id, "attempt": 1, "runner": runner, "started": started}


def answer_body(id="r-1", body=BODY):
    call = {"id": id, "request_kind": "slot-match", "body": body}
    return json.dumps({"request": id, "kind": "slot-match", "body": body, "digest": checker.digest_of(call)})


def task(number, phase, entered, job="j", attempt=1, zone="kochi"):
    return {"kind": "task", "at": 99, "job": job, "attempt": attempt, "task": number, "worker": f"worker-{number}", "zone": zone,
            "phase": phase, "entered": entered}


def read(version, reader="i-1"):
    return {"kind": "read", "at": 1, "reader": reader, "version": version}


def gang(second_start=100, first_end=5000, second_end=5000, phase="succeeded"):
    return [{"kind": "job", "at": 1, "job": "j", "tasks": 2}, task(0, "running", 100), task(1, "running", second_start),
            task(0, phase, first_end), task(1, phase, second_end)]


OUT = {"kind": "zone_out", "at": 100, "zone": "kochi", "accepted": 100}
BACK = {"kind": "zone_back", "at": 9000, "zone": "kochi", "sent": 9000}

RIGHT = {
    "done once": [sent(), ran(), answered("done", body=answer_body())],
    "refused, then run at the second call": [sent(), answered("did-not-run", at=15), sent(2), ran(started=20), answered("done", call=2, body=answer_body())],
    "unknown and run": [sent(), ran(), answered("unknown")],
    "start within the grace, and after the zone is back": [OUT, task(0, "running", 550), BACK, task(1, "running", 9100)],
    "versions rise, readers apart": [read(3), read(4), read(1, "i-2"), read(4)],
    "whole gang": gang(),
    "part of a gang for less than a lease": gang(second_start=900, first_end=5000, second_end=5900, phase="stopped"),
    "tasks end one after another with success": gang(second_end=9000),
    "leaving target within the grace": [{"kind": "leaving", "at": 10, "target": "runner-1"}, ran(started=400)],
    "attempts one after another": gang(phase="lapsed") + [task(0, "running", 5000, attempt=2)],
}

WRONG = {
    "check_at_most_once": [[ran(), ran("runner-2")], [ran(), ran()]],
    "check_refused_means_not_run": [
        [sent(), ran(started=20), answered("did-not-run", at=50)],
        [sent(), answered("did-not-run", at=15), ran(started=20)],
    ],
    "check_whole_answer": [
        [sent(), ran(), answered("done", body=answer_body("r-2"))],
        [sent(), ran(), answered("done", body=answer_body(body="booth 8"))],
        [sent(), ran(), answered("done", body=answer_body()[:40])],
        [sent(), ran(), answered("done", body=None)],
        [sent(), answered("done", body=answer_body())],
    ],
    "check_no_start_in_zone_out": [[OUT, task(0, "running", 700)], [OUT, BACK, OUT | {"accepted": 9200}, task(0, "running", 9900)]],
    "check_versions": [
        [read(4), read(3)],
        [read(4), read(5), read(4)],
        [{"kind": "accepted", "at": 1, "version": 5}, {"kind": "settled", "at": 2, "version": 4}],
    ],
    "check_gangs": [gang(second_start=1200), gang(second_end=6500, phase="stopped"), gang()[:2]
                    + [task(0, "stopped", 3000)], gang(first_end=2000, phase="failed")],
    "check_one_attempt": [
        gang() + [task(0, "running", 4000, attempt=2)],
        gang() + [task(n, phase, at, attempt=2) for n in (0, 1) for phase, at in (("running", 6000), ("succeeded", 7000))],
    ],
    "check_leaving": [[{"kind": "leaving", "at": 10, "target": "runner-1"}, ran(started=600)],
                      [{"kind": "leaving", "at": 10, "target": "worker-0"}, task(0, "running", 600)]],
}


class CheckerTest(unittest.TestCase):
    def test_right_histories_are_clean(self):
        for name, events in RIGHT.items():
            with self.subTest(name):
                self.assertEqual(checker.check([SETTINGS] + events), [])

    def test_wrong_histories_are_found_by_their_check(self):
        self.assertEqual(set(WRONG), {one.__name__ for one in checker.CHECKS})
        for name, histories in WRONG.items():
            for number, events in enumerate(histories):
                with self.subTest(name, number=number):
                    found = checker.check([SETTINGS] + events)
                    self.assertTrue(any(line.startswith(name + ":") for line in found), found)


if __name__ == "__main__":
    unittest.main()
