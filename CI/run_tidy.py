#!/usr/bin/env python3
"""Runs clang-tidy over the sources of a build folder, skipping each source that passed with the same contents before.

The cache key of a source covers its own text, every project header it includes (from ninja's dependency log) and .clang-tidy.
With --deep the path-sensitive checks of the clang analyzer run too, which take two to three times as long.

Usage: run_tidy.py [--deep] [BUILD_FOLDER]
"""
import argparse
import concurrent.futures
import hashlib
import os
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PARSER = argparse.ArgumentParser()
PARSER.add_argument("--deep", action="store_true")
PARSER.add_argument("build", nargs="?", default="build/release")
OPTIONS = PARSER.parse_args()
BUILD = ROOT / OPTIONS.build
DEEP_CHECKS = ["--checks=clang-analyzer-core*,clang-analyzer-cplusplus*"] if OPTIONS.deep else []
CACHE = pathlib.Path(os.environ.get("XDG_CACHE_HOME", pathlib.Path.home() / ".cache")) / "foxtailcross-tidy"


def project_dependencies():
    """Maps each source to the project files that its object depends on."""
    text = subprocess.run(["ninja", "-C", str(BUILD), "-t", "deps"], capture_output=True, text=True, check=True).stdout
    result = {}
    for block in text.split("\n\n"):
        files = [pathlib.Path(line.strip()) for line in block.splitlines()[1:]]
        files = [BUILD / file if not file.is_absolute() else file for file in files]
        files = [file.resolve() for file in files]
        project_files = [file for file in files if ROOT in file.parents and BUILD not in file.parents]
        if project_files and project_files[0].suffix == ".cpp" and not re.search(r"_(test|bench|fuzz)$", project_files[0].stem):
            result[project_files[0]] = project_files
    return result


def cache_key(files):
    digest = hashlib.sha256((ROOT / ".clang-tidy").read_bytes() + " ".join(DEEP_CHECKS).encode())
    for file in sorted(set(files)):
        digest.update(str(file.relative_to(ROOT)).encode())
        digest.update(file.read_bytes())
    return digest.hexdigest()


def run_clang_tidy(source, files):
    stamp = CACHE / cache_key(files)
    if stamp.exists():
        return True
    run = subprocess.run(["clang-tidy", "--quiet", "-p", str(BUILD), *DEEP_CHECKS, str(source)], capture_output=True, text=True)
    if run.returncode == 0:
        stamp.touch()
    else:
        print(run.stdout, flush=True)
    return run.returncode == 0


def main():
    CACHE.mkdir(parents=True, exist_ok=True)
    sources = {source: files for source, files in project_dependencies().items() if source.exists()}
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        clean = list(pool.map(lambda item: run_clang_tidy(*item), sorted(sources.items())))
    print(f"clang-tidy: {clean.count(True)} sources clean, {clean.count(False)} not")
    return 0 if all(clean) else 1


if __name__ == "__main__":
    sys.exit(main())
