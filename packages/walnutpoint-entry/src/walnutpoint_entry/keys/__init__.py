"""Idempotency keys: minting, the key memory and its handover."""

from __future__ import annotations

from walnutpoint_entry.keys import _blind
from walnutpoint_entry.keys import _fingerprint
from walnutpoint_entry.keys import _in_flight
from walnutpoint_entry.keys import _memory
from walnutpoint_entry.keys import _mint
from walnutpoint_entry.keys import _record

__all__ = (
    'Admission',
    'Admitted',
    'BATCH_SIZE_BYTES',
    'BlindPeriod',
    'CallerKey',
    'InFlightKey',
    'Joined',
    'KeyCounts',
    'KeyMemory',
    'KeyMinter',
    'KeyRecord',
    'KeyState',
    'MintedKey',
    'RemainingBlindPeriod',
    'Replayed',
    'decode_records',
    'encode_records',
    'fingerprint',
    'is_minted',
)

BATCH_SIZE_BYTES = _record.BATCH_SIZE_BYTES
BlindPeriod = _blind.BlindPeriod
RemainingBlindPeriod = _blind.RemainingBlindPeriod
InFlightKey = _in_flight.InFlightKey
CallerKey = _mint.CallerKey
Admitted = _in_flight.Admitted
Joined = _in_flight.Joined
KeyCounts = _memory.KeyCounts
KeyMemory = _memory.KeyMemory
KeyMinter = _mint.KeyMinter
KeyRecord = _record.KeyRecord
KeyState = _record.KeyState
MintedKey = _mint.MintedKey
Replayed = _in_flight.Replayed
Admission = _in_flight.Admission
decode_records = _record.decode_records
encode_records = _record.encode_records
fingerprint = _fingerprint.fingerprint
is_minted = _mint.is_minted
