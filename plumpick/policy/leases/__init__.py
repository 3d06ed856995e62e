"""Leases and tokens: who owns a duty of the fleet, until when, under which token. No I/O, no clock.

terms.py: the figures that bind; words.py: bytes; voter.py: one voter's word; caller.py: whom a voter asks
to take what is free; holder.py: what this process holds and asks for; rates.py: clocks that run too far
apart; member.py: all of it together, events in, actions out. docs/design/ownership.md numbers the promises
and says why."""
