"""Where inputs lie, what a failure is called, and which lines an input reaches."""

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
MAX_INPUT_BYTES = 4096  # bytes of a kept input


class InvalidInput(ValueError):
    """A file that holds no input of a target; the text says why."""


def input_name(data: bytes) -> str:
    return hashlib.blake2b(data, digest_size=8).hexdigest()


def read_input(path: Path) -> bytes:
    """An input from a file: hexadecimal text, 64 digits a line, so that a change of it can be
    read."""
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


def write_input(folder: Path, data: bytes, prefix: str = "") -> Path:
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{prefix}{input_name(data)}.hex"
    digits = data.hex()
    path.write_text("".join(digits[k : k + 64] + "\n" for k in range(0, len(digits), 64)) or "\n")
    return path


def kept_inputs(target: Target) -> list:
    """(name, input) of all that replay runs: seeds, the corpus, and inputs that once were
    findings."""
    made = [(f"seed {k}", seed) for k, seed in enumerate(target.seeds())]
    for folder in (CORPUS_DIR, FINDINGS_DIR):
        made += [
            (str(p.relative_to(PACKAGE_DIR)), read_input(p))
            for p in sorted((folder / target.name).glob("*.hex"))
        ]
    return made


def signature(error: BaseException) -> str:
    """The same for the same defect: kind of failure and, for a check, what it says without its
    figures."""
    frames = traceback.extract_tb(error.__traceback__)
    if isinstance(error, CheckFailed):
        said = re.sub(r"[^a-z ]+", " ", str(error).lower().split(" in place of ")[0][:90])
        frame = next((f for f in reversed(frames) if f.name != "check"), None)
        return f"{frame.name if frame else '?'}: {' '.join(said.split()[:6])}"
    frame = next((f for f in reversed(frames) if "havendyke" in f.filename), frames[-1])
    return f"{type(error).__name__} in {Path(frame.filename).name}:{frame.name}"


def run_and_catch(target: Target, data: bytes):
    """What an input does: None, or the error."""
    try:
        target.run(data)
    except Exception as error:
        return error
    return None


class TransitionTrace:
    """Which steps from line to line of the product an input takes. Slow, for choosing inputs, not
    for finding them."""

    def __init__(self, part: str = "havendyke/"):
        self.part, self.seen, self.known = part, set(), {}

    def trace(self, frame, event, arg):
        name = frame.f_code.co_filename
        if name not in self.known:
            at = name.rfind(self.part)
            self.known[name] = name[at:] if at >= 0 and "/lab/" not in name else None
        short = self.known[name]
        if short is None:
            return None
        before = [-frame.f_code.co_firstlineno]
        seen = self.seen

        def local(frame, event, arg):
            if event == "line":
                seen.add((short, before[0], frame.f_lineno))
                before[0] = frame.f_lineno
            return local

        return local

    def of(self, target: Target, data: bytes) -> frozenset:
        self.seen = set()
        before = sys.gettrace()
        sys.settrace(self.trace)
        try:
            run_and_catch(target, data)
        finally:
            sys.settrace(before)
        return frozenset(self.seen)
