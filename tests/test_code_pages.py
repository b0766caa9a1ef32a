"""Code pages are unmapped without harm to the process."""

from __future__ import annotations

import subprocess
import sys

from harecross.platform.code_pages import Mapping, code_mappings

MAPS = """\
7f0000000000-7f0000002000 r--p 00000000 08:01 42 /lib/libx.so
7f0000002000-7f0000004000 r-xp 00002000 08:01 42 /lib/libx.so
7f0000004000-7f0000006000 rw-p 00004000 08:01 42 /lib/libx.so
7f0000006000-7f0000008000 rwxp 00006000 08:01 42 /lib/liby.so
7f0000008000-7f000000a000 r-xp 00000000 00:00 0 [vdso]
7f000000a000-7f000000c000 r-xp 00000000 00:00 0
"""


def test_only_code_of_files_that_is_never_written_is_unmapped():
    """Guards against data that is lost, or pages that cannot be mapped again."""
    assert list(code_mappings(MAPS)) == [Mapping(0x7F0000002000, 0x7F0000004000)]


def test_a_process_goes_on_after_its_code_pages_are_unmapped():
    """Guards against a crash, and against a resident size that does not fall."""
    program = (
        "import ssl, json\n"
        "from harecross.platform.code_pages import release_code_pages\n"
        "from harecross.platform.process_memory import ResidentSize\n"
        "size = ResidentSize()\n"
        "before = size.read().resident\n"
        "assert release_code_pages() > 0\n"
        "assert size.read().resident < before - (1 << 20)\n"
        "assert json.loads(json.dumps(list(range(1000)))) == list(range(1000))\n"
        "ssl.create_default_context()\n"
    )
    subprocess.run([sys.executable, "-c", program], check=True, timeout=30)
