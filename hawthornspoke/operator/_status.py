"""Fleet status as text: live replicas, weight progress, unreachable hosts."""

BAR_WIDTH = 20

#: Hosts report how much of their weights they have received in per mille; the value is
#: negative if a host has too little memory for them.
FULL_PROGRESS = 1000
MAX_SLOWEST_HOSTS = 3


class _ReplicaCount:
    __slots__ = ("live", "wanted", "progress_values")

    def __init__(self):
        self.live = 0
        self.wanted = 0
        self.progress_values = []


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
    counts = _count_replicas(fleet)
    for key in sorted(counts):
        lines.append(f"{key}:")
        for domain in sorted(counts[key]):
            lines.append(_domain_line(domain, counts[key][domain]))
        lines += _slowest_lines(fleet, key)
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


def _count_replicas(fleet):
    counts = {}
    for item in fleet:
        if item.status is None or item.role != "agent":
            continue
        for key, progress_value in (item.status.member.progress or {}).items():
            count = counts.setdefault(key, {}).setdefault(
                item.failure_domain, _ReplicaCount()
            )
            count.wanted += 1
            count.live += progress_value == FULL_PROGRESS
            count.progress_values.append(max(0, progress_value))
    return counts


def _domain_line(domain, count):
    mean_progress = sum(count.progress_values) / (FULL_PROGRESS * count.wanted)
    filled = int(mean_progress * BAR_WIDTH)
    bar = "#" * filled + "." * (BAR_WIDTH - filled)
    return f"  {domain:<16} [{bar}] {count.live} of {count.wanted} live"


def _slowest_lines(fleet, key):
    behind = []
    for item in fleet:
        if item.status is None:
            continue
        progress_value = (item.status.member.progress or {}).get(key)
        if progress_value is not None and progress_value < FULL_PROGRESS:
            problem = (item.status.problem_by_key or {}).get(key, "")
            behind.append((progress_value, item.host, problem))
    lines = []
    for progress_value, host, problem in sorted(behind)[:MAX_SLOWEST_HOSTS]:
        suffix = f" ({problem})" if problem else ""
        lines.append(
            f"    slowest: {host} at {max(0, progress_value) / 10:.0f}%{suffix}"
        )
    return lines


def _bytes_line(fleet):
    origin = sum(item.status.origin_bytes or 0 for item in fleet if item.status)
    peers = sum(item.status.peer_bytes or 0 for item in fleet if item.status)
    return f"bytes read since start: {origin} from the origin, {peers} from peers"
