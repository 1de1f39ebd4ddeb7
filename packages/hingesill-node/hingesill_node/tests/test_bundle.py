"""Tests of importing modules from a bundle."""

import subprocess
import sys
import tempfile
import textwrap
import unittest
from pathlib import Path

WRITE = """
import sys
sys.path.insert(0, {folder!r})
import first, box.inner
from hingesill_node.bundle import write_bundle
print(write_bundle({path!r}, [first, sys.modules["box"], box.inner], {lazy!r}))
"""

READ = """
import sys
from hingesill_node.bundle import open_bundle
left_out = open_bundle({path!r})
assert not left_out, left_out
import first, box.inner
{check}
"""


class BundleTests(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.path = str(self.folder / "modules.bundle")
        (self.folder / "first.py").write_text("print('ran')\nVALUE = 1\n")
        (self.folder / "box").mkdir()
        (self.folder / "box" / "__init__.py").write_text("VALUE = 2\n")
        (self.folder / "box" / "inner.py").write_text("VALUE = 3\n")

    def run_python(self, text, **values):
        text = textwrap.dedent(text).format(path=self.path, **values)
        result = subprocess.run(
            [sys.executable, "-c", text], capture_output=True, text=True, timeout=30
        )
        self.assertEqual(result.returncode, 0, result.stderr)
        return result.stdout

    def write(self, lazy=()):
        return self.run_python(WRITE, folder=str(self.folder), lazy=tuple(lazy))

    def test_modules_are_loaded_without_their_source_files(self):
        self.assertIn("3", self.write())
        for file in self.folder.rglob("*.py"):
            file.unlink()
        check = "assert (first.VALUE, box.VALUE, box.inner.VALUE) == (1, 2, 3)"
        self.assertEqual(self.run_python(READ, check=check), "ran\n")

    def test_missing_submodules_are_found_in_the_package_folder(self):
        self.write()
        (self.folder / "box" / "later.py").write_text("VALUE = 4\n")
        check = "import box.later; assert box.later.VALUE == 4"
        self.run_python(READ, check=check)

    def test_modules_have_the_path_of_their_source(self):
        self.write()
        check = f"assert first.__file__ == {str(self.folder / 'first.py')!r}"
        self.run_python(READ, check=check)

    def test_a_lazy_module_runs_on_first_use(self):
        self.write(lazy=["first"])
        self.assertEqual(self.run_python(READ, check="pass"), "")
        self.assertEqual(self.run_python(READ, check="first.VALUE"), "ran\n")

    def test_an_invalid_bundle_is_reported_and_not_used(self):
        check = """
        from hingesill_node.bundle import open_bundle
        import sys
        before = list(sys.meta_path)
        print(open_bundle({path!r}))
        assert sys.meta_path == before
        """
        self.assertIn("No such file", self.run_python(check))
        for data in (b"", b"short", b"\0" * 7 + b"\5hello world"):
            Path(self.path).write_bytes(data)
            with self.subTest(data=data):
                self.assertIn(self.path, self.run_python(check))

    def test_rewriting_a_bundle_does_not_affect_its_readers(self):
        self.write()
        text = f"""
        from hingesill_node.bundle import open_bundle, write_bundle
        left_out = open_bundle({{path!r}})
        assert not left_out, left_out
        write_bundle({{path!r}}, [])
        import sys
        sys.path.insert(0, {str(self.folder)!r})
        import first, box.inner
        """
        self.assertEqual(self.run_python(text), "ran\n")

    def test_a_bundle_of_another_interpreter_is_not_used(self):
        self.write()
        check = """
        import sys
        sys.version = "another"
        from hingesill_node.bundle import open_bundle
        print(open_bundle({path!r}))
        """
        self.assertIn("made by", self.run_python(check))
