"""The JSON stream parser, and watches whose lists arrive in any layout, split or truncated at any byte."""

import asyncio
import json
from random import Random
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from node_support import WATCH_RESPONSE_HEAD, NodeEnvironment, entry, run, run_with_node, update

from harecross.discovery import json_stream, subscription_schedule
from harecross.discovery import watch as watch_module
from harecross.discovery.json_stream import BLANK_LINE, MAX_VALUE_BYTES, JsonStreamParser, MalformedJsonError
from harecross.discovery.subscription_schedule import DiscoverySettings, SubscriptionSchedule
from harecross.discovery.watch import DiscoveryCall

UPDATES = st.lists(
    st.recursive(
        st.one_of(
            st.text(), st.integers(), st.booleans(), st.none(), st.sampled_from(['{"', "}]", "\n\n", "\\"])
        ),
        lambda inner: st.one_of(st.lists(inner, max_size=3), st.dictionaries(st.text(), inner, max_size=3)),
        max_leaves=8,
    ).map(lambda value: {"generation": 1, "instances": [value]}),
    max_size=4,
)
LAYOUTS = [
    {},
    {"indent": 2},
    {"indent": 0},
    {"indent": "\t"},
    {"separators": (",", ":")},
    {"ensure_ascii": False, "indent": 1},
]


def parse_in_pieces(text: bytes, cuts: list[int]) -> list:
    """Parses a text that arrives in pieces, and returns its values."""
    parser, found, last = JsonStreamParser(), [], 0
    for cut in [*sorted({c % (len(text) + 1) for c in cuts}), len(text)]:
        found += parser.feed(text[last:cut])
        last = cut
    parser.finish()
    return found


@settings(max_examples=300, deadline=None)
@given(
    UPDATES,
    st.sampled_from(LAYOUTS),
    st.sampled_from(["\n", "\r\n"]),
    st.lists(st.integers(0, 999), max_size=9),
)
def test_values_in_any_layout_split_anywhere_with_blank_lines_between_them(updates, layout, end, cuts):
    text = "".join(json.dumps(u, **layout).replace("\n", end) + end + end for u in updates)
    found = parse_in_pieces(text.encode(), cuts)
    assert [v for v in found if v is not BLANK_LINE] == updates
    assert found.count(BLANK_LINE) == len(updates)


@settings(deadline=None)
@given(UPDATES.filter(bool), st.sampled_from([{}, {"indent": 2}]), st.integers(1, 500))
def test_a_value_truncated_anywhere_is_detected_by_the_next_blank_line_and_earlier_values_are_kept(
    updates, layout, removed_bytes
):
    """Discovery stops within a value and continues with an empty line; the partial value must be rejected."""
    good, broken = updates[:-1], json.dumps(updates[-1], **layout).encode()
    text = b"".join(json.dumps(u).encode() + b"\n" for u in good)
    broken = broken[: max(1, len(broken) - removed_bytes)]
    parser, found = JsonStreamParser(), []
    with pytest.raises(MalformedJsonError):
        for value in parser.feed(text + broken + b"\n\n" + b'{"generation": 9, "instances": []}\n'):
            found.append(value)
    assert found == good


@pytest.mark.parametrize(
    "text", [b"no json\n", b"7\n", b'"a"\n', b"}\n", b'{"a": 1]', b"{,}\n", b"[" * 100_000 + b"]" * 100_000]
)
def test_input_that_is_not_a_valid_object_or_array_raises(text):
    with pytest.raises(MalformedJsonError):
        list(JsonStreamParser().feed(text))


