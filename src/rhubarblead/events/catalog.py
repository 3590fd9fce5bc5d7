"""The catalogue of numbered events.

Number ranges: 1000 node lifecycle, 1100 settings, 1200 membership and leases,
1300 assignment, 1400 store, 1500 tables, 2000 requests, 2100 upstream, 2200
peers, 2300 ledger, 2400 poison requests, 3000 router on the platform, 9000
internal.
"""

import dataclasses
import enum
import logging


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Definition:
    """The definition of one kind of event.

    `fields` lists the fields that an event of this kind may have. `level` is
    a level of `logging`. `action` tells operators how to respond.
    """

    number: int
    level: int
    fields: tuple[str, ...]
    description: str
    action: str


def _define(
    number: int,
    level: int,
    fields: str,
    description: str,
    action: str = "Nothing.",
) -> Definition:
    return Definition(
        number=number,
        level=level,
        fields=tuple(fields.split()),
        description=description,
        action=action,
    )


_DEBUG = logging.DEBUG
_INFO = logging.INFO
_WARNING = logging.WARNING
_ERROR = logging.ERROR


class Event(enum.Enum):
    """Every kind of event that the processes of the system report."""

    NODE_STARTED = _define(
        1000,
        _INFO,
        "member_id failure_domain region version",
        "The node process has started; it has not joined as a member yet.",
    )
    NODE_STOPPING = _define(
        1001,
        _INFO,
        "reason in_flight_count owned_count",
        "The node was asked to stop; it hands over its shards and completes"
        " the requests in progress.",
    )
    NODE_STOPPED = _define(
        1002,
        _INFO,
        "exit_code uptime_ms",
        "The node has shut down; none of its tasks are running.",
    )
    NODE_DRAINING = _define(
        1003,
        _INFO,
        "reason in_flight_count owned_count",
        "The node accepts no new requests and hands over its shards.",
    )
    DRAIN_GIVEN_UP = _define(
        1004,
        _WARNING,
        "in_flight_count owned_count waited_ms",
        "The drain timed out with requests or shards remaining.",
        "Look for requests that run longer than limits.drain_ms.",
    )
    SETTINGS_REFUSED = _define(
        1100,
        _ERROR,
        "path faults",
        "The settings file is invalid; the node did not start.",
        "Fix the fields listed; `rhubarblead settings check FILE` shows them.",
    )
    SETTINGS_IN_FORCE = _define(
        1101,
        _INFO,
        "path digest",
        "The node runs with the settings from this file.",
    )
    MEMBER_JOINED = _define(
        1200,
        _INFO,
        "member_id member_instance pool revision granters granters_epoch",
        "A member joined; it owns no shards yet.",
    )
    GRANTERS_CHOSEN = _define(
        1201,
        _INFO,
        "member_id granters granters_epoch",
        "The member selected the granters of its lease.",
        "Nothing; if they are not all in different failure domains, too few"
        " failure domains have members.",
    )
    GRANTERS_CHANGED = _define(
        1202,
        _INFO,
        "member_id granters granters_epoch reason revision",
        "The member replaced granters, because one left or refused.",
        "Nothing; frequent changes indicate an unstable network.",
    )
    LEASE_HELD = _define(
        1203,
        _INFO,
        "member_id lease_left_ms granters_epoch waited_ms",
        "The member holds its lease and may serve the shards it owns.",
    )
    LEASE_LAPSED = _define(
        1204,
        _WARNING,
        "member_id granters_epoch held_ms granters_silent",
        "Too few granters renewed the lease in time; the member serves no"
        " owned shard until it holds a lease again.",
        "Check the network between this instance and its granters, and whether"
        " the process was paused.",
    )
    LAPSE_STATED = _define(
        1205,
        _WARNING,
        "member_id granters_epoch silent_ms",
        "This granter received no heartbeat from a member and told the members"
        " that may take over its shards.",
        "Nothing; MEMBER_EVICTED follows when a second granter agrees.",
    )
    MEMBER_EVICTED = _define(
        1206,
        _WARNING,
        "member_id member_instance granters_epoch lapsed_by by revision"
        " shard_count duration_ms",
        "A member was removed after the granters listed reported its lease as"
        " expired; its shards have new owners.",
        "Find out what happened to the instance; replace it if it is lost.",
    )
    EVICTED_ITSELF = _define(
        1207,
        _WARNING,
        "member_id revision next_step",
        "The node learned that it was evicted; it stops serving and either"
        " rejoins as a new member or exits.",
        "See MEMBER_EVICTED on the node that evicted it for the cause.",
    )
    MEMBER_LEFT = _define(
        1208,
        _INFO,
        "member_id member_instance revision",
        "A member left after it had handed over its shards.",
    )
    PROMISE_REFUSED = _define(
        1209,
        _INFO,
        "member_id granter_id granters_epoch reason",
        "A granter refused to extend the lease; the member chooses another"
        " granter.",
    )
    AUTHORITY_LOST = _define(
        1210,
        _WARNING,
        "silent_ms",
        "This node can't confirm that it is still a member, and grants no"
        " leases.",
        "Check the store and the network of this instance.",
    )
    SHARDS_GAINED = _define(
        1300,
        _INFO,
        "pool shards shard_count fence revision previous_owner reason",
        "This node became the owner of these shards.",
    )
    SHARDS_LOST = _define(
        1301,
        _INFO,
        "pool shards shard_count revision owner reason",
        "This node no longer owns these shards.",
    )
    HANDOVER_BEGUN = _define(
        1302,
        _INFO,
        "pool shards shard_count to in_flight_count",
        "The owner holds back new requests for these shards while it hands"
        " them over.",
    )
    HANDOVER_COMMITTED = _define(
        1303,
        _INFO,
        "pool shards shard_count to revision duration_ms",
        "The new owner of these shards is committed.",
    )
    HANDOVER_GIVEN_UP = _define(
        1304,
        _WARNING,
        "pool shards shard_count to reason duration_ms",
        "The handover failed; the owner keeps the shards and retries later.",
        "Nothing, unless it repeats: then check for long requests and the"
        " store.",
    )
    REBALANCE_WANTED = _define(
        1305,
        _INFO,
        "pool move_count reason revision",
        "The planner asked owners to hand over shards.",
        "Nothing; a continuous stream of these indicates a load that can't be"
        " balanced by moving shards.",
    )
    KEY_SPLIT = _define(
        1306,
        _INFO,
        "pool key shard owner revision requests_per_s",
        "A hot key was moved to a dedicated shard.",
    )
    KEY_MERGED = _define(
        1307,
        _INFO,
        "pool key shard revision",
        "A split key was returned to its hashed shard.",
    )
    POOL_SHARDED = _define(
        1308,
        _INFO,
        "pool shard_count revision",
        "The shards of a keyed pool were created.",
    )
    OWNERSHIP_IN_FORCE = _define(
        1309,
        _DEBUG,
        "revision previous_revision source",
        "The node applied this revision of the ownership state.",
    )
    NO_OWNER = _define(
        1310,
        _WARNING,
        "pool shard_count revision",
        "Shards of a pool have no owner because no member could take them.",
        "Start servers of this pool.",
    )
    STORE_UNAVAILABLE = _define(
        1400,
        _ERROR,
        "operation error failed_ms",
        "The platform's store doesn't respond. Owners keep serving; shards of"
        " lost owners stay unassigned.",
        "Restore the store; see docs/OPERATORS.md, store outage.",
    )
    STORE_BACK = _define(
        1401,
        _INFO,
        "operation outage_ms",
        "The platform's store responds again.",
    )
    STORE_SLOW = _define(
        1402,
        _WARNING,
        "operation duration_ms",
        "A call to the store exceeded the threshold for slow calls.",
        "Check the load of the store; takeovers take longer meanwhile.",
    )
    STORE_WRITE_IN_DOUBT = _define(
        1403,
        _WARNING,
        "write_id row error",
        "No response to a write was received; it may have been committed.",
        "Nothing; the node resolves it and reports STORE_WRITE_RESOLVED.",
    )
    STORE_WRITE_RESOLVED = _define(
        1404,
        _INFO,
        "write_id row is_committed revision doubt_ms",
        "The outcome of a write in doubt was determined.",
    )
    STORE_CONFLICT = _define(
        1405,
        _INFO,
        "write_id row expected_revision revision",
        "A concurrent write was committed first; the change is planned again.",
        "Nothing; many per second indicate unnecessary writers.",
    )
    STORE_COMMITTED = _define(
        1406,
        _INFO,
        "write_id row revision duration_ms change_count kind",
        "A transaction was committed.",
    )
    SNAPSHOT_WRITTEN = _define(
        1407,
        _INFO,
        "digest revision size_bytes",
        "A snapshot of the ownership state was written to the object store.",
    )
    TABLES_IN_FORCE = _define(
        1500,
        _INFO,
        "tables_revision previous_revision digest route_count pool_count",
        "The node applied this revision of the operators' tables.",
    )
    TABLES_REFUSED = _define(
        1501,
        _ERROR,
        "tables_revision faults",
        "The stored tables are invalid; the node keeps the previous ones.",
        "Commit corrected tables; `rhubarblead status` shows which revision is"
        " in force.",
    )
    REQUEST_ANSWERED = _define(
        2000,
        _DEBUG,
        "request_id idempotency_key key pool shard route server owner verdict"
        " status duration_ms fence",
        "A caller received a response from an upstream.",
    )
    REQUEST_REFUSED = _define(
        2001,
        _DEBUG,
        "request_id idempotency_key key pool shard route server owner refusal"
        " verdict status duration_ms retry_after_ms",
        "A caller received a refusal.",
    )
    REQUEST_RETRIED = _define(
        2002,
        _DEBUG,
        "request_id key pool shard attempt refusal verdict owner reason",
        "A request that did not run, or is safe to repeat, was retried.",
    )
    REQUEST_FORWARDED = _define(
        2003,
        _DEBUG,
        "request_id key pool shard route owner attempt",
        "A request was forwarded to the owner's node.",
    )
    REQUEST_STARTED = _define(
        2004,
        _DEBUG,
        "request_id key pool shard server fence attempt",
        "A request was sent to the upstream.",
    )
    REQUEST_CANCELLED = _define(
        2005,
        _DEBUG,
        "request_id key pool shard server",
        "The caller disconnected; the upstream was told to cancel the request.",
    )
    ANSWER_UNMATCHED = _define(
        2006,
        _DEBUG,
        "request_id peer server",
        "A response arrived for a request that is no longer pending; it was"
        " dropped.",
    )
    UPSTREAM_ANNOUNCED = _define(
        2100,
        _INFO,
        "server upstream_incarnation ip_address port is_fenced slots",
        "An upstream registered with its node.",
    )
    UPSTREAM_SERVING = _define(
        2101,
        _INFO,
        "server upstream_incarnation",
        "The upstream responds to probes and accepts requests.",
    )
    UPSTREAM_COLD = _define(
        2102,
        _INFO,
        "server upstream_incarnation",
        "The upstream is warming up and receives a reduced load.",
    )
    UPSTREAM_DRAINING = _define(
        2103,
        _INFO,
        "server upstream_incarnation in_flight_count",
        "The upstream is shutting down and receives no new requests.",
    )
    UPSTREAM_FROZEN = _define(
        2104,
        _WARNING,
        "server upstream_incarnation silent_ms in_flight_count",
        "The upstream responds to no probe; its connections are still open.",
        "Check the instance. The node lets other members take over its shards.",
    )
    UPSTREAM_CRASHED = _define(
        2105,
        _ERROR,
        "server upstream_incarnation in_flight_count crash_id error",
        "The upstream closed its connections or restarted.",
        "Read the upstream's own log; REQUEST_SUSPECTED lists the requests"
        " that were running.",
    )
    UPSTREAM_GONE = _define(
        2106,
        _WARNING,
        "server upstream_incarnation silent_ms",
        "The upstream no longer registers with its node.",
        "Replace it, or nothing if it was stopped on purpose.",
    )
    UPSTREAM_UNFENCED = _define(
        2107,
        _WARNING,
        "server pool",
        "The pool is configured as fenced, but the upstream reports that it"
        " doesn't check fences.",
        "Fix the upstream, or set is_fenced to false for the pool.",
    )
    UPSTREAM_LIMIT_CHANGED = _define(
        2108,
        _WARNING,
        "server limit_per_s",
        "The upstream has begun or ceased to state a limit on its requests per"
        " second; the node keeps to it.",
        "Find out what the upstream is short of.",
    )
    UPSTREAM_LIMIT_MALFORMED = _define(
        2109,
        _WARNING,
        "server value",
        "The upstream has stated a limit that is no decimal number of 0 or"
        " more; it has no effect. Reported every 10 s.",
        "Check the upstream's software.",
    )
    PEER_LINK_RESET = _define(
        2200,
        _WARNING,
        "peer link reason silent_ms",
        "A connection to another node became unresponsive and was reopened.",
        "Nothing; frequent resets indicate a network device that drops idle"
        " connections.",
    )
    PEER_MESSAGE_REFUSED = _define(
        2201,
        _ERROR,
        "peer error size_bytes",
        "A message from another node could not be decoded.",
        "Check that the nodes run compatible versions.",
    )
    LEDGER_ADOPTED = _define(
        2300,
        _INFO,
        "pool shards shard_count entry_count previous_owner replica"
        " duration_ms",
        "A new owner has received all ledger entries of the previous owner for"
        " unrepeatable requests.",
    )
    LEDGER_MEMORY_LOST = _define(
        2301,
        _ERROR,
        "pool shards shard_count previous_owner until_ms",
        "The ledger entries of these shards are lost; unrepeatable requests"
        " that may be repeats are refused as memory-lost for a limited time.",
        "Ask the affected callers to check the outcome of their requests.",
    )
    LEDGER_REPLICA_LOST = _define(
        2302,
        _WARNING,
        "replica pool error",
        "A replica of the ledger is unreachable; another node is used instead.",
    )
    REQUEST_SUSPECTED = _define(
        2400,
        _WARNING,
        "fingerprint crash_id is_alone server request_id commonness",
        "This request was running when an upstream crashed. `commonness` is"
        " the estimated probability that such a request was running then by"
        " chance.",
        "Nothing; REQUEST_CONDEMNED follows if it happens again.",
    )
    REQUEST_CONDEMNED = _define(
        2401,
        _ERROR,
        "fingerprint crash_count pool route request_id",
        "A request crashed several upstreams; it is refused from now on.",
        "Find the caller in the time line and fix the upstream.",
    )
    REQUEST_CLEARED = _define(
        2402,
        _INFO,
        "fingerprint reason request_id",
        "A suspected request completed without a crash.",
    )
    CRASH_REPORT_RECEIVED = _define(
        2403,
        _INFO,
        "crash_id suspect_count crash_count",
        "Another node reported a crash of its server. `crash_count` is the"
        " number of crashes on record here.",
    )
    ROUTER_STARTED = _define(
        3000,
        _INFO,
        "incarnation service failure_domain address",
        "The router on the users' platform has started.",
    )
    ROUTER_STOPPING = _define(
        3001,
        _INFO,
        "pending_count running_count",
        "The router was asked to stop, and completes the requests in progress.",
    )
    ROUTER_STOPPED = _define(
        3002,
        _INFO,
        "pending_count unsent_bytes waited_ms",
        "The router has stopped; `pending_count` requests were aborted, and"
        " `unsent_bytes` of responses weren't sent.",
        "Look for requests that run longer than the shutdown timeout, and for"
        " callers that read slowly.",
    )
    SETTINGS_READ_AGAIN = _define(
        3003,
        _INFO,
        "is_valid error",
        "The settings file was reloaded; an invalid file has no effect.",
        "Fix the file if it is invalid.",
    )
    LINES_DROPPED = _define(
        3004,
        _WARNING,
        "lost_count",
        "The per-second log limit was exceeded; each field is the name of an"
        " event and the number of its events that were not logged, and"
        " `lost_count` counts lines dropped because the log output was not"
        " read.",
    )
    METRICS_UNAVAILABLE = _define(
        3005,
        _WARNING,
        "address error",
        "The metrics port is in use; the router runs without metrics.",
        "Free the port, or use the event log instead.",
    )
    CONFIG_IN_FORCE = _define(
        3100,
        _INFO,
        "version previous_version source route_count took_ms previous_age_ms",
        "This node applied a version of the configuration; `took_ms` is the"
        " time that decoding it took, and `previous_age_ms` how long ago the"
        " store had confirmed the version before.",
    )
    CONFIG_UNUSABLE = _define(
        3101,
        _ERROR,
        "source error",
        "A configuration is invalid; the last valid one stays in force.",
        "Fix the configuration in the store.",
    )
    STORE_CALL_FAILED = _define(
        3200,
        _WARNING,
        "call outcome reason",
        "A call to the store failed, or its outcome is unknown.",
    )
    STORE_CALLS_RESUMED = _define(
        3201, _INFO, "call", "The store responds to this node again."
    )
    CONFIG_FEED_SILENT = _define(
        3202,
        _WARNING,
        "version waited_ms",
        "A check has found changes that the waiting call hadn't delivered;"
        " `version` is the one in force before. The call is made again.",
    )
    STORE_RESTORED = _define(
        3210,
        _WARNING,
        "era previous_era previous_revision lease_left_ms is_continuous",
        "The store has come back from a copy and has lost its last writes;"
        " `previous_revision` is that of this node's assignment before."
        " `is_continuous` is set if this node has held its lease throughout.",
        "Nothing; STORE_RECOVERED follows. See docs/OPERATIONS.md.",
    )
    STORE_RECOVERED = _define(
        3211,
        _INFO,
        "era took_ms was_continuous given_up_count",
        "This node has registered after a restore of the store, and has written"
        " again which keys its server holds. `given_up_count` keys of the"
        " service have no owner known yet.",
    )
    STORE_ERA_REFUSED = _define(
        3212,
        _WARNING,
        "error",
        "A response of the store had no valid era, or one that is over; it was"
        " discarded. Logged once for each value.",
        "Check the store, and what answers at its address.",
    )
    LEASE_RENEWED_FIRST = _define(
        3300,
        _INFO,
        "born_ms remaining_ms",
        "This node acquired its lease and may assign keys to its server.",
    )
    LEASE_TAKEN = _define(
        3301,
        _WARNING,
        "revision",
        "Another node has taken over the keys of this node.",
    )
    KEYS_MOVED = _define(
        3302,
        _INFO,
        "service revision fence range_count key_count cause",
        "This node committed new owners for keys to the store.",
    )
    KEYS_RELEASING = _define(
        3303,
        _INFO,
        "cause range_count key_count",
        "The server is asked to release keys.",
    )
    SERVER_SEEN = _define(
        3304,
        _INFO,
        "server_id born_ms slot_count is_confirmed",
        "A new incarnation of this node's server sent its first heartbeat."
        " Unless `is_confirmed`, it may have announced its exit to an earlier"
        " process of the node; it isn't used before SERVER_CONFIRMED.",
    )
    SERVER_LEAVING = _define(
        3305,
        _INFO,
        "server_id has_deregistered waiting_count running_count",
        "This node's server is shutting down and receives no new requests.",
    )
    SERVER_SILENT = _define(
        3306,
        _WARNING,
        "server_id silent_ms",
        "The server has sent no heartbeat for so long that its grants on keys"
        " have expired.",
        "Check the server and the network path to this node.",
    )
    HEARTBEAT_REFUSED = _define(
        3307,
        _WARNING,
        "error",
        "A heartbeat was invalid; the last valid one stays in effect.",
    )
    SERVER_LIMIT_CHANGED = _define(
        3308,
        _WARNING,
        "server_id limit_per_s previous_per_s limited_ms refused_count source",
        "The local server has stated another limit on its requests per second,"
        " or none. `limited_ms` is how long it had stated one, `refused_count`"
        " how many requests were refused under limits since the process"
        " started.",
        "Find out what the server is short of.",
    )
    SERVER_LIMIT_MALFORMED = _define(
        3309,
        _WARNING,
        "server_id value",
        "The local server has stated a limit that is no decimal number of 0 or"
        " more, or stated it twice; it has no effect. Reported every 10 s.",
        "Check the server's software.",
    )
    SERVER_STATES_LEAVING = _define(
        3310,
        _INFO,
        "server_id source",
        "The local server has stated in a response that it is shutting down.",
    )
    SERVER_WARMTH_CHANGED = _define(
        3311,
        _INFO,
        "server_id is_cold remaining_ms source",
        "The local server has become cold or warm, so that requests to it are"
        " limited or no longer limited. `remaining_ms` is how long it says that"
        ' it stays cold, `source` where it says so; "no proof" if it did not'
        " say in time that it is warm.",
    )
    EVACUATION_CHANGED = _define(
        3312,
        _WARNING,
        "failure_domains previous source is_own",
        "The operator has requested that nothing be sent to the servers of"
        " these failure domains. `is_own` tells whether this node's is one.",
    )
    EVACUATED = _define(
        3313,
        _WARNING,
        "failure_domain is_stopped held_count waited_ms",
        "The local server gets no more requests because its failure domain is"
        " evacuated, or gets them again. `held_count` keys were still held,"
        " `waited_ms` after the request was seen.",
    )
    SERVER_SERVING_CHANGED = _define(
        3314,
        _INFO,
        "server is_serving cause",
        "The local server gets requests, or no longer gets any. `server` is"
        " its process: its id and its start.",
    )
    SERVER_CALL_IGNORED = _define(
        3315,
        _WARNING,
        "call server_id born_ms sequence known_server_id known_born_ms"
        " known_sequence",
        "A call of a server had no effect, as it is out of order, or of"
        " another process than the one that is known.",
        "Nothing if it is a single one. If each heartbeat is ignored, look for"
        " SERVER_SEEN: which process is known, and does it live?",
    )
    SERVER_EXIT_RECORDED = _define(
        3316,
        _INFO,
        "server_id born_ms source known_server_id known_born_ms",
        "A server process has announced its exit, and isn't used from then on."
        " `source` is the announcement (`heartbeat`, `deregistration`,"
        " `statement`), or `row` where it was made to an earlier process of the"
        " node. The known process is the one in service, empty before"
        " the first heartbeat.",
    )
    SERVER_EXIT_NOT_STORED = _define(
        3317,
        _WARNING,
        "server_id is_acknowledged waited_ms",
        "The store doesn't have the exit of a server in time, which gets no"
        " requests in any case. If it was acknowledged all the same, and all"
        " nodes are restarted before the store is back, it is forgotten; a"
        " restarted one then waits for a proof (SERVER_CONFIRMED).",
        "Nothing; look at the store.",
    )
    SERVER_CONFIRMED = _define(
        3318,
        _INFO,
        "server_id proof waited_ms",
        "A server that may have announced its exit to an earlier process of"
        " this node hasn't, so that it may be used. `proof` tells why: the"
        ' row of the node names all exits ("exits known"), its health check'
        " says so, and its heartbeats have come without a gap since this"
        ' process has begun ("healthy"), the server has sent'
        " a heartbeat to the address that only this process has named"
        ' ("reply read"), or it has gone on for longer than any heartbeat is'
        ' delayed ("outlasted").',
    )
    REDIRECTION_UNAVAILABLE = _define(
        3319,
        _WARNING,
        "address error",
        "The port to which the server would be directed after this restart is"
        " taken. Unless all exits are known, the server isn't used for the"
        " first ten seconds.",
        "Find out which process uses a port of the internal range.",
    )
    LINK_UP = _define(3400, _INFO, "node_id", "A link to another node is up.")
    LINK_DOWN = _define(
        3401,
        _WARNING,
        "node_id pending_count",
        "A link to another node was lost, with requests pending whose outcome"
        " is unknown.",
    )
    MESSAGE_REFUSED = _define(
        3402,
        _WARNING,
        "source error",
        "A message from another node could not be decoded, or a message could"
        " not be sent.",
    )
    LINK_BUSY = _define(
        3403,
        _WARNING,
        "direction used_per_mille largest_kind largest_bytes",
        "Messages to or from other nodes and the store have used over half of"
        " the instance's link for a second. `largest_kind` is the kind of"
        " message with the most bytes.",
        "See link_bytes_total; requests wait behind large messages.",
    )
    LOOP_BLOCKED = _define(
        3404,
        _WARNING,
        "delay_ms received_bytes request_count waiting_count",
        "A timer of this node was late; it handled nothing else meanwhile, or"
        " had no processor. `received_bytes` and `request_count` are what it"
        " has read of callers since the timer before, `waiting_count` the"
        " requests that wait for its server.",
    )
    PEER_SILENT = _define(
        3405,
        _WARNING,
        "node_id silent_ms",
        "Another node has not replied to requests, nor to a probe. New requests"
        " go elsewhere; `silent_ms` is the time since the first one.",
        "Look for LOOP_BLOCKED at that node, or for its restart.",
    )
    PEER_REPLIES = _define(
        3406, _INFO, "node_id", "A node that was silent has replied again."
    )
    REQUEST_MEMORY_REFUSED = _define(
        3407,
        _WARNING,
        "cause request_bytes reserved_bytes connection_count",
        "A caller's request found no memory (`full`), or has stalled and made"
        " room for another one (`stalled`). It got 503, as it has not run.",
        "See request_memory_reserved_bytes; look for callers that send large"
        " bodies slowly, or many at once.",
    )
    ANSWER_RETURNED = _define(
        3500,
        _INFO,
        "request_id route status node_id sent_count took_ms queued_ms ran_ms"
        " transit_ms placed_ms offer_count config_version",
        "A server's response was returned to its caller. `placed_ms` is the"
        " time until the last send, `offer_count` how many busy servers"
        " were offered the request before.",
    )
    ANSWER_OWN = _define(
        3501,
        _WARNING,
        "request_id route status cause node_id sent_count took_ms queued_ms"
        " ran_ms transit_ms placed_ms offer_count retry_after_ms"
        " config_version"
        " assignment_revision",
        "The router itself responded to a request, without a response from a"
        " server.",
        "See `cause` for the reason, and docs/OPERATIONS.md for what to do"
        " about it.",
    )
    REQUEST_SENT_AGAIN = _define(
        3502,
        _INFO,
        "request_id route service node_id cause sent_count used_count"
        " allowed_count",
        "A request is retried. `used_count` of the `allowed_count` retries to"
        " the service that this node may send in the window have been sent.",
    )
    CALLER_GONE = _define(
        3503,
        _INFO,
        "request_id route node_id took_ms",
        "A caller disconnected before its response was ready.",
    )
    SERVER_ANSWER_UNUSABLE = _define(
        3504,
        _WARNING,
        "request_id cause is_sent",
        "A server's response could not be forwarded.",
        "Check the server.",
    )
    SERVER_REFUSED = _define(
        3505,
        _INFO,
        "request_id status",
        "The server reported that it did not run a request.",
    )
    SERVER_CRASHED = _define(
        3506,
        _WARNING,
        "crash_id running_count",
        "The server crashed while it ran requests; REQUEST_SUSPECTED lists"
        " them.",
        "Look for a request that was running in several crashes.",
    )
    SEND_CANCELLED = _define(
        3507,
        _INFO,
        "request_id stage queued_ms ran_ms",
        "The node that sent a request cancelled it; `stage` is `waiting`,"
        " `running`, `answered` if the outcome was on its way back, or"
        " `unknown` if the request has not arrived.",
    )
    REQUEST_NOT_ADMITTED = _define(
        3508,
        _INFO,
        "request_id route reason is_call expected_wait_ms queued_ms"
        " running_count call_count reserved_count waiting_count limit_per_s",
        "The local server's queue refused a request. `expected_wait_ms` is the"
        " wait that was estimated on its arrival, `queued_ms` how long it"
        " waited, `call_count` how many of the running requests are calls of"
        " other servers, `reserved_count` how many slots are reserved for"
        " those, `limit_per_s` the limit that the server has stated.",
    )
    TRANSFER_ABANDONED = _define(
        3509,
        _WARNING,
        "request_id size_bytes",
        "The node that waits for a large response has stopped acknowledging"
        " its parts; the response is dropped.",
        "Look for LINK_DOWN at that node.",
    )
    CONNECTIONS_RESET = _define(
        3510,
        _WARNING,
        "reset_count probe",
        "Connections to the server were closed while it ran requests, but it"
        " has not crashed as far as is known; `probe` tells whether it accepts"
        " connections. A server that has deregistered may exit.",
        "Nothing; SERVER_SEEN follows if the server crashed.",
    )
    SERVER_FAILING = _define(
        3511,
        _WARNING,
        "is_failing",
        "Responses of the local server failed one after the other. Other"
        " servers get its requests, but for one each 0.5 s and those for its"
        " keys, until one succeeds.",
        "Look for SERVER_ANSWER_UNUSABLE, and replace the server.",
    )
    OFFER_REFUSED = _define(
        3512,
        _DEBUG,
        "request_id node_id wait_ms is_body_withheld",
        "A busy server was offered a request without a key, which then goes to"
        " another one. `wait_ms` is the wait that it expects. Counted only.",
    )
    CRASHES_STORED = _define(
        3513,
        _INFO,
        "crash_count row_bytes",
        "The crashes at this node's server are in the store, by which a later"
        " process of any node knows the requests that cause them.",
    )
    CRASHES_READ = _define(
        3514,
        _INFO,
        "crash_count",
        "The crashes that the nodes have stored were read.",
    )
    INTERNAL_ERROR = _define(
        9000,
        _ERROR,
        "task error traceback",
        "An internal error occurred.",
        "Report it with this event.",
    )

    @property
    def number(self) -> int:
        """The number; it is never reused for another kind of event."""
        return self.value.number

    @property
    def level(self) -> int:
        """The `logging` level."""
        return self.value.level

    @property
    def is_per_request(self) -> bool:
        """Whether events of this kind occur for each request."""
        return self.value.number // 100 == _REQUEST_RANGE


_REQUEST_RANGE = 20
"""The range of request events: their numbers divided by 100."""
