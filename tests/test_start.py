"""The start of a process on the users' platform."""

import os
import subprocess
import sys

# Libraries that a process on the users' platform has no use for.
_UNUSED = ("expression", "google.protobuf", "trio")


def test_a_process_imports_no_library_that_it_does_not_use(tmp_path):
    (tmp_path / "trio.py").write_text("raise SystemExit('trio')")
    script = (
        "import sys\n"
        "import geraniumlink.hosting.__main__\n"
        f"unused = {_UNUSED!r}\n"
        "print([name for name in unused if sys.modules.get(name)])\n"
    )
    path = os.pathsep.join([str(tmp_path), os.environ.get("PYTHONPATH", "")])
    finished = subprocess.run(
        [sys.executable, "-c", script],
        env={**os.environ, "PYTHONPATH": path},
        capture_output=True,
        text=True,
        check=False,
    )
    assert finished.stdout == "[]\n", finished.stderr
