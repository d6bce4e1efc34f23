"""Idempotency keys: minting, the memory of their answers, hand-over."""

from __future__ import annotations

from walnutpoint_entry.keys import _blind
from walnutpoint_entry.keys import _entry
from walnutpoint_entry.keys import _fingerprint
from walnutpoint_entry.keys import _memory
from walnutpoint_entry.keys import _mint
from walnutpoint_entry.keys import _record

__all__ = (
    'BATCH_SIZE_BYTES',
    'BlindPeriod',
    'BlindRest',
    'Entry',
    'ForeignKey',
    'Fresh',
    'Join',
    'KeyCounts',
    'KeyMemory',
    'KeyMint',
    'KeyRecord',
    'KeyState',
    'MintedKey',
    'Replay',
    'Verdict',
    'decode_records',
    'encode_records',
    'fingerprint',
    'is_minted',
)

BATCH_SIZE_BYTES = _record.BATCH_SIZE_BYTES
BlindPeriod = _blind.BlindPeriod
BlindRest = _blind.BlindRest
Entry = _entry.Entry
ForeignKey = _mint.ForeignKey
Fresh = _entry.Fresh
Join = _entry.Join
KeyCounts = _memory.KeyCounts
KeyMemory = _memory.KeyMemory
KeyMint = _mint.KeyMint
KeyRecord = _record.KeyRecord
KeyState = _record.KeyState
MintedKey = _mint.MintedKey
Replay = _entry.Replay
Verdict = _entry.Verdict
decode_records = _record.decode_records
encode_records = _record.encode_records
fingerprint = _fingerprint.fingerprint
is_minted = _mint.is_minted
