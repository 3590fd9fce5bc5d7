"""What the other tasks of a node tell its control task."""

import dataclasses
from typing import TypeAlias

from rhubarblead import messages
from rhubarblead.node.ownership import planning
from rhubarblead.node.ownership import store_jobs


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamChanged:
    """The upstream beside the node began or ceased to serve.

    `is_silent` says that it ceased without a word; `is_fenced` that it refuses
    what it was granted once the grant has ended.
    """

    is_serving: bool
    is_silent: bool
    is_fenced: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SuspectFound:
    """The upstream crashed; the other nodes of its pool should know."""

    suspect: messages.SuspectReport


class Drain:
    """The node is to hand over everything and leave."""


class Stop:
    """The task is to return."""


Item: TypeAlias = (
    store_jobs.StoreResult
    | planning.Planned
    | UpstreamChanged
    | SuspectFound
    | Drain
    | Stop
)
