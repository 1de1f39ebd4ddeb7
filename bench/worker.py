"""A process that sends load: one JSON line in for a run, one out with samples."""

import json
import random
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager

from bench.openloop import Sender, draw_arrivals, run_arrivals

__all__ = ["Workers", "start_workers"]


class Workers:
    """Several sending processes, so that none of them becomes the limit.

    Parameters
    ----------
    count : int
        How many.
    """

    def __init__(self, count):
        self.processes = [
            subprocess.Popen(
                [sys.executable, "-W", "ignore", "-m", "bench.worker"],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            for _ in range(count)
        ]
        self._threads = ThreadPoolExecutor(count)

    def run(self, seed, rate, seconds, addresses, requests):
        """Return (method, path, status, seconds, reason) of all arrivals."""
        share = rate / len(self.processes)

        def ask(number, process):
            order = [f"{seed}-{number}", share, seconds, addresses, requests]
            process.stdin.write(json.dumps(order) + "\n")
            process.stdin.flush()
            return json.loads(process.stdout.readline())

        jobs = [
            self._threads.submit(ask, number, process)
            for number, process in enumerate(self.processes)
        ]
        return [tuple(sample) for job in jobs for sample in job.result()]

    def close(self):
        """End the processes."""
        for process in self.processes:
            process.stdin.close()
            process.wait(5)
            process.stdout.close()
        self._threads.shutdown()


@contextmanager
def start_workers(count):
    """Start workers and end them after the block."""
    workers = Workers(count)
    try:
        yield workers
    finally:
        workers.close()


def main():
    """Run what each line of the standard input asks for."""
    sender = Sender()
    for line in sys.stdin:
        seed, rate, seconds, addresses, requests = json.loads(line)
        rng = random.Random(seed)
        arrivals = draw_arrivals(rng, rate, seconds, addresses, requests)
        samples = run_arrivals(arrivals, sender)
        rows = [
            (s.arrival.method, s.arrival.path, s.status, s.seconds, s.reason)
            for s in samples
        ]
        print(json.dumps(rows), flush=True)


if __name__ == "__main__":
    main()
