"""Runs one engine on one target in a process of its own: `python -m fuzz.child` with a JSON object
on standard input.

A finding is written to the target's work directory at once and the search goes on. A JSON line with
the status is printed every second."""

import json
import sys
import time
from pathlib import Path

from . import cases, registry

STATUS_INTERVAL_S = 1.0
EXAMPLES_PER_BATCH = 40  # between checks of the clock and of coverage
BATCHES_PER_MEASUREMENT = 4  # measuring coverage costs four fifths of the execution rate


class RunProgress:
    """The status of a run; findings with the same signature are kept once."""

    def __init__(self, target, directory: Path, engine, seed):
        self.target, self.directory, self.findings = target, directory, {}
        self.status = {
            "target": target.name,
            "engine": engine,
            "seed": seed,
            "executions": 0,
            "reached": 0,
            "new": 0,
        }
        self.started_at = self.reported_at = self.last_new_at = time.monotonic()

    def record_failure(self, data: bytes, error) -> bool:
        """Returns whether the signature of this failure is new in this run."""
        signature = cases.signature(error)
        smallest = self.findings.get(signature)
        if smallest is None or len(data) < len(smallest):
            self.findings[signature] = data
            (self.directory / "found").mkdir(parents=True, exist_ok=True)
            file_name = cases.input_name(signature.encode())
            (self.directory / "found" / f"{file_name}.json").write_text(
                json.dumps(
                    {
                        "signature": signature,
                        "said": str(error)[:600],
                        "input": data.hex(),
                        **self.status,
                    }
                )
            )
        return smallest is None

    def record_coverage(self, count):
        if count > self.status["reached"]:
            self.status["new"] += count - self.status["reached"] if self.status["reached"] else 0
            self.status["reached"], self.last_new_at = count, time.monotonic()

    def report(self, now=None):
        now = now or time.monotonic()
        self.reported_at = now
        print(
            json.dumps(
                {
                    **self.status,
                    "seconds": round(now - self.started_at, 1),
                    "findings": sorted(self.findings),
                    "quiet": round(now - self.last_new_at, 1),
                }
            ),
            flush=True,
        )


def run_atheris(progress, request):
    import atheris

    with atheris.instrument_imports(include=["havendyke"]):
        registry.load()
    target = progress.target = registry.target(request["target"])

    def run_input(data):
        data = data[: target.max_size]
        progress.status["executions"] += 1
        try:
            target.run(data)
        except Exception as error:
            progress.record_failure(data, error)
        now = time.monotonic()
        if now - progress.reported_at > STATUS_INTERVAL_S:
            progress.report(now)

    corpus = progress.directory / "inputs"
    dictionary_path = progress.directory / "words.txt"
    dictionary_path.write_text(
        "".join(
            f'"{"".join(f"{chr(92)}x{b:02x}" for b in token)}"\n' for token in target.dictionary
        )
    )
    # libFuzzer ends the process itself, so the last status line printed before is the result.
    atheris.Setup(
        [
            sys.argv[0],
            str(corpus),
            f"-max_total_time={request['seconds']}",
            f"-seed={request['seed']}",
            f"-max_len={target.max_size}",
            "-print_final_stats=0",
            f"-dict={dictionary_path}" if target.dictionary else "-verbosity=1",
            f"-artifact_prefix={progress.directory}/",
        ],
        run_input,
    )
    atheris.Fuzz()


def batch_test(run_input, inputs, seed):
    """A test that calls `run_input` with a batch of examples. The explicit seed takes precedence
    over a profile that derandomizes the draws, as CI runs have."""
    import hypothesis

    test = hypothesis.given(inputs)(run_input)
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


def run_hypothesis(progress, request):
    import coverage
    from hypothesis import strategies as st

    coverage_data = coverage.Coverage(
        branch=True, source_pkgs=["havendyke"], omit=["*/lab/*"], data_file=None
    )
    coverage_data.start()
    registry.load()
    target = progress.target = registry.target(request["target"])
    steps = st.lists(
        st.binary(min_size=target.step_size, max_size=target.step_size),
        min_size=1,
        max_size=(target.max_size - target.header_size) // target.step_size,
    )
    inputs = st.tuples(
        st.binary(min_size=target.header_size, max_size=target.header_size), steps
    ).map(lambda p: p[0] + b"".join(p[1]))
    drawn_inputs, last_failure, end, round_number = (
        [],
        [None, None],
        progress.started_at + request["seconds"],
        0,
    )

    def run_input(data):
        if time.monotonic() > end:
            return
        progress.status["executions"] += 1
        drawn_inputs.append(data)
        try:
            target.run(data)
        except Exception as error:
            if cases.signature(error) in progress.findings and last_failure[0] != cases.signature(
                error
            ):
                return  # already found in this run: search for other failures
            last_failure[:] = cases.signature(error), data
            progress.record_failure(data, error)
            raise

    def count_arcs():
        data = coverage_data.get_data()
        return sum(len(data.arcs(name) or ()) for name in data.measured_files())

    for seed in target.seeds():
        try:
            run_input(seed)
        except Exception:
            last_failure[0] = None
    progress.record_coverage(count_arcs())
    coverage_data.stop()
    while time.monotonic() < end:
        round_number += 1
        if measured := round_number % BATCHES_PER_MEASUREMENT == 0:
            coverage_data.start()
        drawn_inputs.clear()
        last_failure[:] = None, None
        test = batch_test(run_input, inputs, request["seed"] * 1_000_003 + round_number)
        try:
            test()
        except Exception as error:
            if last_failure[0] is None:
                raise
            print(f"found: {last_failure[0]}: {str(error)[:200]}", file=sys.stderr)
        if measured:
            coverage_data.stop()
            reached_before = progress.status["reached"]
            progress.record_coverage(count_arcs())
            if progress.status["reached"] > reached_before:
                for data in dict.fromkeys(drawn_inputs[-EXAMPLES_PER_BATCH:]):
                    cases.write_input(progress.directory / "fresh", data)
        progress.report()


def main():
    request = json.load(sys.stdin)
    directory = Path(request["folder"])
    directory.mkdir(parents=True, exist_ok=True)

    class UnloadedTarget:
        name = request["target"]

    progress = RunProgress(UnloadedTarget, directory, request["engine"], request["seed"])
    (run_atheris if request["engine"] == "atheris" else run_hypothesis)(progress, request)
    progress.report()


if __name__ == "__main__":
    main()
