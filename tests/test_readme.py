"""The README's example of the decision module by itself."""

from __future__ import annotations

import re
from pathlib import Path

README = Path(__file__).parent.parent / "README.md"


def test_the_example_of_the_module_runs_and_sends_the_request(capsys):
    (example,) = re.findall(r"```python\n(.*?)```", README.read_text(), re.DOTALL)
    exec(compile(example, str(README), "exec"), {})
    assert re.match(r"send 1 to 1[12] \d+\n", capsys.readouterr().out)
