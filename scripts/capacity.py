"""Works out the tables of docs/CAPACITY.md from docs/capacity_slopes.json.

Usage: scripts/capacity.py            prints the computed block
       scripts/capacity.py --check    fails if the page holds another
       scripts/capacity.py --write    puts the block into the page
"""

import json
import pathlib
import sys

DOCS = pathlib.Path(__file__).resolve().parents[1] / "docs"
PAGE = DOCS / "CAPACITY.md"
BEGIN, END = "<!-- computed: begin -->\n", "<!-- computed: end -->\n"

NODES, DATABASES, SLOTS, HOLDERS, ZONES = 1900, 3600, 3, 2, 5
STATEMENTS_PER_S = 1_800_000
CONNECTIONS = 5_400_000
CHANGES_PER_DAY = 1300
REPLACEMENTS_PER_DAY = 450 + 14
DAY = 86400
CORE_PERCENT, MEMORY_MB, CONTROL_BYTES = 2.9, 32, 9000
STORE_READS, STORE_WRITES = 2000, 300
FULL = "1900x3600"


def verdict(value, bound):
    return "fits" if value <= bound else f"does not fit, by {value / bound:.1f} times"


def lines(s):
    watched = DATABASES * SLOTS * HOLDERS / NODES
    held = watched
    probed = watched * SLOTS
    header = s["packet_header_bytes"]
    report = (s["heartbeat_bytes"]["2700"] - s["heartbeat_bytes"]["27"]) / (2700 - 27)
    beat = s["heartbeat_bytes"]["0"] + report * probed + 2 * header
    probe = s["probe_payload_bytes"] + 3 * header
    configuration = s["configuration_bytes"]["3600"]
    yield f"Each node watches {watched:.1f} databases and holds connections to " \
          f"{held:.1f} backend servers; it probes {probed:.0f}."
    yield f"A heartbeat with {probed:.0f} reports is {beat:.0f} bytes with headers " \
          f"({report:.1f} a report); a probe and its answer {probe:.0f}."
    yield ""
    yield "| line, per node | as built | bound | verdict | with the change below |"
    yield "| --- | --- | --- | --- | --- |"

    beats_now = s["heartbeats_per_s"][FULL] * beat
    neighbours = watched * (SLOTS * HOLDERS - 1)
    shared_beat = s["heartbeat_bytes"]["0"] + report * SLOTS + 2 * header
    beats_then = neighbours * shared_beat / 2.5
    yield f"| heartbeats sent, bytes/s | {beats_now:.0f} | {CONTROL_BYTES} | " \
          f"{verdict(beats_now, CONTROL_BYTES)} | {beats_then:.0f} (A) |"
    probes_now = probed * 4 * probe
    probes_then = held * probe * 0.4
    yield f"| probes while idle, bytes/s | {probes_now:.0f} | {CONTROL_BYTES} | " \
          f"{verdict(probes_now, CONTROL_BYTES)} | {probes_then:.0f} (B) |"
    config_now = configuration * CHANGES_PER_DAY / DAY
    config_then = configuration / DATABASES * CHANGES_PER_DAY / DAY + 10
    yield f"| configuration, bytes/s | {config_now:.0f} | {CONTROL_BYTES} | " \
          f"{verdict(config_now, CONTROL_BYTES)} | {config_then:.0f} (C) |"
    total_then = beats_then + probes_then + config_then
    yield f"| all control traffic, bytes/s | " \
          f"{beats_now + probes_now + config_now:.0f} | {CONTROL_BYTES} | " \
          f"{verdict(beats_now + probes_now + config_now, CONTROL_BYTES)} | " \
          f"{total_then:.0f}: {verdict(total_then, CONTROL_BYTES)} |"

    tick = s["control_tick_ns"][FULL] * 200 / 1e9 * 100
    place = s["place_everything_ms"][FULL] / 1000
    parse = s["configuration_parse_us"]["3600"] / 1e6
    changes = CHANGES_PER_DAY + 2 * REPLACEMENTS_PER_DAY
    placing = (changes * place + CHANGES_PER_DAY * parse) / DAY * 100
    yield f"| ticks, % of a core | {tick:.2f} | {CORE_PERCENT} | " \
          f"{verdict(tick, CORE_PERCENT)} | |"
    yield f"| placing and parsing after {changes} changes a day, % of a core | " \
          f"{placing:.2f} | {CORE_PERCENT} | {verdict(placing, CORE_PERCENT)} | |"
    per_node = STATEMENTS_PER_S / NODES
    statements = per_node * s["local_statement_ns"]["512"] / 1e9 * 100
    yield f"| decisions on {per_node:.0f} statements/s, % of a core (not control) | " \
          f"{statements:.2f} | - | - | |"
    memory = s["resident_kb_today"] / 1024 + configuration * 3 / 1e6 + 2.0
    yield f"| resident memory, MB, estimated | {memory:.1f} | {MEMORY_MB} | " \
          f"{verdict(memory, MEMORY_MB)} | |"
    yield f"| callers' connections | {CONNECTIONS / NODES:.0f} | 12000 (limit set) | " \
          f"{verdict(CONNECTIONS / NODES, 12000)} | |"

    yield ""
    yield "| line, for the store | as built | bound | verdict | with the change below |"
    yield "| --- | --- | --- | --- | --- |"
    lists = NODES * 1.0
    yield f"| reads of the list of instances /s | {lists:.0f} | {STORE_READS} | " \
          f"{verdict(lists, STORE_READS)}, alone | {2 * ZONES} (D) |"
    readers = 2 * ZONES / 0.75 + (NODES - 2 * ZONES) / 22.5
    yield f"| reads of the configuration /s | {readers:.0f} | {STORE_READS} | " \
          f"{verdict(readers, STORE_READS)} | {2 * ZONES / 0.75:.0f} (C) |"
    yield f"| bytes of those /s | {readers * configuration:.0f} | - | too much for a " \
          f"paid link | {2 * ZONES / 0.75 * 100:.0f} (C) |"
    yield f"| group records in a quiet hour | 0 | {STORE_READS} | fits | |"
    zone_lost = DATABASES / ZONES
    proposals = zone_lost * SLOTS * HOLDERS
    yield f"| writes when a zone is lost, all proposers | {proposals:.0f} in " \
          f"{proposals / STORE_WRITES:.0f} s | 17 s | " \
          f"{verdict(proposals / STORE_WRITES, 17)} | " \
          f"{zone_lost:.0f} in {zone_lost / STORE_WRITES:.1f} s (E) |"


def block():
    slopes = json.loads((DOCS / "capacity_slopes.json").read_text())
    return BEGIN + "\n".join(lines(slopes)) + "\n" + END


def main():
    text = PAGE.read_text()
    start, end = text.index(BEGIN), text.index(END) + len(END)
    if "--write" in sys.argv:
        PAGE.write_text(text[:start] + block() + text[end:])
    elif "--check" in sys.argv:
        if text[start:end] != block():
            sys.exit("docs/CAPACITY.md does not follow from docs/capacity_slopes.json;"
                     " run scripts/capacity.py --write")
        print("docs/CAPACITY.md follows from its slopes")
    else:
        print(block(), end="")


if __name__ == "__main__":
    main()
