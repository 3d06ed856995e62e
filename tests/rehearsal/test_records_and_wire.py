"""Tests of records as lines of a history and of the HTTP parser of the stubs."""

import json

import pytest

from plumpick.rehearsal import records
from plumpick.rehearsal.records import (
    HistoryError,
    Recorder,
    RequestSent,
    RunEnded,
    RunStarted,
    ScriptEvent,
    line_of,
    read_history,
    record_from,
)
from plumpick.rehearsal.scenario import Scenario
from plumpick.rehearsal.wire import MAX_HEAD, Reader, WireError, answer_bytes, request_bytes

ASKED = RequestSent(12.345, "r1", 1, 0, "f1", "basico", "seat-check", "n0", 900.0, 1.0, "")
STORED_NAMES = (
    "Began Asked Answered Surplus Left Born Died Took Turned Ran Replied Wasted Told Had Passed Gate Mark "
    "Lag Ended"
)
START = RunStarted(0.0, Scenario().terms(1, "", "x"))


def test_each_record_type_is_equal_after_a_round_trip():
    assert len(records.TYPES) == 19
    assert " ".join(records.TYPES) == STORED_NAMES
    samples = {"float": 1.5, "int": 3, "str": "x", "bool": True, "dict[str, Any]": {"version": 1}}
    for kind in records.TYPES.values():
        record = kind(*(samples[str(field.type)] for field in records.fields(kind)))
        assert record_from(line_of(record)) == record


@pytest.mark.parametrize(
    "line",
    [
        "",
        "{}",
        "[]",
        '["Asked"]',
        '["Nothing",1]',
        '["Mark","x","y"]',
        "[1,2]",
        line_of(ASKED)[:-9],
        json.dumps(["Mark", 1.0, "a", "b"]),
    ],
)
def test_malformed_line_raises_error_with_its_line_number(line):
    with pytest.raises(HistoryError, match="line 2"):
        list(read_history([line_of(START), line]))


def test_history_without_start_or_in_unknown_version_or_out_of_order_is_rejected():
    with pytest.raises(HistoryError, match="line 1"):
        list(read_history([line_of(ASKED)]))
    with pytest.raises(HistoryError, match="version"):
        list(read_history([line_of(RunStarted(0.0, {"version": 99}))]))
    with pytest.raises(HistoryError, match="line 3: earlier"):
        list(read_history([line_of(START), line_of(ASKED), line_of(ScriptEvent(12.3, "x"))]))


class FullDiskFile:
    """A fake file whose writes fail because the disk is full."""

    def write(self, _text):
        raise OSError(28, "No space left on device")

    def close(self):
        raise OSError(28, "No space left on device")


def test_write_error_is_kept_and_listeners_still_receive_records():
    recorder, received = Recorder(), []
    recorder.listeners.append(type("L", (), {"feed": staticmethod(received.append)}))
    recorder.write_to(FullDiskFile())
    for t in range(3):
        recorder(ScriptEvent(float(t), "x"))
    recorder.close()
    assert len(received) == 3 and "No space left" in recorder.problem


def test_recorder_raises_earlier_times_to_the_previous_time():
    recorder, received = Recorder(), []
    recorder.listeners.append(type("L", (), {"feed": staticmethod(received.append)}))
    for t in (5.0, 4.9, 6.0):
        recorder(ScriptEvent(t, "x"))
    assert [record.t for record in received] == [5.0, 5.0, 6.0]


MESSAGES = [
    (True, answer_bytes(200, b"body", "X-Load: {}\r\n")),
    (True, answer_bytes(503)),
    (False, request_bytes("GET", "/seat-check", {"X-Request-Id": "a"})),
    (False, request_bytes("POST", "/hours-debit", {"X-Request-Id": "a"}, b'{"n":1}')),
]


@pytest.mark.parametrize(("answers", "raw"), MESSAGES)
def test_message_is_parsed_equally_for_every_split_of_its_bytes(answers, raw):
    for cut in range(len(raw) + 1):
        reader = Reader(answers)
        found = reader.feed(raw[:cut], 1.0) + reader.feed(raw[cut:] + raw[:5], 2.0)
        assert [message.raw for message in found] == [raw] and reader.begun
        assert found[0].first_t == (1.0 if cut else 2.0)


def test_two_messages_in_one_chunk_are_both_returned():
    raw = answer_bytes(200, b"one") + answer_bytes(404, b"two")
    one, two = Reader(True).feed(raw, 0.0)
    assert (one.status, one.body, two.status, two.body) == (200, b"one", 404, b"two")


@pytest.mark.parametrize(
    "raw",
    [
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 2x0 OK\r\nContent-Length: 0\r\n\r\n",
        b"\x16\x03\x01\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
        b"SPDY/9 200 OK\r\nContent-Length: 0\r\n\r\n",
        b"x" * (MAX_HEAD + 1),
    ],
)
def test_bytes_outside_the_http_subset_raise_wire_error(raw):
    with pytest.raises(WireError):
        Reader(True).feed(raw, 0.0)


def test_records_after_run_ended_are_not_written(tmp_path):
    """On a busy machine discovery events arrived during the shutdown of the fleet, after the end record."""
    recorder, path = Recorder(), tmp_path / "history.jsonl"
    recorder.write_to(path.open("w"))
    for record in (ScriptEvent(1.0, "a"), RunEnded(2.0, 0.5, 0.5), ScriptEvent(3.0, "b")):
        recorder(record)
    recorder.close()
    kept = [record_from(line) for line in path.read_text().splitlines()]
    assert kept == [ScriptEvent(1.0, "a"), RunEnded(2.0, 0.5, 0.5)]
