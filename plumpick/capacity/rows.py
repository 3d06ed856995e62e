"""The rows of docs/CAPACITY.md, as data: what each role and event takes, worked out by a formula of slopes,
of the form's sizes and of the program's own constants (model.py lists the names), against a limit of the
form.

No figure stands here but changes of unit, and 1 where the program has one of a thing."""

from __future__ import annotations

from dataclasses import dataclass

NONE = "none"
ROLES = ("gatekeeper", "home of a firm", "voter", "owner of a duty", "divider of a budget",
         "discovery's agent", "discovery's service", "configuration", "operator's tools", "each machine")
EVENTS = ("one worker", "replacements", "a rack", "a zone", "a region cut off", "all restarted in parts",
          "changes of configuration")
FIGURES = ("state", "messages", "bytes", "CPU", "memory", "descriptors", "recovery", "delay", "reach")

# What carries a row: file and function, or "none". Whoever builds what is missing names it here, and gives
# its rows the formulas of what it takes.
MECHANISMS = {
    "period": "anisefront/control.py, Servers.step",
    "shares": "anisefront/control.py, Controller.step_shares",
    "tidy": "anisefront/control.py, Quota.forget",
    "list": "anisefront/control.py, Servers.update",
    "list read": "plumpick/config.py, worker_list_from",
    "choice": "anisefront/control.py, Servers.choose",
    "words": "anisefront/control.py, Quota.post",
    "words in": "anisefront/control.py, Controller.on_heard",
    "home": "anisefront/control.py, Quota.at_home",
    "home lost": "anisefront/control.py, Quota.is_lost",
    "arc": "anisefront/aperture.py, arc_of",
    "process": "plumpick/daemon.py, serve",
    "leases": "anisefront/ownership/voter.py",
    "holding": "anisefront/ownership/holder.py",
    "gathering": "anisefront/usage.py, Gathering",
    "dividing": "anisefront/budgets/divider.py, Divider",
    "share": "plumpick/operator.py, _fleet",
    "watching": "anisefront/watching.py, Watching",
    "estate": "anisefront/estate.py, leave and take_over",
    "settings": "anisefront/settings.py, settings_from",
    "configuration": NONE,  # in force without a restart
    "services": NONE,  # pools of workers, with routes to them
    "machines": NONE,  # nothing of this program runs there
    "calls to all": NONE,  # one call that reaches all gatekeepers
}


@dataclass(frozen=True, slots=True)
class Row:
    """One row: `formula` and `limit` in the names of model.py; no limit where the operators set none."""

    who: str
    figure: str
    what: str
    unit: str
    formula: str
    limit: str
    mechanism: str


HERE, HOMES = "tenants * set / gatekeepers", "tenants / gatekeepers"
MEAN = "requests_per_s / gatekeepers"
CPU = "100 * cpu_part"
CHANGED = "replaced_per_day * entries_a_replacement"

