"""Client accounts: keys, shares, and limits on running tasks."""

from __future__ import annotations

from walnutpoint_scheduler.accounts import _account
from walnutpoint_scheduler.accounts import _entitlement
from walnutpoint_scheduler.accounts import _recent_use
from walnutpoint_scheduler.accounts import _register
from walnutpoint_scheduler.accounts import _terms
from walnutpoint_scheduler.accounts import _usage

__all__ = (
    'Account',
    'Accounts',
    'Entitlement',
    'RecentUse',
    'Terms',
    'Usage',
    'conflicts',
    'digest',
)

Account = _account.Account
Accounts = _register.Accounts
Entitlement = _entitlement.Entitlement
RecentUse = _recent_use.RecentUse
Terms = _terms.Terms
Usage = _usage.Usage
digest = _account.digest
conflicts = _register.conflicts
