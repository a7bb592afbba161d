"""Generates the protobuf code beside each .proto file; with --check, only tests that it is up to date."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent


def generate(out: Path) -> list[Path]:
    """Generates the code of every .proto file below `out`; returns the relative paths of the files."""
    from grpc_tools import protoc  # a build dependency: the program itself needs only protobuf

    generated = []
    for path in sorted((ROOT / "olivecourse").rglob("wire/*.proto")):
        name = path.relative_to(ROOT)
        if protoc.main(["protoc", f"-I{ROOT}", f"--python_out={out}", f"--pyi_out={out}", str(name)]):
            sys.exit(f"build_wire: {name} cannot be generated")
        generated += [name.with_name(f"{name.stem}_pb2{suffix}") for suffix in (".py", ".pyi")]
    return generated


def main() -> int:
    """Generates the code, or with --check returns 1 if a generated file is missing or differs."""
    if "--check" not in sys.argv[1:]:
        generate(ROOT)
        return 0
    with tempfile.TemporaryDirectory() as folder:
        generated = {name: (Path(folder) / name).read_bytes() for name in generate(Path(folder))}
    stale = [
        name
        for name, data in generated.items()
        if not (ROOT / name).exists() or (ROOT / name).read_bytes() != data
    ]
    for name in stale:
        print(f"build_wire: {name} is not what its .proto gives", file=sys.stderr)
    return 1 if stale else 0


if __name__ == "__main__":
    sys.exit(main())
