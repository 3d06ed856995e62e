"""The rehearsal kit: a whole fleet on one workstation, judged by the five rules.

It knows the daemon by its sockets alone and shares no code with it: an auditor that has a fault in common
with the judged would see nothing. Nothing here is imported by `python -m plumpick`.
"""
