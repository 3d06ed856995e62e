"""Generates report.html: a self-contained file with the verdicts and with plots drawn from the history."""

from __future__ import annotations

import html
import io
from collections import defaultdict
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("svg")

from matplotlib.figure import Figure

from plumpick.rehearsal.auditor import RULES
from plumpick.rehearsal.records import (
    AttemptReceived,
    Record,
    RequestSent,
    ResponseReceived,
    RunStarted,
    ScriptEvent,
    read_history,
)
from plumpick.rehearsal.service import Service

MOST_FIRMS, MOST_POINTS = 12, 4000
INK, PALETTE = "#1d2733", ("#1b6ca8", "#c8553d", "#2a8c5f", "#8a5a9e", "#c79a1e", "#5b6770")


class _Series:
    """Data series for the plots, collected from the records of a history in one pass."""

    def __init__(self) -> None:
        self.service = Service()
        self.terms: dict[str, Any] = {}
        self.marks: list[tuple[float, str]] = []  # events of the script: time in s, text
        # Served requests by class: time of the response in s, time since the first try in ms.
        self.waits: defaultdict[str, list[tuple[float, float]]] = defaultdict(list)
        self.asked: dict[str, RequestSent] = {}  # each try that was sent, by request id
        self.first_t: dict[int, float] = {}  # time of the first try of each operation, in ms
        # Number of attempts by worker and second.
        self.per_server: defaultdict[str, defaultdict[int, int]] = defaultdict(lambda: defaultdict(int))
        # units of requests that reached workers, by customer
        self.used: defaultdict[str, float] = defaultdict(float)
        # units of first tries of operations, by customer
        self.wanted: defaultdict[str, float] = defaultdict(float)
        self.plans: dict[str, str] = {}  # name of each customer's plan
        self._sent: set[str] = set()
        self.end_s = 0.0

    def feed(self, record: Record) -> None:
        self.service.feed(record)
        self.end_s = record.t / 1000
        match record:
            case RunStarted():
                self.terms = record.terms
            case ScriptEvent():
                self.marks.append((record.t / 1000, record.text))
            case RequestSent():
                self.first_t.setdefault(record.op, record.t)
                self.asked[record.id] = record
                self.plans[record.firm] = record.plan
                self.wanted[record.firm] += record.units * (record.turn == 0)
            case ResponseReceived() if record.status == 200 and record.id in self.asked:
                asked = self.asked[record.id]
                self.waits[asked.kind].append((record.t / 1000, record.t - self.first_t[asked.op]))
            case AttemptReceived():
                self.per_server[record.server][int(record.t // 1000)] += 1
                if record.id not in self._sent and record.id in self.asked:
                    self._sent.add(record.id)
                    self.used[self.asked[record.id].firm] += self.asked[record.id].units


def _svg(figure: Figure) -> str:
    out = io.StringIO()
    figure.savefig(out, format="svg", metadata={"Date": None, "Creator": "plumpick"})
    text = out.getvalue()
    return text[text.index("<svg") :]


def _figure(title: str, height: float = 3.0) -> tuple[Figure, Any]:
    figure = Figure(figsize=(10.5, height), layout="constrained")
    axes = figure.add_subplot()
    axes.set_title(title, loc="left", fontsize=11, color=INK, fontweight="bold")
    axes.spines[["top", "right"]].set_visible(False)
    axes.grid(axis="y", color="#e3e8ed", linewidth=0.7)
    axes.tick_params(labelsize=8, colors=INK)
    return figure, axes


def _marks(axes: Any, series: _Series) -> None:
    axes.set_xlim(0, max(1.0, series.end_s))
    top, last, row = 1.0, -9.0, 0
    for at, text in series.marks:
        axes.axvline(at, color="#c8553d", linewidth=0.8, alpha=0.55, linestyle="--")
        row = row + 1 if at - last < series.end_s / 14 else 0
        last = at
        axes.annotate(
            text[:34],
            (at, top - 0.09 * (row % 6)),
            xycoords=("data", "axes fraction"),
            fontsize=6,
            color="#8f2f1b",
            rotation=0,
            ha="left",
            va="top",
            xytext=(2, -1),
            textcoords="offset points",
        )


def _by_second(series: _Series, names: list[str], table: Any, title: str) -> str:
    figure, axes = _figure(title)
    seconds = range(int(series.end_s) + 1)
    for color, name in zip(PALETTE, names, strict=False):
        points = [
            (second, table[second, name].share())
            for second in seconds
            if (second, name) in table and table[second, name].offered
        ]
        axes.plot(
            [x for x, _ in points], [100 * y for _, y in points], color=color, linewidth=1.3, label=name
        )
    axes.set_ylim(-2, 104)
    axes.set_ylabel("% served in time", fontsize=8)
    axes.legend(fontsize=7, loc="lower left", frameon=False, ncols=4)
    _marks(axes, series)
    return _svg(figure)


def _service(series: _Series) -> str:
    figure, axes = _figure(
        "Worth requested within the quotas and worth served in time, by second of the first try"
    )
    seconds = sorted(series.service.seconds)
    offered = [series.service.seconds[second].offered for second in seconds]
    served = [series.service.seconds[second].served for second in seconds]
    axes.fill_between(seconds, offered, color="#d5e3ef", step="mid", label="requested")
    axes.plot(seconds, served, color=PALETTE[0], linewidth=1.4, drawstyle="steps-mid", label="served in time")
    axes.set_ylabel("worth per second", fontsize=8)
    axes.set_xlabel("seconds", fontsize=8)
    axes.legend(fontsize=7, loc="lower left", frameon=False, ncols=2)
    _marks(axes, series)
    return _svg(figure)


def _response_times(series: _Series) -> str:
    figure, axes = _figure("Time from the first try to the response, and target time of each class", 3.4)
    for color, kind in zip(PALETTE, series.terms["classes"], strict=False):
        points = series.waits.get(kind["name"], [])
        points = points[:: max(1, len(points) // MOST_POINTS)]
        axes.scatter(
            [x for x, _ in points],
            [max(1.0, y) for _, y in points],
            s=3,
            color=color,
            alpha=0.45,
            linewidths=0,
            label=kind["name"],
        )
        axes.axhline(kind["aim_ms"], color=color, linewidth=0.9, linestyle=":")
    axes.set_yscale("log")
    axes.set_ylabel("ms", fontsize=8)
    axes.legend(fontsize=7, loc="lower left", frameon=False, ncols=4, markerscale=3)
    _marks(axes, series)
    return _svg(figure)


def _servers(series: _Series) -> str:
    names = sorted(series.per_server)
    figure, axes = _figure("Attempts per second at each worker", max(2.2, 0.17 * len(names) + 1.0))
    seconds = int(series.end_s) + 1
    rows = [[series.per_server[name].get(second, 0) for second in range(seconds)] for name in names]
    image = axes.imshow(
        rows,
        aspect="auto",
        cmap="YlGnBu",
        interpolation="nearest",
        extent=(0, seconds, len(names) - 0.5, -0.5),
    )
    step = max(1, len(names) // 40)
    axes.set_yticks(range(0, len(names), step), names[::step], fontsize=6)
    axes.grid(visible=False)
    figure.colorbar(image, ax=axes, pad=0.01).ax.tick_params(labelsize=7)
    for at, _ in series.marks:
        axes.axvline(at, color="#c8553d", linewidth=0.8, alpha=0.6, linestyle="--")
    axes.set_xlabel("seconds", fontsize=8)
    return _svg(figure)


def _quotas(series: _Series) -> str:
    quotas = series.terms["quotas"]

    def allowed(firm: str) -> float:
        quota = quotas[series.plans[firm]]
        return float(quota["burst"] + quota["rate"] * series.end_s)

    firms = sorted(series.used, key=lambda firm: -series.wanted[firm] / allowed(firm))[:MOST_FIRMS]
    figure, axes = _figure(
        "Quota used by the customers with the highest demand relative to their quota", 0.28 * len(firms) + 1.2
    )
    for place, firm in enumerate(firms):
        axes.barh(
            place,
            100 * series.wanted[firm] / allowed(firm),
            color="#e3e8ed",
            height=0.75,
            label="requested (first tries)" if not place else None,
        )
        axes.barh(
            place,
            100 * series.used[firm] / allowed(firm),
            color=PALETTE[2],
            height=0.45,
            label="sent to workers" if not place else None,
        )
        quota = quotas[series.plans[firm]]
        if quota["ceiling_rate"]:
            ceiling = quota["ceiling_burst"] + quota["ceiling_rate"] * series.end_s
            axes.plot(
                [100 * ceiling / allowed(firm)] * 2,
                [place - 0.4, place + 0.4],
                color="#c8553d",
                linewidth=2,
                label="ceiling",
            )
    axes.axvline(100, color=INK, linewidth=0.9)
    axes.set_yticks(range(len(firms)), [f"{firm[-8:]} {series.plans[firm]}" for firm in firms], fontsize=7)
    axes.invert_yaxis()
    axes.set_xlabel("% of the quota of the whole run, including its burst", fontsize=8)
    handles, labels = axes.get_legend_handles_labels()
    axes.legend(
        dict(zip(labels, handles, strict=True)).values(), dict.fromkeys(labels), fontsize=7, frameon=False
    )
    return _svg(figure)


_STYLE = """body{font:15px/1.5 system-ui,sans-serif;color:#1d2733;max-width:1080px;
margin:2em auto;padding:0 1em}
h1{font-size:1.4em;margin:0}
h2{font-size:1.1em;margin:1.6em 0 .4em}
.sub{color:#5b6770;margin:.2em 0 1.4em}
.rules{display:flex;gap:.7em;flex-wrap:wrap}
.rule{flex:1;min-width:150px;border-radius:8px;padding:.7em .9em}
.rule b{display:block}
.held{background:#e0f1e8}.broken{background:#f8ddd6}.not{background:#edf0f2}
.big{font-size:2.1em;font-weight:650}
table{border-collapse:collapse}
td{padding:.15em 1em .15em 0;text-align:left}
td.n{text-align:right;font-variant-numeric:tabular-nums}
svg{width:100%;height:auto;margin:.4em 0}
details{margin:.3em 0}
pre{font-size:12px;overflow:auto;background:#f4f6f8;padding:.6em;border-radius:6px}"""


def _breaches(report: dict[str, Any]) -> str:
    parts = []
    for rule in RULES:
        for breach in report["rules"][rule]["breaches"][:20]:
            head = html.escape(f"{rule} at {breach['t'] / 1000:.3f} s, {breach['what']}: {breach['text']}")
            parts.append(
                f"<details><summary>{head}</summary><pre>{html.escape(chr(10).join(breach['story']))}"
                "</pre></details>"
            )
    return "<h2>Breaches with their related records</h2>" + "".join(parts) if parts else ""


def page_of(history: Path, report: dict[str, Any]) -> str:
    """Return the HTML page for a history file and its report; raises HistoryError or OSError."""
    series = _Series()
    with history.open(encoding="utf-8") as lines:
        for record in read_history(lines):
            series.feed(record)
    cards = "".join(
        f'<div class="rule {rules["verdict"].split()[0]}"><b>{rule}</b>{rules["verdict"]}'
        f"<br><small>{rules['chances']} chances, {rules['count']} breaches</small></div>"
        for rule, rules in report["rules"].items()
    )
    counted = report["service"]
    rows = [
        ("whole run (65 %)", counted["whole"]),
        ("worst 10 s (20 %)", counted["worst_10_s"]),
        ("worst-served plan (15 %)", counted["worst_plan"]),
    ]
    rows += [(f"class {name}", share) for name, share in counted["classes"].items()]
    rows += [(f"plan {name}", share) for name, share in counted["plans"].items()]
    rows += [(f"price of {name.replace('_', ' ')}", -cost) for name, cost in counted["prices"].items()]
    table = "".join(
        f'<tr><td>{html.escape(name)}</td><td class="n">{100 * value:.2f} %</td></tr>' for name, value in rows
    )
    kinds = [kind["name"] for kind in series.terms["classes"]]
    plots = [
        _service(series),
        _by_second(series, kinds, series.service.by_second_kind, "Service of each class"),
        _by_second(
            series, list(series.terms["quotas"]), series.service.by_second_plan, "Service of each plan"
        ),
        _response_times(series),
        _servers(series),
        _quotas(series),
    ]
    planted = f", planted: {html.escape(report['plant'])}" if report["plant"] else ""
    return (
        '<!doctype html><html lang="en"><head><meta charset="utf-8">'
        f"<title>{html.escape(report['scenario'])} — plumpick rehearsal</title>"
        '<link rel="icon" href="data:,"><meta name="viewport" content="width=device-width">'
        f"<style>{_STYLE}</style></head><body><h1>{html.escape(report['title'])}</h1>"
        f'<p class="sub">scenario {html.escape(report["scenario"])}, seed {report["seed"]}{planted}, '
        f"{report['seconds']:g} s, {series.terms['gatekeepers']} gatekeepers; lag of the stubs' event loop: "
        f"p99 {report['lag_ms']['p99']:.1f} ms, maximum {report['lag_ms']['max']:.1f} ms</p>"
        f'<div class="rules">{cards}</div><h2>Service</h2><span class="big">'
        f"{counted['service']:.4f}</span><table>{table}</table>{_breaches(report)}{''.join(plots)}"
        "</body></html>\n"
    )
