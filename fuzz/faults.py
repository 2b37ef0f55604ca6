"""Mutation tests of the targets: deliberate faults patched into a copy of the tree. A fault that is
not found shows a gap in the targets."""

import json
import os
import shutil
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from . import cases, registry

ROOT = cases.PACKAGE_DIR.parent


class InvalidFault(ValueError):
    """No fault has the given name, or its text does not occur exactly once in its file."""


@dataclass(frozen=True)
class Fault:
    name: str
    path: str
    old: str
    new: str
    target: str


FAULTS = (
    Fault(
        "ejection_outlasts_substitutes",
        "policy/ejection.py",
        "        if server.health == UNHEALTHY and self._last_resort.is_needed(server, now_ms):\n"
        "            return False\n",
        "",
        "outages",
    ),
    Fault(
        "no_last_resort_in_a_lost_zone",
        "policy/last_resort.py",
        "            or now_ms - server.started_ms >= self._warm_up_ms\n",
        "            or now_ms - max(server.started_ms, server.zone_lost_ms) >= self._warm_up_ms\n",
        "outages",
    ),
    Fault(
        "length_off_by_one",
        "net/resp.py",
        "start + size + 2 > self.buffer.end",
        "start + size + 1 > self.buffer.end",
        "resp",
    ),
    Fault(
        "nested_not_counted",
        "net/resp.py",
        "            self._parts_left += self._array_size(digits)\n",
        "            self._array_size(digits)\n",
        "resp",
    ),
    Fault(
        "searched_from_start",
        "net/json_lines.py",
        "            self._searched_bytes = size\n            return None",
        "            return None",
        "lines",
    ),
    Fault(
        "line_limit_doubled",
        "net/json_lines.py",
        "if size > self.max_line_bytes:",
        "if size > 2 * self.max_line_bytes:",
        "lines",
    ),
    Fault(
        "folding_as_field",
        "net/http.py",
        'if line[:1] in b" \\t":',
        'if line[:1] in b"\\t":',
        "http",
    ),
    Fault(
        "chunk_end_unchecked",
        "net/http.py",
        '                if line:\n                    raise FieldError("a chunk does',
        '                if False:\n                    raise FieldError("a chunk does',
        "http",
    ),
    Fault(
        "budget_not_returned",
        "net/buffer.py",
        "        self._budget.take(self._min_size - len(self.data))\n",
        "",
        "buffer",
    ),
    Fault(
        "buffer_moved_in_place",
        "net/buffer.py",
        "        data[:unread] = memoryview(self.data)[self.start : self.end]",
        "        data[:unread] = memoryview(self.data)[:unread]",
        "buffer",
    ),
    Fault(
        "failures_over_attempts",
        "net/wire_reports.py",
        'parse_count(fields, "bad", attempts)',
        'parse_count(fields, "bad", self._limits.max_report_requests)',
        "reports",
    ),
    Fault(
        "nan_accepted",
        "net/wire_fields.py",
        "    if not 0.0 <= number <= maximum:",
        "    if number < 0.0 or number > maximum:",
        "figures",
    ),
    Fault(
        "invalid_list_complete",
        "net/wire_endpoint_list.py",
        "                complete = False\n",
        "",
        "list",
    ),
    Fault(
        "start_time_changes",
        "net/wire_endpoint_list.py",
        "if known is None or known.unix_ms != unix_ms:",
        "if unix_ms:",
        "list",
    ),
    Fault(
        "report_disconnects_collector",
        "net/collectors.py",
        "        if self.zone is None:\n            self._reject()",
        "        if True:\n            self._reject()",
        "reports",
    ),
    Fault(
        "negative_taken_accepted",
        "net/wire_relay.py",
        "if not 0 <= taken <= order_count:",
        "if taken > order_count:",
        "relay_answers",
    ),
    Fault(
        "health_check_not_released",
        "net/health_checks.py",
        "        self.in_flight -= 1\n        self.event_loop.count(",
        '        self.in_flight -= outcome != "reset"\n        self.event_loop.count(',
        "probe",
    ),
    Fault(
        "late_entry_as_present",
        "net/relay_stream.py",
        "if entry.server_id in known or not is_present(",
        "if not is_present(",
        "turns",
    ),
    Fault(
        "gap_not_detected",
        "net/relay_watch.py",
        "            self._has_gap = True\n",
        "            pass\n",
        "turns",
    ),
    Fault(
        "unresolved_call_as_carried_out",
        "net/snapshots.py",
        "carried_out = bool(shown) and all_match",
        "carried_out = True",
        "calls",
    ),
    Fault(
        "retried_without_snapshot",
        "net/unresolved_call.py",
        "        if self._changes():",
        "        if False:",
        "calls",
    ),
    Fault(
        "grant_not_confirmed",
        "net/slice_assignments.py",
        "            if requested_ms is None or not snapshot:",
        "            if False:",
        "moves",
    ),
    Fault(
        "watch_not_renewed",
        "net/discovery.py",
        "        self._open_watches_after(0.0 if at_once else delay_ms)",
        '        reason == "silent" or self._open_watches_after(0.0 if at_once else delay_ms)',
        "lists",
    ),
    Fault(
        "unidentified_client_not_released",
        "net/collectors.py",
        "        if self in self._collectors.clients:\n",
        "        if self.zone and self in self._collectors.clients:\n",
        "callers",
    ),
    Fault(
        "deadline_order",
        "net/deadlines.py",
        "return (self.at_ms, self.serial) < (other.at_ms, other.serial)",
        "return self.at_ms < other.at_ms or self.at_ms == other.at_ms "
        "and self.serial > other.serial",
        "deadlines",
    ),
    Fault(
        "slot_released_twice",
        "net/slots.py",
        "        if self.items[number] is not None:\n            self.items[number] = None",
        "        if True:\n            self.items[number] = None",
        "slots",
    ),
    Fault(
        "reconcile_timer_lost",
        "net/assigner.py",
        "            timer_ids = [RECONCILE_TIMER_ID]\n",
        "            timer_ids = []\n",
        "events",
    ),
    Fault(
        "deduplication_scope_ignored",
        "interface/settings.py",
        "                self.deduplication_scope is DeduplicationScope.ALL\n                and",
        "                True\n                and",
        "days",
    ),
    Fault(
        "draining_ignored",
        "policy/server_capacity.py",
        "not (unlisted or server.is_ready)",
        'server.state == "gone"',
        "days",
    ),
    Fault(
        "warm_up_ignored",
        "state/server.py",
        "return min(1.0, initial_share + (1 - initial_share) * max(0.0, elapsed))",
        "return 1.0",
        "joint_days",
    ),
    Fault(
        "lease_ignored",
        "state/observed.py",
        "settle_disconnected(proxy, self.now_ms + self.settings.lease_ms)",
        "settle_disconnected(proxy, self.now_ms)",
        "joint_days",
    ),
    Fault(
        "set_order_decides",
        "policy/failover.py",
        "for slice_ in sorted(slices_to_move, key=lambda slice_: -demand_of(slice_)):",
        "for slice_ in sorted(set(slices_to_move), key=lambda slice_: hash(str(slice_.id))):",
        "same",
    ),
    Fault(
        "lower_bound_missing",
        "config/deployment.py",
        '"channel_rate_per_s": read_number(\n'
        '            family, "channelRate", UNLIMITED, MIN_CHANNEL_RATE_PER_S, MAX_TABLE_ENTRIES\n'
        "        )",
        '"channel_rate_per_s": read_field(family, "channelRate", (int, float), 1e9)',
        "settings",
    ),
)


