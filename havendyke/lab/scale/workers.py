"""Hollow assigners in a few worker processes, which tell each other once a second what they send to
each task."""

import multiprocessing
from collections import Counter

import psutil

from .fleet import Fleet
from .guard import MB, Guard
from .scenario import PHASES, Scenario
from .size import Size

PATIENCE = 0.5  # seconds between looks at the guard
EXACT = (
    1000.0  # loads are told in whole parts of this, so that their sum is the same in every order
)


class WorkerError(Exception):
    """A worker process ended early; one line."""


def distribute_assigners(size: Size, workers: int) -> list:
    """The numbers of the assigners that each worker runs, spread over all there are."""
    stride = max(1, size.assigners // size.hollow)
    return [[k * stride for k in range(worker, size.hollow, workers)] for worker in range(workers)]


def work(pipe, size: Size, seed: int, numbers: list, phases):
    """A worker's whole life."""

    def exchange(own: Counter) -> Counter:
        pipe.send({name: round(load * EXACT) for name, load in own.items()})
        return Counter({name: load / EXACT for name, load in pipe.recv().items()})

    memory = psutil.Process()
    before = memory.memory_info().rss
    scenario = Scenario(Fleet(size, seed), numbers, phases, exchange)
    measured = scenario.run()
    grown = (memory.memory_info().rss - before) / MB
    pipe.send(("done", measured, grown / max(1, len(numbers))))


class Workers:
    """Starts the processes, passes the loads round and gathers what was measured."""

    def __init__(self, size: Size, seed: int, count: int, guard: Guard, phases=PHASES):
        self.guard, self.processes, self.pipes = guard, [], []
        context = multiprocessing.get_context("spawn")
        for numbers in distribute_assigners(size, count):
            mine, its = context.Pipe()
            process = context.Process(
                target=work, args=(its, size, seed, numbers, phases), daemon=True
            )
            process.start()
            its.close()
            self.processes.append(process)
            self.pipes.append(mine)

    def gather(self) -> list:
        """What each worker measured, with the memory (MB) of each of its assigners."""
        try:
            while True:
                told = [self.receive(pipe) for pipe in self.pipes]
                if type(told[0]) is tuple:
                    return [(measured, grown) for _, measured, grown in told]
                total = Counter()
                for load in told:
                    total.update(load)
                for pipe in self.pipes:
                    pipe.send(total)
        finally:
            self.end()

    def receive(self, pipe):
        while not pipe.poll(PATIENCE):
            self.guard.check()
        self.guard.check()
        try:
            return pipe.recv()
        except EOFError:
            raise WorkerError("a worker process ended before the run did") from None

    def end(self):
        for process in self.processes:
            process.terminate()
            process.join()
