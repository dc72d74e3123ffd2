"""Failures of the fleet, alone and together: fleet_test.py FOLDER [SEED]

FOLDER holds the programs, built with LIMPET_FAULT_SWITCH. Prints a line for
each case and exits with 1 if anything happened that must not.
"""

import sys
import tempfile

from callers import Violations, check_records, run_callers
from fleet import DATA_CENTRES, PARTNERS, Fleet

CALLERS_PER_CASE = 24
TURNS = 4


def no_fault(fleet):
    return lambda: None


def kill_router(*names):
    def begin(fleet):
        for name in names:
            fleet.routers[name].kill()

        def end():
            for name in names:
                fleet.routers[name].start()
                fleet.routers[name].wait_for_revision(fleet.revision)
        return end
    return begin


def restart_router(name):
    def begin(fleet):
        code = fleet.routers[name].stop()
        assert code == 0, f"{name} ended with {code}"
        fleet.routers[name].start()
        return lambda: fleet.routers[name].wait_for_revision(fleet.revision)
    return begin


def kill_replica(*names):
    def begin(fleet):
        for name in names:
            fleet.replicas[name].kill()

        def end():
            for name in names:
                fleet.replicas[name].start()
                fleet.replicas[name].wait_for_event("control.start")
        return end
    return begin


def silence_replica(name):
    """A control VM that nobody hears and that hears nobody."""
    def begin(fleet):
        peers = [peer for peer in [*fleet.replicas, *fleet.routers]
                 if peer != name]
        for peer in peers:
            fleet.set_fault(name, peer, "silent")
        # A change is accepted all the same.
        fleet.put({"kind": "data_centre", "id": f"spare-{name}",
                   "region": "north"})
        fleet.wait_in_force()
        return lambda: [fleet.set_fault(name, peer, "none")
                        for peer in peers]
    return begin


def cut_data_centre(name, fault):
    """Routers and replicas of one data centre lose all others."""
    def begin(fleet):
        everyone = [*fleet.replicas, *fleet.routers]
        inside = [vm for vm in everyone if fleet.data_centre_of(vm) == name]
        pairs = [(vm, other) for vm in inside for other in everyone
                 if other not in inside]
        for first, second in pairs:
            fleet.set_fault(first, second, fault)
        return lambda: [fleet.set_fault(first, second, "none")
                        for first, second in pairs]
    return begin


def take_out(name):
    def begin(fleet):
        fleet.set_in_service(name, False)
        fleet.wait_in_force()
        # What was dispatched just before has reached its server when another
        # change has passed through all routers.
        fleet.put({"kind": "data_centre", "id": f"after-{name}",
                   "region": "north"})
        fleet.wait_in_force()
        before = fleet.runs_in(name)

        def end():
            if fleet.runs_in(name) != before:
                fleet.violations.add(f"{name} got new work while out")
            fleet.set_in_service(name, True)
            fleet.wait_in_force()
        return end
    return begin


def surge(partner):
    def begin(fleet):
        callers = run_callers(
            fleet, Violations(), 777, 10 * CALLERS_PER_CASE // 2, 1, partner)
        return lambda: [caller.join() for caller in callers]
    return begin


def both(first, second):
    def begin(fleet):
        ends = [first(fleet), second(fleet)]
        return lambda: [end() for end in reversed(ends)]
    return begin


CASES = [
    ("no fault", no_fault),
    ("a router is killed", kill_router("router-2")),
    ("a router is restarted", restart_router("router-3")),
    ("two routers are killed", kill_router("router-1", "router-6")),
    ("the only routers of a data centre are killed",
     kill_router("router-4", "router-8")),
    ("a control replica is killed", kill_replica("control-1")),
    ("two control replicas are killed",
     kill_replica("control-2", "control-3")),
    ("a control VM is silenced", silence_replica("control-1")),
    ("a data centre is cut off", cut_data_centre("north-2", "cut")),
    ("a data centre is silenced", cut_data_centre("north-3", "silent")),
    ("a data centre is taken out and back", take_out("north-4")),
    ("one partner surges tenfold", surge("utility")),
    ("a router and a control replica are killed",
     both(kill_router("router-5"), kill_replica("control-4"))),
    ("a data centre is taken out while a router is killed",
     both(take_out("north-1"), kill_router("router-7"))),
]


def run_case(fleet, name, fault, seed, violations):
    callers = run_callers(fleet, violations, seed, CALLERS_PER_CASE, TURNS)
    end = fault(fleet)
    for caller in callers:
        caller.join()
    end()
    fleet.wait_for_engines()
    check_records(fleet, callers, violations)
    answered = sum(caller.answered for caller in callers)
    refused = sum(caller.refused for caller in callers)
    print(f"case='{name}' answered={answered} refused={refused} "
          f"violations={len(violations.found)}", flush=True)


def main():
    binaries = sys.argv[1]
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    violations = Violations()
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(binaries, folder)
        fleet.violations = violations
        try:
            fleet.start()
            for number, (name, fault) in enumerate(CASES):
                run_case(fleet, name, fault, seed * 100 + number, violations)
            codes = fleet.stop()
            for name, code in codes.items():
                if code != 0:
                    violations.add(f"{name} ended with {code}")
        finally:
            fleet.kill_all()
    for text in violations.found:
        print("violation:", text)
    return 1 if violations.found else 0


if __name__ == "__main__":
    sys.exit(main())
