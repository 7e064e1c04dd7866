#!/usr/bin/env python3
"""Entries of another writer in the worker list: each process stays up, the holder keeps the duty and follows the list, and jobs are done.

The instances and the stand-in of the platform are separate processes. Exits with 0 only if every step gave the right answer.
"""
import argparse
import base64
import http.client
import json
import pathlib
import shutil
import signal
import sys
import tempfile
import time
import urllib.parse

from platform_site import LIMIT_S, Site, task, wait_for

DEPTHS = (10, 31, 32, 33, 100, 1000, 100_000)
LARGE = ["9007199254740993", "9223372036854775807", "9223372036854775808", "18446744073709551616", "1e308", "1e400", "1e99999999", "9" * 4000]
PORTS = ["0", "65536", "99999", "-1", "", "+80", " 80", "4294967376"]
MANY = 3000
# Ten lines for each read of the list, twice a second.
LINES_A_SECOND = 20


def put_entry(site, key, value):
    """Writes raw bytes under a raw key; removes the key without a value."""
    host, port = site.addresses["control"].split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=10)
    connection.request("PUT" if value else "DELETE", "/v1/entries/" + urllib.parse.quote_from_bytes(key, safe=""), body=value or b"")
    assert connection.getresponse().status == 200
    connection.close()


def read_entries(site):
    """The newest entries; bytes that are not UTF-8 are replaced."""
    host, port = site.addresses["store"].split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=10)
    connection.request("GET", "/v1/log-newest?topic=keyed.servers&part=0")
    page = json.loads(connection.getresponse().read().decode(errors="replace"))
    connection.close()
    return {item["key"]: base64.b64decode(item["value"]) for item in page["items"]}


def with_member(entry, name, text):
    """The bytes of an entry with any text as the value of a member, which may also be one of its capacity."""
    parts = []
    for key, value in entry.items():
        if key == "capacity" and name in value:
            value = "{" + ",".join(f'"{k}":{text if k == name else json.dumps(v)}' for k, v in value.items()) + "}"
        else:
            value = text if key == name else json.dumps(value)
        parts.append(f'"{key}":{value}')
    return ("{" + ",".join(parts) + "}").encode()


def odd_values(entry):
    for depth in DEPTHS:
        yield b"[" * depth + b"]" * depth
        yield b"[" * depth
        yield b'{"a":' * depth + b"1" + b"}" * depth
        yield with_member(entry, "service", "[" * depth + "]" * depth)
        yield with_member(entry, "capacity", '{"a":' * depth + "1" + "}" * depth)
    for member in ("born", "clock_ms", "cold_left_ms", "cpu", "mem_mb", "gpu"):
        for number in [*LARGE, "-1e300", "NaN", "Infinity", "null", '"7"', "[]", "{}"]:
            yield with_member(entry, member, number)
        yield with_member({**entry, "state": "draining"}, member, "9223372036854775807")
    for number in LARGE:
        yield with_member({**entry, "state": "draining", "remaining_ms": 0}, "remaining_ms", number)
    host = entry["address"].split(":")[0]
    for port in PORTS:
        yield with_member(entry, "address", json.dumps(f"{host}:{port}"))
    for address in ("", ":", "host", "[::1]:80", "0.0.0.0:80", "224.0.0.1:80", "255.255.255.255:80"):
        yield with_member(entry, "address", json.dumps(address))
    for state in ("", "gone", "Ready"):
        yield with_member(entry, "state", json.dumps(state))
    for name in ("service", "address", "zone", "state", "born", "capacity"):
        yield json.dumps({key: value for key, value in entry.items() if key != name}).encode()
    yield from (b"\xff\xfe", b"\0", b"null", b"7", b'"x"', b"[]", b"{}", json.dumps(entry).encode()[:-1], b"\xc3" * 100_000)
    yield with_member(entry, "zone", '"' + "z" * 100_000)


def odd_keys():
    return [b"", b"\xff\xfe", b"odd\xc3", b"\xed\xa0\x80", b"odd key", b"odd\r\nX-Fencing-Token: 9", b"\0", b"o" * 255, b"\xff" * 255]


