"""Process settings: schema, defaults, ranges and loader."""

from __future__ import annotations

from walnutpoint_core.settings import _error
from walnutpoint_core.settings import _loader
from walnutpoint_core.settings import _relations
from walnutpoint_core.settings import _schema

__all__ = (
    'AddressSettings',
    'CLOCK_AHEAD_RATIO',
    'KeySettings',
    'LimitSettings',
    'OwnershipSettings',
    'PlacementSettings',
    'PlatformSettings',
    'RequestSettings',
    'SecuritySettings',
    'Settings',
    'SettingsError',
    'check',
    'load',
)

AddressSettings = _schema.AddressSettings
CLOCK_AHEAD_RATIO = _relations.CLOCK_AHEAD_RATIO
KeySettings = _schema.KeySettings
LimitSettings = _schema.LimitSettings
OwnershipSettings = _schema.OwnershipSettings
PlacementSettings = _schema.PlacementSettings
PlatformSettings = _schema.PlatformSettings
RequestSettings = _schema.RequestSettings
SecuritySettings = _schema.SecuritySettings
Settings = _schema.Settings
SettingsError = _error.SettingsError
check = _loader.check
load = _loader.load
