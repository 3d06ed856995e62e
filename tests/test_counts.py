"""Trace records of a daemon, and their totals by `plumpick counts`."""

import json

import pytest
from support.fakes import HOST, Client, FakeDiscovery, FakeWorker, config, entry, http_response, request, run
from support.ports import free_port
from support.processes import send_endpoint_list, start_program, wait_until_ready

from plumpick.cli import EXIT_HELD, EXIT_USAGE, main
from plumpick.tools.counts import CountsError, aggregate, parse_records, summarize


def line(*parts, before="0.123 "):
    return before + "@" + json.dumps(parts)


def test_records_are_parsed_after_any_prefix_and_malformed_ones_are_counted():
    rows, torn = parse_records(
        [
            line("gone", 5.0, 1),
            "12 a line of the log",
            line("gone", 6.0, 1, before=""),
            '0.2 @["send",7.0,1,"w',
            line("gone", "late"),
        ]
    )
    assert [row[1] for row in rows] == [5.0, 6.0] and torn == 2


def test_records_are_aggregated_by_time_slice_and_worker():
    rows = [
        ["arrival", 1000.0, 1],
        ["arrival", 2500.0, 2],
        ["belief", 1100.0, {"warm": 60}],
        ["belief", 1200.0, {"warm": 18, "odd": "x"}],
        ["call", 500.0, "/", "status 503", 5],
        ["call", 600.0, "/", "ok", 5],
        ["tell", 1500.0, 3, [], 6],
        ["tell", 1500.0, 3, [1], 20],
        ["heard", 1510.0, 0, [1]],
        ["dial", 1001.0, "h", "up", 1.0],
        ["dial", 1001.0, "h", "OSError", 1.0],
        ["outcome", 1900.0, 1, "w0", "OK", 3.0, []],
        ["send", 1300.0],
        ["outcome", 1300.0],
    ]
    rows += [["send", 1010.0 + n, n, f"w{n % 2 * (n % 3)}", 1.0, n % 4 > 0] for n in range(12)]
    slices, malformed = aggregate(rows, 1000.0)
    assert malformed == 2 and set(slices) == {-1, 0, 1}
    first = slices[0]
    assert first.counts["send"] == 12 and first.counts["credit"] == 3 and first.counts["OK"] == 1
    assert first.counts["handshake"] == 1 and first.counts["sign"] == 1 and first.mean_belief("warm") == 39.0
    assert first.mean_belief("odd") == 0.0 and slices[-1].counts["turned away"] == 1
    assert first.workers == {"w0": 8, "w1": 2, "w2": 2}
    figures = summarize(slices)
    assert figures["calls of discovery, most in a slice"] == 2 and figures["messages not taken in"] == 1
    assert figures["worker's load over the mean, most"] == 2.0
    assert figures["handshakes a send"] == pytest.approx(1 / 12, abs=1e-3)


def test_counts_rejects_records_without_a_request_folders_without_logs_and_invalid_spans(tmp_path, capsys):
    with pytest.raises(CountsError):
        aggregate([["belief", 1.0, {}]], 1000.0)
    assert main(["counts", str(tmp_path)]) == EXIT_USAGE
    (tmp_path / "n0.log").write_text("nothing\n")
    assert main(["counts", str(tmp_path)]) == EXIT_USAGE
    assert main(["counts", str(tmp_path), "--span", "0"]) == EXIT_USAGE
    errors = capsys.readouterr().err.splitlines()
    assert (
        len(errors) == 3 and "no *.log" in errors[0] and "no request" in errors[1] and "--span" in errors[2]
    )


def test_traced_daemon_serves_and_records_the_request(tmp_path, capsys):
    async def scenario():
        async with FakeDiscovery() as fake, FakeWorker() as worker:
            port, path = free_port(), tmp_path / "config.json"
            path.write_text(json.dumps(config(fake.port, port)))
            process = await start_program(path, "plumpick.tools.traced")
            try:
                await send_endpoint_list(fake, entry("w1", worker.port))
                await wait_until_ready(port)
                client = await Client().open(port)
                client.send(request())
                _, writer = await worker.next_request()
                writer.write(http_response())
                assert (await client.read_response())[0] == 200
                client.close()
                process.terminate()
                _, log = await process.communicate()
                assert process.returncode == 0
            finally:
                if process.returncode is None:
                    process.kill()
                    await process.wait()
            (tmp_path / "n0.log").write_bytes(log)

    run(scenario())
    assert main(["counts", str(tmp_path), "--json"]) == EXIT_HELD
    output = json.loads(capsys.readouterr().out)
    total = {}
    for counts in output["slices"].values():
        for name, count in counts.items():
            total[name] = total.get(name, 0) + count
    assert (total["arrival"], total["send"], total["OK"], total["handshake"]) == (1, 1, 1, 2)
    assert output["torn"] == 0 and total["belief"] > 0 and total["call"] >= 1
    assert main(["counts", str(tmp_path)]) == EXIT_HELD and HOST not in capsys.readouterr().out
