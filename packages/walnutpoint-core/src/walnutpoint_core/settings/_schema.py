"""The schema, defaults and ranges of the settings."""

from __future__ import annotations

import typing

import msgspec

__all__ = (
    'AddressSettings',
    'KeySettings',
    'LimitSettings',
    'OwnershipSettings',
    'PlacementSettings',
    'PlatformSettings',
    'RequestSettings',
    'SecuritySettings',
    'Settings',
)

_Address = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$',
        description='IP number and port',
    ),
]
_Name = typing.Annotated[
    str, msgspec.Meta(pattern=r'^[a-z0-9][a-z0-9-]{0,62}$')
]
_Url = typing.Annotated[
    str, msgspec.Meta(pattern=r'^http://\d{1,3}(\.\d{1,3}){3}:\d{1,5}$')
]
_Secret = typing.Annotated[str, msgspec.Meta(min_length=16, max_length=256)]
_ShortTime = typing.Annotated[float, msgspec.Meta(ge=0.02, le=60.0)]
_LongTime = typing.Annotated[float, msgspec.Meta(ge=0.1, le=86400.0)]
_Count = typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
_Fraction = typing.Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A section of the settings; unknown fields are errors."""


class AddressSettings(_Section):
    """The addresses and the location of an entry process."""

    name: _Name
    domain: _Name
    peer_address: _Address
    caller_address: _Address
    operator_address: _Address
    # The bind address of the peer port, if it differs from peer_address.
    peer_listen_address: _Address | None = None
    region: _Name = 'home'


class PlatformSettings(_Section):
    """The addresses and timeouts of the platform's services."""

    store_urls: typing.Annotated[
        tuple[_Url, ...], msgspec.Meta(min_length=1, max_length=9)
    ]
    host_list_url: _Url
    store_prefix: typing.Annotated[
        str, msgspec.Meta(pattern=r'^/[a-z0-9/-]+/$')
    ] = '/walnutpoint/'
    store_timeout_s: _ShortTime = 0.5
    host_list_timeout_s: _ShortTime = 0.5
    host_list_period_s: _ShortTime = 1.0


class OwnershipSettings(_Section):
    """Timings of membership and endpoint ownership."""

    poll_period_s: _ShortTime = 0.2
    rest_poll_period_s: _ShortTime = 1.0
    heartbeat_period_s: _ShortTime = 0.2
    rest_heartbeat_period_s: _ShortTime = 2.0
    heartbeat_timeout_s: _ShortTime = 0.25
    suspect_after_s: _ShortTime = 0.6
    challenge_s: _ShortTime = 0.5
    rest_challenge_s: _ShortTime = 2.2
    confirm_s: _ShortTime = 0.6
    fence_s: _ShortTime = 0.8
    clock_rate_margin: _Fraction = 0.01
    rest_after_s: _ShortTime = 5.0
    key_shards: typing.Annotated[int, msgspec.Meta(ge=1, le=1024)] = 64


class PlacementSettings(_Section):
    """How requests are spread, queued, spilled and retried."""

    spread: typing.Literal['spread', 'pack'] = 'spread'
    spill_attempts: typing.Annotated[int, msgspec.Meta(ge=0, le=16)] = 2
    queue_length: _Count = 2000
    team_queue_length: _Count = 1000
    retry_budget_ratio: _Fraction = 0.1
    retry_budget_minimum_per_s: typing.Annotated[
        float, msgspec.Meta(ge=0.0, le=1000.0)
    ] = 1.0
    eject_after_failures: typing.Annotated[
        int, msgspec.Meta(ge=1, le=1000)
    ] = 3
    eject_s: _LongTime = 2.0
    eject_max_s: _LongTime = 60.0
    longest_run_s: _LongTime = 60.0
    fresh_connection_s: _ShortTime = 1.0
    connect_timeout_s: _ShortTime = 0.5
    transit_s: _ShortTime = 0.6
    usage_period_s: _ShortTime = 0.5


class RequestSettings(_Section):
    """Defaults for the requests of callers."""

    default_deadline_s: _LongTime = 10.0
    deadline_max_s: _LongTime = 60.0
    default_team: _Name = 'default'


class LimitSettings(_Section):
    """Limits on what one caller or peer may send."""

    body_size_bytes: typing.Annotated[
        int, msgspec.Meta(ge=1024, le=16_777_216)
    ] = 1_048_576
    answer_size_bytes: typing.Annotated[
        int, msgspec.Meta(ge=1024, le=16_777_216)
    ] = 1_048_576
    requests_in_progress: _Count = 4000
    # Above the idle limits of load balancers and client libraries: whoever
    # closes an idle connection first may cut a request on its way.
    idle_connection_s: _LongTime = 120.0
    log_level: typing.Literal['debug', 'info', 'warning', 'error'] = 'info'


class KeySettings(_Section):
    """How long idempotency keys are valid and remembered."""

    valid_s: _LongTime = 300.0
    remember_s: _LongTime = 400.0
    keys_max: _Count = 200_000
    answers_size_bytes: typing.Annotated[
        int, msgspec.Meta(ge=1024, le=1_073_741_824)
    ] = 67_108_864


class SecuritySettings(_Section):
    """The secrets that authenticate peers, operators and keys."""

    peer_token: _Secret
    operator_token: _Secret
    key_secret: _Secret


class Settings(_Section):
    """All settings of one entry process."""

    addresses: AddressSettings
    platform: PlatformSettings
    security: SecuritySettings
    ownership: OwnershipSettings = OwnershipSettings()
    placement: PlacementSettings = PlacementSettings()
    requests: RequestSettings = RequestSettings()
    limits: LimitSettings = LimitSettings()
    keys: KeySettings = KeySettings()
