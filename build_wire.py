"""Generates the protobuf Python code beside each .proto file; with --check, only tests that it is current."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent


def generate(out: Path) -> list[Path]:
    """Writes the code of every .proto file of olivecourse/ below the folder `out`.

    Returns the paths of the generated files (_pb2.py and _pb2.pyi), relative to `out`.
    """
    from grpc_tools import protoc  # a build dependency: the program itself needs only protobuf

    generated = []
    for path in sorted((ROOT / "olivecourse").rglob("wire/*.proto")):
        name = path.relative_to(ROOT)
        if protoc.main(["protoc", f"-I{ROOT}", f"--python_out={out}", f"--pyi_out={out}", str(name)]):
            sys.exit(f"build_wire: {name} cannot be generated")
        generated += [name.with_name(f"{name.stem}_pb2{suffix}") for suffix in (".py", ".pyi")]
    return generated


def main() -> int:
    """Generates the code and returns 0.

    With --check it changes no file, and returns 1 if a generated file is missing or out of date.
    """
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
