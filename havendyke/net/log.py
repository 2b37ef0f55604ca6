"""One JSON line an event, on standard error."""
import os
import stat

import orjson


class Log:
    def __init__(self, clock, most: int = 20_000):
        self.clock, self.left, self.dropped = clock, most, 0
        # A reader of the log that stands still must not stop the loop. A line under the pipe's atomic size is
        # written whole or not at all.
        if stat.S_ISFIFO(os.fstat(2).st_mode):
            os.set_blocking(2, False)

    def __call__(self, event: str, **more):
        # A trouble that repeats itself must not fill what holds the log.
        self.left -= 1
        if self.left >= 0:
            line = {"at": round(self.clock(), 1), "event": event, **more}
            try:
                os.write(2, orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))
            except OSError:
                self.dropped += 1


def counted(counters: dict) -> bytes:
    return orjson.dumps({"event": "counters", **counters}, default=str,
                        option=orjson.OPT_APPEND_NEWLINE | orjson.OPT_SORT_KEYS)
