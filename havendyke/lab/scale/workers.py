"""Runs hollow assigners in worker processes, which exchange the load of each task once a second."""

import multiprocessing
from collections import Counter

import psutil

from .fleet import Fleet
from .guard import MB, Guard
from .scenario import PHASES, Scenario
from .size import Size

POLL_INTERVAL_S = 0.5  # between checks of the limits
# Workers send loads as integers in these parts of a request per second, so that their sum does not
# depend on the order of addition.
LOAD_SCALE = 1000.0


class WorkerError(Exception):
    """A worker process ended early; the message is one line."""


def distribute_assigners(size: Size, workers: int) -> list:
    """The numbers of the assigners that each worker runs, spread evenly over all assigners."""
    stride = max(1, size.assigners // size.hollow)
    return [[k * stride for k in range(worker, size.hollow, workers)] for worker in range(workers)]


def run_worker(pipe, size: Size, seed: int, numbers: list, phases):
    """The main function of a worker process."""

    def exchange_load(own: Counter) -> Counter:
        pipe.send({name: round(load * LOAD_SCALE) for name, load in own.items()})
        return Counter({name: load / LOAD_SCALE for name, load in pipe.recv().items()})

    process = psutil.Process()
    rss_before = process.memory_info().rss
    scenario = Scenario(Fleet(size, seed), numbers, phases, exchange_load)
    measured = scenario.run()
    assigner_mb = (process.memory_info().rss - rss_before) / MB
    pipe.send(("done", measured, assigner_mb / max(1, len(numbers))))


class Workers:
    """Starts the worker processes, exchanges their loads and collects their measurements."""

    def __init__(self, size: Size, seed: int, count: int, guard: Guard, phases=PHASES):
        self.guard, self.processes, self.pipes = guard, [], []
        context = multiprocessing.get_context("spawn")
        for numbers in distribute_assigners(size, count):
            parent_end, child_end = context.Pipe()
            process = context.Process(
                target=run_worker, args=(child_end, size, seed, numbers, phases), daemon=True
            )
            process.start()
            child_end.close()
            self.processes.append(process)
            self.pipes.append(parent_end)

    def gather(self) -> list:
        """Returns (measurements by phase, MB of memory per assigner) for each worker.

        Raises `WorkerError` if a worker ends early, and `LimitExceededError`."""
        try:
            while True:
                messages = [self.receive(pipe) for pipe in self.pipes]
                if type(messages[0]) is tuple:
                    return [(measured, assigner_mb) for _, measured, assigner_mb in messages]
                total = Counter()
                for load in messages:
                    total.update(load)
                for pipe in self.pipes:
                    pipe.send(total)
        finally:
            self.stop()

    def receive(self, pipe):
        while not pipe.poll(POLL_INTERVAL_S):
            self.guard.check()
        self.guard.check()
        try:
            return pipe.recv()
        except EOFError:
            raise WorkerError("a worker process ended before the run did") from None

    def stop(self):
        for process in self.processes:
            process.terminate()
            process.join()
