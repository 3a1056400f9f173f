"""Random samples of the members."""


def random_peers(members, count, random):
    """Return up to `count` random live members other than this daemon.

    Parameters
    ----------
    members : Members or MemberTable
    count : int
    random : random.Random
    """
    live = members.live()
    sample = random.sample(live, min(len(live), count + 1))
    return [member for member in sample if member is not members.local][:count]
