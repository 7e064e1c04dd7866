#!/usr/bin/env python3
"""Checks the exit codes and the output of `foxtailcross-node check`, and that the start by a settings file is as before."""
import argparse
import copy
import json
import pathlib
import subprocess
import sys
import tempfile

SOUND = pathlib.Path(__file__).parents[2] / "files" / "platform-catalog.json"
CLEAN, FINDINGS, WRONG_USE, UNREADABLE = 0, 1, 2, 3
LIMIT_S = 20


class Command:
    def __init__(self, program, folder):
        self.program = program
        self.folder = folder

    def write(self, name, catalog):
        file = self.folder / name
        file.write_text(catalog if isinstance(catalog, str) else json.dumps(catalog))
        return file

    def run(self, expected, *arguments):
        result = subprocess.run([self.program, *arguments], capture_output=True, text=True, timeout=LIMIT_S, env={})
        assert result.returncode == expected, (arguments, result)
        assert bool(result.stderr) == (expected in (WRONG_USE, UNREADABLE)), (arguments, result)
        return result.stdout


def run_steps(command):
    sound = json.loads(SOUND.read_text())
    text = command.run(CLEAN, "check", SOUND)
    assert "findings: 0" in text, text

    faulty = copy.deepcopy(sound)
    faulty["version"] = 2
    faulty["routes"][1]["service"] = "none"
    faulty["tenants"][0]["api_keys"] = []
    file = command.write("faulty.json", faulty)
    text = command.run(FINDINGS, "check", file)
    assert "routes 1 service: " in text and "tenants 0 api_keys: " in text, text
    body = json.loads(command.run(FINDINGS, "check", file, "--against", SOUND, "--json"))
    assert [finding["row"] for finding in body["findings"]] == ["routes 1 service", "tenants 0 api_keys"], body
    assert all(finding["sentence"] and finding["remedy"] for finding in body["findings"]), body
    assert [difference["entry"] for difference in body["differences"]] == ["version", "routes patient service", "tenants swaralaya api_keys"], body
    keys = [key for tenant in sound["tenants"] for key in tenant["api_keys"]]
    assert not any(key in json.dumps(body) for key in keys), body

    higher = command.write("higher.json", {**sound, "version": 2})
    assert "changed version: 1 -> 2" in command.run(CLEAN, "check", higher, "--against", SOUND)
    assert "version: " in command.run(FINDINGS, "check", SOUND, "--against", SOUND)
    print("Catalogs are clean or have findings; differences count as none, and no key is printed.")

    for arguments in ([], ["a", "b"], ["a", "--unknown"], ["a", "--against"]):
        command.run(WRONG_USE, "check", *arguments)
    for content in ("", "[]", "{}", '{"version": -1}', SOUND.read_text()[:-3]):
        unreadable = command.write("unreadable.json", content)
        command.run(UNREADABLE, "check", unreadable)
        command.run(UNREADABLE, "check", SOUND, "--against", unreadable)
    for missing in (command.folder / "missing", command.folder):
        command.run(UNREADABLE, "check", missing)
    print("Wrong use and unreadable files have their own exit codes.")

    command.run(WRONG_USE)
    command.run(UNREADABLE, command.folder / "missing")
    command.run(UNREADABLE, SOUND)
    print("Without the word check, the argument is the settings file.")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", type=pathlib.Path, required=True)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        run_steps(Command(options.build.resolve() / "apps" / "foxtailcross-node" / "foxtailcross-node", pathlib.Path(folder)))
    print("Every step gave the right answer.")
    return 0


if __name__ == "__main__":
    sys.exit(main())
