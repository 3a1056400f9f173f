"""Random choices among the members."""


def random_peers(members, count, random):
    """Return some random live members other than this daemon.

    Parameters
    ----------
    members : Members or MemberTable
    count : int
    random : random.Random
    """
    live = members.live()
    drawn = random.sample(live, min(len(live), count + 1))
    return [member for member in drawn if member is not members.local][:count]