ROWS = (
    # A gatekeeper that serves.
    Row("gatekeeper", "CPU", "control with nothing to do", "% of a core", "idle_by_workers(workers) / 10",
        CPU, "period"),
    Row("gatekeeper", "CPU", "the same, if each route is a class", "% of a core",
        "(idle_by_workers(workers) + growth(idle_by_classes, routes)) / 10", CPU, "shares"),
    Row("gatekeeper", "CPU", "control: accounts and stores looked through", "% of a core",
        f"growth(idle_by_firms, {HERE}) / 10", CPU, "tidy"),
    Row("gatekeeper", "CPU", "control: words taken in, at the mean load", "% of a core",
        f"words({MEAN}) * heard_by_set(set) / 10000", CPU, "words in"),
    Row("gatekeeper", "CPU", "control: changes of the list, over a day", "% of a core",
        f"{CHANGED} * changed_entry(workers) / 86400 / 10", CPU, "list"),
    Row("gatekeeper", "CPU", "control in all, at the mean load", "% of a core",
        f"(idle_by_workers(workers) + growth(idle_by_firms, {HERE})) / 10"
        f" + words({MEAN}) * heard_by_set(set) / 10000 + {CHANGED} * changed_entry(workers) / 86400 / 10",
        CPU, "period"),
    Row("gatekeeper", "CPU", "decisions of requests, at the mean load", "% of a core",
        f"{MEAN} * request_by_workers(workers) / 10000", "100", "choice"),
    Row("gatekeeper", "CPU", "decisions of requests, at the busiest", "% of a core",
        "serving_by_rate(busiest_per_s) / 10", "100", "choice"),
    Row("gatekeeper", "messages", "words told, at the mean load", "a second", f"words({MEAN})",
        "words_taken_in_per_s", "words"),
    Row("gatekeeper", "messages", "words taken in, at the mean load (as many)", "a second", f"words({MEAN})",
        "words_taken_in_per_s", "words"),
    Row("gatekeeper", "messages", "words told, at the busiest", "a second", "words(busiest_per_s)",
        "words_taken_in_per_s", "words"),
    Row("gatekeeper", "bytes", "words told, at the mean load", "bytes a second", f"word_bytes({MEAN})",
        "bytes_per_s", "words"),
    Row("gatekeeper", "bytes", "words told, at the busiest", "bytes a second", "word_bytes(busiest_per_s)",
        "bytes_per_s", "words"),
    Row("gatekeeper", "state", "workers known, accounts, stores", "entries",
        f"workers + {HERE} + {HOMES}", "", "list"),
    Row("gatekeeper", "state", "those in bytes, with peers and open requests", "bytes",
        f"growth(memory_by_workers, workers) + growth(memory_by_firms, {HERE})"
        " + growth(memory_by_peers, gatekeepers - 1)"
        f" + growth(memory_by_requests, {MEAN} * answer_ms / 1000)", "", "list"),
    Row("gatekeeper", "memory", "the process, with firms, peers and open requests", "MB",
        f"resident_by_workers(workers) + (growth(memory_by_firms, {HERE})"
        " + growth(memory_by_peers, gatekeepers - 1)"
        f" + growth(memory_by_requests, {MEAN} * answer_ms / 1000)) / 1000000", "memory_mb", "process"),
    Row("gatekeeper", "memory", "the process, if each route is a class", "MB",
        "resident_by_workers(workers) + growth(resident_by_classes, routes)", "memory_mb", "settings"),
    Row("gatekeeper", "descriptors", "workers that it sends to, a connection each", "descriptors",
        "arc_workers", "descriptors * worker_part", "arc"),
    Row("gatekeeper", "descriptors", "of its own, before any client", "descriptors",
        "descriptors_by_workers(workers)", "descriptors", "process"),
    Row("gatekeeper", "delay", "added to a request that comes with one changed entry", "ms",
        "changed_entry(workers)", "added_ms", "list"),
    Row("gatekeeper", "delay", "added to a request that comes with a whole list (read and taken in)", "ms",
        "list_parse(workers) + whole_list(workers)", "added_ms", "list read"),
    Row("gatekeeper", "recovery", "from a start to the first answer, list included", "s",
        "start_by_workers(workers)", "", "process"),
    # A firm's home.
    Row("home of a firm", "state", "stores of firms at their home", "entries", HOMES, "", "home"),
    Row("home of a firm", "state", "the same in bytes, with accounts", "bytes",
        f"growth(memory_by_firms, {HOMES})", "", "home"),
    Row("home of a firm", "messages", "words told, by firms at a home, sets of 3", "a second",
        f"words_by_firms({HOMES})", "words_taken_in_per_s", "words"),
    Row("home of a firm", "recovery", "until a home that has gone is taken to be lost", "s", "home_lost_s",
        "", "home lost"),
    # Leases.
    Row("voter", "messages", "words of leases taken in", "a second", "voter_taken(gatekeepers)",
        "words_taken_in_per_s", "leases"),
    Row("voter", "messages", "those and words of quotas taken in, at the mean load", "a second",
        f"voter_taken(gatekeepers) + words({MEAN})", "words_taken_in_per_s", "leases"),
    Row("voter", "messages", "words of leases sent", "a second", "voter_sent(gatekeepers)",
        "words_taken_in_per_s", "leases"),
    Row("voter", "bytes", "words of leases sent", "bytes a second", "voter_bytes(gatekeepers)", "bytes_per_s",
        "leases"),
    Row("voter", "state", "leases that it keeps", "entries", "slots", "", "leases"),
    Row("voter", "CPU", "decisions of leases", "% of a core", "voter_cpu(gatekeepers) / 10", CPU, "leases"),
    Row("owner of a duty", "messages", "words of leases taken in", "a second", "owner_taken(gatekeepers)",
        "words_taken_in_per_s", "holding"),
    Row("owner of a duty", "messages", "words of leases sent", "a second", "owner_sent(gatekeepers)",
        "words_taken_in_per_s", "holding"),
    Row("owner of a duty", "messages", "answers taken in while use is gathered", "a second",
        "1000 / gather_each_ms", "words_taken_in_per_s", "gathering"),
    Row("owner of a duty", "bytes", "words of leases sent", "bytes a second", "owner_bytes(gatekeepers)",
        "bytes_per_s", "holding"),
    Row("owner of a duty", "CPU", "decisions of leases", "% of a core", "owner_cpu(gatekeepers) / 10", CPU,
        "holding"),
    Row("owner of a duty", "recovery", "so long a dead owner's lease lasts", "s", "term_s", "", "holding"),
    Row("owner of a duty", "recovery", "longest gathering of use, where nobody answers", "s",
        "gather_longest_s", "", "gathering"),
    # Budgets.
    Row("divider of a budget", "messages", "askings taken in", "a second", "askings_per_s",
        "words_taken_in_per_s", "dividing"),
    Row("divider of a budget", "messages", "shares sent (as many)", "a second", "askings_per_s",
        "words_taken_in_per_s", "dividing"),
    Row("divider of a budget", "state", "gatekeepers that ask", "entries", "gatekeepers", "", "dividing"),
    Row("divider of a budget", "state", "the same in bytes", "bytes", "growth(memory_by_askers, gatekeepers)",
        "", "dividing"),
    Row("divider of a budget", "CPU", "askings for one budget answered", "% of a core",
        "askings_per_s * divider_asking(gatekeepers) / 10000", CPU, "dividing"),
    Row("divider of a budget", "delay", "one asking answered", "ms", "divider_asking(gatekeepers) / 1000",
        "added_ms", "dividing"),
    Row("divider of a budget", "bytes", "shares sent, each with one budget", "bytes a second",
        "askings_per_s * share_bytes", "bytes_per_s", "dividing"),
    Row("divider of a budget", "delay", "between two askings of one gatekeeper", "s",
        "gatekeepers / askings_per_s", "told_s", "dividing"),
    Row("divider of a budget", "recovery", "least time that a share lasts", "s", "share_least_s",
        "share_most_s", "share"),
    Row("divider of a budget", "recovery", "time that a share lasts where the file does not say", "s",
        "share_default_s", "share_most_s", "share"),
    # Discovery.
    Row("discovery's agent", "messages", "watches of its gatekeeper", "a second", "1000 / agent_watch_ms", "",
        "watching"),
    Row("discovery's agent", "state", "workers listed", "entries", "workers", "", "watching"),
    Row("discovery's service", "state", "workers listed", "entries", "workers", "", "watching"),
    Row("discovery's agent", "bytes", "a whole list", "bytes", "list_bytes(workers)", "", "watching"),
    Row("discovery's agent", "reach", "from a change to its being told, with two calls lost", "s",
        "agent_worst_s", "told_s", "watching"),
    Row("discovery's service", "messages", "watches of all gatekeepers", "a second",
        "gatekeepers * 1000 / shared_watch_ms", "", "watching"),
    Row("discovery's service", "messages", "answers to changes, over a day", "a second",
        f"{CHANGED} * gatekeepers / 86400", "", "watching"),
    Row("discovery's service", "bytes", "whole lists, while all gatekeepers begin in one round",
        "bytes a second", "gatekeepers * list_bytes(workers) * 1000 / shared_round_ms", "", "watching"),
    Row("discovery's service", "descriptors", "connections of gatekeepers", "descriptors", "gatekeepers", "",
        "watching"),
    Row("discovery's service", "reach", "from a change to its being told, a watch silent", "s",
        "shared_worst_s", "told_s", "watching"),
    # Configuration.
    Row("configuration", "messages", "configurations given out, over a day", "a second",
        "configuration_per_day * gatekeepers / 86400", "", "configuration"),
    Row("configuration", "bytes", "to each gatekeeper, if each change is a whole file with all routes",
        "bytes a second", "configuration_per_day * settings_bytes(routes) / 86400", "bytes_per_s",
        "configuration"),
    Row("configuration", "delay", "a file with all routes as classes read, on the loop", "ms",
        "settings_parse_by_classes(routes)", "added_ms", "settings"),
    Row("configuration", "delay", "a file with all plans read, on the loop", "ms",
        "settings_parse_by_plans(plans)", "added_ms", "settings"),
    Row("configuration", "state", "routes, each as a class", "entries", "routes", "classes_most", "settings"),
    Row("configuration", "state", "the same in bytes at each gatekeeper", "bytes",
        "growth(memory_by_classes, routes)", "", "settings"),
    Row("configuration", "state", "services, each a pool of workers", "entries", "services", "1", "services"),
    Row("configuration", "memory", "of each gatekeeper, if each route is a class", "MB",
        "growth(resident_by_classes, routes)", "memory_mb", "settings"),
    Row("configuration", "recovery", "a start with all routes as classes", "s", "start_by_classes(routes)",
        "", "process"),
    # Operators.
    Row("operator's tools", "reach", "a call to each gatekeeper, one after another", "s",
        "calls_s(gatekeepers)", "told_s", "calls to all"),
    Row("operator's tools", "messages", "calls, to reach all", "calls", "gatekeepers", "", "calls to all"),
    # The machines set aside.
    Row("each machine", "state", "gatekeepers that it would serve", "entries", "gatekeepers / machines", "",
        "machines"),
    Row("each machine", "messages", "configurations that it would give out, over a day", "a second",
        "configuration_per_day * gatekeepers / machines / 86400", "", "machines"),
    Row("each machine", "bytes", "the same, if each change is a whole file with all routes", "bytes a second",
        "configuration_per_day * gatekeepers / machines * settings_bytes(routes) / 86400", "", "machines"),
    Row("each machine", "descriptors", "connections that it would hold", "descriptors",
        "gatekeepers / machines", "", "machines"),
    # Events.
    Row("one worker", "delay", "its entry taken in", "ms", "changed_entry(workers)", "added_ms", "list"),
    Row("one worker", "messages", "gatekeepers to be told of each change", "answers", "gatekeepers", "",
        "watching"),
    Row("one worker", "reach", "told everywhere, two calls of each agent lost", "s", "agent_worst_s",
        "told_s", "watching"),
    Row("replacements", "delay", "part of the day in which requests wait for changed entries", "part",
        f"{CHANGED} * changed_entry(workers) / 1000 / 86400", "added_part", "list"),
    Row("replacements", "messages", "changes told to each gatekeeper", "a second", f"{CHANGED} / 86400", "",
        "watching"),
    Row("a rack", "delay", "its workers' entries taken in together", "ms",
        "changed_entry(workers) + growth(changed_together, rack_workers)", "added_ms", "list"),
    Row("a rack", "reach", "told everywhere, two calls of each agent lost", "s", "agent_worst_s", "told_s",
        "watching"),
    Row("a zone", "delay", "its workers' entries taken in together", "ms",
        "changed_entry(workers) + growth(changed_together, workers / zones)", "added_ms", "list"),
    Row("a zone", "reach", "its workers' entries taken in one by one", "s",
        "workers / zones * changed_entry(workers) / 1000", "told_s", "list"),
    Row("a zone", "state", "firms without their home", "entries", "tenants / zones", "", "home lost"),
    Row("a zone", "recovery", "until their homes are taken to be lost", "s", "home_lost_s", "", "home lost"),
    Row("a zone", "bytes", "whole lists of a shared service, while its gatekeepers begin again",
        "bytes a second", "gatekeepers / zones * list_bytes(workers) * 1000 / shared_round_ms", "",
        "watching"),
    Row("a region cut off", "state", "entries that changed meanwhile", "entries",
        f"{CHANGED} * cut_off_s / 86400", "", "watching"),
    Row("a region cut off", "recovery", "the list of now in force, once it is back", "s",
        "agent_worst_s + (list_parse(workers) + whole_list(workers)) / 1000", "told_s", "watching"),
    Row("a region cut off", "recovery", "until it lives by its own part of quotas", "s", "home_lost_s", "",
        "home lost"),
    Row("a region cut off", "state", "changes of configuration that it lacks, then restarts of each",
        "entries", "configuration_per_day * cut_off_s / 86400", "", "configuration"),
    Row("all restarted in parts", "messages", "restarts", "restarts", "gatekeepers", "restarts_per_day",
        "process"),
    Row("all restarted in parts", "recovery", "all, a part at a time, each ended and begun", "s",
        "restart_parts * (ending_s + start_by_workers(workers))", "", "process"),
    Row("all restarted in parts", "delay", "what one passes to the next, on both loops", "ms",
        f"estate_ms({HERE})", "added_ms", "estate"),
    Row("all restarted in parts", "bytes", "what one passes to the next", "bytes", f"estate_bytes({HERE})",
        "", "estate"),
    Row("all restarted in parts", "bytes", "whole lists of a shared service, a part in one round",
        "bytes a second", "gatekeepers / restart_parts * list_bytes(workers) * 1000 / shared_round_ms", "",
        "watching"),
    Row("changes of configuration", "messages", "restarts a day, since each takes one of each gatekeeper",
        "restarts a day", "configuration_per_day * gatekeepers", "restarts_per_day", "configuration"),
    Row("changes of configuration", "CPU", "if each were read as a whole file with all routes", "% of a core",
        "configuration_per_day * settings_parse_by_classes(routes) / 86400 / 10", CPU, "settings"),
    Row("changes of configuration", "reach", "in force everywhere, gatekeepers restarted in parts", "s",
        "restart_parts * (ending_s + start_by_workers(workers))", "told_s", "configuration"),
)
