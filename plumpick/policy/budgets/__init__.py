"""A whole divided among gatekeepers, never more than the whole in sum. No I/O, no clock.

division.py: who gets what; holder.py: what may I spend now; divider.py: who gets a share, until when;
words.py: bytes. docs/design/budgets.md numbers the promises."""
