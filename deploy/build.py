"""Builds the runtime files of a VM under ``target/``: libraries, and the project's own packages.

Running processes may still import modules from ``target/`` during a build. Therefore a new tree of
modules is activated atomically by replacing a symbolic link, an unchanged tree is not rewritten,
and the previous tree is kept until the next build with changes.
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
"""The namespace package of all modules of the project."""

TREES_KEPT = 2
"""The active tree, and the previous one, from which processes may still be running."""


def main(root: pathlib.Path) -> None:
    """Build the checkout at `root`."""
    deps = root / "target" / "deps"
    _install_libraries(root / "requirements.txt", deps)
    install_sources(root, deps)


def _install_libraries(requirements: pathlib.Path, deps: pathlib.Path) -> None:
    """Reinstall the libraries if the requirements file is newer than the last installation."""
    marker = deps / "installed"
    if marker.exists() and marker.stat().st_mtime > requirements.stat().st_mtime:
        return
    shutil.rmtree(deps, ignore_errors=True)
    command = [sys.executable, "-m", "pip", "install", "--quiet", "--target", str(deps)]
    subprocess.run([*command, "--requirement", str(requirements)], check=True)
    marker.touch()


def install_sources(root: pathlib.Path, deps: pathlib.Path) -> None:
    """Install the project's modules under `deps`, unless they are unchanged."""
    sources = _sources(root)
    digest = _digest(sources)
    trees = deps.parent / "trees"
    tree = trees / digest
    if not tree.exists():
        _write_tree(sources, tree)
    link = deps / NAMESPACE
    target = pathlib.Path(os.path.relpath(tree, deps))
    if not link.is_symlink() or link.readlink() != target:
        _replace_symlink(link, target)
    os.utime(tree)
    _remove_old_trees(trees)


def _sources(root: pathlib.Path) -> dict[str, pathlib.Path]:
    """Return the project's modules by their path relative to the namespace package."""
    folders = [*root.glob(f"packages/*/src/{NAMESPACE}"), root / "platform" / "src" / NAMESPACE]
    return {
        path.relative_to(folder).as_posix(): path
        for folder in folders
        for path in sorted(folder.rglob("*.py"))
    }


def _digest(sources: dict[str, pathlib.Path]) -> str:
    hasher = sha256()
    for name in sorted(sources):
        content = sources[name].read_bytes()
        hasher.update(f"{name} {len(content)}\n".encode() + content)
    return hasher.hexdigest()[:16]


def _write_tree(sources: dict[str, pathlib.Path], tree: pathlib.Path) -> None:
    """Write and compile a tree in a temporary directory, and rename it to `tree` when complete."""
    staging = tree.with_name(f"{tree.name}.{os.getpid()}")
    for name, path in sources.items():
        target = staging / name
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(path, target)
    # Hash-based bytecode files do not depend on the sources' modification times.
    mode = py_compile.PycInvalidationMode.UNCHECKED_HASH
    if not compileall.compile_dir(staging, ddir=NAMESPACE, quiet=1, invalidation_mode=mode):
        raise SystemExit("the modules do not compile")
    try:
        staging.rename(tree)
    except OSError:
        # A concurrent build of the same sources has created the tree.
        shutil.rmtree(staging)


def _replace_symlink(link: pathlib.Path, target: pathlib.Path) -> None:
    """Atomically replace the symbolic link `link` by one to `target`.

    A directory in the place of the link is removed first.
    """
    if link.is_dir() and not link.is_symlink():
        shutil.rmtree(link)
    staging = link.with_name(f"{link.name}.{os.getpid()}")
    staging.symlink_to(target)
    staging.replace(link)


def _remove_old_trees(trees: pathlib.Path) -> None:
    by_age = sorted(trees.iterdir(), key=lambda path: path.stat().st_mtime, reverse=True)
    for path in by_age[TREES_KEPT:]:
        shutil.rmtree(path)


if __name__ == "__main__":
    main(pathlib.Path(__file__).resolve().parent.parent)
