"""Builds what a VM runs under ``target/``: libraries, and the project's own packages.

The new tree is put in place by one rename of a link, and an unchanged one is left alone: processes
that were started from ``target/`` may still import modules while the next build runs. A tree stays
until the second build after it, for those that run from it.
"""

import compileall
import os
import pathlib
import py_compile
import shutil
import subprocess
import sys
from hashlib import sha256

NAMESPACE = "cardamomloft"
"""The package under which all of the project's own modules lie."""

TREES_KEPT = 2
"""Trees that stay: the one in place and the one before, from which processes may still run."""


def main(root: pathlib.Path) -> None:
    """Build the checkout at `root`."""
    deps = root / "target" / "deps"
    _install_libraries(root / "requirements.txt", deps)
    install_sources(root, deps)


def _install_libraries(requirements: pathlib.Path, deps: pathlib.Path) -> None:
    """Install the libraries anew when their list has changed."""
    mark = deps / "installed"
    if mark.exists() and mark.stat().st_mtime > requirements.stat().st_mtime:
        return
    shutil.rmtree(deps, ignore_errors=True)
    command = [sys.executable, "-m", "pip", "install", "--quiet", "--target", str(deps)]
    subprocess.run([*command, "--requirement", str(requirements)], check=True)
    mark.touch()


def install_sources(root: pathlib.Path, deps: pathlib.Path) -> None:
    """Put the project's modules under `deps`, unless they are there as they are now."""
    sources = _sources(root)
    digest = _digest(sources)
    trees = deps.parent / "trees"
    tree = trees / digest
    if not tree.exists():
        _write_tree(sources, tree)
    link = deps / NAMESPACE
    goal = pathlib.Path(os.path.relpath(tree, deps))
    if not link.is_symlink() or link.readlink() != goal:
        _point(link, goal)
    os.utime(tree)
    _forget_old(trees)


def _sources(root: pathlib.Path) -> dict[str, pathlib.Path]:
    """Return the project's modules by their path below the namespace."""
    folders = [*root.glob(f"packages/*/src/{NAMESPACE}"), root / "platform" / "src" / NAMESPACE]
    return {
        path.relative_to(folder).as_posix(): path
        for folder in folders
        for path in sorted(folder.rglob("*.py"))
    }


def _digest(sources: dict[str, pathlib.Path]) -> str:
    found = sha256()
    for name in sorted(sources):
        content = sources[name].read_bytes()
        found.update(f"{name} {len(content)}\n".encode() + content)
    return found.hexdigest()[:16]


def _write_tree(sources: dict[str, pathlib.Path], tree: pathlib.Path) -> None:
    """Write and compile a tree beside its place, so that it is there whole or not at all."""
    draft = tree.with_name(f"{tree.name}.{os.getpid()}")
    for name, path in sources.items():
        target = draft / name
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(path, target)
    # By their contents: the place, and so the time of change, is another after the rename.
    mode = py_compile.PycInvalidationMode.UNCHECKED_HASH
    if not compileall.compile_dir(draft, ddir=NAMESPACE, quiet=1, invalidation_mode=mode):
        raise SystemExit("the modules do not compile")
    try:
        draft.rename(tree)
    except OSError:
        # Another build of the same sources was first.
        shutil.rmtree(draft)


def _point(link: pathlib.Path, goal: pathlib.Path) -> None:
    """Let `link` name `goal`, in one step."""
    if link.is_dir() and not link.is_symlink():
        shutil.rmtree(link)
    draft = link.with_name(f"{link.name}.{os.getpid()}")
    draft.symlink_to(goal)
    draft.replace(link)


def _forget_old(trees: pathlib.Path) -> None:
    by_age = sorted(trees.iterdir(), key=lambda path: path.stat().st_mtime, reverse=True)
    for path in by_age[TREES_KEPT:]:
        shutil.rmtree(path)


if __name__ == "__main__":
    main(pathlib.Path(__file__).resolve().parent.parent)
