"""The ids of requests that are reserved."""

from plumpick.gateway.open_request import RequestIds

IDS = 5000


def test_an_id_that_the_predecessor_claims_does_not_copy_all_that_it_has_claimed():
    # Report 81cf89, related: beside a flood a new process copied thousands of ids for each one that its
    # predecessor told, and answered nobody for a second.
    ids = RequestIds()
    ids.inherit(b"%d" % number for number in range(IDS))
    reserved = ids._inherited
    for number in range(IDS, 2 * IDS):
        ids.inherit_one(b"%d" % number)
    assert ids._inherited is reserved and len(reserved) == 2 * IDS
    ids.release_inherited()
    assert not ids._inherited and not ids.is_empty()
