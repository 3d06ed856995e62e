"""Requests with a body that offer an upgrade, as HTTP/1.1 allows: what comes to the workers?"""

from __future__ import annotations

import json
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import CouldNotRunError, Tier, is_trouble, main, settings  # noqa: E402

COUNT = 10  # requests of each class
# What a common client library sends by default with each request on plain TCP (RFC 7540, 3.2). A server
# that does not want to change to another protocol ignores it (RFC 9110, 7.8).
OFFER = {
    "Connection": "Upgrade, HTTP2-Settings",
    "Upgrade": "h2c",
    "HTTP2-Settings": "AAEAAEAAAAIAAAABAAMAAABkAAQBAAAAAAUAAEAA",
}


async def scenario(tier: Tier) -> list[str]:
    """Unsafe and keyed requests, each with a body and, as the disruption, the offer."""
    await tier.start_services()
    gate = tier.gates[0]
    await gate.start(settings(1))
    await tier.wait_up(gate)
    sent: dict[str, tuple[str, bytes, int]] = {}
    for number in range(2 * COUNT):
        name = ("hours-debit", "seat-checkout")[number // COUNT]
        body = json.dumps({"seat": number, "hours": 12}).encode()
        request_id, status, _ = await tier.client.call(
            gate.listen,
            "client",
            name,
            "basico",
            0x41,
            body=body,
            spread=1,
            more=OFFER if is_trouble() else None,
        )
        sent[request_id] = (f"POST /{name}", body, status)
    return judge(tier, sent)


def judge(tier: Tier, sent: dict[str, tuple[str, bytes, int]]) -> list[str]:
    """Method, path and body go on unchanged, by what workers got and clients were answered."""
    broken = []
    runs = [run for worker in tier.workers for run in worker.runs]
    for run in runs:
        what, body, status = sent[run.request_id]
        if (run.what, run.body) != (what, body):
            broken.append(
                f"id={run.request_id} {run.what}: a worker got and ran body {run.body.decode()!r}, the "
                f"client had sent {body.decode()!r} and was answered {status}"
            )
    if not is_trouble() and len(runs) != len(sent):
        raise CouldNotRunError(f"{len(runs)} of {len(sent)} requests came to a worker")
    unread = sum(status == 400 for _, _, status in sent.values())
    line = f"{len(sent)} sent, {len(runs)} run, {len(broken)} of them changed; {unread} answered 400"
    tier.record(f"judged   {line}")
    print(line)
    return broken


if __name__ == "__main__":
    sys.exit(main(Tier(FOLDER, 1, 4), scenario))
