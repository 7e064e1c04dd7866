"""Recorded events of one run, as JSON lines that every client appends to."""

import json
import threading
import time


def now_ms():
    """Current time in milliseconds since the Unix epoch."""
    return int(time.time() * 1000)


class History:
    """Events in the order in which they were recorded. Thread-safe."""

    def __init__(self):
        self._lock = threading.Lock()
        self.events = []

    def add(self, kind, **fields):
        """Records one event with the current time."""
        event = {"at": now_ms(), "kind": kind, **fields}
        with self._lock:
            self.events.append(event)

    def write(self, path):
        """Writes all events, one JSON object per line."""
        with self._lock, open(path, "w", encoding="utf-8") as file:
            for event in self.events:
                file.write(json.dumps(event) + "\n")


def read(path):
    """Reads the events from a file written by History.write."""
    with open(path, encoding="utf-8") as file:
        return [json.loads(line) for line in file]
