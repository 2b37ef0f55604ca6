"""One engine on one target in a process of its own: `python -m fuzz.child` with a JSON object on
standard input.

What it finds it writes to the target's work folder at once and goes on; each second it tells a line
of JSON."""

import json
import sys
import time
from pathlib import Path

from . import cases, registry

SAY = 1.0  # s between lines
EXAMPLES_PER_BATCH = 40  # examples of hypothesis between looks at the clock and at coverage
WATCHED = 4  # every so many batches one is watched, for watching costs four fifths of the pace


class Tally:
    """What a run has done so far; findings alike are told once."""

    def __init__(self, target, folder: Path, engine, seed):
        self.target, self.folder, self.found = target, folder, {}
        self.told = {
            "target": target.name,
            "engine": engine,
            "seed": seed,
            "executions": 0,
            "reached": 0,
            "new": 0,
        }
        self.began = self.said = self.new_at = time.monotonic()

    def failed(self, data: bytes, error) -> bool:
        """Whether this failure is new in this run."""
        sign = cases.signature(error)
        before = self.found.get(sign)
        if before is None or len(data) < len(before):
            self.found[sign] = data
            (self.folder / "found").mkdir(parents=True, exist_ok=True)
            mark = cases.input_name(sign.encode())
            (self.folder / "found" / f"{mark}.json").write_text(
                json.dumps(
                    {"signature": sign, "said": str(error)[:600], "input": data.hex(), **self.told}
                )
            )
        return before is None

    def reached(self, count):
        if count > self.told["reached"]:
            self.told["new"] += count - self.told["reached"] if self.told["reached"] else 0
            self.told["reached"], self.new_at = count, time.monotonic()

    def say(self, now=None):
        now = now or time.monotonic()
        self.said = now
        print(
            json.dumps(
                {
                    **self.told,
                    "seconds": round(now - self.began, 1),
                    "findings": sorted(self.found),
                    "quiet": round(now - self.new_at, 1),
                }
            ),
            flush=True,
        )


def by_atheris(tally, told):
    import atheris

    with atheris.instrument_imports(include=["havendyke"]):
        registry.load()
    target = tally.target = registry.target(told["target"])

    def one(data):
        data = data[: target.max_size]
        tally.told["executions"] += 1
        try:
            target.run(data)
        except Exception as error:
            tally.failed(data, error)
        now = time.monotonic()
        if now - tally.said > SAY:
            tally.say(now)

    corpus = tally.folder / "inputs"
    words = tally.folder / "words.txt"
    words.write_text(
        "".join(f'"{"".join(f"{chr(92)}x{b:02x}" for b in word)}"\n' for word in target.dictionary)
    )
    # libFuzzer ends the process itself; what was told last before counts.
    atheris.Setup(
        [
            sys.argv[0],
            str(corpus),
            f"-max_total_time={told['seconds']}",
            f"-seed={told['seed']}",
            f"-max_len={target.max_size}",
            "-print_final_stats=0",
            f"-dict={words}" if target.dictionary else "-verbosity=1",
            f"-artifact_prefix={tally.folder}/",
        ],
        one,
    )
    atheris.Fuzz()


def batch_test(one, programs, seed):
    """A test of `one` with a batch of examples. The seed goes before any profile that fixes the
    draws, as in a CI."""
    import hypothesis

    test = hypothesis.given(programs)(one)
    test = hypothesis.settings(
        max_examples=EXAMPLES_PER_BATCH,
        database=None,
        deadline=None,
        report_multiple_bugs=False,
        phases=(hypothesis.Phase.generate, hypothesis.Phase.shrink),
        suppress_health_check=list(hypothesis.HealthCheck),
        print_blob=False,
    )(test)
    return hypothesis.seed(seed)(test)


def by_hypothesis(tally, told):
    import coverage
    from hypothesis import strategies as st

    watch = coverage.Coverage(
        branch=True, source_pkgs=["havendyke"], omit=["*/lab/*"], data_file=None
    )
    watch.start()
    registry.load()
    target = tally.target = registry.target(told["target"])
    steps = st.lists(
        st.binary(min_size=target.step_size, max_size=target.step_size),
        min_size=1,
        max_size=(target.max_size - target.header_size) // target.step_size,
    )
    programs = st.tuples(
        st.binary(min_size=target.header_size, max_size=target.header_size), steps
    ).map(lambda p: p[0] + b"".join(p[1]))
    drawn, last, over, round_ = [], [None, None], tally.began + told["seconds"], 0

    def one(data):
        if time.monotonic() > over:
            return
        tally.told["executions"] += 1
        drawn.append(data)
        try:
            target.run(data)
        except Exception as error:
            if cases.signature(error) in tally.found and last[0] != cases.signature(error):
                return  # known in this run; the search goes on to others
            last[:] = cases.signature(error), data
            tally.failed(data, error)
            raise

    def arcs():
        data = watch.get_data()
        return sum(len(data.arcs(name) or ()) for name in data.measured_files())

    for seed in target.seeds():
        try:
            one(seed)
        except Exception:
            last[0] = None
    tally.reached(arcs())
    watch.stop()
    while time.monotonic() < over:
        round_ += 1
        if watched := round_ % WATCHED == 0:
            watch.start()
        drawn.clear()
        last[:] = None, None
        test = batch_test(one, programs, told["seed"] * 1_000_003 + round_)
        try:
            test()
        except Exception as error:
            if last[0] is None:
                raise
            print(f"found: {last[0]}: {str(error)[:200]}", file=sys.stderr)
        if watched:
            watch.stop()
            before = tally.told["reached"]
            tally.reached(arcs())
            if tally.told["reached"] > before:
                for data in dict.fromkeys(drawn[-EXAMPLES_PER_BATCH:]):
                    cases.write_input(tally.folder / "fresh", data)
        tally.say()


def main():
    told = json.load(sys.stdin)
    folder = Path(told["folder"])
    folder.mkdir(parents=True, exist_ok=True)

    class Named:
        name = told["target"]

    tally = Tally(Named, folder, told["engine"], told["seed"])
    (by_atheris if told["engine"] == "atheris" else by_hypothesis)(tally, told)
    tally.say()


if __name__ == "__main__":
    main()
