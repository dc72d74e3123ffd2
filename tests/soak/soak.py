"""Runs the real programs while faults that a seed draws overlap.

    soak.py BINARIES [--seed N] [--seeds N] [--seconds S] [--net N]
    soak.py BINARIES --regressions

Prints what broke, with the log lines of the request concerned, and exits
with 1 if anything did.
"""

import argparse
import asyncio
import collections
import os
import random
import shutil
import sys
import tempfile

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [HERE, os.path.join(HERE, "..", "..", "platform", "test")]

import faults  # noqa: E402
from world import World  # noqa: E402

SIZES = {"replicas": 4, "routers": 4, "servers": 8, "callers": 24}
REGRESSIONS = os.path.join(HERE, "regressions.txt")


async def play(world, seconds):
    try:
        await play_faults(world, seconds)
    finally:
        await world.abandon()


async def play_faults(world, seconds):
    """Faults come one after the other and overlap, about three at a time."""
    await world.start()
    world.record.note("traffic starts")
    running = set()
    end = world.record.now() + seconds
    while world.record.now() < end:
        harm = world.random.choice(faults.ALL)
        running.add(asyncio.create_task(harm(world)))
        await asyncio.sleep(world.random.uniform(0.1, 1.2))
    for each in running:
        await each
    world.record.note("faults end")
    await world.finish()


def log_lines(folder, request):
    for name in sorted(os.listdir(folder)):
        if request and name.endswith(".log"):
            with open(os.path.join(folder, name), encoding="utf-8",
                      errors="replace") as file:
                for line in file:
                    if request in line:
                        yield f"    {name[:-4]}: {line.rstrip()}"


def report(seed, world, folder, is_verbose):
    record = world.record
    served = sum(record.served.values())
    print(f"seed {seed}: {len(record.sent)} requests, {served} served, "
          f"resumed: {dict(collections.Counter(record.resumed))}, "
          f"{len(record.broken)} promises broken", flush=True)
    if record.broken or is_verbose:
        for line in record.events:
            print("  " + line)
    for line, request in record.broken[:10]:
        print(f"  BROKEN {line} {request}")
        for each in log_lines(folder, request):
            print(each)


def run_seed(options, seed):
    """Returns whether every promise was kept."""
    folder = tempfile.mkdtemp(prefix="soak-")
    world = World(os.path.abspath(options.binaries), folder, options.net,
                  seed, SIZES)
    asyncio.run(play(world, options.seconds))
    report(seed, world, folder, options.verbose)
    if not world.record.broken:
        shutil.rmtree(folder)
    else:
        print(f"  logs: {folder}")
    return not world.record.broken


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("binaries")
    parser.add_argument("--seed", type=int)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--net", type=int, default=60)
    parser.add_argument("--regressions", action="store_true")
    parser.add_argument("--verbose", action="store_true")
    options = parser.parse_args()
    if options.regressions:
        with open(REGRESSIONS, encoding="utf-8") as file:
            seeds = [int(line.split()[0]) for line in file
                     if line.strip() and not line.startswith("#")]
    else:
        first = options.seed if options.seed is not None else \
            random.SystemRandom().randrange(1 << 20)
        seeds = range(first, first + options.seeds)
    kept = [run_seed(options, seed) for seed in seeds]
    print(f"{sum(kept)} passed, {len(kept) - sum(kept)} failed")
    return 0 if all(kept) else 1


if __name__ == "__main__":
    sys.exit(main())
