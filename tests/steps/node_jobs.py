"""Steps for jobs that raise exceptions."""

from concurrent import futures
import logging
from unittest import mock

import behave
from behave import runner

from rhubarblead import ownership
from rhubarblead import tables
from rhubarblead.events import catalog
from rhubarblead.events import log
from rhubarblead.node import jobs
from rhubarblead.node.ownership import planning
from rhubarblead.node.ownership import store_jobs
from rhubarblead.node.ownership import writing

_ERRORS: dict[str, type[Exception]] = {
    "CannotApply": ownership.CannotApply,
    "KeyError": KeyError,
    "OSError": OSError,
}


def _make_runner(context: runner.Context) -> jobs.JobRunner:
    context.events = log.EventLog(instance="i", timeline_capacity=16)
    logger = logging.getLogger(log.LOGGER_NAME)
    context.add_cleanup(logger.setLevel, logger.level)
    logger.setLevel(logging.CRITICAL)
    context.executor = futures.ThreadPoolExecutor(1)
    context.add_cleanup(context.executor.shutdown)
    context.posted = []
    return jobs.JobRunner(
        executor=context.executor, events=context.events, task="test"
    )


@behave.given('store jobs whose log raises "{error}"')
def given_store_jobs(context: runner.Context, error: str) -> None:
    broken = mock.Mock()
    broken.append.side_effect = _ERRORS[error]("broken")
    broken.resolve.side_effect = _ERRORS[error]("broken")
    context.jobs = store_jobs.StoreJobs(
        runner=_make_runner(context),
        log=broken,
        tables=mock.Mock(),
        post=context.posted.append,
    )


@behave.when("the store jobs {action} a proposal")
def when_acts(context: runner.Context, action: str) -> None:
    proposal = writing.Proposal(
        write_id="w",
        purpose=writing.Purpose.PLAN,
        state=ownership.State(),
        changes=(),
    )
    getattr(context.jobs, action)(proposal)
    context.executor.shutdown()


@behave.then('the store jobs post the write as "{outcome}"')
def then_posted(context: runner.Context, outcome: str) -> None:
    (written,) = context.posted
    assert type(written.outcome.err_value).__name__ == outcome, written


@behave.then("an internal error is in the timeline")
def then_reported(context: runner.Context) -> None:
    names = [event.name for event in context.events.list_events()]
    assert names == [catalog.Event.INTERNAL_ERROR.name], names


@behave.given("plan jobs for a pool that is not in the state")
def given_plan_jobs(context: runner.Context) -> None:
    context.jobs = planning.PlanJobs(
        runner=_make_runner(context), post=context.posted.append
    )


@behave.when("the plan jobs plan for it")
def when_plans(context: runner.Context) -> None:
    context.jobs.start(
        pool="unknown",
        state=ownership.State(),
        tables=tables.Tables(),
        loads={},
        now_ms=0,
    )
    context.executor.shutdown()


@behave.then("the plan jobs post a plan without changes")
def then_planned(context: runner.Context) -> None:
    (planned,) = context.posted
    assert planned.changes == ()


@behave.then("the plan jobs may plan again")
def then_again(context: runner.Context) -> None:
    context.jobs.end()
    assert context.jobs.is_due(
        pool="other",
        state=ownership.State(),
        tables=tables.Tables(),
        now_ms=0,
    )
