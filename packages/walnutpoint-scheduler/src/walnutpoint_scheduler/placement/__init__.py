"""Where tasks end soonest while the workers of a pool differ in speed."""

from __future__ import annotations

from walnutpoint_scheduler.placement import _choice
from walnutpoint_scheduler.placement import _groups
from walnutpoint_scheduler.placement import _outlook
from walnutpoint_scheduler.placement import _pool_speeds
from walnutpoint_scheduler.placement import _step_choices

__all__ = (
    'GroupChoice',
    'Outlook',
    'PoolSpeeds',
    'SpeedGroups',
    'SpeedRegister',
    'StepChoices',
    'choose',
    'find_groups',
    'largest_factor',
)

GroupChoice = _choice.GroupChoice
Outlook = _outlook.Outlook
PoolSpeeds = _pool_speeds.PoolSpeeds
SpeedGroups = _groups.SpeedGroups
SpeedRegister = _pool_speeds.SpeedRegister
StepChoices = _step_choices.StepChoices
choose = _choice.choose
find_groups = _groups.find_groups
largest_factor = _outlook.largest_factor
