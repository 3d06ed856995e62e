"""A gateway process answers every request of sound clients, whatever its memory, signals and workers do.

Run alone: the clients' and workers' stand-ins share one event loop, whose lag would be taken for that of the
gateway."""

import pytest

from benchmarks.answer_soak import Options, play_seed

SECONDS = 5.0
CASES = {
    "little memory": Options(memory_mb=43, clients=200, kinds="ask+order+pipeline", signals=""),
    "least memory": Options(memory_mb=32, clients=150, kinds="ask+order+pipeline", signals=""),
    "SIGTERM": Options(memory_mb=192, clients=60, kinds="pipeline+ask", signals="terminate"),
    "hot restart": Options(memory_mb=64, clients=60, kinds="pipeline+ask", signals="hot restart"),
    "stops of 0.15 s": Options(memory_mb=192, clients=60, kinds="leave+short", signals="stop"),
}


@pytest.mark.parametrize("case", CASES)
def test_no_request_of_sound_clients_is_lost(case):
    """Guards against report 103a87: requests that were read got no complete response, or were sent on more
    than 0.1 s after their client had left."""
    options = CASES[case]
    options.descriptors, options.crowd, options.seconds = 1024, "", SECONDS
    result = play_seed(1, options)
    assert result.is_sound(), (result.lost, result.ended, result.samples, result.log)
    assert result.counts.get("200", 0) > 1000
