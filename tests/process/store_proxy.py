"""A TCP proxy on loopback that delays, drops (in both directions or only the answers) or resets the connections that pass through it."""
import select
import socket
import struct
import threading
import time

CHUNK = 65536
# Short enough to apply a change of the fault soon, long enough to use little processor time.
POLL_S = 0.02


def reset(connection):
    """Ends the connection so that its peer sees a reset."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


class StoreProxy:
    """Forwards connections to one address. `fault` is one of "", "silent", "answers-lost", "reset", or a delay in seconds."""

    def __init__(self, target):
        host, port = target.split(":")
        self.target = (host, int(port))
        self.fault = ""
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, caller):
        if self.fault == "reset":
            reset(caller)
            return
        try:
            target = socket.create_connection(self.target)
        except OSError:
            reset(caller)
            return
        # A connection whose data was dropped once stays silent, since the data in transit is lost.
        is_silent = {caller: False, target: False}
        try:
            while self.forward(caller, target, is_silent):
                pass
        except OSError:
            pass
        for connection in (caller, target):
            reset(connection)

    def forward(self, caller, target, is_silent):
        """Forwards the available data once. Returns False if the connection has ended."""
        readable, _, _ = select.select([caller, target], [], [], POLL_S)
        fault = self.fault
        if fault == "reset":
            return False
        if fault == "silent":
            is_silent[caller] = is_silent[target] = True
        elif fault == "answers-lost":
            is_silent[target] = True
        for source in readable:
            data = source.recv(CHUNK)
            if not data:
                return False
            if isinstance(fault, float):
                time.sleep(fault)
            if not is_silent[source]:
                (target if source is caller else caller).sendall(data)
        return True

    def close(self):
        self.listener.close()
