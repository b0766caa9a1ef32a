"""Rows that go wrong, one test a cause; order, blocks, files; and sums that hold whatever the rows are."""

from __future__ import annotations

import gzip
from pathlib import Path

import polars as pl
import pytest
import zstandard
from hypothesis import given, settings
from hypothesis import strategies as st

from harecross.traces.formats import (
    ALIBABA_BATCH,
    AZURE_2021,
    GOOGLE_MACHINES,
    GOOGLE_TASKS,
    MS_CALLS,
    recognise_format,
)
from harecross.traces.mapping import read_mapping
from harecross.traces.row_tally import DropCause, RowTally, TraceError
from harecross.traces.rows import ROW_COLUMN, classify_row, read_block
from harecross.traces.summary import Trace, inspect

HERE = Path(__file__).parent / "traces"
GOOD = b"1000000,,2,0,m1,0,bob,3,9,0.1,0.1,0.1,0"


def task(at: int, job: int = 1, event: int = 0) -> bytes:
    return b"%d,,%d,0,m1,%d,bob,1,9,0.1,0.1,0.1,0" % (at, job, event)


def told(tmp_path: Path, *lines: bytes, end: bytes = b"\n", **more) -> dict:
    path = tmp_path / "trace.csv"
    path.write_bytes(end.join(lines) + end)
    return inspect(Trace([path], "google-2011", **more))


# ---- one cause each ---------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("line", "cause"),
    [
        (b"", DropCause.BLANK),
        (b"   ", DropCause.BLANK),
        (b"1000000,,2,0,m\x001,0,bob,3,9,0.1,0.1,0.1,0", DropCause.NUL),
        (b"1000000,,2,0,m\xff,0,bob,3,9,0.1,0.1,0.1,0", DropCause.ENCODING),
        (b'1000000,,2,0,"m1,0,bob,3,9,0.1,0.1,0.1,0', DropCause.QUOTES),
        (b'1000000,,2,0,"m"1,0,bob,3,9,0.1,0.1,0.1,0', DropCause.QUOTES),
        (b"1000000,,2,0,m1,0,bob,3,9,0.1,0.1,0.1", DropCause.SHORT),
        (b"1000000", DropCause.SHORT),
        (b"1000000,,2,0,m1,0,bob,3,9,0.1,0.1,0.1,0,", DropCause.LONG),
        (b"1000000,,2,0,m1,0,bob,3,9,0.1,0.1,0.1,0,7,7", DropCause.LONG),
        (b"1000000,,,0,m1,0,bob,3,9,0.1,0.1,0.1,0", DropCause.EMPTY),
        (b",,2,0,m1,0,bob,3,9,0.1,0.1,0.1,0", DropCause.EMPTY),
        (b"1e,,2,0,m1,0,bob,3,9,0.1,0.1,0.1,0", DropCause.NOT_A_NUMBER),
        (b"1000000.5,,2,0,m1,0,bob,3,9,0.1,0.1,0.1,0", DropCause.NOT_A_NUMBER),
        (b"99999999999999999999,,2,0,m1,0,bob,3,9,0.1,0.1,0.1,0", DropCause.NOT_A_NUMBER),
        (b"-1,,2,0,m1,0,bob,3,9,0.1,0.1,0.1,0", DropCause.NEGATIVE_TIME),
        (b"1000000,,2,0,m1,9,bob,3,9,0.1,0.1,0.1,0", DropCause.UNKNOWN),
        (b"1000000,,2,0,m1,0,bob,4,9,0.1,0.1,0.1,0", DropCause.UNKNOWN),
        (GOOD, DropCause.DUPLICATE),
    ],
)
def test_a_bad_row_has_one_cause_and_its_neighbours_are_kept(tmp_path, line, cause):
    found = told(tmp_path, GOOD, line, task(1500000, 7))
    assert found["rows_dropped"] == {cause: 1}
    assert found["rows_kept"] == 2
    assert found["requests"] == 2
    assert found["first_dropped"] == {cause: [f"{tmp_path}/trace.csv:2"]}


def test_a_row_that_polars_doubts_and_that_is_good_is_kept(tmp_path):
    quoted = b'" 1100000","","2","0","m,1","0","bob","3","9","0.1","0.1","0.1","0"'
    found = told(tmp_path, GOOD, quoted, b" 1200000 ,,3,0,m1,0,bob,3,9,0.1,0.1,0.1,0")
    assert found["rows_kept"] == 3
    assert found["rows_dropped"] == {}


def test_bom_and_crlf_are_no_part_of_a_row(tmp_path):
    found = told(tmp_path, b"\xef\xbb\xbf" + GOOD, task(1500000, 7), end=b"\r\n")
    assert found["rows_kept"] == 2
    assert found["rows_dropped"] == {}


def test_a_negative_duration(tmp_path):
    path = tmp_path / "a.csv"
    path.write_text("app,func,end_timestamp,duration\na,f,1.0,0.5\na,f,2.0,-0.5\n")
    assert inspect(Trace([path]))["rows_dropped"] == {DropCause.NEGATIVE_DURATION: 1}


