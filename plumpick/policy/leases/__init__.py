"""Leases with fencing tokens: which gateway owns a scheduled task or a budget, until when, under which token.

No I/O and no clock. terms.py: the agreed parameters, and tokens; codec.py: the datagrams; acceptor.py: one
acceptor's votes; nomination.py: whom an acceptor invites to take a free lease; lease_holder.py: what this
process holds and requests; clock_rates.py: clocks that drift too far apart; participant.py: all of it behind
`LeaseParticipant.handle(now_ms, events) -> actions`. docs/design/ownership.md numbers the guarantees."""
