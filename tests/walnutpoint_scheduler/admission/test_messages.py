"""Processes of different versions read each other's replies."""

from __future__ import annotations

import unittest

import msgspec

from tests.walnutpoint_scheduler import harness
from walnutpoint_model import virtual_time
from walnutpoint_scheduler import _messages
from walnutpoint_scheduler import admission

_OLD_FIELDS: dict[str, object] = {
    'incarnation': 'life',
    'schedules': True,
    'token': 7,
    'store_age_s': 0.0,
    'scheduler_age_s': 0.0,
    'cell_version': 1,
}


def _decode(fields: dict[str, object]) -> _messages.ProbeReply:
    return msgspec.msgpack.decode(
        msgspec.msgpack.encode(fields), type=_messages.ProbeReply
    )


class ProbeReplyTest(unittest.TestCase):
    """A probe stays valid, whatever is known of the backlog."""

    def test_reply_without_the_field_decodes(self) -> None:
        """Guards against replacing a scheduler of an older version."""
        self.assertEqual(b'', _decode(_OLD_FIELDS).backlog)

    def test_reply_with_an_unknown_field_decodes(self) -> None:
        """Guards against replacing a scheduler of a newer version."""
        reply = _decode(_OLD_FIELDS | {'newer': [1], 'backlog': b'x'})
        self.assertEqual((7, b'x'), (reply.token, reply.backlog))

    def test_unreadable_backlog_refuses_nothing(self) -> None:
        """Guards against a fault of the process by a newer format."""
        newer = msgspec.msgpack.encode({'version': 1, 'pools': 'another'})

        async def scenario() -> None:
            clock = virtual_time.LoopTimer()
            gate = admission.AdmissionGate(clock, lambda: True)
            for encoded in (b'', b'\xc1', newer):
                gate.note(7, encoded, 0.0, clock.now_s())
                self.assertIsNone(gate.refusal(harness.job(1)))

        harness.run_virtual(scenario)
