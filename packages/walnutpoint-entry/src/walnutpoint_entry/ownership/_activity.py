"""Activity of the entry processes, so that idle ones poll less often."""

from __future__ import annotations

from walnutpoint_core import timer as timers

__all__ = ('Activity',)


class Activity:
    """Wake the periodic loops when work arrives after an idle period."""

    __slots__ = (
        '_busy_until_s',
        '_busy_since_s',
        '_peer_busy_until_s',
        '_rest_after_s',
        '_subscriptions',
        '_timer',
    )

    def __init__(self, timer: timers.Timer, rest_after_s: float) -> None:
        self._timer = timer
        self._rest_after_s = rest_after_s
        self._busy_until_s = timer.now_s() + rest_after_s
        self._busy_since_s = timer.now_s()
        self._peer_busy_until_s = float('-inf')
        self._subscriptions: list[timers.Subscription] = []

    def subscribe(
        self, busy_period_s: float, rest_period_s: float
    ) -> timers.Subscription:
        """Return a subscription that ticks slowly while all are idle."""
        subscription = self._timer.subscribe(
            lambda: busy_period_s if self.is_any_busy() else rest_period_s
        )
        self._subscriptions.append(subscription)
        return subscription

    def unsubscribe(self, subscription: timers.Subscription) -> None:
        """End one subscription."""
        self._subscriptions.remove(subscription)

    def mark_busy(self) -> None:
        """Record that this process has work."""
        was_any_busy = self.is_any_busy()
        self._busy_until_s = self._timer.now_s() + self._rest_after_s
        if not was_any_busy:
            self._start_busy_period()

    def mark_peer_busy(self) -> None:
        """Record that another process has work."""
        was_any_busy = self.is_any_busy()
        self._peer_busy_until_s = self._timer.now_s() + self._rest_after_s
        if not was_any_busy:
            self._start_busy_period()

    def wake(self) -> None:
        """Wake every subscriber now."""
        for subscription in self._subscriptions:
            subscription.wake()

    def busy_duration_s(self) -> float:
        """Return how long any process has had work, zero if all are idle."""
        if not self.is_any_busy():
            return 0.0
        return self._timer.now_s() - self._busy_since_s

    def is_busy(self) -> bool:
        """Return whether this process has work of its own."""
        return self._timer.now_s() < self._busy_until_s

    def is_any_busy(self) -> bool:
        """Return whether any process is known to have work."""
        now_s = self._timer.now_s()
        return now_s < max(self._busy_until_s, self._peer_busy_until_s)

    def _start_busy_period(self) -> None:
        self._busy_since_s = self._timer.now_s()
        self.wake()
