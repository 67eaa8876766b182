"""Runs long random tests of two competing lease holders from the command line.

``python -m marigoldswitch.tests.order_runs 1000`` plays 1000 runs with engines that
reject old fencing numbers and 1000 with engines that ignore them, in virtual time.
"""

import sys
from statistics import median

from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test

from marigoldswitch.logs import configure_logs
from marigoldswitch.tests.test_placement import TwoHolders, TwoHoldersIgnored


def play(machine, runs):
    """Play runs of a state machine; print how long recovery took in virtual time."""
    healed, cut_off, fencing = [], [], []

    class Counted(machine):
        def teardown(self):
            super().teardown()
            if hasattr(self, "platform"):
                healed.append(self.healed)
                numbers = [item.fencing for item in self.engines.values()]
                fencing.append(max(numbers))
                cut_off.append(sum(item.cut_off for item in self.engines.values()))

    limits = settings(
        max_examples=runs,
        stateful_step_count=60,
        deadline=None,
        derandomize=False,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(Counted, settings=limits)
    print(
        f"{machine.__name__}: {len(healed)} runs; all as wanted after a median of "
        f"{median(healed):.0f} s, at most {max(healed):.0f} s of virtual time; "
        f"requests cut off: {sum(cut_off)}; runs with orders of two or more holders: "
        f"{sum(number > 1 for number in fencing)}"
    )


if __name__ == "__main__":
    configure_logs("error")
    for kind in (TwoHolders, TwoHoldersIgnored):
        play(kind, int(sys.argv[1]) if len(sys.argv) > 1 else 1000)
