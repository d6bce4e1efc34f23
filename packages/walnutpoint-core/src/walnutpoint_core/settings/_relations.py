"""Relations that must hold between fields of the settings."""

from __future__ import annotations

import dataclasses
import typing

from walnutpoint_core.settings import _schema

__all__ = (
    'Breach',
    'CLOCK_AHEAD_RATIO',
    'breach',
)


# How far a key may come from the future, as a share of its validity.
CLOCK_AHEAD_RATIO: typing.Final = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Breach:
    """A relation that does not hold; both fields and values in words."""

    field: str
    detail: str
    allowed: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Bound:
    """A field that must lie above an expression of other fields."""

    field: str
    value: float
    other_field: str
    other_value: float
    floor: float
    floor_words: str
    equal_allowed: bool = False

    def holds(self) -> bool:
        if self.equal_allowed:
            return self.value >= self.floor
        return self.value > self.floor

    def breach(self) -> Breach:
        sign = '>=' if self.equal_allowed else '>'
        return Breach(
            self.field,
            f'{self.field} is {self.value:g} while {self.other_field} is '
            f'{self.other_value:g}',
            f'{self.field} {sign} {self.floor_words} = {self.floor:g}',
        )


def breach(settings: _schema.Settings) -> Breach | None:
    """Return the first relation that does not hold."""
    for bound in _bounds(settings):
        if not bound.holds():
            return bound.breach()
    return _same_address(settings.addresses)


def _above(
    settings: _schema.Settings, field: str, other: str, equal: bool = False
) -> _Bound:
    floor = _value(settings, other)
    return _Bound(
        field, _value(settings, field), other, floor, floor, other, equal
    )


def _value(settings: _schema.Settings, field: str) -> float:
    section, name = field.split('.')
    return float(getattr(getattr(settings, section), name))


def _bounds(settings: _schema.Settings) -> tuple[_Bound, ...]:
    own = 'ownership.'
    return (
        _fence(settings.ownership),
        _above(settings, own + 'confirm_s', own + 'poll_period_s'),
        _above(settings, own + 'confirm_s', own + 'heartbeat_period_s'),
        _above(settings, own + 'challenge_s', own + 'poll_period_s'),
        _above(settings, own + 'rest_challenge_s', own + 'rest_poll_period_s'),
        _above(settings, own + 'suspect_after_s', own + 'heartbeat_period_s'),
        _memory(settings),
        _above(
            settings,
            'requests.deadline_max_s',
            'requests.default_deadline_s',
            equal=True,
        ),
    )


def _fence(ownership: _schema.OwnershipSettings) -> _Bound:
    # A fence that ends before the old owner's confirmation does lets two
    # owners place on one endpoint: it gets more work than it has slots. Both
    # clocks may run off by the margin, in opposite ways, hence twice.
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


def _memory(settings: _schema.Settings) -> _Bound:
    # A key that is still valid after it was forgotten would run its request
    # a second time; the last use may last one longest deadline, and the
    # clock of the host that minted the key may be ahead.
    keys, requests = settings.keys, settings.requests
    late_s = max(requests.deadline_max_s, keys.valid_s * CLOCK_AHEAD_RATIO)
    return _Bound(
        'keys.remember_s',
        keys.remember_s,
        'keys.valid_s',
        keys.valid_s,
        keys.valid_s + late_s,
        'keys.valid_s + the larger of requests.deadline_max_s and '
        f'{CLOCK_AHEAD_RATIO:g} * keys.valid_s ({late_s:g})',
        equal_allowed=True,
    )


def _same_address(addresses: _schema.AddressSettings) -> Breach | None:
    fields = ('peer_address', 'caller_address', 'operator_address')
    first: dict[str, str] = {}
    for name in fields:
        address, field = getattr(addresses, name), f'addresses.{name}'
        other = first.setdefault(address, field)
        if other != field:
            return Breach(
                field,
                f'{field} is {address} and {other} is {address}',
                'three different addresses',
            )
    return None
