"""HTTP handlers for operators, routing clients and the upstream."""

from collections.abc import Callable
import http
import urllib.parse

import msgspec
import result

from rhubarblead import clock
from rhubarblead import refusal as refusals
from rhubarblead import settings
from rhubarblead import status as reports
from rhubarblead import verdict as verdicts
from rhubarblead.events import filters
from rhubarblead.events import log
from rhubarblead.node import gauges
from rhubarblead.node import view as views
from rhubarblead.node.ownership import inbox_items
from rhubarblead.node.requests import intake
from rhubarblead.node.requests import outcome as outcomes
from rhubarblead.node.requests import probes
from rhubarblead.upstream import monitor

_JSON = (("Content-Type", "application/json"),)
_NO_OWNER_INDEX = -1


class Admin:
    """Handles the requests below `/-/`."""

    __slots__ = (
        "_shared_view",
        "_count_in_flight",
        "_events",
        "_handlers",
        "_is_store_reachable",
        "_node",
        "_post",
        "_started_at_ms",
        "_upstream",
    )

    def __init__(
        self,
        *,
        node: settings.Settings,
        shared_view: views.SharedView,
        upstream: probes.UpstreamProbe,
        events: log.EventLog,
        post: Callable[[inbox_items.InboxItem], None],
        count_in_flight: Callable[[], int],
        is_store_reachable: Callable[[], bool],
    ) -> None:
        self._node = node
        self._shared_view = shared_view
        self._upstream = upstream
        self._events = events
        self._post = post
        self._count_in_flight = count_in_flight
        self._is_store_reachable = is_store_reachable
        self._started_at_ms = clock.read_monotonic_ms()
        self._handlers: dict[
            tuple[str, str], Callable[[intake.CallerRequest], outcomes.Outcome]
        ] = {
            ("POST", "/-/announce"): self._announce,
            ("POST", "/-/drain"): self._drain,
            ("GET", "/-/status"): self._show_status,
            ("GET", "/-/members"): self._show_members,
            ("GET", "/-/owner"): self._show_owner,
            ("GET", "/-/map"): self._show_map,
            ("GET", "/-/timeline"): self._show_timeline,
        }

    def handle(self, request: intake.CallerRequest) -> outcomes.Outcome:
        """Handles one request.

        Args:
            request: A request whose path begins with `/-/`.

        Returns:
            The response, or a refusal, with a JSON body.
        """
        handler = self._handlers.get((request.method, request.path))
        if handler is None:
            return _refuse(
                refusals.Refusal.NO_ROUTE,
                f"there is no {request.method} {request.path}",
            )
        return handler(request)

    def _announce(self, request: intake.CallerRequest) -> outcomes.Outcome:
        try:
            announcement = monitor.decode_announcement(request.body)
        except monitor.CannotDecode as error:
            return _refuse(refusals.Refusal.MALFORMED, str(error))
        if announcement.server != self._node.instance:
            return _refuse(
                refusals.Refusal.MALFORMED,
                f"this node stands beside {self._node.instance}, not"
                f" {announcement.server}",
            )
        self._upstream.record_announcement(announcement)
        return _respond(b"", http.HTTPStatus.NO_CONTENT)

    def _drain(self, request: intake.CallerRequest) -> outcomes.Outcome:
        del request
        self._post(inbox_items.Drain())
        return _respond(b"{}", http.HTTPStatus.ACCEPTED)

    def _show_status(self, request: intake.CallerRequest) -> outcomes.Outcome:
        del request
        view = self._shared_view.read()
        now_ms = clock.read_monotonic_ms()
        member = view.member
        lease_end_ms = self._shared_view.find_lease_end_ms(view.member_id)
        return _encode(
            reports.Status(
                member_id=view.member_id,
                instance=self._node.instance,
                incarnation=member.incarnation if member else "",
                failure_domain=self._node.failure_domain,
                region=self._node.region,
                pool=member.pool if member else "",
                state=_name_state(view),
                lease_left_ms=max(0, lease_end_ms - now_ms),
                granters=tuple(
                    reports.GranterView(member_id=g, promise_age_ms=-1)
                    for g in (member.granters if member else ())
                ),
                granters_epoch=member.granters_epoch if member else 0,
                ownership_revision=view.state.revision,
                tables_revision=view.tables_revision,
                tables_digest=view.tables_digest,
                is_store_reachable=self._is_store_reachable(),
                shards_owned_count=view.state.count_shards(view.member_id),
                in_flight_count=self._count_in_flight(),
                upstream=self._describe_upstream(),
                uptime_ms=now_ms - self._started_at_ms,
                rss_bytes=gauges.read_resident_bytes(),
            )
        )

    def _describe_upstream(self) -> reports.UpstreamView:
        upstream = self._upstream.read()
        if upstream is None:
            return reports.UpstreamView()
        return reports.UpstreamView(
            server=upstream.announcement.server,
            state="serving" if upstream.is_serving else "unfit",
            incarnation=upstream.announcement.incarnation,
            slots_count=upstream.announcement.slots,
        )

    def _show_members(self, request: intake.CallerRequest) -> outcomes.Outcome:
        del request
        return _encode(reports.list_members(self._shared_view.read().state))

    def _show_owner(self, request: intake.CallerRequest) -> outcomes.Outcome:
        query = _read_query(request)
        pool = query.get("pool", "")
        key = query.get("key", "")
        state = self._shared_view.read().state
        assignment = state.assignments.get(pool)
        if assignment is None or not key:
            return _refuse(
                refusals.Refusal.MISSING_KEY,
                "pool must name a keyed pool with members, and key a key",
            )
        shard = assignment.find_shard(key)
        owner = state.members.get(assignment.owners[shard])
        is_split = key in assignment.splits
        why = "its shard was split off" if is_split else "by the key's hash"
        return _encode(
            reports.OwnerView(
                pool=pool,
                key=key,
                shard=shard,
                owner=owner.instance if owner else "",
                authority=views.find_http_authority(owner) if owner else "",
                fence=assignment.fences[shard],
                ownership_revision=state.revision,
                why=f"the key is in shard {shard} {why}; the entry with"
                f" revision {assignment.fences[shard]} gave the shard to"
                f" {owner.member_id if owner else 'nobody'}",
            )
        )

    def _show_map(self, request: intake.CallerRequest) -> outcomes.Outcome:
        pool = _read_query(request).get("pool", "")
        state = self._shared_view.read().state
        assignment = state.assignments.get(pool)
        if assignment is None:
            return _refuse(
                refusals.Refusal.POOL_DOWN, f"pool {pool!r} has no shards"
            )
        members = state.list_pool_members(pool)
        indexes = {m.member_id: index for index, m in enumerate(members)}
        return _encode(
            reports.ShardMap(
                pool=pool,
                revision=state.revision,
                shard_count=assignment.shard_count,
                nodes=tuple(views.find_http_authority(m) for m in members),
                owners=tuple(
                    indexes.get(owner, _NO_OWNER_INDEX)
                    for owner in assignment.owners
                ),
                splits=assignment.splits,
            )
        )

    def _show_timeline(self, request: intake.CallerRequest) -> outcomes.Outcome:
        query = urllib.parse.urlsplit(request.target).query
        match filters.read_filter(query):
            case result.Ok(wanted):
                events = self._events.list_events(wanted)
                return _respond(msgspec.json.encode(events))
            case result.Err(explanation):
                return _refuse(refusals.Refusal.MALFORMED, explanation)


def _name_state(view: views.View) -> str:
    if view.member is None:
        return "waiting"
    return "leaving" if view.is_leaving else "serving"


def _read_query(request: intake.CallerRequest) -> dict[str, str]:
    query = urllib.parse.urlsplit(request.target).query
    return dict(urllib.parse.parse_qsl(query))


def _encode(record: msgspec.Struct) -> outcomes.Outcome:
    return _respond(reports.encode(record))


def _respond(
    body: bytes, status: http.HTTPStatus = http.HTTPStatus.OK
) -> outcomes.Outcome:
    return outcomes.Outcome(
        verdict=verdicts.Verdict.RAN,
        status=status.value,
        reason=status.phrase,
        headers=_JSON,
        body=body,
    )


def _refuse(refusal: refusals.Refusal, explanation: str) -> outcomes.Outcome:
    return outcomes.refuse(
        refusals.Refused(refusal=refusal, explanation=explanation)
    )
