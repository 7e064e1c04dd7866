"""Recorded events of one run, as JSON lines that every client appends to."""

import json
import threading
import time


def now_ms():
    """Present time in milliseconds since the Unix epoch."""
    return int(time.time() * 1000)


class History:
    """Events in the order of their recording. Safe from any thread."""

    def __init__(self):
        self._lock = threading.Lock()
        self.events = []

    def add(self, kind, **fields):
        """Records one event with the present time."""
        event = {"at": now_ms(), "kind": kind, **fields}
        with self._lock:
            self.events.append(event)

    def write(self, path):
        """Writes every event, one JSON object a line."""
        with self._lock, open(path, "w", encoding="utf-8") as file:
            for event in self.events:
                file.write(json.dumps(event) + "\n")


def read(path):
    """Events of a file that History.write made."""
    with open(path, encoding="utf-8") as file:
        return [json.loads(line) for line in file]
