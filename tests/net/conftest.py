import signal

import pytest
from loopback_peers import Deployment


@pytest.fixture
def deployment(tmp_path):
    def on_alarm(signum, frame):
        raise TimeoutError("the test did not end within 30 s")

    instance, previous = Deployment(tmp_path), signal.signal(signal.SIGALRM, on_alarm)
    signal.alarm(30)
    try:
        yield instance
    finally:
        signal.alarm(0)
        signal.signal(signal.SIGALRM, previous)
        instance.close()
