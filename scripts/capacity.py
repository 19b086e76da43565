"""Computes the tables of docs/CAPACITY.md from docs/capacity_slopes.json.

Usage: scripts/capacity.py            prints the computed block
       scripts/capacity.py --check    fails if the page has a different block
       scripts/capacity.py --write    writes the block into the page
"""

import json
import pathlib
import sys

DOCS = pathlib.Path(__file__).resolve().parents[1] / "docs"
PAGE = DOCS / "CAPACITY.md"
BEGIN, END = "<!-- computed: begin -->\n", "<!-- computed: end -->\n"

NODES, DATABASES, SLOTS, CONNECTION_HOLDERS, ZONES = 1900, 3600, 3, 2, 5
STATEMENTS_PER_S = 1_800_000
CALLER_CONNECTIONS = 5_400_000
CHANGES_PER_DAY = 1300
REPLACEMENTS_PER_DAY = 450 + 14
SECONDS_PER_DAY = 86400
# Limits per node: percent of a core, MB, and control traffic in bytes/s.
MAX_CORE, MAX_MEMORY, MAX_TRAFFIC = 2.9, 32, 9000
# Limits of the store, in operations per second.
MAX_READS, MAX_WRITES = 2000, 300
FULL_SIZE = "1900x3600"


def verdict(value, bound):
    """Returns whether the value is within its bound, as text for the table."""
    return "fits" if value <= bound else f"does not fit, by {value / bound:.1f} times"


