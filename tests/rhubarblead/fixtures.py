"""Records shared by several tests."""

from rhubarblead import membership

POOL = "p"


def make_member(
    member_id: str, failure_domain: str, pool: str = POOL
) -> membership.Member:
    """Creates a member record without granters."""
    return membership.Member(
        member_id=member_id,
        instance=member_id,
        incarnation="1",
        failure_domain=failure_domain,
        region="r",
        pool=pool,
        ip_address="127.0.0.1",
        http_port=1,
        data_port=2,
        control_port=3,
    )
