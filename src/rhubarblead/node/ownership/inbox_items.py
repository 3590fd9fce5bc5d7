"""Items that other tasks of a node post to the control task's inbox."""

import dataclasses
from typing import TypeAlias

from rhubarblead import messages
from rhubarblead.node.ownership import planning
from rhubarblead.node.ownership import store_jobs


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamChanged:
    """The node's upstream started or stopped serving.

    `is_silent` tells whether it stopped responding without an announcement,
    `is_fenced` whether it refuses requests once its grant has ended.
    """

    is_serving: bool
    is_silent: bool
    is_fenced: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamCrashed:
    """The upstream crashed; the other nodes of its pool are to be informed."""

    report: messages.SuspectReport


class Drain:
    """Asks the node to hand over all shards and leave."""


class Stop:
    """Asks the control task to return."""


InboxItem: TypeAlias = (
    store_jobs.StoreResult
    | planning.PlanResult
    | UpstreamChanged
    | UpstreamCrashed
    | Drain
    | Stop
)
