"""Check every model and mutant; exit non-zero on an unexpected verdict."""

from __future__ import annotations

import argparse
import sys

from specs import _cases
from specs import _check


def main() -> int:
    """Run the cases named by the command line."""
    parser = argparse.ArgumentParser(prog='python -m specs')
    parser.add_argument('--traces', action='store_true')
    arguments = parser.parse_args()
    return _check.run_all(_cases.all_cases(), arguments.traces)


if __name__ == '__main__':
    sys.exit(main())
