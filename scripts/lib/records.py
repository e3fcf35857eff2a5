"""Reads the records of the load driver and of stand-in upstreams. Their times are nanoseconds of CLOCK_MONOTONIC, as
returned by time.monotonic_ns()."""

import collections

Request = collections.namedtuple("Request", "sent_at ended_at outcome code")
Run = collections.namedtuple("Run", "at slot fence incarnation")


def read_fields(path, kind):
    """Yields the fields of each line of one kind. Skips the last line if incomplete, as a killed process leaves it."""
    try:
        text = path.read_text(errors="replace")
    except FileNotFoundError:
        return
    for line in text.split("\n")[:-1]:
        fields = line.split(" ")
        if fields[0] == kind:
            yield fields


def read_requests(path):
    return [Request(int(f[1]), int(f[2]), f[6], f[7]) for f in read_fields(path, "req")]


def read_runs(path):
    return [Run(int(f[1]), int(f[4]), int(f[5]), int(f[6])) for f in read_fields(path, "run")]


def latencies_ms(requests):
    return [(request.ended_at - request.sent_at) / 1e6 for request in requests if request.outcome == "answered"]


# Slots from here on belong to hot keys. Takeover times exclude them: a key that is no longer hot is merged into its
# partition, and its slot never runs again.
FIRST_HOT_KEY_SLOT = 0x8000_0000


def owned_partitions(runs_by_name, name, at):
    """Returns the partitions whose last run before a time was on the named upstream."""
    last = {}
    for upstream, runs in runs_by_name.items():
        for run in runs:
            if run.slot < FIRST_HOT_KEY_SLOT and run.at < at and run.at > last.get(run.slot, (0, ""))[0]:
                last[run.slot] = (run.at, upstream)
    return {slot for slot, (_, upstream) in last.items() if upstream == name}


def largest_owner(runs_by_name, at):
    """Returns the upstream that owned the most partitions at a time."""
    return max(sorted(runs_by_name), key=lambda name: len(owned_partitions(runs_by_name, name, at)))


def takeover_ms(runs_by_name, victim, at, until):
    """Measures the time from a fault until the first run of each of the victim's slots on another upstream.

    Returns a mapping from slot to milliseconds, None if the slot did not run elsewhere before until.
    """
    result = {slot: None for slot in owned_partitions(runs_by_name, victim, at)}
    for upstream, runs in runs_by_name.items():
        for run in runs:
            if upstream != victim and run.slot in result and at <= run.at < until:
                elapsed = (run.at - at) / 1e6
                result[run.slot] = elapsed if result[run.slot] is None else min(result[run.slot], elapsed)
    return result
