"""The flags of the command line."""

from __future__ import annotations

import collections.abc
import os
import pathlib
import re
import sys
import typing

from absl import flags
import httpx

from walnutpoint_cli import _options

__all__ = (
    'TOKEN_VARIABLE',
    'document_options',
    'document_text',
    'help_text',
    'operator_options',
    'output_format',
    'parse',
    'plot_path',
    'request_options',
)

TOKEN_VARIABLE: typing.Final = 'WALNUTPOINT_OPERATOR_TOKEN'
_PORT_MAX: typing.Final = 65535
_URL_PATTERN = re.compile(r'https?://[^/?#\s]+/?')
_SUBMISSION_ID_PATTERN = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{7,63}')
_HEADER_VALUE_PATTERN = re.compile(r'[\x21-\x7e]([\x20-\x7e]*[\x21-\x7e])?')

_OUTPUT = flags.DEFINE_enum(
    'output', 'text', ['text', 'json'], 'Form of the output.'
)
_ENTRY = flags.DEFINE_multi_string(
    'entry',
    ['http://127.0.0.1:8080'],
    'request: URL of an entry process; repeat it to spread --count.',
)
_PATH = flags.DEFINE_string('path', '/', "request: the endpoint's path.")
_METHOD = flags.DEFINE_string('method', 'POST', 'request: HTTP method.')
_BODY = flags.DEFINE_string('body', None, 'request: the body as text.')
_BODY_FILE = flags.DEFINE_string(
    'body_file', None, 'request: file that holds the body.'
)
_TEAM = flags.DEFINE_string(
    'team', None, 'request: the team to charge; get: the only team to show.'
)
_CLASS = flags.DEFINE_enum(
    'class', None, ['urgent', 'standard', 'batch'], 'request: its class.'
)
_DEADLINE_S = flags.DEFINE_float(
    'deadline_s',
    None,
    'request: seconds until the answer is no longer useful.',
    lower_bound=0.001,
)
_IDEMPOTENT = flags.DEFINE_bool(
    'idempotent', False, 'request: declare that it may run more than once.'
)
_KEY = flags.DEFINE_string('key', None, 'request: its Idempotency-Key.')
_MINT_KEY = flags.DEFINE_bool(
    'mint_key', False, 'request: fetch a fresh Idempotency-Key for each.'
)
_COUNT = flags.DEFINE_integer(
    'count', 1, 'request: how many to send.', lower_bound=1
)
_CONCURRENCY = flags.DEFINE_integer(
    'concurrency',
    8,
    'request: how many to have in progress at once.',
    lower_bound=1,
    upper_bound=1024,
)
_OPERATOR = flags.DEFINE_multi_string(
    'operator',
    ['http://127.0.0.1:9090'],
    'every command but request: URL of an operator address; repeat it to '
    'name more processes, except for status, endpoints, owners and explain.',
)
_SUBMISSION_ID = flags.DEFINE_string(
    'submission_id',
    None,
    'apply, cancel, diff: the id under which the document was sent before; '
    'default: the one in the file, or a new one.',
)
_WAIT = flags.DEFINE_bool(
    'wait',
    False,
    'apply, cancel: until every --operator has it in force; '
    'jobs: until the job has ended.',
)
_WAIT_S = flags.DEFINE_float(
    'wait_s',
    None,
    'Longest --wait; default: 30 for apply and cancel, no limit for jobs.',
    lower_bound=0.001,
)
_TOKEN_FILE = flags.DEFINE_string(
    'token_file',
    None,
    f'File that holds the operator token; default: {TOKEN_VARIABLE}.',
)


_PLOT = flags.DEFINE_string(
    'plot', None, 'model: file for a plot of the times, as PNG.'
)


def plot_path() -> str | None:
    """Return the path of the plot, or None."""
    return _PLOT.value


def parse(argv: collections.abc.Sequence[str]) -> list[str]:
    """Parse the flags and return the positional arguments."""
    flags.FLAGS.set_gnu_getopt(True)
    return list(flags.FLAGS(list(argv)))


def help_text() -> str:
    """Return the description of all flags."""
    return str(flags.FLAGS.module_help(__name__))


