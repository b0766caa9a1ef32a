"""Tests of reading traces: causes for dropped rows, order, files, mapping files, and counts for arbitrary rows."""

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

TRACES = Path(__file__).parent / "traces"
GOOD = b"1000000,,2,0,m1,0,bob,3,9,0.1,0.1,0.1,0"


def task(time_us: int, job: int = 1, event: int = 0) -> bytes:
    return b"%d,,%d,0,m1,%d,bob,1,9,0.1,0.1,0.1,0" % (time_us, job, event)


def inspect_lines(tmp_path: Path, *lines: bytes, line_break: bytes = b"\n", **options) -> dict:
    path = tmp_path / "trace.csv"
    path.write_bytes(line_break.join(lines) + line_break)
    return inspect(Trace([path], "google-2011", **options))


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
    found = inspect_lines(tmp_path, GOOD, line, task(1500000, 7))
    assert found["rows_dropped"] == {cause: 1}
    assert found["rows_kept"] == 2
    assert found["requests"] == 2
    assert found["first_dropped"] == {cause: [f"{tmp_path}/trace.csv:2"]}


def test_a_valid_row_that_polars_may_misparse_is_kept(tmp_path):
    quoted = b'" 1100000","","2","0","m,1","0","bob","3","9","0.1","0.1","0.1","0"'
    found = inspect_lines(tmp_path, GOOD, quoted, b" 1200000 ,,3,0,m1,0,bob,3,9,0.1,0.1,0.1,0")
    assert found["rows_kept"] == 3
    assert found["rows_dropped"] == {}


def test_a_byte_order_mark_and_crlf_are_not_part_of_a_row(tmp_path):
    found = inspect_lines(tmp_path, b"\xef\xbb\xbf" + GOOD, task(1500000, 7), line_break=b"\r\n")
    assert found["rows_kept"] == 2
    assert found["rows_dropped"] == {}


def test_a_row_with_a_negative_duration_is_dropped(tmp_path):
    path = tmp_path / "a.csv"
    path.write_text("app,func,end_timestamp,duration\na,f,1.0,0.5\na,f,2.0,-0.5\n")
    assert inspect(Trace([path]))["rows_dropped"] == {DropCause.NEGATIVE_DURATION: 1}


def test_early_rows_are_kept_within_the_window_and_dropped_beyond_it(tmp_path):
    lines = [task(100_000_000, 1), task(40_000_000, 2), task(39_999_999, 3), task(99_000_000, 4)]
    found = inspect_lines(tmp_path, *lines)
    assert found["rows_reordered"] == 2
    assert found["rows_dropped"] == {DropCause.OUT_OF_ORDER: 1}
    assert found["first_dropped"] == {DropCause.OUT_OF_ORDER: [f"{tmp_path}/trace.csv:3"]}


def test_a_late_row_gets_the_earliest_time_in_the_window_if_rows_are_clamped(tmp_path):
    found = inspect_lines(tmp_path, task(100_000_000, 1), task(5, 2), late_mode="clamp")
    assert (found["rows_kept"], found["rows_clamped"], found["rows_reordered"]) == (2, 1, 0)
    assert found["span_s"] == 60.0  # from the start of the window, not from 5 microseconds


def test_rows_after_a_clock_jumps_back_are_dropped_until_it_has_caught_up(tmp_path):
    times = [500_000_000, 501_000_000, 1_000_000, 2_000_000, 502_000_000]
    found = inspect_lines(tmp_path, *(task(t, i) for i, t in enumerate(times)))
    assert found["rows_dropped"] == {DropCause.OUT_OF_ORDER: 2}
    assert found["rows_kept"] == 3


def test_events_before_and_after_the_trace_are_neither_late_nor_requests(tmp_path):
    found = inspect_lines(
        tmp_path, task(900_000_000), task(0, 2), task((1 << 63) - 1, 3), task(901_000_000, 4)
    )
    assert found["rows_kept"] == 4
    assert found["requests"] == 2
    assert found["span_s"] == 1.0


