"""Reads the records of the load driver and of stand-in upstreams. Their instants are nanoseconds of CLOCK_MONOTONIC,
which time.monotonic_ns() reads too."""

import collections

Request = collections.namedtuple("Request", "sent_at ended_at outcome code")
Run = collections.namedtuple("Run", "at slot fence incarnation")


def fields_of(path, kind):
    """Fields of the complete lines of one kind. A killed process leaves its last line unfinished."""
    try:
        text = path.read_text(errors="replace")
    except FileNotFoundError:
        return
    for line in text.split("\n")[:-1]:
        fields = line.split(" ")
        if fields[0] == kind:
            yield fields


def requests_of(path):
    return [Request(int(f[1]), int(f[2]), f[6], f[7]) for f in fields_of(path, "req")]


def runs_of(path):
    return [Run(int(f[1]), int(f[4]), int(f[5]), int(f[6])) for f in fields_of(path, "run")]


def latencies_ms(requests):
    return [(request.ended_at - request.sent_at) / 1e6 for request in requests if request.outcome == "answered"]


# Slots from here on are hot keys. They are left out: a key that is no longer hot goes back to its partition, and its own
# slot then never runs again.
FIRST_HOT_KEY_SLOT = 0x8000_0000


def owned_by(runs_by_name, name, at):
    """Partitions whose last run before an instant was on the named upstream."""
    last = {}
    for upstream, runs in runs_by_name.items():
        for run in runs:
            if run.slot < FIRST_HOT_KEY_SLOT and run.at < at and run.at > last.get(run.slot, (0, ""))[0]:
                last[run.slot] = (run.at, upstream)
    return {slot for slot, (_, upstream) in last.items() if upstream == name}


def busiest(runs_by_name, at):
    """The upstream that owned most slots at an instant."""
    return max(sorted(runs_by_name), key=lambda name: len(owned_by(runs_by_name, name, at)))


def takeover_ms(runs_by_name, victim, at, until):
    """Time from the fault until the first run of each of the victim's slots on another upstream.

    Returns a mapping from slot to milliseconds, None where the slot did not run elsewhere before until.
    """
    result = {slot: None for slot in owned_by(runs_by_name, victim, at)}
    for upstream, runs in runs_by_name.items():
        for run in runs:
            if upstream != victim and run.slot in result and at <= run.at < until:
                elapsed = (run.at - at) / 1e6
                result[run.slot] = elapsed if result[run.slot] is None else min(result[run.slot], elapsed)
    return result
