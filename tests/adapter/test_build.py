"""The build installs changed sources and keeps the previous tree for processes that use it."""

import importlib.util
import pathlib

ROOT = pathlib.Path(__file__).resolve().parents[2]
SPEC = importlib.util.spec_from_file_location("deploy_build", ROOT / "deploy" / "build.py")
build = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(build)


def make_checkout(folder):
    for name, text in (
        ("packages/core/src/cardamomloft/core/rates.py", "RATE = 1\n"),
        ("platform/src/cardamomloft/platform/names.py", "NAME = 'a'\n"),
    ):
        path = folder / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)
    deps = folder / "target" / "deps"
    deps.mkdir(parents=True, exist_ok=True)
    return deps


def test_unchanged_sources_are_not_reinstalled(tmp_path):
    deps = make_checkout(tmp_path)
    build.install_sources(tmp_path, deps)
    module = deps / "cardamomloft" / "core" / "rates.py"
    before = (module.stat().st_ino, (deps / "cardamomloft").lstat().st_ino)
    build.install_sources(tmp_path, deps)
    assert (module.stat().st_ino, (deps / "cardamomloft").lstat().st_ino) == before
    assert [path.name for path in deps.iterdir()] == ["cardamomloft"]


def test_changed_sources_are_installed_while_the_previous_tree_remains(tmp_path):
    deps = make_checkout(tmp_path)
    build.install_sources(tmp_path, deps)
    previous_tree = (deps / "cardamomloft").resolve()
    source = tmp_path / "packages/core/src/cardamomloft/core/rates.py"
    source.write_text("RATE = 2\n")
    build.install_sources(tmp_path, deps)
    assert (deps / "cardamomloft" / "core" / "rates.py").read_text() == "RATE = 2\n"
    assert (previous_tree / "core" / "rates.py").read_text() == "RATE = 1\n"
    assert list((previous_tree / "core" / "__pycache__").iterdir())
    source.write_text("RATE = 3\n")
    build.install_sources(tmp_path, deps)
    assert not previous_tree.exists()


def test_plain_directory_of_an_earlier_build_is_replaced(tmp_path):
    deps = make_checkout(tmp_path)
    (deps / "cardamomloft").mkdir()
    build.install_sources(tmp_path, deps)
    assert (deps / "cardamomloft" / "platform" / "names.py").exists()
