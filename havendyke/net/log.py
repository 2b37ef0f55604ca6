"""One JSON line an event, on standard error."""
import sys

import orjson


class Log:
    def __init__(self, clock, most: int = 20_000):
        self.clock, self.left, self.out = clock, most, sys.stderr.buffer

    def __call__(self, event: str, **more):
        # A trouble that repeats itself must not fill what holds the log.
        self.left -= 1
        if self.left >= 0:
            line = {"at": round(self.clock(), 1), "event": event, **more}
            try:
                self.out.write(orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))
                self.out.flush()
            except (OSError, ValueError):
                self.left = 0


def counted(counters: dict) -> bytes:
    return orjson.dumps({"event": "counters", **counters}, default=str,
                        option=orjson.OPT_APPEND_NEWLINE | orjson.OPT_SORT_KEYS)
