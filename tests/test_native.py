"""Faults of the compiled copy that the sources do not show, found in the sources without compiling.

mypyc gives a local variable one type, and refuses interpreted subclasses of the classes that it compiles.
Either raises TypeError in the copy that build_native.py makes and nowhere else.
"""

import ast
from collections import defaultdict
from pathlib import Path

import build_native

ROOT = Path(__file__).parent.parent
SCOPES = (ast.FunctionDef, ast.AsyncFunctionDef, ast.ClassDef, ast.Lambda)


def module_name(path):
    """Returns the dotted name of a module of the package."""
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


PATHS = {module_name(path): path for path in sorted((ROOT / "olivecourse").rglob("*.py"))}
TREES = {module: ast.parse(path.read_text()) for module, path in PATHS.items()}
COMPILED = {f"olivecourse.{name.replace('/', '.')}" for name in (*build_native.HOT, *build_native.RELAY)}


def scope_nodes(scope):
    """Yields the nodes of a scope without those of the functions and classes inside it."""
    for child in ast.iter_child_nodes(scope):
        yield child
        if not isinstance(child, SCOPES):
            yield from scope_nodes(child)


def rebound_names(tree):
    """Returns (line, name, types) for each name that one scope binds to different exception types."""
    found = []
    for scope in (tree, *(node for node in ast.walk(tree) if isinstance(node, SCOPES))):
        bound = defaultdict(dict)
        for node in scope_nodes(scope):
            if isinstance(node, ast.ExceptHandler) and node.name is not None:
                bound[node.name].setdefault(ast.unparse(node.type), node.lineno)
        found += [(min(types.values()), name, [*types]) for name, types in bound.items() if len(types) > 1]
    return sorted(found)


def imported_names(module):
    """Maps each name that a module imports from the package, anywhere in its code, to its dotted origin."""
    package = module if PATHS[module].name == "__init__.py" else module.rpartition(".")[0]
    names = {}
    for node in ast.walk(TREES[module]):
        if isinstance(node, ast.ImportFrom):
            base = node.module or ""
            if node.level:
                parents = package.split(".")[: len(package.split(".")) - node.level + 1]
                base = ".".join([*parents, *filter(None, [node.module])])
            if base.split(".")[0] == "olivecourse":
                assert all(alias.name != "*" for alias in node.names), f"{module}: import of *"
                names |= {alias.asname or alias.name: f"{base}.{alias.name}" for alias in node.names}
        elif isinstance(node, ast.Import):
            for alias in node.names:
                if alias.name.split(".")[0] == "olivecourse":
                    names |= {alias.asname: alias.name} if alias.asname else {"olivecourse": "olivecourse"}
    return names


IMPORTS = {module: imported_names(module) for module in TREES}
CLASSES = {
    module: {node.name for node in ast.walk(tree) if isinstance(node, ast.ClassDef)}
    for module, tree in TREES.items()
}


def base_name(node):
    """Returns the name of a base class without its type arguments."""
    return ast.unparse(node.value if isinstance(node, ast.Subscript) else node)


def origin(module, name):
    """Returns (module, class) that a possibly dotted name means in a module, or None for other names."""
    first, _, rest = name.partition(".")
    if first in CLASSES[module] and not rest:
        return module, first
    if first not in IMPORTS[module]:
        return None
    dotted = ".".join(filter(None, [IMPORTS[module][first], rest]))
    owner, _, last = dotted.rpartition(".")
    return origin(owner, last) if owner in TREES else None  # follows a name that is imported again


def test_the_lists_of_compiled_modules_name_existing_modules():
    assert COMPILED <= TREES.keys() and len(COMPILED) == len(build_native.HOT) + len(build_native.RELAY)


def test_compiled_modules_bind_no_name_to_different_exception_types():
    """If the first type is a compiled class, binding an exception of another type raises TypeError."""
    found = {module: names for module in sorted(COMPILED) if (names := rebound_names(TREES[module]))}
    assert not found


def test_interpreted_classes_extend_no_compiled_class():
    """An interpreted subclass of a compiled class raises TypeError when it is instantiated."""
    found = [
        (f"{module}.{node.name}", ".".join(base))
        for module in sorted(TREES.keys() - COMPILED)
        for node in ast.walk(TREES[module])
        if isinstance(node, ast.ClassDef)
        for base in filter(None, (origin(module, base_name(b)) for b in node.bases))
        if base[0] in COMPILED
    ]
    assert not found


def test_rebound_names_are_found():
    source = (
        "def f():\n try: pass\n except A as e: pass\n except B as e: pass\n"
        "def g():\n try: pass\n except A as e: pass\n except B as o: pass\n"
        "def h():\n try: pass\n except A as e:\n  def i():\n   try: pass\n   except B as e: pass\n"
        "def j():\n try: pass\n except A as e: pass\n"
        " for x in y:\n  try: pass\n  except (A, B) as e: pass\n"
    )
    assert rebound_names(ast.parse(source)) == [(3, "e", ["A", "B"]), (17, "e", ["A", "(A, B)"])]


def test_names_of_base_classes_are_resolved():
    assert origin("olivecourse.net.planner_link", "Stream") == ("olivecourse.net.stream", "Stream")
    assert origin("olivecourse.net.planner_link", "_PlannerConnection") == (
        "olivecourse.net.planner_link",
        "_PlannerConnection",
    )
    assert origin("olivecourse.net.planner_link", "interface.Settings") == (
        "olivecourse.interface",
        "Settings",
    )
    assert origin("olivecourse.net.planner_link", "socket.socket") is None