def request_options() -> _options.RequestOptions:
    """Return the options of the request command."""
    _check_exclusive(_BODY, _BODY_FILE)
    if _MINT_KEY.value and _KEY.value is not None:
        raise flags.IllegalFlagValueError('give --key or --mint_key, not both')
    return _options.RequestOptions(
        entries=tuple(_url(entry) for entry in _ENTRY.value),
        path=_header_value(_PATH.value, 'path') or '/',
        method=_header_value(_METHOD.value, 'method') or 'POST',
        body=_body(),
        team=_header_value(_TEAM.value, 'team'),
        work_class=_CLASS.value,
        deadline_s=_DEADLINE_S.value,
        idempotent=_IDEMPOTENT.value,
        key=_header_value(_KEY.value, 'key'),
        mint_key=_MINT_KEY.value,
        count=_COUNT.value,
        concurrency=_CONCURRENCY.value,
        output=output_format(),
    )


def output_format() -> _options.Output:
    """Return the output format."""
    return _options.Output(_OUTPUT.value)


def operator_options() -> _options.OperatorOptions:
    """Return the options of the commands on one operator address."""
    if len(_OPERATOR.value) > 1:
        raise flags.IllegalFlagValueError('give one --operator')
    return _options.OperatorOptions(
        operator=_url(_OPERATOR.value[0]),
        token=_token(),
        output=output_format(),
    )


def document_options() -> _options.DocumentOptions:
    """Return the options of the commands for documents and jobs."""
    identity = _SUBMISSION_ID.value
    if identity is not None and not _SUBMISSION_ID_PATTERN.fullmatch(identity):
        raise flags.IllegalFlagValueError(
            '--submission_id must be 8 to 64 letters, digits, dots, '
            'underscores and hyphens'
        )
    return _options.DocumentOptions(
        operators=tuple(dict.fromkeys(map(_url, _OPERATOR.value))),
        token=_token(),
        output=output_format(),
        submission_id=identity,
        team=_header_value(_TEAM.value, 'team') or '',
        wait=_WAIT.value,
        wait_s=_WAIT_S.value,
    )


def document_text(path: str) -> str:
    """Read the text of a document; - stands for standard input."""
    try:
        return sys.stdin.read() if path == '-' else _read(path).decode()
    except UnicodeDecodeError as error:
        raise flags.IllegalFlagValueError(f'{path}: not UTF-8') from error


def _check_exclusive(
    first: flags.FlagHolder[typing.Any], second: flags.FlagHolder[typing.Any]
) -> None:
    if first.value is not None and second.value is not None:
        raise flags.IllegalFlagValueError(
            f'give --{first.name} or --{second.name}, not both'
        )


def _url(text: str) -> str:
    try:
        port = httpx.URL(text).port or 0
        is_valid = (
            _URL_PATTERN.fullmatch(text) is not None and port <= _PORT_MAX
        )
    except httpx.InvalidURL:
        is_valid = False
    if not is_valid:
        raise flags.IllegalFlagValueError(
            f'{text!r} is not a URL like http://127.0.0.1:8080'
        )
    return text.rstrip('/')


def _header_value(text: str | None, name: str) -> str | None:
    # A line break would allow the injection of another header field.
    if text is not None and not _HEADER_VALUE_PATTERN.fullmatch(text):
        raise flags.IllegalFlagValueError(
            f'--{name} must be printable ASCII text'
        )
    return text


def _body() -> bytes:
    if _BODY_FILE.value is not None:
        return _read(_BODY_FILE.value)
    return (_BODY.value or '').encode()


def _token() -> str:
    if _TOKEN_FILE.value is not None:
        token = _read(_TOKEN_FILE.value).decode('ascii', 'replace').strip()
    else:
        token = os.environ.get(TOKEN_VARIABLE, '').strip()
    if not _HEADER_VALUE_PATTERN.fullmatch(token):
        raise flags.IllegalFlagValueError(
            f'give an operator token by --token_file or {TOKEN_VARIABLE}'
        )
    return token


def _read(path: str) -> bytes:
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        raise flags.IllegalFlagValueError(str(error)) from error
