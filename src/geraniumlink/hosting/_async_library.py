"""Keeps httpcore from importing trio, which instances don't use.

Where trio is installed, its import takes a large part of a process's start.
"""

from __future__ import annotations

import sys
import typing

# An import of a module that is None here fails as if it weren't installed.
sys.modules.setdefault("trio", typing.cast(typing.Any, None))
