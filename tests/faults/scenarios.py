"""Scenarios that run on a cluster of their own."""

from __future__ import annotations

import asyncio
import collections.abc
import typing

from tests.faults import cluster as clusters
from tests.faults import load as loads

__all__ = ('run',)

_Scenario: typing.TypeAlias = collections.abc.Callable[
    [clusters.Cluster, loads.Load],
    collections.abc.Coroutine[typing.Any, typing.Any, None],
]


def run(scenario: _Scenario, **sizes: int) -> None:
    """Run a scenario on a new cluster."""

    async def run_on_cluster() -> None:
        async with clusters.Cluster(clusters.ClusterSizes(**sizes)) as cluster:
            async with loads.Load(cluster, 'scene') as load:
                await scenario(cluster, load)

    asyncio.run(run_on_cluster())
