"""What a tier of any size takes: measured slopes, rows worked out from them, the page. Of the kit: the daemon
imports none of it."""