# ---- order ------------------------------------------------------------------------------------------


def test_order_is_put_right_within_the_window_and_dropped_beyond_it(tmp_path):
    lines = [task(100_000_000, 1), task(40_000_000, 2), task(39_999_999, 3), task(99_000_000, 4)]
    found = told(tmp_path, *lines)
    assert found["rows_reordered"] == 2
    assert found["rows_dropped"] == {DropCause.OUT_OF_ORDER: 1}
    assert found["first_dropped"] == {DropCause.OUT_OF_ORDER: [f"{tmp_path}/trace.csv:3"]}


def test_a_late_row_is_moved_to_the_windows_edge_where_it_is_to_be_clamped(tmp_path):
    found = told(tmp_path, task(100_000_000, 1), task(5, 2), late="clamp")
    assert (found["rows_kept"], found["rows_clamped"], found["rows_reordered"]) == (2, 1, 0)
    assert found["span_s"] == 60.0  # from the edge on, not from 5 microseconds


def test_a_clock_that_jumps_back_loses_what_comes_until_it_has_caught_up(tmp_path):
    times = [500_000_000, 501_000_000, 1_000_000, 2_000_000, 502_000_000]
    found = told(tmp_path, *(task(t, i) for i, t in enumerate(times)))
    assert found["rows_dropped"] == {DropCause.OUT_OF_ORDER: 2}
    assert found["rows_kept"] == 3


def test_what_lies_before_and_after_the_trace_is_neither_late_nor_a_request(tmp_path):
    found = told(tmp_path, task(900_000_000), task(0, 2), task((1 << 63) - 1, 3), task(901_000_000, 4))
    assert found["rows_kept"] == 4
    assert found["requests"] == 2
    assert found["span_s"] == 1.0


def test_a_row_again_after_the_window_is_out_of_order_and_not_a_duplicate(tmp_path):
    found = told(tmp_path, GOOD, task(90_000_000, 2), GOOD)
    assert found["rows_dropped"] == {DropCause.OUT_OF_ORDER: 1}


# ---- files ------------------------------------------------------------------------------------------


@pytest.mark.parametrize("pack", [gzip.compress, zstandard.compress], ids=["gz", "zst"])
def test_packed_parts_are_read_in_order(tmp_path, pack):
    ending = "gz" if pack is gzip.compress else "zst"
    parts = [tmp_path / f"part-{i}.csv.{ending}" for i in range(2)]
    parts[0].write_bytes(pack(GOOD + b"\n" + task(2_000_000, 5)))  # no line end at the end
    parts[1].write_bytes(pack(task(3_000_000, 6) + b"\nrubbish\n"))
    found = inspect(Trace(parts))
    assert found["rows_read"] == 4
    assert found["requests"] == 3
    assert found["first_dropped"] == {DropCause.SHORT: [f"{parts[1]}:2"]}


@pytest.mark.parametrize("cut", [1, 11, 30])
def test_a_packed_file_that_is_cut_off_is_told(tmp_path, cut):
    path = tmp_path / "t.csv.gz"
    whole = gzip.compress(b"\n".join(task(i * 1000, i) for i in range(2000)))
    path.write_bytes(whole[:-cut])
    with pytest.raises(TraceError, match="t.csv.gz: "):
        inspect(Trace([path]))


@pytest.mark.parametrize(
    ("text", "says"),
    [
        (b"", "no row"),
        (b"\n\n", "no row"),
        (b"a,b,c\n1,2,3\n", "cannot be told"),
        (b"app,func,end_timestamp\na,f,1\n", "lacks the column duration"),
        (b"app,func,end_timestamp,duration\n", "no usable row in 0"),
        (b"app,func,end_timestamp,duration\na,f,x,1\n", "no usable row in 1 .non_numeric 1"),
    ],
)
def test_a_file_that_is_of_no_use_ends_with_one_line(tmp_path, text, says):
    path = tmp_path / "t.csv"
    path.write_bytes(text)
    with pytest.raises(TraceError, match=says):
        inspect(Trace([path]))


def test_a_headers_names_go_before_positions(tmp_path):
    path = tmp_path / "t.csv"
    path.write_text("duration,extra,func,end_timestamp,app\n0.5,9,f,10.0,a\n0.25,9,f,11.0,a\n")
    found = inspect(Trace([path]))
    assert (found["format"], found["requests"], found["span_s"]) == ("azure-functions-2021", 2, 1.25)


def test_two_traces_in_one_call_are_refused(tmp_path):
    with pytest.raises(TraceError, match="but the files before it are google-2011"):
        inspect(Trace([HERE / "google_tasks.csv", HERE / "azure_2021.csv"]))