def table_lines(slopes):
    """Yields the lines of the block."""
    watched = DATABASES * SLOTS * CONNECTION_HOLDERS / NODES
    held = watched
    probed = watched * SLOTS
    header = slopes["packet_header_bytes"]
    report = (slopes["heartbeat_bytes"]["2700"]
              - slopes["heartbeat_bytes"]["27"]) / (2700 - 27)
    beat = slopes["heartbeat_bytes"]["0"] + report * probed + 2 * header
    probe = slopes["probe_payload_bytes"] + 3 * header
    configuration = slopes["configuration_bytes"]["3600"]
    yield f"Each node watches {watched:.1f} databases and holds connections to " \
          f"{held:.1f} backend servers; it probes {probed:.0f}."
    yield f"A heartbeat with {probed:.0f} reports is {beat:.0f} bytes with headers " \
          f"({report:.1f} a report); a probe and its answer {probe:.0f}."
    yield ""
    yield "| line, per node | as built | bound | verdict | with the change below |"
    yield "| --- | --- | --- | --- | --- |"

    beats_built = slopes["heartbeats_per_s"][FULL_SIZE] * beat
    neighbours = watched * (SLOTS * CONNECTION_HOLDERS - 1)
    shared_beat = slopes["heartbeat_bytes"]["0"] + report * SLOTS + 2 * header
    new_beats = neighbours * shared_beat / 2.5
    yield f"| heartbeats sent, bytes/s | {beats_built:.0f} | {MAX_TRAFFIC} | " \
          f"{verdict(beats_built, MAX_TRAFFIC)} | {new_beats:.0f} (A) |"
    probes_built = probed * 4 * probe
    new_probes = held * probe * 0.4
    yield f"| probes while idle, bytes/s | {probes_built:.0f} | {MAX_TRAFFIC} | " \
          f"{verdict(probes_built, MAX_TRAFFIC)} | {new_probes:.0f} (B) |"
    config_built = configuration * CHANGES_PER_DAY / SECONDS_PER_DAY
    new_config = configuration / DATABASES * CHANGES_PER_DAY / SECONDS_PER_DAY + 10
    yield f"| configuration, bytes/s | {config_built:.0f} | {MAX_TRAFFIC} | " \
          f"{verdict(config_built, MAX_TRAFFIC)} | {new_config:.0f} (C) |"
    new_total = new_beats + new_probes + new_config
    yield f"| all control traffic, bytes/s | " \
          f"{beats_built + probes_built + config_built:.0f} | {MAX_TRAFFIC} | " \
          f"{verdict(beats_built + probes_built + config_built, MAX_TRAFFIC)} | " \
          f"{new_total:.0f}: {verdict(new_total, MAX_TRAFFIC)} |"

    tick_percent = slopes["control_tick_ns"][FULL_SIZE] * 200 / 1e9 * 100
    placement_s = slopes["place_everything_ms"][FULL_SIZE] / 1000
    parsing_s = slopes["configuration_parse_us"]["3600"] / 1e6
    changes = CHANGES_PER_DAY + 2 * REPLACEMENTS_PER_DAY
    placing = (changes * placement_s
               + CHANGES_PER_DAY * parsing_s) / SECONDS_PER_DAY * 100
    yield f"| ticks, % of a core | {tick_percent:.2f} | {MAX_CORE} | " \
          f"{verdict(tick_percent, MAX_CORE)} | |"
    yield f"| placing and parsing after {changes} changes a day, % of a core | " \
          f"{placing:.2f} | {MAX_CORE} | {verdict(placing, MAX_CORE)} | |"
    per_node = STATEMENTS_PER_S / NODES
    statement_percent = per_node * slopes["local_statement_ns"]["512"] / 1e9 * 100
    yield f"| decisions on {per_node:.0f} statements/s, % of a core (not control) | " \
          f"{statement_percent:.2f} | - | - | |"
    memory_mb = slopes["resident_kb_today"] / 1024 + configuration * 3 / 1e6 + 2.0
    yield f"| resident memory, MB, estimated | {memory_mb:.1f} | {MAX_MEMORY} | " \
          f"{verdict(memory_mb, MAX_MEMORY)} | |"
    yield f"| callers' connections | {CALLER_CONNECTIONS / NODES:.0f} | " \
          f"12000 (limit set) | {verdict(CALLER_CONNECTIONS / NODES, 12000)} | |"

    yield ""
    yield "| line, for the store | as built | bound | verdict | with the change below |"
    yield "| --- | --- | --- | --- | --- |"
    list_reads = NODES * 1.0
    yield f"| reads of the list of instances /s | {list_reads:.0f} | {MAX_READS} | " \
          f"{verdict(list_reads, MAX_READS)}, alone | {2 * ZONES} (D) |"
    config_reads = 2 * ZONES / 0.75 + (NODES - 2 * ZONES) / 22.5
    yield f"| reads of the configuration /s | {config_reads:.0f} | {MAX_READS} | " \
          f"{verdict(config_reads, MAX_READS)} | {2 * ZONES / 0.75:.0f} (C) |"
    yield f"| bytes of those /s | {config_reads * configuration:.0f} | - | " \
          f"too much for a paid link | {2 * ZONES / 0.75 * 100:.0f} (C) |"
    yield f"| group records in a quiet hour | 0 | {MAX_READS} | fits | |"
    zone_lost = DATABASES / ZONES
    proposals = zone_lost * SLOTS * CONNECTION_HOLDERS
    yield f"| writes when a zone is lost, all proposers | {proposals:.0f} in " \
          f"{proposals / MAX_WRITES:.0f} s | 17 s | " \
          f"{verdict(proposals / MAX_WRITES, 17)} | " \
          f"{zone_lost:.0f} in {zone_lost / MAX_WRITES:.1f} s (E) |"


def computed_block():
    slopes = json.loads((DOCS / "capacity_slopes.json").read_text())
    return BEGIN + "\n".join(table_lines(slopes)) + "\n" + END


def main():
    text = PAGE.read_text()
    start, end = text.index(BEGIN), text.index(END) + len(END)
    if "--write" in sys.argv:
        PAGE.write_text(text[:start] + computed_block() + text[end:])
    elif "--check" in sys.argv:
        if text[start:end] != computed_block():
            sys.exit("docs/CAPACITY.md does not follow from docs/capacity_slopes.json;"
                     " run scripts/capacity.py --write")
        print("docs/CAPACITY.md follows from its slopes")
    else:
        print(computed_block(), end="")


if __name__ == "__main__":
    main()
