"""Relations that must hold between fields of the settings."""

from __future__ import annotations

import dataclasses
import typing

from walnutpoint_core.settings import _schema

__all__ = (
    'CLOCK_AHEAD_RATIO',
    'Violation',
    'find_violation',
)


# Accepted clock lead of the host that mints a key, as a share of valid_s.
CLOCK_AHEAD_RATIO: typing.Final = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A violated relation, described with both fields and values."""

    field: str
    detail: str
    allowed: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Bound:
    """A lower bound of a field that is derived from other fields."""

    field: str
    value: float
    other_field: str
    other_value: float
    minimum: float
    minimum_text: str
    equal_allowed: bool = False

    def holds(self) -> bool:
        if self.equal_allowed:
            return self.value >= self.minimum
        return self.value > self.minimum

    def violation(self) -> Violation:
        sign = '>=' if self.equal_allowed else '>'
        return Violation(
            self.field,
            f'{self.field} is {self.value:g} while {self.other_field} is '
            f'{self.other_value:g}',
            f'{self.field} {sign} {self.minimum_text} = {self.minimum:g}',
        )


def find_violation(settings: _schema.Settings) -> Violation | None:
    """Return the first violated relation."""
    for bound in _bounds(settings):
        if not bound.holds():
            return bound.violation()
    return _duplicate_address(settings.addresses)


def _above(
    settings: _schema.Settings,
    field: str,
    other: str,
    equal_allowed: bool = False,
) -> _Bound:
    minimum = _value(settings, other)
    return _Bound(
        field,
        _value(settings, field),
        other,
        minimum,
        minimum,
        other,
        equal_allowed,
    )


def _value(settings: _schema.Settings, field: str) -> float:
    section, name = field.split('.')
    return float(getattr(getattr(settings, section), name))


def _bounds(settings: _schema.Settings) -> tuple[_Bound, ...]:
    own = 'ownership.'
    return (
        _fence_bound(settings.ownership),
        _above(settings, own + 'confirm_s', own + 'poll_period_s'),
        _above(settings, own + 'confirm_s', own + 'heartbeat_period_s'),
        _above(settings, own + 'challenge_s', own + 'poll_period_s'),
        _above(settings, own + 'rest_challenge_s', own + 'rest_poll_period_s'),
        _above(settings, own + 'suspect_after_s', own + 'heartbeat_period_s'),
        _key_memory_bound(settings),
        _above(
            settings,
            'requests.deadline_max_s',
            'requests.default_deadline_s',
            equal_allowed=True,
        ),
    )


def _fence_bound(ownership: _schema.OwnershipSettings) -> _Bound:
    # If the fence ended before the confirmation of the old owner, two owners
    # would place work on one endpoint and overload it. Both clocks may drift
    # by the margin in opposite directions, hence the factor two.
    margin = ownership.clock_rate_margin
    return _Bound(
        'ownership.fence_s',
        ownership.fence_s,
        'ownership.confirm_s',
        ownership.confirm_s,
        ownership.confirm_s * (1 + 2 * margin),
        'ownership.confirm_s * (1 + 2 * ownership.clock_rate_margin '
        f'({margin:g}))',
    )


def _key_memory_bound(settings: _schema.Settings) -> _Bound:
    # A key that is valid but no longer remembered would let its request run
    # again. The last use may take the longest deadline, and the clock of the
    # minting host may be ahead.
    keys, requests = settings.keys, settings.requests
    margin_s = max(requests.deadline_max_s, keys.valid_s * CLOCK_AHEAD_RATIO)
    return _Bound(
        'keys.remember_s',
        keys.remember_s,
        'keys.valid_s',
        keys.valid_s,
        keys.valid_s + margin_s,
        'keys.valid_s + the larger of requests.deadline_max_s and '
        f'{CLOCK_AHEAD_RATIO:g} * keys.valid_s ({margin_s:g})',
        equal_allowed=True,
    )


def _duplicate_address(addresses: _schema.AddressSettings) -> Violation | None:
    fields = ('peer_address', 'caller_address', 'operator_address')
    field_by_address: dict[str, str] = {}
    for name in fields:
        address, field = getattr(addresses, name), f'addresses.{name}'
        other = field_by_address.setdefault(address, field)
        if other != field:
            return Violation(
                field,
                f'{field} is {address} and {other} is {address}',
                'three different addresses',
            )
    return None
