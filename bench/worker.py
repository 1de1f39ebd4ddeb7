"""Load generator process: reads one JSON line per run, writes one with samples."""

import json
import random
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager

from bench.openloop import Sender, draw_arrivals, run_arrivals

__all__ = ["Workers", "start_workers"]


class Workers:
    """Several load generator processes, so that none becomes the bottleneck.

    Parameters
    ----------
    count : int
        Number of processes.
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
        """Send load; return (method, path, status, seconds, reason) of each arrival."""
        share = rate / len(self.processes)

        def run_on_worker(number, process):
            parameters = [f"{seed}-{number}", share, seconds, addresses, requests]
            process.stdin.write(json.dumps(parameters) + "\n")
            process.stdin.flush()
            return json.loads(process.stdout.readline())

        jobs = [
            self._threads.submit(run_on_worker, number, process)
            for number, process in enumerate(self.processes)
        ]
        return [tuple(sample) for job in jobs for sample in job.result()]

    def close(self):
        """Stop the processes."""
        for process in self.processes:
            process.stdin.close()
            process.wait(5)
            process.stdout.close()
        self._threads.shutdown()


@contextmanager
def start_workers(count):
    """Start workers and stop them after the block."""
    workers = Workers(count)
    try:
        yield workers
    finally:
        workers.close()


def main():
    """Execute the run described by each line of standard input."""
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
