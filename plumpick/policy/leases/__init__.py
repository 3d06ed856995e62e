"""Leases with fencing tokens: they determine which gateway owns a scheduled task or a budget, and until when.

No I/O and no clock. terms.py: parameters shared by all participants, and fencing tokens; codec.py: datagrams;
acceptor.py: votes of one acceptor; nomination.py: selection of the gateways that an acceptor nominates for a
free slot; lease_holder.py: leases that this process holds and requests; clock_rates.py: detection of clocks
that drift too far apart; participant.py: the entry point, `LeaseParticipant.handle(now_ms, events) ->
actions`. docs/design/ownership.md numbers and explains the guarantees."""
