#!/usr/bin/env python3
"""Writes day files for the users' bench: each kind of disturbance alone, and each pair of kinds.

Usage: make_days.py DIRECTORY

Writes alone-NNN.toml (five kinds, one after the other) and pair-NNN.toml (five pairs; the second of
a pair begins while the first is active). The output is the same on each run.
"""

import itertools
import pathlib
import random
import sys

# Start of the first slot of a day, the distance between slots, and the number of slots. A slot
# holds one disturbance or one pair.
FIRST_START_S = 1.0
SLOT_INTERVAL_S = 6.5
SLOTS_PER_DAY = 5
# Time between the starts of the two disturbances of a pair.
PAIR_OFFSET_S = 1.2
SEED = 20261204

PLANNED = {
    "roll": 'kind = "roll_term", share = 0.5, gap_s = 1.0',
    "roll-busy": 'kind = "roll_term", how = "busy", share = 0.5, gap_s = 1.0',
    "release": 'kind = "release", share = 0.5, gap_s = 0.6',
    "scale-in": 'kind = "scale_in", share = 0.15',
    "scale-out": 'kind = "scale_out", share = 0.3, gap_s = 1.0',
    "hup": 'kind = "hup", share = 0.3, gap_s = 1.0',
    "config": 'kind = "config_change", how = "route"',
    "storm": 'kind = "config_storm", for_s = 4.0, gap_s = 0.33',
    "big-config": 'kind = "big_config", count = 300',
    "reshard": 'kind = "reshard", x = 3.0',
}

FAULTS = {
    "give-up": 'kind = "give_up", share = 0.3, for_s = 5.0',
    "crash": 'kind = "srv_crash", how = "dark across", share = 0.15, for_s = 5.0',
    "crash-shard": 'kind = "srv_crash", how = "all", share = 0.3, for_s = 4.0',
    "slow": 'kind = "srv_slow", how = "across", share = 0.15, x = 7.0, for_s = 5.0',
    "grey": 'kind = "srv_grey", how = "errors", share = 0.15, x = 0.4, for_s = 5.0',
    "grey-hang": 'kind = "srv_grey", how = "hang", share = 0.15, x = 0.4, for_s = 5.0',
    "grey-shed": 'kind = "srv_grey", how = "shed", share = 0.15, x = 0.5, for_s = 5.0',
    "reuse": 'kind = "replace_with_reuse", how = "dark across", share = 0.15',
    "answer-lost": 'kind = "answer_lost", how = "reset", share = 0.5, x = 0.1, for_s = 5.0',
    "garble": 'kind = "garble", how = "extra late", share = 0.5, x = 0.05, for_s = 5.0',
    "garble-open": 'kind = "garble", how = "unframed", share = 0.5, x = 0.05, for_s = 5.0',
    "kill": 'kind = "node_kill", share = 0.2, for_s = 3.0',
    "freeze": 'kind = "node_freeze", share = 0.2, for_s = 3.0',
    "host-slow": 'kind = "node_slow", share = 0.2, x = 5.0, for_s = 5.0',
    "herd": 'kind = "herd_kill", share = 0.6, for_s = 2.0',
    "herd-power": 'kind = "herd_kill", on = "core", how = "off", for_s = 2.0',
    "ack-kill": 'kind = "after_ack_kill", how = "kill", for_s = 3.0',
    "clock": 'kind = "clock_step", share = 0.3, x = 2500.0, for_s = 5.0',
    "reset": 'kind = "reset_conns", share = 0.4, x = 0.6',
    "cut-store": 'kind = "core_cut", count = 1, for_s = 5.0',
    "cut-host": 'kind = "node_cut", share = 0.2, for_s = 5.0',
    "store-down": 'kind = "platform_down", how = "reset", for_s = 5.0',
    "store-some": 'kind = "platform_down", how = "nodes busy revoke meet", share = 0.35, for_s = 6.0',
    "store-slow": 'kind = "platform_slow", x = 60.0, for_s = 5.0',
    "store-lost": 'kind = "platform_lost", x = 0.4, for_s = 5.0',
    "store-compact": 'kind = "platform_compact", how = "drain", x = 5.0, for_s = 6.0',
    "burst": 'kind = "burst", x = 2.0, for_s = 4.0',
    "abuse": 'kind = "retry_abuse", share = 0.4, x = 2, for_s = 5.0',
}


def format_day(name, seed, entries):
    """Returns the TOML text of a day; `entries` holds pairs of a kind and its start in seconds."""
    lines = ["[[day]]", f'name = "{name}"', f"seed = {seed}"]
    for section, table in (("plan", PLANNED), ("faults", FAULTS)):
        lines.append(f"{section} = [")
        lines += [f"  {{ at = {at:.1f}, {table[kind]} }}," for kind, at in entries if kind in table]
        lines.append("]")
    return "\n".join(lines) + "\n"


def chunks(items):
    """Splits a list into lists of at most SLOTS_PER_DAY items."""
    return [items[i : i + SLOTS_PER_DAY] for i in range(0, len(items), SLOTS_PER_DAY)]


def main():
    """Writes all day files."""
    out = pathlib.Path(sys.argv[1])
    out.mkdir(parents=True, exist_ok=True)
    rng = random.Random(SEED)
    kinds = list(PLANNED) + list(FAULTS)
    rng.shuffle(kinds)
    pairs = [rng.sample(it, 2) for it in itertools.combinations(kinds, 2)]
    rng.shuffle(pairs)
    plans = {"alone": [[it] for it in kinds], "pair": pairs}
    for prefix, groups in plans.items():
        for n, group in enumerate(chunks(groups), 1):
            entries = [
                (kind, FIRST_START_S + slot * SLOT_INTERVAL_S + i * PAIR_OFFSET_S)
                for slot, members in enumerate(group)
                for i, kind in enumerate(members)
            ]
            name = f"{prefix}-{n:03}"
            (out / f"{name}.toml").write_text(format_day(name, rng.randrange(1, 2**31), entries))


main()
