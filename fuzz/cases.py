"""Storage of inputs, signatures of failures, and tracing of the lines that an input reaches."""

import hashlib
import re
import sys
import traceback
from pathlib import Path

from .registry import CheckFailed, Target

PACKAGE_DIR = Path(__file__).parent
CORPUS_DIR, FINDINGS_DIR, WORK_DIR = (
    PACKAGE_DIR / "corpus",
    PACKAGE_DIR / "findings",
    PACKAGE_DIR / ".work",
)
MAX_INPUT_BYTES = 4096  # of a kept input


class InvalidInput(ValueError):
    """A file does not contain an input of a target; the message says why."""


def input_name(data: bytes) -> str:
    return hashlib.blake2b(data, digest_size=8).hexdigest()


def read_input(path: Path) -> bytes:
    """Reads an input from hexadecimal text with 64 digits on a line, so that a diff of it is
    readable."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidInput(
            f"{path}: cannot be read: {getattr(error, 'strerror', None) or 'not text'}"
        ) from None
    digits = "".join(text.split())
    if len(digits) > 2 * MAX_INPUT_BYTES:
        raise InvalidInput(f"{path}: over {MAX_INPUT_BYTES} bytes")
    if not re.fullmatch(r"([0-9a-f]{2})*", digits):
        raise InvalidInput(f"{path}: not hexadecimal")
    return bytes.fromhex(digits)


def write_input(directory: Path, data: bytes, prefix: str = "") -> Path:
    directory.mkdir(parents=True, exist_ok=True)
    path = directory / f"{prefix}{input_name(data)}.hex"
    digits = data.hex()
    path.write_text("".join(digits[k : k + 64] + "\n" for k in range(0, len(digits), 64)) or "\n")
    return path


def kept_inputs(target: Target) -> list:
    """(name, input) of all inputs that replay runs: the seeds, the corpus, and the inputs of
    earlier findings."""
    inputs = [(f"seed {k}", seed) for k, seed in enumerate(target.seeds())]
    for directory in (CORPUS_DIR, FINDINGS_DIR):
        inputs += [
            (str(p.relative_to(PACKAGE_DIR)), read_input(p))
            for p in sorted((directory / target.name).glob("*.hex"))
        ]
    return inputs


def signature(error: BaseException) -> str:
    """A text that groups failures by defect: the failing function, and the type of the exception or
    the first words of the check's message without numbers."""
    frames = traceback.extract_tb(error.__traceback__)
    if isinstance(error, CheckFailed):
        message = re.sub(r"[^a-z ]+", " ", str(error).lower().split(" instead of ")[0][:90])
        frame = next((f for f in reversed(frames) if f.name != "check"), None)
        return f"{frame.name if frame else '?'}: {' '.join(message.split()[:6])}"
    frame = next((f for f in reversed(frames) if "havendyke" in f.filename), frames[-1])
    return f"{type(error).__name__} in {Path(frame.filename).name}:{frame.name}"


def run_and_catch(target: Target, data: bytes):
    """Runs an input; returns the exception that it raises, or None."""
    try:
        target.run(data)
    except Exception as error:
        return error
    return None


class TransitionTrace:
    """Records the line transitions of an input in `havendyke`. Tracing is slow: it serves the
    choice of corpus inputs, not the search for new ones."""

    def __init__(self, path_part: str = "havendyke/"):
        self.path_part, self.transitions, self.module_paths = path_part, set(), {}

    def trace(self, frame, event, arg):
        file_name = frame.f_code.co_filename
        if file_name not in self.module_paths:
            start = file_name.rfind(self.path_part)
            self.module_paths[file_name] = (
                file_name[start:] if start >= 0 and "/lab/" not in file_name else None
            )
        module_path = self.module_paths[file_name]
        if module_path is None:
            return None
        previous_line = [-frame.f_code.co_firstlineno]
        transitions = self.transitions

        def trace_lines(frame, event, arg):
            if event == "line":
                transitions.add((module_path, previous_line[0], frame.f_lineno))
                previous_line[0] = frame.f_lineno
            return trace_lines

        return trace_lines

    def transitions_of(self, target: Target, data: bytes) -> frozenset:
        self.transitions = set()
        previous_trace = sys.gettrace()
        sys.settrace(self.trace)
        try:
            run_and_catch(target, data)
        finally:
            sys.settrace(previous_trace)
        return frozenset(self.transitions)
