"""The command line of walnutpointd."""

from __future__ import annotations

import enum
import sys

from absl import app
from absl import flags
import anyio

from walnutpoint_core import logs
from walnutpoint_core import settings as settings_module
from walnutpoint_entry import daemon

__all__ = ('run',)

_SETTINGS = flags.DEFINE_string(
    'settings', None, 'YAML file with the settings of this process.'
)
_CHECK = flags.DEFINE_bool(
    'check', False, 'Only check the settings, then exit.'
)


class ExitCode(enum.IntEnum):
    """The exit codes of walnutpointd."""

    STOPPED = 0
    STOPPED_AT_ONCE = 1
    BAD_SETTINGS = 2


def _main(arguments: list[str]) -> int:
    if len(arguments) > 1 or not _SETTINGS.value:
        print('usage: walnutpointd --settings FILE [--check]', file=sys.stderr)
        return ExitCode.BAD_SETTINGS
    loaded = settings_module.load(_SETTINGS.value)
    if loaded.is_error():
        print(f'walnutpointd: {loaded.error}', file=sys.stderr)
        return ExitCode.BAD_SETTINGS
    if _CHECK.value:
        print(f'{_SETTINGS.value}: the settings are valid')
        return ExitCode.STOPPED
    logs.configure(loaded.ok.limits.log_level)
    return anyio.run(daemon.serve, loaded.ok)


def run() -> None:
    """Run the program with the command line's arguments."""
    app.run(_main)


if __name__ == '__main__':
    run()