@pytest.mark.parametrize(
    ("name", "fmt"),
    [
        ("google_tasks", GOOGLE_TASKS), ("google_machines", GOOGLE_MACHINES), ("alibaba_batch", ALIBABA_BATCH),
        ("ms_calls", MS_CALLS), ("azure_2021", AZURE_2021),
    ],
)  # fmt: skip
def test_formats_are_told_from_their_columns(name, fmt):
    lines = (HERE / f"{name}.csv").read_text().split("\n")
    found, _ = recognise_format(name, lines)
    assert (found.name, found.table) == (fmt.name, fmt.table)


def test_a_call_graph_without_a_header_and_with_an_index_is_told():
    lines = (HERE / "ms_calls.csv").read_text().split("\n")[1:]
    found, header = recognise_format("x", lines)
    assert found.table == "MSCallGraph"
    assert not header
    assert found.columns[0].at == 1


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ("[columns]\ntime = 1\nfoo = 2\n", r"foo.*allowed"),
        ("[classes.x]\neffect = 'maybe'\n", "maybe"),
        ("[classes.x]\naim_ms = 0\n", "aim_ms"),
        ("[classes.x]\naim_ms = 10\ndeadline_ms = 5\n", "under aim_ms"),
        ("[classes.'a b']\nworth = 1\n", "letters"),
        ("x = [", "not TOML"),
    ],
)
def test_a_mapping_that_cannot_be_is_refused_by_its_key(tmp_path, text, says):
    path = tmp_path / "m.toml"
    path.write_text(text)
    with pytest.raises(TraceError, match=says) as e:
        read_mapping(path)
    assert str(path) in str(e.value)


def test_minutes_are_spread_the_same_way_from_the_same_seed():
    def due(seed: int) -> list[int]:
        trace = Trace([HERE / "azure_2019.csv"], seed=seed)
        return sorted(pl.concat(list(trace.requests()))["due"].to_list())

    assert due(1) == due(1) != due(2)
    assert all(0 <= at < 60_000_000 for at in due(1)[:4])
    assert all(60_000_000 <= at < 120_000_000 for at in due(1)[4:])


# ---- whatever the rows are --------------------------------------------------------------------------

CELL = st.sampled_from(
    ["1", "-1", "0", "", " ", "x", "1.5", "nan", "1e3", "+4", '"', '""', '"2"', "007", "9" * 20]
)
LINE = st.one_of(
    st.lists(CELL, min_size=1, max_size=15).map(",".join),
    st.builds(
        lambda at, job, event, spoil, where: (
            (row := task(at, job, event).decode())[:where] + spoil + row[where + len(spoil) :]
        ),
        st.integers(0, 200_000_000), st.integers(0, 3), st.integers(0, 9),
        st.sampled_from(["", "", "", ",", '"', "\0", "\r", "\x01", "é", "x"]), st.integers(0, 40),
    ),
)  # fmt: skip


@settings(max_examples=150, deadline=None)
@given(st.lists(LINE, min_size=1, max_size=30), st.integers(1, 200))
def test_each_row_has_one_fate_whatever_the_blocks(lines, block):
    """Read = kept + dropped, and the same in blocks of any size as in one."""
    import tempfile

    with tempfile.NamedTemporaryFile(suffix=".csv") as f:
        f.write("\n".join([*lines, GOOD.decode()]).encode())
        f.flush()
        tallies = []
        for size in (1 << 20, block):
            trace = Trace([Path(f.name)], "google-2011", block=size)
            trace.reader.format_of = lambda *_: (GOOGLE_TASKS, False)  # rubbish is not recognised
            try:
                for _ in trace.requests():
                    pass
            except TraceError:
                assert trace.reader.tally.kept == 0
            tally = trace.reader.tally
            assert tally.read == len(lines) + 1 == tally.kept + sum(tally.dropped.values())
            tallies.append((tally.kept, tally.reordered, tally.dropped, tally.first_dropped))
        assert tallies[0] == tallies[1]


@settings(max_examples=150, deadline=None)
@given(st.lists(LINE, min_size=1, max_size=20))
def test_the_fast_way_and_the_careful_one_find_the_same(lines):
    """Polars reads what `classify_row` would have read, and nothing that it would have refused."""
    block = "\n".join(lines).encode() + b"\n"
    count, good, causes = read_block(block, GOOGLE_TASKS)
    texts = block.replace(b"\r\n", b"\n").split(b"\n")[:-1]
    assert count == len(texts)
    careful = [classify_row(text, GOOGLE_TASKS) for text in texts]
    assert dict(causes) == {i: c for i, c in enumerate(careful) if isinstance(c, DropCause)}
    names = [c.name for c in GOOGLE_TASKS.columns]
    fast = {row[-1]: list(row[:-1]) for row in good.select(*names, ROW_COLUMN).iter_rows()}
    assert fast == {i: c for i, c in enumerate(careful) if not isinstance(c, DropCause)}


def test_a_row_that_was_not_counted_is_a_fault_of_the_program():
    with pytest.raises(AssertionError, match="3 rows read, 2 kept or dropped"):
        RowTally(read=3, kept=2).check()
