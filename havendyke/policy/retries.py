"""Selects which request classes proxies may retry, and after which failures."""

from ..interface import RetryPolicy, SetAdmission, Settings
from .fleet_condition import FleetCondition


class RetryPolicySelector:
    """Selects a retry policy for each request class by the condition of the fleet."""

    def __init__(self, settings: Settings) -> None:
        # A retried request may take effect twice, unless its class rules that out.
        classes = range(len(settings.request_classes))
        self._all_classes = tuple(classes)
        self._retryable = tuple(k for k in classes if settings.request_classes[k].retryable)
        self._not_retryable = tuple(k for k in classes if k not in self._retryable)

    def orders(self, condition: FleetCondition, admission_limit: float) -> list[SetAdmission]:
        """Returns the admission limit and retry policy of all classes, one order per policy.

        Retries help while single servers fail, but overload a saturated fleet. If only connections
        are exhausted, a refused attempt costs nothing and the next server may have a free one.
        """
        failures_are_cheap = condition.connections_exhausted and not condition.congested
        fleet_failing = condition.overloaded or condition.errors_elevated
        retry_any_failure = failures_are_cheap or not fleet_failing
        retry_unstarted = failures_are_cheap or not condition.overloaded
        restricted = RetryPolicy.IF_NOT_STARTED if retry_unstarted else RetryPolicy.NEVER
        if not retry_any_failure:
            return _orders_for(self._all_classes, admission_limit, restricted)
        return [
            *_orders_for(self._not_retryable, admission_limit, restricted),
            *_orders_for(self._retryable, admission_limit, RetryPolicy.ONCE_AFTER_ANY_FAILURE),
        ]


def _orders_for(
    request_classes: tuple[int, ...], limit: float, policy: RetryPolicy
) -> list[SetAdmission]:
    return [SetAdmission(request_classes, limit, policy)] if request_classes else []
