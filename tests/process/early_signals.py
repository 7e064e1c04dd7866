#!/usr/bin/env python3
"""Checks that signals of planned work that reach a process before it has read its settings do not end it at once.

The settings file is a named pipe, so that the process waits for its settings until the signals have been sent.
"""
import argparse
import errno
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

from platform_site import HOST, PORTS_PER_INSTANCE, call, free_ports, instance_settings, wait_for

# Grace period of a planned stop, from the settings of the deployment.
GRACE_S = 6
SIGNALS = 20
PAUSE_S = 0.002


class StartingNode:
    """A process that has opened its settings and not yet read them."""

    def __init__(self, program, folder):
        *ports, store = free_ports(PORTS_PER_INSTANCE + 1)
        self.metrics = f"{HOST}:{ports[-1]}"
        self.text = instance_settings("kochi", ports, f"{HOST}:{store}")
        self.file = folder / "node.toml"
        self.file.unlink(missing_ok=True)
        os.mkfifo(self.file)
        self.process = subprocess.Popen([program, self.file], stdout=subprocess.DEVNULL)
        self.pipe = wait_for("the opening of the settings", self.open_pipe)

    def open_pipe(self):
        try:
            return os.open(self.file, os.O_WRONLY | os.O_NONBLOCK)
        except OSError as error:
            assert error.errno == errno.ENXIO
            return None

    def send(self, number, count=1):
        for _ in range(count):
            self.process.send_signal(number)
            time.sleep(PAUSE_S)

    def give_settings(self):
        """A reload reads an ordinary file."""
        ordinary = self.file.with_suffix(".new")
        ordinary.write_text(self.text)
        ordinary.rename(self.file)
        try:
            os.write(self.pipe, self.text.encode())
        except BrokenPipeError:
            pass
        os.close(self.pipe)

    def await_service(self):
        wait_for("the metrics page", lambda: self.process.poll() is not None or call(self.metrics, "GET", "/metrics")[0] == 200)
        assert self.process.poll() is None, f"the process ended with {self.process.returncode}"


def check_reload_signals(node):
    node.send(signal.SIGHUP, SIGNALS)
    node.give_settings()
    node.await_service()
    node.send(signal.SIGHUP, SIGNALS)
    node.await_service()
    print(f"A process that got {SIGNALS} SIGHUP before its settings serves.")


def check_stop_signal(node):
    node.send(signal.SIGTERM)
    node.give_settings()
    code = node.process.wait(timeout=GRACE_S)
    assert code == 0, f"the process ended with {code}"
    print("A process that got a SIGTERM before its settings ended with 0.")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", type=pathlib.Path, required=True)
    options = parser.parse_args()
    program = options.build.resolve() / "apps" / "foxtailcross-node" / "foxtailcross-node"
    with tempfile.TemporaryDirectory() as folder:
        for check in (check_reload_signals, check_stop_signal):
            node = StartingNode(program, pathlib.Path(folder))
            try:
                check(node)
            finally:
                node.process.kill()
                node.process.wait()
    return 0


if __name__ == "__main__":
    sys.exit(main())
