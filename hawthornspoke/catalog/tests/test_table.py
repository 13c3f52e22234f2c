"""Route lookup and traffic shares of a split route."""

from collections import Counter

from hawthornspoke.catalog import STREAM, Route, RouteTable, Share, choose_service


def route(name, host, prefix, *shares):
    """Return a route to one or several services."""
    return Route(
        name=name,
        host=host,
        prefix=prefix,
        kind=STREAM,
        shares=shares or (Share(service="s", weight=1.0),),
        timeout=1.0,
        objective=0.5,
        attempts=1,
        priority=1,
    )


def test_longest_prefix_of_the_host_wins():
    table = RouteTable(
        routes=[
            route("short", "a.example", "/x/"),
            route("long", "a.example", "/x/y/"),
            route("other", "b.example", "/x/y/z/"),
        ]
    )

    def find(host, target):
        result = table.find(host=host, target=target)
        return result and result.name

    assert find("a.example", "/x/y/z/1?q=/x/") == "long"
    assert find("A.example:8080", "/x/z") == "short"
    assert find("a.example", "/x") is None
    assert find("c.example", "/x/y/") is None
    assert find("", "*") is None


def test_root_prefix_matches_every_path():
    table = RouteTable(routes=[route("root", "a.example", "/")])
    assert table.find(host="a.example", target="/anything").name == "root"


def test_traffic_follows_shares_and_a_request_keeps_its_service():
    split = route(
        "r",
        "a.example",
        "/",
        Share(service="old", weight=80),
        Share(service="new", weight=20),
    )
    keys = [f"id-{number}" for number in range(2000)]
    count_by_service = Counter(choose_service(split, key) for key in keys)
    assert 300 < count_by_service["new"] < 500
    assert all(choose_service(split, key) == choose_service(split, key) for key in keys)
