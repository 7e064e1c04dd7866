"""Starts and ends the processes of one run: the stand-in and several foxtailcrossd."""

import http.client
import json
import os
import signal
import socket
import subprocess

HOST = "127.0.0.1"
ZONES = ["kochi", "thrissur", "kozhikode"]
OPERATOR_TOKEN = "operator-token-of-a-test"
LEASE_MS = 4000
CALL_TIMEOUT_S = 8

STANDIN_SETTINGS = """
zones = [{zones}]
list_lag = "500 ms"
relay_seed = {seed}
log_retention = "{retention}"
[workers]
count = 6
per_rack = 2
task_run_time = "1500 ms"
[runners]
count = 3
request_run_time = "15 ms"
"""

DAEMON_SETTINGS = """
instance = "{id}"
zone = "{zone}"
region = "kerala"
[listen]
http = "{http}"
peers = "{peers}"
advertised_peers = "{advertised}"
[platform]
log = "{log}"
list = "{list}"
[security]
operator_token = "{token}"
request_id_key = "request-id-key-of-a-test"
peer_keys = ["peer-key-of-a-test-1"]
[control]
heartbeat_interval = "200 ms"
view_freshness = "2 s"
lease_length = "{lease} ms"
renew_interval = "1 s"
holder_authority = "5 s"
log_poll_interval = "200 ms"
list_poll_interval = "500 ms"
[stop]
balancer_delay = "500 ms"
limit = "20 s"
[log]
level = "info"
"""


class Port:
    """A port that is free for both TCP and UDP, kept bound so that no other process gets it."""

    def __init__(self):
        while True:
            self._tcp = socket.socket()
            self._udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            # A bound socket that does not listen reserves the port against outgoing connections but still lets a server listen on it.
            self._tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._tcp.bind((HOST, 0))
            number = self._tcp.getsockname()[1]
            self.address = f"{HOST}:{number}"
            try:
                self._udp.bind((HOST, number))
                return
            except OSError:
                self.release()

    def release_udp(self):
        self._udp.close()

    def release(self):
        self._tcp.close()
        self._udp.close()


class NotSent(Exception):
    """The call was not sent."""


class NoAnswer(Exception):
    """The call was sent and no complete answer came."""


def call(address, method, path, body=None, token=None, timeout=CALL_TIMEOUT_S):
    """One HTTP call. Returns (status, decoded body)."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        try:
            connection.connect()
        except OSError as error:
            raise NotSent(str(error)) from error
        headers = {"Content-Type": "application/json"}
        if token:
            headers["Authorization"] = "Bearer " + token
        try:
            connection.request(method, path, json.dumps(body) if body is not None else None, headers)
            answer = connection.getresponse()
            text = answer.read()
            return answer.status, json.loads(text)
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise NoAnswer(str(error)) from error
    finally:
        connection.close()


class Daemon:
    """One foxtailcrossd process, which can be killed, paused and restarted."""

    def __init__(self, program, folder, id, zone, settings):
        self.id = id
        self.zone = zone
        self.address = settings["http"]
        self._program = program
        self._file = os.path.join(folder, id + ".toml")
        self._log = os.path.join(folder, id + ".log")
        self.process = None
        with open(self._file, "w", encoding="utf-8") as file:
            file.write(DAEMON_SETTINGS.format(id=id, zone=zone, token=OPERATOR_TOKEN, lease=LEASE_MS, **settings))
            for peer in settings["others"]:
                file.write('[[peer]]\ninstance = "{id}"\nzone = "{zone}"\naddress = "{advertised}"\n'.format(**peer))

    def start(self):
        with open(self._log, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen([self._program, "--settings", self._file], stdout=log, stderr=log)

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.alive():
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()


class Cluster:
    """The stand-in, the daemons, and relays between them: to the log and the list for each daemon, and between peers."""

    def __init__(self, programs, folder, seed, instances, retention="1 h"):
        self.folder = folder
        self.standin = self._start_standin(programs, seed, retention)
        addresses = json.loads(self.standin.stdout.readline())
        self.control = addresses["control"]
        self.list = addresses["list"]
        self._ports = [Port() for _ in range(2 * instances)]
        places = [{"id": f"{ZONES[i % len(ZONES)]}-{i // len(ZONES) + 1}", "zone": ZONES[i % len(ZONES)],
                   "peers": self._ports[2 * i].address, "http": self._ports[2 * i + 1].address} for i in range(instances)]
        ids = [place["id"] for place in places]
        for place in places:
            place["advertised"] = self._relay("peers@" + place["id"], place["peers"], ids)
        self.daemons = []
        for place in places:
            settings = {"http": place["http"], "peers": place["peers"], "advertised": place["advertised"],
                        "log": self._relay("log@" + place["id"], addresses["log"]),
                        "list": self._relay("list@" + place["id"], addresses["list"]),
                        "others": [other for other in places if other is not place]}
            self.daemons.append(Daemon(programs["foxtailcrossd"], folder, place["id"], place["zone"], settings))
            self.order("/v1/instances", {"id": place["id"], "zone": place["zone"], "address": place["advertised"], "state": "live"})
        for port in self._ports:
            port.release_udp()
        for daemon in self.daemons:
            daemon.start()

    def _start_standin(self, programs, seed, retention):
        file = os.path.join(self.folder, "standin.toml")
        zones = ", ".join(f'"{zone}"' for zone in ZONES)
        with open(file, "w", encoding="utf-8") as settings:
            settings.write(STANDIN_SETTINGS.format(zones=zones, seed=seed, retention=retention))
        with open(os.path.join(self.folder, "standin.log"), "w", encoding="utf-8") as log:
            return subprocess.Popen([programs["foxtailcross-standin"], "--settings", file], stdout=subprocess.PIPE, stderr=log, text=True)

    def _relay(self, name, target, callers=()):
        return self.order("/v1/relays", {"name": name, "target": target, "callers": list(callers)})["address"]

    def order(self, path, body):
        """Sends an order to the stand-in's control port."""
        status, answer = call(self.control, "POST", path, body)
        if status != 200:
            raise RuntimeError(f"{path} {body}: {answer}")
        return answer

    def targets(self):
        """The worker and runner list as the stand-in serves it."""
        return call(self.list, "GET", "/v1/list")[1]

    def end(self):
        """Ends all remaining processes."""
        for daemon in self.daemons:
            daemon.signal(signal.SIGCONT)
            if daemon.alive():
                daemon.kill()
        self.standin.terminate()
        self.standin.wait()
        self.standin.stdout.close()
        for port in self._ports:
            port.release()
