"""Processes that tests start."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time

from tests.processes import ROOT

PARENT = """
import sys, time
from tests.processes import start_python
child = start_python(["-c", "import time; time.sleep(60)"], sys.stderr)
print(child.pid, flush=True)
time.sleep(60)
"""


# Daemons of a run that was killed went on to hold their addresses.
def test_process_ends_with_the_tests_that_started_it():
    parent = subprocess.Popen(
        [sys.executable, "-c", PARENT], cwd=ROOT, stdout=subprocess.PIPE
    )
    child = int(parent.stdout.readline())
    parent.send_signal(signal.SIGKILL)
    parent.wait()
    parent.stdout.close()
    deadline = time.monotonic() + 10.0
    while _runs(child) and time.monotonic() < deadline:
        time.sleep(0.05)

    assert not _runs(child)


def _runs(process: int) -> bool:
    try:
        os.kill(process, 0)
    except ProcessLookupError:
        return False
    status = (ROOT / "/proc" / str(process) / "stat").read_text()
    return status.rpartition(")")[2].split()[0] != "Z"