def test_a_row_repeated_after_the_window_is_out_of_order_and_not_a_duplicate(tmp_path):
    found = inspect_lines(tmp_path, GOOD, task(90_000_000, 2), GOOD)
    assert found["rows_dropped"] == {DropCause.OUT_OF_ORDER: 1}


@pytest.mark.parametrize("compress", [gzip.compress, zstandard.compress], ids=["gz", "zst"])
def test_compressed_files_are_read_in_order(tmp_path, compress):
    suffix = "gz" if compress is gzip.compress else "zst"
    paths = [tmp_path / f"part-{i}.csv.{suffix}" for i in range(2)]
    paths[0].write_bytes(compress(GOOD + b"\n" + task(2_000_000, 5)))  # without a final line break
    paths[1].write_bytes(compress(task(3_000_000, 6) + b"\nrubbish\n"))
    found = inspect(Trace(paths))
    assert found["rows_read"] == 4
    assert found["requests"] == 3
    assert found["first_dropped"] == {DropCause.SHORT: [f"{paths[1]}:2"]}


@pytest.mark.parametrize("missing_bytes", [1, 11, 30])
def test_a_truncated_compressed_file_is_an_error(tmp_path, missing_bytes):
    path = tmp_path / "t.csv.gz"
    whole = gzip.compress(b"\n".join(task(i * 1000, i) for i in range(2000)))
    path.write_bytes(whole[:-missing_bytes])
    with pytest.raises(TraceError, match="t.csv.gz: "):
        inspect(Trace([path]))


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (b"", "no row"),
        (b"\n\n", "no row"),
        (b"a,b,c\n1,2,3\n", "match no known format"),
        (b"app,func,end_timestamp\na,f,1\n", "lacks the column duration"),
        (b"app,func,end_timestamp,duration\n", "no usable row in 0"),
        (b"app,func,end_timestamp,duration\na,f,x,1\n", "no usable row in 1 .non_numeric 1"),
    ],
)
def test_an_unusable_file_is_an_error(tmp_path, text, message):
    path = tmp_path / "t.csv"
    path.write_bytes(text)
    with pytest.raises(TraceError, match=message):
        inspect(Trace([path]))


def test_header_names_take_precedence_over_positions(tmp_path):
    path = tmp_path / "t.csv"
    path.write_text("duration,extra,func,end_timestamp,app\n0.5,9,f,10.0,a\n0.25,9,f,11.0,a\n")
    found = inspect(Trace([path]))
    assert (found["format"], found["requests"], found["span_s"]) == ("azure-functions-2021", 2, 1.25)


def test_files_of_different_formats_are_an_error(tmp_path):
    with pytest.raises(TraceError, match="but the files before it are google-2011"):
        inspect(Trace([TRACES / "google_tasks.csv", TRACES / "azure_2021.csv"]))


@pytest.mark.parametrize(
    ("name", "trace_format"),
    [
        ("google_tasks", GOOGLE_TASKS), ("google_machines", GOOGLE_MACHINES), ("alibaba_batch", ALIBABA_BATCH),
        ("ms_calls", MS_CALLS), ("azure_2021", AZURE_2021),
    ],
)  # fmt: skip
def test_formats_are_recognised_by_their_columns(name, trace_format):
    lines = (TRACES / f"{name}.csv").read_text().split("\n")
    found, _ = recognise_format(name, lines)
    assert (found.name, found.table) == (trace_format.name, trace_format.table)


