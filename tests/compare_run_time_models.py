#!/usr/bin/env python3
"""Compares models of the speed of workers on the run-end lines of a recorded log.

usage: compare_run_time_models.py REPLAY LOG...
REPLAY is the program built from run_times_replay.cpp, which runs the model of components/run_times.

Each line `part=dispatch event=run-end task=JOB/OCC/STEP/INDEX run=N worker=W how=done percent=P ran_ms=T` is one run. The lines are read in
their order; the error of a model is the absolute natural logarithm of the time of a run over what the model expects. The time of the step
is taken as known, from all of its runs in the log, so that only the speeds of the workers are compared. Gangs are left out, since their
members end together: the lines do not name them, but the times of their members differ by less than a tenth.
"""
import collections
import math
import re
import statistics
import subprocess
import sys

LINE = re.compile(r"event=run-end task=(\S+)/\d+ run=(\d+) worker=(\S+) how=done percent=\d+ ran_ms=(\d+)")
MIN_RUNS_OF_STEP = 5
GANG_RANGE = 0.1


def median(values):
    return statistics.median(values) if values else None


def read(path):
    """Returns (step, worker, logarithm of the time) of each first run that was done; further runs may have resumed from a checkpoint."""
    runs = []
    with open(path, errors="replace") as log:
        for line in log:
            found = LINE.search(line)
            if found and found[2] == "1" and int(found[4]) > 0:
                runs.append((found[1], found[3], math.log(int(found[4]))))
    times = collections.defaultdict(list)
    for step, _, value in runs:
        times[step].append(value)
    gangs = {step for step, values in times.items() if len(values) > 1 and max(values) - min(values) < GANG_RANGE}
    return [run for run in runs if run[0] not in gangs]


class NoSpeeds:
    """All workers are alike."""

    def learn(self, step, worker, value):
        pass

    def factor(self, worker):
        return 0.0


class Averages(NoSpeeds):
    """Exponentially weighted mean of the ratios to the mean of the step's runs so far."""

    def __init__(self):
        self.steps = collections.defaultdict(list)
        self.factors = {}

    def learn(self, step, worker, value):
        others = self.steps[step]
        if others:
            ratio = value - statistics.fmean(others)
            self.factors[worker] = self.factors.get(worker, 0.0) * 0.7 + ratio * 0.3
        others.append(value)

    def factor(self, worker):
        return self.factors.get(worker, 0.0)


class Medians(NoSpeeds):
    """Median of the ratios to the median of the step's runs so far on other workers; earlier ratios are not corrected."""

    def __init__(self):
        self.steps = collections.defaultdict(list)
        self.ratios = collections.defaultdict(list)

    def learn(self, step, worker, value):
        others = [v for w, v in self.steps[step] if w != worker]
        if others:
            self.ratios[worker].append(value - median(others))
        self.steps[step].append((worker, value))

    def factor(self, worker):
        return median(self.ratios[worker][-16:]) or 0.0


class Adjusted(NoSpeeds):
    """Limited mean of the ratios to the median of the step's runs, each divided by the factor of its worker as known by then."""

    LIMIT, PRIOR, UNKNOWN, STEP = 0.3, 0.25, 0.25, 0.03

    def __init__(self):
        self.steps = collections.defaultdict(list)
        self.compared = {}
        self.runs = collections.defaultdict(dict)
        self.state = {}
        self.usual = 0.0
        self.updates = 0

    def compare(self, step, runs, index, worker):
        others = [(v, weight) for _, w, v, weight, _ in runs if w != worker]
        if not others:
            return
        weight = sum(w for _, w in others)
        raw = self.steps[step][index][1]
        self.runs[worker][(step, index)] = (raw - median([v for v, _ in others]), weight / (weight + 1))
        self.update(worker)

    def update(self, worker):
        values = sorted(list(self.runs[worker].values())[-16:])
        total = sum(w for _, w in values)
        middle, below = values[-1][0], 0.0
        for value, weight in values:
            below += weight
            if below > total / 2:
                middle = value
                break
        mean = middle + sum(w * max(-self.LIMIT, min(self.LIMIT, v - middle)) for v, w in values) / total
        self.state[worker] = (mean * total / (total + self.PRIOR), total / (total + 1))
        self.updates += 1
        if self.updates % 32 == 0:
            self.usual = sum(f * c for f, c in self.state.values()) / sum(c for _, c in self.state.values())

    def learn(self, step, worker, value):
        self.steps[step].append((worker, value))
        runs = []
        for index, (w, v) in enumerate(self.steps[step]):
            factor, confidence = self.factor(w), self.state.get(w, (0.0, 0.0))[1]
            runs.append((index, w, v - factor, self.UNKNOWN + (1 - self.UNKNOWN) * confidence, v))
        usual = median([r[2] for r in runs])
        known, count = self.compared.get(step, (0.0, 0))
        if 2 * len(runs) > 3 * count or abs(usual - known) > self.STEP:
            self.compared[step] = (usual, len(runs))
            for index, w, _, _, _ in runs:
                self.compare(step, runs, index, w)
        else:
            self.compare(step, runs, len(runs) - 1, worker)

    def factor(self, worker):
        factor, confidence = self.state.get(worker, (self.usual, 0.0))
        return factor - self.usual


