#!/usr/bin/env python3
"""Checks that an instance whose log output is not read still answers every call and ends a planned stop in time."""
import argparse
import fcntl
import pathlib
import signal
import subprocess
import sys
import tempfile

from platform_site import HOST, KEY, Site, call, task, wait_for

# Grace period of a planned stop, from the settings of the deployment.
GRACE_S = 6
SMALLEST_PIPE = 4096
CALLS = 400


def run_checks(site):
    holder = wait_for("the scheduling duty to be held", site.holder)
    reader = site.instances[holder].stdout
    headers = {"Host": "jobs.example", "Authorization": f"Token {KEY}", "X-Deadline-Ms": "3000"}
    address = f"{HOST}:{site.ports[holder][0]}"
    for _ in range(CALLS):
        assert call(address, "GET", "/urgent/", headers=headers)[0] == 200
    site.submit("urgent", "00000000000000b1", task(4, 8, 300, gang=True))
    site.await_state("urgent", "00000000000000b1", "completed")
    print(f"{CALLS} calls and a job were served while the log pipe was full.")
    site.instances[holder].send_signal(signal.SIGTERM)
    assert site.instances[holder].wait(timeout=GRACE_S) == 0
    reader.close()
    print("A planned stop ended with 0.")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", type=pathlib.Path, required=True)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        site = Site(options.build.resolve(), pathlib.Path(folder), log_for=lambda name: subprocess.PIPE)
        for instance in site.instances.values():
            fcntl.fcntl(instance.stdout, fcntl.F_SETPIPE_SZ, SMALLEST_PIPE)
        try:
            run_checks(site)
            return 0
        finally:
            site.end()


if __name__ == "__main__":
    sys.exit(main())