def test_a_call_graph_without_a_header_and_with_an_index_column_is_recognised():
    lines = (TRACES / "ms_calls.csv").read_text().split("\n")[1:]
    found, has_header = recognise_format("x", lines)
    assert found.table == "MSCallGraph"
    assert not has_header
    assert found.columns[0].position == 1


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("[columns]\ntime = 1\nfoo = 2\n", r"foo.*allowed"),
        ("[classes.x]\neffect = 'maybe'\n", "maybe"),
        ("[classes.x]\naim_ms = 0\n", "aim_ms"),
        ("[classes.x]\naim_ms = 10\ndeadline_ms = 5\n", "under aim_ms"),
        ("[classes.'a b']\nworth = 1\n", "letters"),
        ("x = [", "not TOML"),
    ],
)
def test_an_invalid_mapping_file_is_an_error_with_its_path_and_key(tmp_path, text, message):
    path = tmp_path / "m.toml"
    path.write_text(text)
    with pytest.raises(TraceError, match=message) as error:
        read_mapping(path)
    assert str(path) in str(error.value)


def test_invocations_are_spread_over_a_minute_by_the_seed():
    def due(seed: int) -> list[int]:
        trace = Trace([TRACES / "azure_2019.csv"], seed=seed)
        return sorted(pl.concat(list(trace.requests()))["due"].to_list())

    assert due(1) == due(1) != due(2)
    assert all(0 <= due_us < 60_000_000 for due_us in due(1)[:4])
    assert all(60_000_000 <= due_us < 120_000_000 for due_us in due(1)[4:])


CELL = st.sampled_from(
    ["1", "-1", "0", "", " ", "x", "1.5", "nan", "1e3", "+4", '"', '""', '"2"', "007", "9" * 20]
)
LINE = st.one_of(
    st.lists(CELL, min_size=1, max_size=15).map(",".join),
    st.builds(
        lambda time_us, job, event, insertion, offset: (
            (row := task(time_us, job, event).decode())[:offset] + insertion + row[offset + len(insertion) :]
        ),
        st.integers(0, 200_000_000), st.integers(0, 3), st.integers(0, 9),
        st.sampled_from(["", "", "", ",", '"', "\0", "\r", "\x01", "é", "x"]), st.integers(0, 40),
    ),
)  # fmt: skip


@settings(max_examples=150, deadline=None)
@given(st.lists(LINE, min_size=1, max_size=30), st.integers(1, 200))
def test_rows_are_kept_or_dropped_in_the_same_way_for_any_block_size(lines, block_bytes):
    """The rows read are the rows kept and dropped, and splitting the file into blocks changes none of the counts."""
    import tempfile

    with tempfile.NamedTemporaryFile(suffix=".csv") as f:
        f.write("\n".join([*lines, GOOD.decode()]).encode())
        f.flush()
        tallies = []
        for size in (1 << 20, block_bytes):
            trace = Trace([Path(f.name)], "google-2011", block_bytes=size)
            # The format of arbitrary rows cannot be recognised.
            trace.reader.format_of = lambda *_: (GOOGLE_TASKS, False)
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
def test_read_block_and_classify_row_give_the_same_results(lines):
    """Parsing a block with polars must neither accept nor change a row that `classify_row` parses differently."""
    block = "\n".join(lines).encode() + b"\n"
    count, frame, unreadable = read_block(block, GOOGLE_TASKS)
    texts = block.replace(b"\r\n", b"\n").split(b"\n")[:-1]
    assert count == len(texts)
    classified = [classify_row(text, GOOGLE_TASKS) for text in texts]
    assert dict(unreadable) == {i: c for i, c in enumerate(classified) if isinstance(c, DropCause)}
    names = [c.name for c in GOOGLE_TASKS.columns]
    parsed = {row[-1]: list(row[:-1]) for row in frame.select(*names, ROW_COLUMN).iter_rows()}
    assert parsed == {i: c for i, c in enumerate(classified) if not isinstance(c, DropCause)}


def test_inconsistent_row_counts_raise_an_assertion_error():
    with pytest.raises(AssertionError, match="3 rows read, 2 kept or dropped"):
        RowTally(read=3, kept=2).check()