class Groups(Adjusted):
    """The same, but a worker's factor is that of the nearest of three groups, found again after each 100 runs."""

    def __init__(self):
        super().__init__()
        self.centres = [0.0]
        self.count = 0

    def learn(self, step, worker, value):
        super().learn(step, worker, value)
        self.count += 1
        if self.count % 100 == 0:
            values = sorted(f for f, c in self.state.values() if c > 0.6)
            if len(values) >= 30:
                self.centres = [values[len(values) // 6], values[len(values) // 2], values[len(values) * 5 // 6]]
                for _ in range(10):
                    nearest = collections.defaultdict(list)
                    for value in values:
                        nearest[min(self.centres, key=lambda c: abs(c - value))].append(value)
                    self.centres = [median(members) for members in nearest.values()]

    def factor(self, worker):
        if worker not in self.state or len(self.centres) < 3:
            return super().factor(worker)
        return min(self.centres, key=lambda c: abs(c - self.state[worker][0])) - self.usual


class Replayed(NoSpeeds):
    """Factors that the module printed before each run."""

    def __init__(self, replay, runs):
        lines = "".join(f"{step} {worker} {round(math.exp(value))}\n" for step, worker, value in runs)
        result = subprocess.run([replay], input=lines, capture_output=True, text=True, check=True)
        self.factors = iter([float(line) for line in result.stdout.split()])
        self.next = next(self.factors)

    def learn(self, step, worker, value):
        self.next = next(self.factors, 0.0)

    def factor(self, worker):
        return self.next


def whole_log_factors(runs):
    """Factors from all runs of the log, by alternating medians; what the models can reach at most."""
    factors = collections.defaultdict(float)
    for _ in range(30):
        steps, workers = collections.defaultdict(list), collections.defaultdict(list)
        for step, worker, value in runs:
            steps[step].append(value - factors[worker])
        usual = {step: median(values) for step, values in steps.items()}
        for step, worker, value in runs:
            if len(steps[step]) >= MIN_RUNS_OF_STEP:
                workers[worker].append(value - usual[step])
        factors = collections.defaultdict(float, {w: median(v) for w, v in workers.items()})
    return factors, usual, {step: len(values) for step, values in steps.items()}


def main():
    replay = sys.argv[1]
    for path in sys.argv[2:]:
        runs = read(path)
        factors, usual, sizes = whole_log_factors(runs)
        print(f"{path}: {len(runs)} runs, {len(sizes)} steps, {len(factors)} workers")
        print("model       median error by runs seen of the worker (0, 1-2, 3-4, 5 and more), mean and median of all, mean factor error at 5+")
        for model in (NoSpeeds(), Averages(), Medians(), Adjusted(), Groups(), Replayed(replay, runs)):
            seen = collections.Counter()
            errors = collections.defaultdict(list)
            factor_errors = []
            for step, worker, value in runs:
                if sizes[step] >= MIN_RUNS_OF_STEP:
                    count = seen[worker]
                    expected = usual[step] + model.factor(worker)
                    errors[0 if count == 0 else 1 if count < 3 else 2 if count < 5 else 3].append(abs(value - expected))
                    if count >= 5:
                        factor_errors.append(abs(math.exp(model.factor(worker) - factors[worker]) - 1))
                model.learn(step, worker, value)
                seen[worker] += 1
            every = [e for group in errors.values() for e in group]
            by_count = "  ".join(f"{median(errors[group]):.3f}" for group in range(4))
            print(f"{type(model).__name__:10s}  {by_count}  {statistics.fmean(every):.3f} {median(every):.3f}  {statistics.fmean(factor_errors):.3f}")


if __name__ == "__main__":
    main()