def copy_with_fault(fault: Fault, directory: Path):
    """Copies `havendyke` and the fuzzing tools and patches this fault into the copy."""
    for name in ("havendyke", "fuzz"):
        shutil.copytree(
            ROOT / name,
            directory / name,
            ignore=shutil.ignore_patterns(".work", "__pycache__", "runs.jsonl"),
        )
    path = directory / "havendyke" / fault.path
    text = path.read_text()
    if text.count(fault.old) != 1:
        raise InvalidFault(
            f"fault '{fault.name}': its text occurs {text.count(fault.old)} times in "
            f"havendyke/{fault.path}"
        )
    path.write_text(text.replace(fault.old, fault.new))


def find_fault(fault: Fault, seconds: int, replay_only: bool) -> dict:
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        copy_with_fault(fault, directory)
        result = {"fault": fault.name, "target": fault.target, "found": False, "by": "replay"}

        def run_fuzz(*words):
            environ = dict(os.environ, PYTHONPATH=str(directory), PYTHONDONTWRITEBYTECODE="1")
            return subprocess.run(
                [sys.executable, "-m", "fuzz", *words],
                cwd=directory,
                env=environ,
                capture_output=True,
                text=True,
                timeout=seconds + 300,
            )

        process = run_fuzz("replay", fault.target)
        if process.returncode == 1:
            fields = process.stdout.splitlines()[0].split(": ", 2)
            result |= {"found": True, "signature": fields[-1][:90]}
        elif not replay_only:
            process = run_fuzz("run", fault.target, "--seconds", str(seconds))
            # A failure that occurs without the fault too doesn't count as finding it.
            for path in (directory / "fuzz" / ".work" / fault.target / "found").glob("*.json"):
                finding, target = json.loads(path.read_text()), registry.target(fault.target)
                if cases.run_and_catch(target, bytes.fromhex(finding["input"])) is None:
                    result |= {"found": True, "by": "search", "signature": finding["signature"]}
        if process.returncode not in (0, 1):
            raise InvalidFault(
                f"fault '{fault.name}': "
                f"{process.stderr.strip().splitlines()[-1:] or process.returncode}"
            )
    return result | {"seconds": time.monotonic() - started_at}


def run(names, seconds: int, jobs: int, replay_only: bool):
    faults_by_name = {fault.name: fault for fault in FAULTS}
    for name in names:
        if name not in faults_by_name:
            raise InvalidFault(
                f"no fault is named '{name[:60]}'; the faults are {', '.join(faults_by_name)}"
            )
    registry.load()
    with ThreadPoolExecutor(jobs) as pool:
        yield from pool.map(
            lambda fault: find_fault(fault, seconds, replay_only),
            [faults_by_name[n] for n in names] or FAULTS,
        )
