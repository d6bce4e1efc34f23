"""Tests of the scheduler, in virtual time and without a network."""

from walnutpoint_core import logs

logs.configure('critical')
