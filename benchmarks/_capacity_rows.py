"""The rows of `docs/CAPACITY.md`: the source of each figure, its budget, and the mechanism behind it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from benchmarks._capacity_sources import (
    Axis,
    Figure,
    NotMeasured,
    Quotient,
    Source,
    Sum,
    Value,
    WorkedOut,
)
from benchmarks._capacity_target import (
    CHANGES_PER_DAY,
    DAY_S,
    GATEWAYS,
    ONE_CORE_PCT,
    PURGES_PER_S,
    REGIONS,
    REQUESTS_PER_S,
    STORES,
    ZONES,
)

SCALE, VIRTUAL, CAPACITY = "scale.json", "scale-virtual.json", "capacity.json"
# Results of the build in which nodes that do not vote still polled the voting members every 240 ms.
VIRTUAL_BEFORE = "scale-virtual-before.json"

# Budgets of a gateway, given by the requirements; the units are in the names.
CORE_PCT, MEMORY_MB, KB_PER_S = 2.2, 32.0, 23.0
PURGE_MS, CONFIG_MS, CONFIG_S = 3_100.0, 6_000.0, 6.0
MACHINES = 15.0
# Goals of the current development, stricter than the budgets above; the units are in the names.
AIM_PCT, AIM_KB_PER_S, AIM_MACHINES = 0.8, 12.0, 10.0
AIM_BACKLOG_S, AIM_TURN_MS, AIM_OVER_IDLE_MB = 10.0, 100.0, 16.0
AIM_HOLLOW = 1.15

CHANGES_PER_MINUTE = CHANGES_PER_DAY / (DAY_S / 60)
REGION_GATEWAYS, ZONE_GATEWAYS = round(GATEWAYS / REGIONS), round(GATEWAYS / ZONES)
HOUR_PURGES = 540_000
REQUESTS_A_GATEWAY = REQUESTS_PER_S / GATEWAYS
PCT_OF_MS_S = 0.1  # percent of a core for each ms of processor time a second
PCT_OF_REQUEST_US = REQUESTS_A_GATEWAY / 1e4  # percent of a core for each us of processor time a request
MB_OF_KB = 1e-3
TICKS_PER_S, SCANS_PER_S = 50.0, 10.0  # rollout ticks (every 20 ms), store scans (every 100 ms)

RELAYS = "relays: one poll upstream for many, one encoding"
PACING = "paced polls"
DISTRIBUTION = "distribution of configuration"
CANDIDATES = "candidates of a request kept by zone and object, not all parents looked at for each"
NO_POLLS = "no polls of voting members by those who never vote"
SPREAD = "changes of the agreement carried by relays, not by beats"
RELEASE_ORDER = "the fleet's order in a release worked out once for each release"
COMPACTION = "compaction of an hour's purges: the newest of a key, and none that has settled"
SEVERAL = "several processes of one gateway"
RING_REUSE = "a ring that keeps the points of stores that stayed"


@dataclass(frozen=True)
class Row:
    """One row of a table of `docs/CAPACITY.md`.

    `times` converts the source's unit to the row's unit. `mechanism` names what determines the figure, and
    `following` the mechanism that would improve it next. With `bound` the row is a worst case that does not
    occur in the target.
    """

    what: str
    unit: str
    source: Source
    budget: float | None
    mechanism: str
    following: str = ""
    times: float = 1.0
    bound: bool = False

    def figure(self, results: Mapping[str, Any]) -> Figure | None:
        """Returns the row's figure in the row's unit, or None if no committed result has it."""
        found = self.source.figure(results)
        return None if found is None else found.times(self.times)


def _virtual(name: str) -> WorkedOut:
    return WorkedOut(VIRTUAL, f"agreement_{name}")


def _virtual_before(name: str) -> WorkedOut:
    return WorkedOut(VIRTUAL_BEFORE, f"agreement_{name}")


def _capacity_slope(name: str) -> WorkedOut:
    return WorkedOut(CAPACITY, name)


def _arithmetic(number: str) -> Value:
    return Value(CAPACITY, f"arithmetic.{number}")


# Processor cost of hollow gateways that share a process, over that of real ones; shared ones cost less,
# because they find warm processor caches.
SHARED = Value(SCALE, "hollow_shared_over_real")

GATEWAY = (
    Row(
        "processor time for discovery and purges, a real gateway less its idle twin, 70 stores",
        "% of a core",
        Value(SCALE, "cpu_pct_gateway"),
        CORE_PCT,
        PACING,
        PACING,
    ),
    Row(
        "processor time for discovery and purges, against the aim of the work under way",
        "% of a core",
        Value(SCALE, "cpu_pct_gateway"),
        AIM_PCT,
        PACING,
        PACING,
    ),
    Row(
        "processor time for discovery and purges with the watch and timers of an idle gateway",
        "% of a core",
        Value(SCALE, "parts.cost.real_whole_pct.median"),
        CORE_PCT,
        PACING,
        PACING,
    ),
    Row(
        "a hollow gateway's processor time over a real one's, each in a process of its own",
        "ratio",
        Value(SCALE, "hollow_over_real"),
        AIM_HOLLOW,
        "the same classes in both",
        "a closer stand-in of a gateway's turn",
    ),
    Row(
        "the same of hollow gateways that share a process, by which axes of the fleet are corrected",
        "ratio",
        SHARED,
        None,
        "the same classes, with warm caches",
    ),
    Row(
        "processor time over purges a second, at 150",
        "% of a core",
        Quotient(Axis("purges", "gateway_pct", PURGES_PER_S), SHARED),
        CORE_PCT,
        PACING,
        PACING,
    ),
    Row(
        "processor time over gateways, at 7,500 and 10 purges a second",
        "% of a core",
        Quotient(Axis("gateways", "gateway_pct", GATEWAYS), SHARED),
        CORE_PCT,
        "no gateway knows of another",
    ),
    Row(
        "processor time over stores, at 1,100 and 50 purges a second",
        "% of a core",
        Quotient(Axis("stores", "gateway_pct", STORES), SHARED),
        CORE_PCT,
        "changes of the list alone",
        RING_REUSE,
    ),
    Row(
        "processor time in calm over stores, at 1,100",
        "% of a core",
        Quotient(Axis("stores", "gateway_calm_pct", STORES), SHARED),
        CORE_PCT,
        "the watch of 100 ms looks at the own zone only",
    ),
    Row(
        "processor time over changes a minute, at 7.64: half changes of a store, half new settings",
        "% of a core",
        Quotient(Axis("changes", "gateway_pct", CHANGES_PER_MINUTE), SHARED),
        CORE_PCT,
        "changes of the list; a file and a signal",
        DISTRIBUTION,
    ),
    Row(
        "processor time of the agreement, an ordinary member among 7,500",
        "% of a core",
        _virtual("ordinary_cpu_ms"),
        CORE_PCT,
        "beats at intervals in proportion to the fleet",
        times=PCT_OF_MS_S,
    ),
    Row(
        "control in all: discovery and purges with watch and timers, agreement and its look at stores",
        "% of a core",
        Sum(
            (
                (Value(SCALE, "parts.cost.real_whole_pct.median"), 1.0),
                (_virtual("ordinary_cpu_ms"), PCT_OF_MS_S),
                (_virtual("store_scan_cpu_ms"), SCANS_PER_S * PCT_OF_MS_S),
            )
        ),
        CORE_PCT,
        PACING,
        PACING,
    ),
    Row("polls", "1/s", Value(SCALE, "parts.cost.real_polls_s.median"), None, PACING),
    Row(
        "bytes of discovery and purges, both ways",
        "KB/s",
        Value(SCALE, "kb_s_gateway"),
        KB_PER_S,
        PACING,
        PACING,
    ),
    Row(
        "bytes of discovery and purges, both ways, against the aim of the work under way",
        "KB/s",
        Value(SCALE, "kb_s_gateway"),
        AIM_KB_PER_S,
        PACING,
        PACING,
    ),
    Row(
        "bytes in over purges a second, at 150",
        "KB/s",
        Axis("purges", "gateway_kb_s_in", PURGES_PER_S),
        KB_PER_S,
        PACING,
        PACING,
    ),
    Row(
        "bytes in all, with the agreement's",
        "KB/s",
        Sum(
            (
                (Value(SCALE, "kb_s_gateway"), 1.0),
                (_virtual("ordinary_kb_out"), 1.0),
                (_virtual("ordinary_kb_in"), 1.0),
            )
        ),
        KB_PER_S,
        PACING,
        PACING,
    ),
    Row(
        "memory of control, a real gateway less one that knows no store, 70 stores",
        "MB",
        Value(SCALE, "mb_gateway"),
        MEMORY_MB,
        "bounded purge table",
    ),
    Row(
        "memory of a hollow gateway over stores, at 1,100",
        "MB",
        Axis("stores", "gateway_mb", STORES),
        MEMORY_MB,
        "one record a store",
    ),
    Row(
        "memory of the agreement's state, a node that has heard all 7,500",
        "MB",
        _virtual("ordinary_full_state_kb"),
        MEMORY_MB,
        "one record a node",
        times=MB_OF_KB,
    ),
    Row(
        "memory of control in all: a hollow gateway's at 1,100 stores and the agreement's",
        "MB",
        Sum(
            (
                (Axis("stores", "gateway_mb", STORES), 1.0),
                (_virtual("ordinary_full_state_kb"), MB_OF_KB),
            )
        ),
        MEMORY_MB,
        "one record a store and a node",
    ),
    Row(
        "memory of the server directory over stores, at 1,100",
        "MB",
        _capacity_slope("directory_kb"),
        MEMORY_MB,
        "one record a store",
        times=MB_OF_KB,
    ),
    Row(
        "memory of the Router over stores, at 1,100 in 46 zones",
        "MB",
        _capacity_slope("router_state_kb_spread"),
        MEMORY_MB,
        "a ring of the own zone only",
        times=MB_OF_KB,
    ),
    Row(
        "memory of the Router with all 1,100 stores in the own zone",
        "MB",
        _capacity_slope("router_state_kb_own_zone"),
        MEMORY_MB,
        "64 points a store",
        times=MB_OF_KB,
        bound=True,
    ),
    Row(
        "memory of the Router's purges that bind, at 1,650 (150 a second for 11 s)",
        "MB",
        _capacity_slope("router_purge_kb"),
        MEMORY_MB,
        "forgotten once settled",
        times=MB_OF_KB,
    ),
    Row(
        "one change of the list in the Router, at 1,100 stores in 46 zones",
        "ms",
        _capacity_slope("router_change_ms_spread"),
        AIM_TURN_MS,
        "the list sorted and the own zone's ring made anew for each change",
        RING_REUSE,
    ),
    Row(
        "one change of the list in the Router with all 1,100 stores in the own zone",
        "ms",
        _capacity_slope("router_change_ms_own_zone"),
        AIM_TURN_MS,
        "the list sorted and the ring made anew for each change",
        RING_REUSE,
        bound=True,
    ),
    Row(
        "a whole list in the Router, at 1,100 stores in 46 zones",
        "ms",
        _capacity_slope("router_whole_list_ms"),
        AIM_TURN_MS,
        "one pass",
    ),
    Row(
        "a whole list read by the server directory, at 1,100",
        "ms",
        _capacity_slope("directory_whole_list_ms"),
        AIM_TURN_MS,
        "one pass",
    ),
)

REQUEST = (
    Row(
        "the Router's decisions for a request, 1,100 stores in 46 zones, a tenth of them parents",
        "% of a core",
        _capacity_slope("router_request_us_spread"),
        ONE_CORE_PCT,
        "hashes of the object with every parent",
        CANDIDATES,
        PCT_OF_REQUEST_US,
    ),
    Row(
        "the Router's decisions for a request with all 1,100 stores in the own zone",
        "% of a core",
        _capacity_slope("router_request_us_own_zone"),
        ONE_CORE_PCT,
        "the least error score of all own stores for each one looked at",
        CANDIDATES,
        PCT_OF_REQUEST_US,
        bound=True,
    ),
    Row(
        "the Router's decisions for a request with 24 own stores and all others of 1,100 parents",
        "% of a core",
        _capacity_slope("router_request_us_parents"),
        ONE_CORE_PCT,
        "hashes of the object with every parent",
        CANDIDATES,
        PCT_OF_REQUEST_US,
        bound=True,
    ),
    Row(
        "the Router's watch of 100 ms with 4,096 requests open, none late",
        "% of a core",
        Value(CAPACITY, "shares.tick_open_pct"),
        ONE_CORE_PCT,
        "one look at each open attempt",
        "a queue of attempts by their aims",
    ),
    Row(
        "one watch at which 4,096 open requests are late at once, their stores silent",
        "ms",
        _capacity_slope("router_tick_silent_us"),
        AIM_TURN_MS,
        "one look at each open attempt",
        "a queue of attempts by their aims",
        1e-3,
    ),
    Row(
        "the sweep of idle connections, 462 of them",
        "% of a core",
        Value(CAPACITY, "shares.sweep_pct"),
        ONE_CORE_PCT,
        "one look at each every 250 ms",
    ),
    Row(
        "memory of requests that wait, in the Router, at 4,096",
        "MB",
        _capacity_slope("router_open_request_kb"),
        None,
        "4,096 at most",
        times=MB_OF_KB,
    ),
    Row(
        "a real gateway's whole work for requests, 6 stores, one answer of the mean size, over KB",
        "% of a core",
        _capacity_slope("traffic_request_us"),
        ONE_CORE_PCT,
        "one loop",
        SEVERAL,
        PCT_OF_REQUEST_US,
    ),
    Row(
        "a real gateway's whole work for requests, 6 stores, answers of 240 KB for the mean size",
        "% of a core",
        Value(CAPACITY, "traffic.pct_in_parts"),
        ONE_CORE_PCT,
        "one loop",
        SEVERAL,
    ),
    Row(
        "both: work in answers of 240 KB, and the Router's at 1,100 stores (its fixed part counted twice)",
        "% of a core",
        Sum(
            (
                (Value(CAPACITY, "traffic.pct_in_parts"), 1.0),
                (_capacity_slope("router_request_us_spread"), PCT_OF_REQUEST_US),
            )
        ),
        ONE_CORE_PCT,
        "one loop",
        SEVERAL,
    ),
    Row("TLS and network cards under that load", "% of a core", NotMeasured(), ONE_CORE_PCT, "the platform"),
)

SPLIT = (
    Row(
        "forwarder: messages with the planner, requests one by one",
        "% of a core",
        _capacity_slope("planner_batch_forwarder_us"),
        ONE_CORE_PCT,
        "one line of JSON a batch",
        times=PCT_OF_REQUEST_US,
    ),
    Row(
        "planner: messages and decisions for a forwarder, requests one by one",
        "% of a core",
        _capacity_slope("planner_batch_planner_us"),
        ONE_CORE_PCT,
        "one Router for each forwarder",
        CANDIDATES,
        PCT_OF_REQUEST_US,
    ),
    Row(
        "planner: the decisions alone",
        "% of a core",
        _capacity_slope("planner_batch_decide_us"),
        ONE_CORE_PCT,
        "one Router for each forwarder",
        CANDIDATES,
        PCT_OF_REQUEST_US,
    ),
    Row(
        "bytes from forwarder to planner, requests one by one",
        "KB/s",
        _capacity_slope("planner_batch_kb_to_planner"),
        None,
        "a local socket",
        times=REQUESTS_A_GATEWAY,
    ),
    Row(
        "bytes from planner to forwarder, requests one by one",
        "KB/s",
        _capacity_slope("planner_batch_kb_to_forwarder"),
        None,
        "a local socket",
        times=REQUESTS_A_GATEWAY,
    ),
    Row(
        "memory of a planner's Router for each forwarder, at 1,100 stores",
        "MB",
        _capacity_slope("router_state_kb_spread"),
        MEMORY_MB,
        "one Router for each forwarder",
        times=MB_OF_KB,
    ),
    Row("forwarder: the rest of its control", "% of a core", NotMeasured(), CORE_PCT, "as a gateway"),
)

AGREEMENT = (
    Row(
        "coordinator: processor time among 7,500",
        "% of a core",
        _virtual("coordinator_cpu_ms"),
        CORE_PCT,
        "five members vote; a beat of each gateway in 94 s",
        times=PCT_OF_MS_S,
    ),
    Row(
        "voting member: processor time among 7,500",
        "% of a core",
        _virtual("member_cpu_ms"),
        CORE_PCT,
        "five members vote; a beat of each gateway in 94 s",
        times=PCT_OF_MS_S,
    ),
    Row(
        "coordinator: processor time idle, with a table for each of 469 sites",
        "% of a core",
        _virtual("all_sites_coordinator_cpu_ms"),
        CORE_PCT,
        "every table decoded four times a second",
        "decoded tables kept until they change",
        PCT_OF_MS_S,
    ),
    Row(
        "voting member: processor time idle, with a table for each of 469 sites",
        "% of a core",
        _virtual("all_sites_member_cpu_ms"),
        CORE_PCT,
        "one table a site",
        times=PCT_OF_MS_S,
    ),
    Row(
        "ordinary member: processor time idle, with a table for each of 469 sites",
        "% of a core",
        _virtual("all_sites_ordinary_cpu_ms"),
        CORE_PCT,
        "one table a site",
        times=PCT_OF_MS_S,
    ),
    Row(
        "voting member: datagrams in",
        "1/s",
        _virtual("member_datagrams_in"),
        None,
        "five members vote; a beat of each gateway in 94 s",
    ),
    Row(
        "coordinator: bytes in and out",
        "KB/s",
        Sum(((_virtual("coordinator_kb_in"), 1.0), (_virtual("coordinator_kb_out"), 1.0))),
        KB_PER_S,
        "five members vote; a beat of each gateway in 94 s",
    ),
    Row(
        "voting member: bytes in and out",
        "KB/s",
        Sum(((_virtual("member_kb_in"), 1.0), (_virtual("member_kb_out"), 1.0))),
        KB_PER_S,
        "five members vote; a beat of each gateway in 94 s",
    ),
    Row(
        "ordinary member: datagrams out",
        "1/s",
        _virtual("ordinary_datagrams_out"),
        None,
        "beats at intervals in proportion to the fleet",
    ),
    Row(
        "ordinary member: bytes in and out",
        "KB/s",
        Sum(((_virtual("ordinary_kb_in"), 1.0), (_virtual("ordinary_kb_out"), 1.0))),
        KB_PER_S,
        "datagrams of at most 256 bytes",
    ),
    Row(
        "voting member: bytes in before those who never vote ceased to ask it every 240 ms",
        "KB/s",
        _virtual_before("member_kb_in"),
        KB_PER_S,
        "all others ask the five every 240 ms, unanswered",
        NO_POLLS,
        bound=True,
    ),
    Row(
        "voting member: processor time before those who never vote ceased to ask it",
        "% of a core",
        _virtual_before("member_cpu_ms"),
        CORE_PCT,
        "all others ask the five every 240 ms, unanswered",
        NO_POLLS,
        PCT_OF_MS_S,
        True,
    ),
    Row(
        "voting member: state",
        "MB",
        _virtual("member_state_kb"),
        MEMORY_MB,
        "one record a node",
        times=MB_OF_KB,
    ),
    Row(
        "ordinary member: state in calm",
        "MB",
        _virtual("ordinary_state_kb"),
        MEMORY_MB,
        "one record a node heard",
        times=MB_OF_KB,
    ),
    Row(
        "one change (a store drained): until it is granted",
        "s",
        _virtual("granted_s"),
        CONFIG_S,
        "a majority of five",
    ),
    Row(
        "one change (a store drained): until all 7,500 know",
        "s",
        _virtual("change_known_s_max"),
        CONFIG_S,
        "beats, whose interval grows with the fleet",
        SPREAD,
    ),
    Row(
        "datagrams of all for one change, with a table for each site",
        "count",
        _virtual("all_sites_change_datagrams_all"),
        None,
        "one table a site",
    ),
    Row(
        "a gateway that waits for its wave of a release, a look every 20 ms",
        "% of a core",
        _virtual("release_tick_cpu_ms"),
        CORE_PCT,
        "the whole fleet hashed and sorted for each look",
        RELEASE_ORDER,
        TICKS_PER_S * PCT_OF_MS_S,
    ),
    Row(
        "coordinator: one look at a release's waves, every 250 ms",
        "ms",
        _virtual("release_steer_cpu_ms"),
        AIM_TURN_MS,
        "the whole fleet hashed and sorted for each gateway of it",
        RELEASE_ORDER,
    ),
    Row(
        "one checksum of 469 tables, for each beat that is heard",
        "ms",
        _virtual("checksum_cpu_ms"),
        AIM_TURN_MS,
        "all tables sorted and printed each time",
        "a checksum kept with each table",
    ),
    Row(
        "each gateway's look at 1,100 stores for their groups, every 100 ms",
        "% of a core",
        _virtual("store_scan_cpu_ms"),
        CORE_PCT,
        "all groups made anew without a change",
        "groups made anew at a change of the list",
        SCANS_PER_S * PCT_OF_MS_S,
    ),
    Row(
        "seconds between two beats of a gateway among 7,500, by arithmetic",
        "s",
        _arithmetic("beat_period_s"),
        None,
        "0.2 s for each 16 gateways",
        SPREAD,
    ),
    Row(
        "seconds until a gateway's death is noticed by the agreement, by arithmetic",
        "s",
        _arithmetic("death_noticed_s"),
        None,
        "eight beats missed",
        SPREAD,
    ),
)

ANSWERER = (
    Row(
        "processor time of whoever answers polls, 7,500 gateways at 150 purges a second, upper end",
        "cores",
        Value(SCALE, "parts.target.cores_high"),
        None,
        "one answer encoded for each poll",
        RELAYS,
    ),
    Row(
        "the same by the line alone, upper end",
        "cores",
        Value(SCALE, "parts.target.cores_by_line_high"),
        None,
        "one answer encoded for each poll",
        RELAYS,
    ),
    Row(
        "how far these two are beyond the largest fleet measured at 150 purges a second",
        "times",
        Value(SCALE, "parts.target.beyond_measured"),
        None,
        "hollow gateways on one machine",
    ),
    Row(
        "bytes out of whoever answers polls",
        "MB/s",
        Axis("gateways_at_target", "answerer_kb_s_out", GATEWAYS),
        None,
        PACING,
        RELAYS,
        MB_OF_KB,
    ),
    Row(
        "polls to whoever answers them",
        "1/s",
        Axis("gateways_at_target", "answerer_polls_s", GATEWAYS),
        None,
        PACING,
        RELAYS,
    ),
    Row(
        "memory of whoever answers polls",
        "MB",
        Axis("gateways_at_target", "answerer_mb", GATEWAYS),
        None,
        "a connection for each gateway",
    ),
    Row(
        "machines for answering polls, a third to spare",
        "machines",
        Value(SCALE, "control_machines"),
        AIM_MACHINES,
        PACING,
        RELAYS,
    ),
    Row(
        "machines for answering polls with the build before the present work",
        "machines",
        Value(SCALE, "control_machines_before"),
        AIM_MACHINES,
        "a poll for each purge",
        PACING,
        bound=True,
    ),
    Row(
        "how far that is beyond the largest fleet of that build that was measured",
        "times",
        Value(SCALE, "parts.previous.target.beyond_measured"),
        None,
        "real gateways on one machine",
    ),
    Row(
        "machines for answering polls with relays",
        "machines",
        Value(SCALE, "relay_machines"),
        AIM_MACHINES,
        RELAYS,
    ),
    Row(
        "polls a second where no poll is paced, by arithmetic",
        "1/s",
        _arithmetic("polls_s_unpaced"),
        None,
        "a poll for each purge",
        PACING,
    ),
    Row(
        "a purge in force everywhere in calm, the longest, at 7,500 gateways that share one machine",
        "ms",
        Axis("gateways_at_target", "in_force_ms_max", GATEWAYS),
        PURGE_MS,
        PACING,
        RELAYS,
    ),
    Row(
        "a purge in force everywhere in calm, the longest, 256 gateways",
        "ms",
        Value(SCALE, "parts.faults.in_force.calm.max_ms"),
        PURGE_MS,
        PACING,
    ),
)

TOOLS = (
    Row(
        "a change of configuration in force everywhere, once it is at each gateway, the longest",
        "ms",
        Value(SCALE, "config_everywhere_ms_max"),
        CONFIG_MS,
        "changes by discovery; a file and SIGHUP at each gateway",
        DISTRIBUTION,
    ),
    Row(
        "files that would have to be brought to gateways, by arithmetic (11,000 changes, each to all)",
        "1/s",
        _arithmetic("config_files_s"),
        None,
        "nothing brings them there",
        DISTRIBUTION,
    ),
    Row("a file brought to all 7,500", "s", NotMeasured(), CONFIG_S, "nothing", DISTRIBUTION),
    Row("where a change is in force", "s", NotMeasured(), CONFIG_S, "nothing", DISTRIBUTION),
    Row("figures and states of all 7,500 gathered", "s", NotMeasured(), None, "one call to each door"),
)

STORE = (
    Row(
        "requests to one store, by arithmetic",
        "1/s",
        _arithmetic("requests_s_store"),
        None,
        "the module's limits by store",
    ),
    Row("bits from one store, by arithmetic", "Gbit/s", _arithmetic("gbit_s_store"), None, "its own link"),
    Row("objects of one store, by arithmetic", "count", _arithmetic("objects_store"), None, "its own disk"),
    Row(
        "connections to a store from its zone, at the most, by arithmetic",
        "count",
        _arithmetic("store_connections_zone_most"),
        None,
        "24 at most from each gateway",
    ),
    Row(
        "connections from its zone, one each, by arithmetic",
        "count",
        _arithmetic("store_connections_zone_one_each"),
        None,
        "idle ones are closed",
    ),
    Row(
        "connections to a node that all 7,500 ask directly, at the most, by arithmetic",
        "count",
        _arithmetic("store_connections_all_most"),
        None,
        "24 at most from each gateway",
        "one connection from each gateway to what is far away",
    ),
    Row(
        "cold ramp: windows in which a cold store or parent of today's size got more than it bears",
        "count",
        Value(VIRTUAL, "ramp_sweep_windows_over_limit"),
        0.0,
        "each gateway's credit is its part of what the store bears",
    ),
    Row(
        "cold ramp: largest share of what a cold store or parent of today's size bears",
        "ratio",
        Value(VIRTUAL, "ramp_worst_share_of_limit"),
        1.0,
        "each gateway's credit is its part of what the store bears",
    ),
    Row(
        "cold ramp in a zone of the target: windows over what a store bears",
        "count",
        Value(VIRTUAL, "ramp_zone_windows_over_limit_store"),
        0.0,
        "the same",
    ),
    Row(
        "cold ramp in a zone of the target: windows over what a parent bears at a window's beginning",
        "count",
        Value(VIRTUAL, "ramp_zone_windows_over_limit_parent"),
        0.0,
        "credit by half of the budget of the moment, which grows within a window",
        "credit by the share of a window ago",
    ),
    Row(
        "cold ramp in a zone of the target: windows over what a parent bears at a window's end",
        "count",
        Value(VIRTUAL, "ramp_zone_windows_over_limit_at_end_parent"),
        0.0,
        "the same",
    ),
    Row(
        "processor time of a gateway's decision while a store is cold, 7,500 gateways",
        "us",
        WorkedOut(VIRTUAL, "ramp_decision_us_store"),
        None,
        "no state that is shared",
    ),
    Row(
        "purged copies used after their time, in all faults played",
        "count",
        Value(SCALE, "purged_used_late"),
        0.0,
        "purges bind before a send",
    ),
)

FAULTS = (
    Row(
        "a zone restarts: whole lists at once, 163 of them",
        "MB",
        _capacity_slope("list_kb"),
        None,
        "one list encoded for each poll",
        RELAYS,
        ZONE_GATEWAYS * MB_OF_KB,
    ),
    Row(
        "a zone restarts: each gateway's own reading of the list",
        "ms",
        Sum(
            (
                (_capacity_slope("directory_whole_list_ms"), 1.0),
                (_capacity_slope("router_whole_list_ms"), 1.0),
            )
        ),
        AIM_TURN_MS,
        "one pass",
    ),
    Row(
        "a zone restarts: windows in which a cold store got more than it bears, 163 gateways new",
        "count",
        Value(VIRTUAL, "ramp_zone_windows_over_limit_store"),
        0.0,
        "each gateway's credit is its part of what the store bears",
    ),
    Row(
        "a zone restarts: whole lists read in turn by one answerer of polls",
        "s",
        NotMeasured(),
        None,
        "one list encoded for each poll",
        RELAYS,
    ),
    Row(
        "a tenth of 256 gateways restarts at once: a purge in force everywhere, the longest",
        "ms",
        Value(SCALE, "parts.faults.in_force.a tenth restarted.max_ms"),
        PURGE_MS,
        PACING,
        RELAYS,
    ),
    Row(
        "whoever answers polls is killed (0.5 s): a purge in force everywhere, the longest",
        "ms",
        Value(SCALE, "parts.faults.in_force.answerer killed.max_ms"),
        PURGE_MS,
        "polls come back with jitter",
        RELAYS,
    ),
    Row(
        "half of the answers late by 1 s: a purge in force everywhere, the longest",
        "ms",
        Value(SCALE, "parts.faults.in_force.half of the answers late.max_ms"),
        PURGE_MS,
        PACING,
    ),
    Row(
        "a relay killed: a purge in force everywhere, the longest",
        "ms",
        Value(SCALE, "purge_everywhere_ms_max_relay_killed"),
        PURGE_MS,
        RELAYS,
    ),
    Row(
        "an hour apart: 540,000 purges taken by a real gateway under load",
        "s",
        Value(SCALE, "backlog_s"),
        AIM_BACKLOG_S,
        "an answer read as a stream, in slices",
        RELAYS,
    ),
    Row(
        "an hour apart: the longest turn meanwhile",
        "ms",
        Value(SCALE, "longest_turn_ms"),
        AIM_TURN_MS,
        "work cut into slices",
    ),
    Row(
        "an hour apart: memory over idle meanwhile",
        "MB",
        Value(SCALE, "parts.backlog.mb_over_idle"),
        AIM_OVER_IDLE_MB,
        "a bounded purge table",
        COMPACTION,
    ),
    Row(
        "an hour apart: processor time of a gateway's catching up",
        "s",
        Axis("backlog", "gateway_s", HOUR_PURGES),
        None,
        "each purge by itself",
        COMPACTION,
    ),
    Row(
        "an hour apart: processor time of answering a region's 326 gateways",
        "core s",
        Axis("backlog", "answerer_s", HOUR_PURGES),
        None,
        "one answer encoded for each poll",
        RELAYS,
        REGION_GATEWAYS,
    ),
    Row(
        "480 restarted or replaced a day: seconds between two, by arithmetic",
        "s",
        _arithmetic("seconds_between_replaced"),
        None,
        "each takes one list",
    ),
    Row(
        "480 a day: bytes of their lists, on average",
        "KB/s",
        _capacity_slope("list_kb"),
        None,
        "each takes one list",
        times=480 / DAY_S,
    ),
    Row("a rack: taken as a site of 16 gateways and its stores", "ms", NotMeasured(), PURGE_MS, "as a zone"),
)

CONNECTIONS = (
    Row(
        "connections to own stores, one to each, of 462 with 1,024 descriptors and a door",
        "count",
        _arithmetic("gateway_connections_zone_one_each"),
        462.0,
        "many requests on one connection",
    ),
    Row(
        "connections to own stores, 24 to each, of 462 with 1,024 descriptors",
        "count",
        _arithmetic("gateway_connections_zone_most"),
        462.0,
        "the least busy of those that are open",
        "a limit of connections by what a store is asked",
        bound=True,
    ),
    Row(
        "connections to all 1,100 stores, one to each, of 462 with 1,024 descriptors",
        "count",
        _arithmetic("gateway_connections_all_one_each"),
        462.0,
        "only own stores are asked; others fill them",
        bound=True,
    ),
    Row(
        "connections to all 1,100 stores, one to each, of 1,998 with 4,096 descriptors",
        "count",
        _arithmetic("gateway_connections_all_one_each"),
        1998.0,
        "half of the descriptors",
        bound=True,
    ),
    Row(
        "fewest descriptors for 24 connections to each own store",
        "count",
        _arithmetic("least_sockets_zone_most"),
        4096.0,
        "half of the descriptors",
    ),
    Row(
        "fewest descriptors for one connection to each of 1,100 stores",
        "count",
        _arithmetic("least_sockets_all_one_each"),
        4096.0,
        "half of the descriptors",
        bound=True,
    ),
    Row(
        "memory of 462 idle connections to stores",
        "MB",
        _capacity_slope("store_connection_kb"),
        None,
        "two small buffers each",
        times=MB_OF_KB,
    ),
)

OBJECTS = (
    Row(
        "entries of the counter at once, 4,200 requests each of another object",
        "count",
        _capacity_slope("sketch_counted_most"),
        None,
        "Lossy Counting, error 0.002, made anew every 5 s",
    ),
    Row(
        "memory of counter, HyperLogLog and learned sizes, the most of all runs (up to 16,000 requests)",
        "MB",
        Value(CAPACITY, "sketch_kb_most"),
        MEMORY_MB,
        "bounded: 4,096 sizes, 1,024 registers, the counter's entries",
        times=MB_OF_KB,
    ),
    Row(
        "processor time of counting a request",
        "% of a core",
        _capacity_slope("sketch_add_us"),
        ONE_CORE_PCT,
        "two hashes and three tables",
        times=PCT_OF_REQUEST_US,
    ),
    Row(
        "memory with 20,000 requests drawn from a million objects",
        "MB",
        Value(CAPACITY, "sketch_by_objects.1000000.kb"),
        MEMORY_MB,
        "bounded",
        times=MB_OF_KB,
    ),
    Row(
        "memory with 20,000 requests drawn from ten thousand objects",
        "MB",
        Value(CAPACITY, "sketch_by_objects.10000.kb"),
        MEMORY_MB,
        "bounded",
        times=MB_OF_KB,
    ),
    Row(
        "relative error of the number of different objects, 20,000 requests of a million",
        "ratio",
        Value(CAPACITY, "sketch_by_objects.1000000.distinct_error"),
        None,
        "HyperLogLog with 1,024 registers: 0.033 standard error",
    ),
    Row(
        "share of 3.7 billion objects whose size can be known at once",
        "ratio",
        Value(CAPACITY, "arithmetic.known_sizes_share"),
        None,
        "4,096 sizes, the least lately heard of goes",
        "sizes in a table by class and hash",
    ),
)

BITS = (
    Row("requests of a gateway, by arithmetic", "1/s", _arithmetic("requests_s_gateway"), None, "one loop"),
    Row("bits of a gateway, by arithmetic", "Mbit/s", _arithmetic("mbit_s_gateway"), None, "one loop"),
    Row(
        "bytes of a request on average, by arithmetic",
        "KB",
        _arithmetic("kb_request"),
        None,
        "parts of objects",
    ),
    Row(
        "answers of the protocol's longest (240,000 bytes) in a mean request, by arithmetic",
        "count",
        _arithmetic("bodies_request"),
        None,
        "parts of objects",
    ),
    Row(
        "processor time that one core has for a request, by arithmetic",
        "us",
        _arithmetic("core_us_request"),
        None,
        "one loop",
    ),
    Row(
        "bits that a real gateway passes on with one core, answers of 240 KB, on loopback",
        "Mbit/s",
        Value(CAPACITY, "traffic.mbit_s_core"),
        None,
        "one loop",
        SEVERAL,
    ),
)

TABLES: dict[str, tuple[Row, ...]] = {
    "gateway": GATEWAY,
    "request": REQUEST,
    "split": SPLIT,
    "agreement": AGREEMENT,
    "answerer": ANSWERER,
    "tools": TOOLS,
    "store": STORE,
    "faults": FAULTS,
    "connections": CONNECTIONS,
    "objects": OBJECTS,
    "bits": BITS,
}
