"""The status page: replicas live of wanted, bursts, and hosts with problems."""

BAR_WIDTH = 20
WHOLE = 1000
SLOWEST_SHOWN = 3


class _Tally:
    __slots__ = ("live", "wanted", "parts")

    def __init__(self):
        self.live = 0
        self.wanted = 0
        self.parts = []


def render_status(fleet):
    """Return the state of a fleet as lines of text.

    Parameters
    ----------
    fleet : list of HostStatus

    Returns
    -------
    list of str
    """
    lines = _revision_lines(fleet)
    tallies = _tallies(fleet)
    for key in sorted(tallies):
        lines.append(f"{key}:")
        for domain in sorted(tallies[key]):
            lines.append(_domain_line(domain, tallies[key][domain]))
        lines += _slowest(fleet, key)
    lines.append(_bytes_line(fleet))
    for item in fleet:
        if item.status is None:
            lines.append(f"unreachable: {item.host} ({item.problem})")
    return lines


def _revision_lines(fleet):
    by_revision = {}
    for item in fleet:
        if item.status is not None:
            revision = item.status.in_force or 0
            by_revision.setdefault(revision, []).append(item.host)
    return [
        f"revision {revision}: {len(hosts)} hosts"
        for revision, hosts in sorted(by_revision.items(), reverse=True)
    ]


def _tallies(fleet):
    tallies = {}
    for item in fleet:
        if item.status is None or item.role != "agent":
            continue
        for key, part in (item.status.member.progress or {}).items():
            tally = tallies.setdefault(key, {}).setdefault(
                item.failure_domain, _Tally()
            )
            tally.wanted += 1
            tally.live += part == WHOLE
            tally.parts.append(max(0, part))
    return tallies


def _domain_line(domain, tally):
    share = sum(tally.parts) / (WHOLE * tally.wanted)
    filled = int(share * BAR_WIDTH)
    bar = "#" * filled + "." * (BAR_WIDTH - filled)
    return f"  {domain:<16} [{bar}] {tally.live} of {tally.wanted} live"


def _slowest(fleet, key):
    behind = []
    for item in fleet:
        if item.status is None:
            continue
        part = (item.status.member.progress or {}).get(key)
        if part is not None and part < WHOLE:
            problem = (item.status.problem_by_key or {}).get(key, "")
            behind.append((part, item.host, problem))
    lines = []
    for part, host, problem in sorted(behind)[:SLOWEST_SHOWN]:
        why = f" ({problem})" if problem else ""
        lines.append(f"    slowest: {host} at {max(0, part) / 10:.0f}%{why}")
    return lines


def _bytes_line(fleet):
    origin = sum(item.status.origin_bytes or 0 for item in fleet if item.status)
    peers = sum(item.status.peer_bytes or 0 for item in fleet if item.status)
    return f"bytes read since start: {origin} from the origin, {peers} from peers"
