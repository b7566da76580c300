"""Names of builds."""

from __future__ import annotations

import subprocess
import sys

from amaranthhollow.build import UNNAMED_BUILD, build_name
from tests.processes import ROOT


def write_build(folder):
    command = [sys.executable, str(ROOT / "tools" / "write_build.py"), str(folder)]
    return subprocess.run(command, capture_output=True, check=True, text=True).stdout


def test_checkout_has_an_unnamed_build(tmp_path):
    assert build_name(tmp_path) == UNNAMED_BUILD


def test_build_is_named_by_its_sources(tmp_path):
    names = []
    for folder, content in (("a", "x = 1"), ("b", "x = 1"), ("c", "x = 2")):
        package = tmp_path / folder
        (package / "__pycache__").mkdir(parents=True)
        (package / "module.py").write_text(content)
        (package / "__pycache__" / "module.pyc").write_text(folder)
        printed = write_build(package)
        names.append(build_name(package))
        assert printed == f"{names[-1]}\n"
        assert write_build(package) == printed

    assert names[0] == names[1] != names[2]
