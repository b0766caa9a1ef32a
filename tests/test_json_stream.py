"""JSON values off a stream: cut anywhere, laid out anyhow, broken off anywhere."""

import asyncio
import json
from random import Random
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from harecross.discovery import json_stream, subscription_schedule
from harecross.discovery import watch as watch_module
from harecross.discovery.json_stream import BLANK_LINE, MAX_VALUE_BYTES, JsonStreamParser, MalformedJsonError
from harecross.discovery.subscription_schedule import DiscoveryTerms, SubscriptionSchedule
from harecross.discovery.watch import DiscoveryCall
from tests.node_support import STARTED, World, entry, run, update, with_node

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


def read(text: bytes, cuts: list[int]) -> list:
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
def test_values_in_any_layout_cut_anywhere_with_words_between_them(updates, layout, end, cuts):
    text = "".join(json.dumps(u, **layout).replace("\n", end) + end + end for u in updates)
    found = read(text.encode(), cuts)
    assert [v for v in found if v is not BLANK_LINE] == updates
    assert found.count(BLANK_LINE) == len(updates)


@settings(deadline=None)
@given(UPDATES.filter(bool), st.sampled_from([{}, {"indent": 2}]), st.integers(1, 500))
def test_a_value_broken_off_anywhere_is_known_by_the_next_word_and_costs_none_before_it(
    updates, layout, left_out
):
    """Discovery breaks off in the middle and goes on with an empty line: never a list, never a part of the next."""
    good, broken = updates[:-1], json.dumps(updates[-1], **layout).encode()
    text = b"".join(json.dumps(u).encode() + b"\n" for u in good)
    broken = broken[: max(1, len(broken) - left_out)]
    parser, found = JsonStreamParser(), []
    with pytest.raises(MalformedJsonError):
        for value in parser.feed(text + broken + b"\n\n" + b'{"generation": 9, "instances": []}\n'):
            found.append(value)
    assert found == good


@pytest.mark.parametrize(
    "text", [b"no json\n", b"7\n", b'"a"\n', b"}\n", b'{"a": 1]', b"{,}\n", b"[" * 100_000 + b"]" * 100_000]
)
def test_what_is_no_value(text):
    with pytest.raises(MalformedJsonError):
        list(JsonStreamParser().feed(text))


def test_the_end_of_the_stream_inside_a_value_and_one_without_end():
    parser = JsonStreamParser()
    assert list(parser.feed(b'\n{"a": [1, ')) == [BLANK_LINE] and parser.has_partial_value
    with pytest.raises(MalformedJsonError):
        parser.finish()
    parser = JsonStreamParser()
    with pytest.raises(MalformedJsonError):
        for _ in range(MAX_VALUE_BYTES // 65_536 + 2):
            assert not list(parser.feed(b'{"a":' * 13_107))


def test_a_large_list_in_small_pieces_is_looked_at_once(monkeypatch):
    """Counted, not timed: the bytes that each search passes over."""
    looked = 0

    class Counting:
        def __init__(self, real) -> None:
            self.real = real

        def search(self, buffer, at):
            nonlocal looked
            m = self.real.search(buffer, at)
            looked += (m.end() if m else len(buffer)) - at
            return m

    for name in ("NEXT_IN_STRING", "NEXT_IN_VALUE", "NEXT_BETWEEN_VALUES"):
        monkeypatch.setattr(json_stream, name, Counting(getattr(json_stream, name)))
    text = json.dumps(update(1, *[entry("s", "127.0.0.1:1")] * 800), indent=2).encode()
    parser, found = JsonStreamParser(), []
    for at in range(0, len(text), 16):
        found += parser.feed(text[at : at + 16])
    assert len(found) == 1 and looked == len(text)


@pytest.mark.parametrize(
    "layout", [{}, {"indent": 2}, {"indent": 0}], ids=["a line", "indented", "no indent"]
)
@pytest.mark.parametrize("end", ["heard", "broken off"])
def test_a_node_s_watch_and_whole_list_come_indented(layout, end):
    """Every piece a write of its own. Broken off, the change is asked for again from the version before."""

    async def test(w: World) -> None:
        path, watch = await w.catalog.watches.get()
        assert path.endswith(b"after=41")
        gone = (
            json.dumps(update(42, entry("s0", w.origins[0].address, "terminating")), **layout).encode()
            + b"\n\n"
        )
        if end == "broken off":
            gone = gone[:-6] + b"\n\n"
        for at in range(0, len(gone), 7):
            piece = gone[at : at + 7]
            watch.write(b"%x\r\n%s\r\n" % (len(piece), piece))
            await watch.drain()
            await asyncio.sleep(0)
        if end == "broken off":
            path, watch = await w.catalog.watches.get()
            assert path.endswith(b"after=41") and len(w.node.registry.listed) == 2
        else:
            while len(w.node.registry.listed) == 2:
                await asyncio.sleep(0.005)
            assert w.node.discovery.current.generation == 42 and w.catalog.watches.empty()
        host, _, port = w.catalog.address.partition(":")
        w.node.discovery.generation = None
        entries = [entry(f"s{i}", o.address) for i, o in enumerate(w.origins)]
        w.catalog.whole = json.dumps(update(50, *entries, reset=True), **layout).encode()
        w.node.discovery.unsubscribe()
        w.node.discovery.generation = None
        w.node.discovery.subscribe()
        path, watch = await w.catalog.watches.get()
        assert path.endswith(b"after=50") and len(w.node.registry.listed) == 2

    with_node(test, servers=2)


def test_a_list_that_dribbles_in_does_not_keep_up_a_watch(monkeypatch):
    monkeypatch.setattr(subscription_schedule, "WATCH_HEARTBEAT_TIMEOUT_S", 0.3)
    monkeypatch.setattr(watch_module, "PARTIAL_UPDATE_TIMEOUT_S", 0.3)

    async def test(w: World) -> None:
        path, watch = await w.catalog.watches.get()
        watch.write(b'c\r\n{"generation\r\n')
        again = asyncio.ensure_future(w.catalog.watches.get())
        while not again.done():
            if not watch.transport.is_closing():
                watch.write(b"1\r\nx\r\n")
            await asyncio.sleep(0.05)
        assert again.result()[0] == path

    with_node(test)


def test_changes_without_end_are_words_though_each_piece_ends_inside_one():
    """By a clock of the test's own: half a second passes between two pieces, and half a piece is no word for ever."""

    async def test() -> None:
        told = []
        watch = SimpleNamespace(
            update_received=lambda value, first: told.append(value), heartbeat_received=lambda: None
        )
        stream = DiscoveryCall(
            watch, b"/", SubscriptionSchedule(DiscoveryTerms(), Random(1)), is_watch_call=True
        )
        stream.http_parser.feed_data(STARTED)
        text = b"".join(json.dumps(update(n)).encode() + b"\n" for n in range(100, 150))
        piece, now = len(text) // 50, 0.0
        for at in range(-(piece // 2), len(text) - piece, piece):
            part = text[max(0, at) : at + piece]
            stream.http_parser.feed_data(b"%x\r\n%s\r\n" % (len(part), part))
            assert stream.json_parser.has_partial_value and stream.counts_as_heartbeat(now)
            now += 0.5
        assert len(told) == 49
        while stream.counts_as_heartbeat(now):
            now += 0.5
        assert now > 20 and now - stream.partial_since == watch_module.PARTIAL_UPDATE_TIMEOUT_S

    run(test())
