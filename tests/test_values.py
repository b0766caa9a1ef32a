"""JSON values off a stream: cut anywhere, laid out anyhow, broken off anywhere."""

import asyncio
import json
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from harecross.core.values import BLANK_LINE, VALUE_MOST, BadValue, Values
from tests.node_support import World, entry, update, with_node

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
    values, found, last = Values(), [], 0
    for cut in [*sorted({c % (len(text) + 1) for c in cuts}), len(text)]:
        found += values.feed(text[last:cut])
        last = cut
    values.finish()
    return found


@settings(max_examples=300)
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


@given(UPDATES.filter(bool), st.sampled_from([{}, {"indent": 2}]), st.integers(1, 500))
def test_a_value_broken_off_anywhere_is_known_by_the_next_word_and_costs_none_before_it(
    updates, layout, left_out
):
    """Discovery breaks off in the middle and goes on with an empty line: never a list, never a part of the next."""
    good, broken = updates[:-1], json.dumps(updates[-1], **layout).encode()
    text = b"".join(json.dumps(u).encode() + b"\n" for u in good)
    broken = broken[: max(1, len(broken) - left_out)]
    values, found = Values(), []
    with pytest.raises(BadValue):
        for value in values.feed(text + broken + b"\n\n" + b'{"generation": 9, "instances": []}\n'):
            found.append(value)
    assert found == good


@pytest.mark.parametrize(
    "text", [b"no json\n", b"7\n", b'"a"\n', b"}\n", b'{"a": 1]', b"{,}\n", b"[" * 100_000 + b"]" * 100_000]
)
def test_what_is_no_value(text):
    with pytest.raises(BadValue):
        list(Values().feed(text))


def test_the_end_of_the_stream_inside_a_value_and_one_without_end():
    values = Values()
    assert list(values.feed(b'\n{"a": [1, ')) == [BLANK_LINE] and values.open
    with pytest.raises(BadValue):
        values.finish()
    values = Values()
    with pytest.raises(BadValue):
        for _ in range(VALUE_MOST // 65_536 + 2):
            assert not list(values.feed(b'{"a":' * 13_107))


def test_a_large_list_in_small_pieces_costs_no_more_than_its_length():
    """Twice as long, twice as many pieces: twice the time, and not four times. Compared by the least of some runs."""

    def took(servers: int) -> float:
        item = entry("s", "127.0.0.1:1")
        text = json.dumps(update(1, *[item] * servers), indent=2).encode()
        best = 1e9
        for _ in range(5):
            values, began, found = Values(), time.process_time(), []
            for at in range(0, len(text), 16):
                found += values.feed(text[at : at + 16])
            assert len(found) == 1
            best = min(best, time.process_time() - began)
        return best

    assert took(1600) < 3 * took(800)


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
            assert path.endswith(b"after=41") and len(w.node.directory.listed) == 2
        else:
            while len(w.node.directory.listed) == 2:
                await asyncio.sleep(0.005)
            assert w.node.discovery.current.generation == 42 and w.catalog.watches.empty()
        host, _, port = w.catalog.address.partition(":")
        w.node.discovery.generation = None
        entries = [entry(f"s{i}", o.address) for i, o in enumerate(w.origins)]
        w.catalog.whole = json.dumps(update(50, *entries, reset=True), **layout).encode()
        w.node.discovery.listen(False)
        w.node.discovery.generation = None
        w.node.discovery.listen(True)
        path, watch = await w.catalog.watches.get()
        assert path.endswith(b"after=50") and len(w.node.directory.listed) == 2

    with_node(test, servers=2)


def test_a_list_that_dribbles_in_does_not_keep_up_a_watch(monkeypatch):
    from harecross.core import asking, discovery

    monkeypatch.setattr(asking, "BEAT", 0.3)
    monkeypatch.setattr(discovery, "PART_MOST", 0.3)

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


def test_changes_without_end_keep_a_watch_up_though_each_piece_ends_inside_one(monkeypatch):
    from harecross.core import asking, discovery

    monkeypatch.setattr(asking, "BEAT", 0.3)
    monkeypatch.setattr(discovery, "PART_MOST", 0.1)

    async def test(w: World) -> None:
        _, watch = await w.catalog.watches.get()
        changes = (update(n, entry("s0", w.origins[0].address)) for n in range(42, 132))
        text = b"".join(json.dumps(change).encode() + b"\n" for change in changes)
        piece = len(text) // 90
        watch.write(b"%x\r\n%s\r\n" % (piece // 2, text[: piece // 2]))
        for at in range(piece // 2, len(text) - piece, piece):
            watch.write(b"%x\r\n%s\r\n" % (piece, text[at : at + piece]))
            await asyncio.sleep(0.02)
        assert w.node.discovery.current.generation > 120 and w.catalog.watches.empty()

    with_node(test)