def test_a_stream_that_ends_within_a_value_and_a_value_without_end_raise():
    parser = JsonStreamParser()
    assert list(parser.feed(b'\n{"a": [1, ')) == [BLANK_LINE]
    assert parser.has_partial_value
    with pytest.raises(MalformedJsonError):
        parser.finish()
    parser = JsonStreamParser()
    with pytest.raises(MalformedJsonError):
        for _ in range(MAX_VALUE_BYTES // 65_536 + 2):
            assert not list(parser.feed(b'{"a":' * 13_107))


def test_a_large_list_in_small_pieces_is_scanned_once(monkeypatch):
    """Counts the bytes that each search scans, which does not depend on the machine's speed."""
    scanned_bytes = 0

    class Counting:
        def __init__(self, real) -> None:
            self.real = real

        def search(self, buffer, at):
            nonlocal scanned_bytes
            match = self.real.search(buffer, at)
            scanned_bytes += (match.end() if match else len(buffer)) - at
            return match

    for name in ("NEXT_IN_STRING", "NEXT_IN_VALUE", "NEXT_BETWEEN_VALUES"):
        monkeypatch.setattr(json_stream, name, Counting(getattr(json_stream, name)))
    text = json.dumps(update(1, *[entry("s", "127.0.0.1:1")] * 800), indent=2).encode()
    parser, found = JsonStreamParser(), []
    for at in range(0, len(text), 16):
        found += parser.feed(text[at : at + 16])
    assert len(found) == 1
    assert scanned_bytes == len(text)


@pytest.mark.parametrize(
    "layout", [{}, {"indent": 2}, {"indent": 0}], ids=["a line", "indented", "no indent"]
)
@pytest.mark.parametrize("end", ["complete", "broken off"])
def test_a_watch_and_a_full_list_may_be_indented(layout, end):
    """Lists arrive in many small writes. After a truncated change, the node asks again from the previous version."""

    async def test(env: NodeEnvironment) -> None:
        path, watch = await env.discovery_server.watches.get()
        assert path.endswith(b"after=41")
        change = (
            json.dumps(update(42, entry("s0", env.upstreams[0].address, "terminating")), **layout).encode()
            + b"\n\n"
        )
        if end == "broken off":
            change = change[:-6] + b"\n\n"
        for at in range(0, len(change), 7):
            piece = change[at : at + 7]
            watch.write(b"%x\r\n%s\r\n" % (len(piece), piece))
            await watch.drain()
            await asyncio.sleep(0)
        if end == "broken off":
            path, watch = await env.discovery_server.watches.get()
            assert path.endswith(b"after=41")
            assert len(env.node.registry.listed) == 2
        else:
            while len(env.node.registry.listed) == 2:
                await asyncio.sleep(0.005)
            assert env.node.discovery.current.generation == 42
            assert env.discovery_server.watches.empty()
        _host, _, _port = env.discovery_server.address.partition(":")
        env.node.discovery.generation = None
        entries = [entry(f"s{i}", o.address) for i, o in enumerate(env.upstreams)]
        env.discovery_server.full_list = json.dumps(update(50, *entries, reset=True), **layout).encode()
        env.node.discovery.unsubscribe()
        env.node.discovery.generation = None
        env.node.discovery.subscribe()
        path, watch = await env.discovery_server.watches.get()
        assert path.endswith(b"after=50")
        assert len(env.node.registry.listed) == 2

    run_with_node(test, servers=2)


def test_an_endless_list_sent_byte_by_byte_does_not_keep_a_watch_open(monkeypatch):
    monkeypatch.setattr(subscription_schedule, "WATCH_HEARTBEAT_TIMEOUT_S", 0.3)
    monkeypatch.setattr(watch_module, "PARTIAL_UPDATE_TIMEOUT_S", 0.3)

    async def test(env: NodeEnvironment) -> None:
        path, watch = await env.discovery_server.watches.get()
        watch.write(b'c\r\n{"generation\r\n')
        again = asyncio.ensure_future(env.discovery_server.watches.get())
        while not again.done():
            if not watch.transport.is_closing():
                watch.write(b"1\r\nx\r\n")
            await asyncio.sleep(0.05)
        assert again.result()[0] == path

    run_with_node(test)


def test_pieces_that_each_end_within_a_change_are_heartbeats_but_one_endless_change_is_not():
    """Uses a simulated clock: half a second passes between two pieces."""

    async def test() -> None:
        updates = []
        watch = SimpleNamespace(
            update_received=lambda value, first: updates.append(value), heartbeat_received=lambda: None
        )
        call = DiscoveryCall(
            watch, b"/", SubscriptionSchedule(DiscoverySettings(), Random(1)), is_watch_call=True
        )
        call.http_parser.feed_data(WATCH_RESPONSE_HEAD)
        text = b"".join(json.dumps(update(n)).encode() + b"\n" for n in range(100, 150))
        piece, now = len(text) // 50, 0.0
        for at in range(-(piece // 2), len(text) - piece, piece):
            part = text[max(0, at) : at + piece]
            call.http_parser.feed_data(b"%x\r\n%s\r\n" % (len(part), part))
            assert call.json_parser.has_partial_value
            assert call.counts_as_heartbeat(now)
            now += 0.5
        assert len(updates) == 49
        while call.counts_as_heartbeat(now):
            now += 0.5
        assert now > 20
        assert now - call.partial_since == watch_module.PARTIAL_UPDATE_TIMEOUT_S

    run(test())
