#!/usr/bin/env python3
"""End-to-end test on the stand-in of the platform: callers, instances, store and workers as separate processes over TCP.

Covers a gang, a cancelled job, a kill of the holder of the scheduling duty, a lost worker, a revoked key, a zone that is taken
out, an unavailable store, and a planned stop. Waits for each step up to a limit, and exits with 0 only if every step gave the
right answer and the workers reported no violation.
"""
import argparse
import json
import pathlib
import signal
import sys
import tempfile

from platform_site import LIMIT_S, OTHER_KEY, ROOT, Site, task, wait_for


def run_steps(site):
    wait_for("the scheduling duty to be held", site.holder)
    print("Three instances serve; one holds the scheduling duty.")

    site.submit("urgent", "00000000000000a1", task(4, 8, 400, gang=True))
    site.await_state("urgent", "00000000000000a1", "completed")
    assert [run["how"] for run in site.runs_of("00000000000000a1")] == ["done"] * 4
    print("A gang of four whole workers ran once and is completed.")

    site.submit("patient", "00000000000000a2", task(6, 1, 60000))
    wait_for("the start of the patient job", lambda: len(site.runs_of("00000000000000a2")) == 6)
    wait_for("the cancel", lambda: site.ask("DELETE", "/patient/00000000000000a2")[0] == 200)
    wait_for("the end of its runs", lambda: not any(run["open"] for run in site.runs_of("00000000000000a2")))
    assert site.state("patient", "00000000000000a2") == "cancelled"
    print("A cancelled job has no running tasks.")

    site.submit("patient", "00000000000000a3", task(8, 1, 3000))
    wait_for("the start of the job", lambda: len(site.runs_of("00000000000000a3")) == 8)
    zone = site.holder()
    site.instances[zone].send_signal(signal.SIGKILL)
    site.instances[zone].wait()
    wait_for("another holder", lambda: site.holder() not in (None, zone))
    site.await_state("patient", "00000000000000a3", "completed")
    assert [run["how"] for run in site.runs_of("00000000000000a3")] == ["done"] * 8
    site.start_instance(zone)
    print(f"The holder in {zone} was killed; its successor continued the job, and no task ran twice.")

    site.submit("patient", "00000000000000a4", task(1, 1, 3000))
    worker = wait_for("the start of the job", lambda: site.runs_of("00000000000000a4"))[0]["worker"]
    site.set_faults({"crash": [worker]})
    site.await_state("patient", "00000000000000a4", "completed")
    print("A worker was lost; its task ran again elsewhere.")

    catalog = json.loads((ROOT / "files" / "platform-catalog.json").read_text())
    assert site.ask("GET", "/urgent/", key=OTHER_KEY)[0] == 200
    catalog["version"] = 9
    catalog["tenants"][1]["api_keys"] = []
    site.set_operator_key("config", catalog)
    wait_for("the refusal of the key", lambda: all(site.ask("GET", "/urgent/", key=OTHER_KEY)[0] == 401 for _ in range(6)))
    print("A revoked key is refused by all instances.")

    site.set_operator_key("evacuate/kochi", {})
    wait_for("the zone to be out", lambda: site.metric("thrissur", "foxtailcross_zones_out") == 1 and site.metric(site.holder() or "kochi", "foxtailcross_zones_out") == 1)
    site.submit("patient", "00000000000000a5", task(24, 1, 200))
    site.await_state("patient", "00000000000000a5", "completed")
    kochi = {f"i-{number}" for number in range(4)}
    assert not kochi & {run["worker"] for run in site.runs_of("00000000000000a5")}
    site.set_operator_key("evacuate/kochi", None)
    print("Nothing starts in a zone that is out.")

    site.set_faults({"store": "busy"})
    status = site.ask("POST", "/patient/00000000000000a6", {"task_spec": "payload", "steps": [task()]})[0]
    assert status in (503, 504), status
    site.set_faults({"store": "serves"})
    site.submit("patient", "00000000000000a6", task())
    site.await_state("patient", "00000000000000a6", "completed")
    print("A job is accepted and completed once the store is available again.")

    zone = wait_for("a holder", site.holder)
    site.instances[zone].send_signal(signal.SIGTERM)
    assert site.instances[zone].wait(timeout=LIMIT_S) == 0
    wait_for("the successor", lambda: site.holder() not in (None, zone))
    site.submit("urgent", "00000000000000a7", task(2, 1, 100))
    site.await_state("urgent", "00000000000000a7", "completed")
    print("A planned stop of the holder ends with 0, and its successor serves.")
    broken = site.runs()["broken"]
    if broken:
        raise SystemExit(f"WRONG: the workers reported {broken}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", type=pathlib.Path, required=True)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        site = Site(options.build.resolve(), pathlib.Path(folder))
        try:
            run_steps(site)
            print("Every step gave the right answer.")
            return 0
        except BaseException:
            for log in sorted(pathlib.Path(folder).glob("*.log")):
                print(f"== {log.name} ==")
                print("\n".join(log.read_text().splitlines()[-15:]))
            raise
        finally:
            site.end()


if __name__ == "__main__":
    sys.exit(main())
