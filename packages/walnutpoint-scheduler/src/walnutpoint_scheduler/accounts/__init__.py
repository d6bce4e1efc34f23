"""Client accounts: keys, shares, and what each may have at work."""

from __future__ import annotations

from walnutpoint_scheduler.accounts import _account
from walnutpoint_scheduler.accounts import _entitlement
from walnutpoint_scheduler.accounts import _register
from walnutpoint_scheduler.accounts import _usage

__all__ = (
    'Account',
    'Accounts',
    'Entitlement',
    'Usage',
    'digest',
    'faults',
)

Account = _account.Account
Accounts = _register.Accounts
Entitlement = _entitlement.Entitlement
Usage = _usage.Usage
digest = _account.digest
faults = _register.faults