def assert_alive(site):
    for name, process in site.instances.items():
        assert process.poll() is None, f"{name} ended with {process.returncode}"


def do_job(site, job, tasks=24, estimate=200):
    site.submit("patient", job, task(tasks, 1, estimate))
    site.await_state("patient", job, "completed")
    assert [run["how"] for run in site.runs_of(job)] == ["done"] * tasks, site.runs_of(job)
    assert_alive(site)


def tokens(site):
    return {site.metric(name, "foxtailcross_duty_token") for name in site.instances}


def lines_of(site, text):
    return [line for log in site.folder.glob("*.log") for line in log.read_text(errors="replace").splitlines() if text in line]


def run_steps(site):
    begun = time.monotonic()
    wait_for("the scheduling duty to be held", site.holder)
    entry = json.loads(wait_for("the workers' entries", lambda: read_entries(site).get("i-5")))
    do_job(site, "00000000000000b1")
    held = tokens(site)

    written = 0
    for number, value in enumerate(odd_values(entry)):
        put_entry(site, b"odd-%d" % number, value)
        written += 1
    for key in odd_keys():
        put_entry(site, key, b"[" * 50)
        put_entry(site, key, json.dumps(entry).encode())
    time.sleep(2)
    do_job(site, "00000000000000b2")
    assert tokens(site) == held, (held, tokens(site))
    print(f"{written} odd entries and {len(odd_keys())} odd keys: the holder keeps the duty, and a job is done.")

    zone = site.holder()
    site.instances[zone].send_signal(signal.SIGKILL)
    site.instances[zone].wait()
    wait_for("another holder", lambda: site.holder() not in (None, zone))
    site.start_instance(zone)
    do_job(site, "00000000000000b3")
    held = tokens(site)
    time.sleep(3)
    assert tokens(site) == held and len(held) == 1, (held, tokens(site))
    print("The successor reads the whole list with them, keeps the duty, and a job is done.")

    site.submit("patient", "00000000000000b4", task(24, 1, 4000))
    wait_for("the start of the job", lambda: len(site.runs_of("00000000000000b4")) == 24)
    values = list(odd_values(entry))
    for number in range(12):
        for value in values[number::12]:
            put_entry(site, b"i-%d" % number, value)
    site.await_state("patient", "00000000000000b4", "completed")
    assert [run["how"] for run in site.runs_of("00000000000000b4")] == ["done"] * 24, site.runs_of("00000000000000b4")
    time.sleep(2)
    do_job(site, "00000000000000b5", 96)
    print("Odd entries under the ids of live workers: their runs go on, and they are used again after their next own entry.")

    for number in range(MANY):
        put_entry(site, b"many-%d" % number, values[number % len(values)][:2000])
    do_job(site, "00000000000000b6")
    zone = site.holder()
    site.instances[zone].send_signal(signal.SIGTERM)
    assert site.instances[zone].wait(timeout=LIMIT_S) == 0
    wait_for("the successor", lambda: site.holder() not in (None, zone))
    site.start_instance(zone)
    do_job(site, "00000000000000b7")
    print(f"{MANY} odd entries more: jobs are done before and after a change of the holder.")

    refused = [site.metric(name, "foxtailcross_worker_entries_refused_total") for name in site.instances]
    assert max(count or 0 for count in refused) >= MANY, refused
    lines = lines_of(site, "event=entry-refused")
    assert any("key=odd-0 why=bytes" in line for line in lines), lines[:3]
    assert len(lines) <= LINES_A_SECOND * (time.monotonic() - begun), len(lines)
    print(f"The refused entries are counted; {len(lines)} lines name some of them.")
    broken = site.runs()["broken"]
    assert not broken, broken


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", type=pathlib.Path, required=True)
    parser.add_argument("--keep", type=pathlib.Path, help="folder for the logs if a step fails")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        site = Site(options.build.resolve(), pathlib.Path(folder))
        try:
            run_steps(site)
            print("Every step gave the right answer.")
            return 0
        except BaseException:
            if options.keep:
                shutil.copytree(folder, options.keep, dirs_exist_ok=True)
            raise
        finally:
            site.end()


if __name__ == "__main__":
    sys.exit(main())
