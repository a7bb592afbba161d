"""Inventory files of configuration management tools: the result of reading them, and errors with file and
line.
"""

import pytest

from olivecourse.config.inventory import InvalidInventory, read_inventory

HEADER = "name,address,zone,kind,size,cell,state\n"
VALID_ROW = "box-1,10.0.0.1:80,edge,petit,4,2,ready\n"
YAML = """- {name: box-1, address: '10.0.0.1:80', zone: edge, kind: petit, size: 4, cell: 2}
- name: box-2
  address: 10.0.0.2:80
  zone: edge
  kind: petit
  state: draining
"""


def read(tmp_path, name, text):
    """Writes an inventory file and returns the members read from it."""
    path = tmp_path / name
    path.write_text(text)
    return read_inventory(str(path), ["hub", "edge"], ["petit", "origin"])["pool"]["members"]


def test_csv_and_yaml_give_the_same_inventory(tmp_path):
    from_csv = read(tmp_path, "a.csv", HEADER + VALID_ROW + "box-2,10.0.0.2:80,edge,petit,,,draining\n")
    assert from_csv == read(tmp_path, "a.yaml", YAML)
    assert from_csv[0] == {
        "id": "box-1",
        "host_port": "10.0.0.1:80",
        "locality": "edge",
        "flavor": "petit",
        "cell": 2,
        "phase": "Ready",
        "size": 4.0,
        "up_since_ms": 0,
    }
    assert from_csv[1]["phase"] == "Terminating" and from_csv[1]["size"] == 1.0


@pytest.mark.parametrize(
    ("name", "text", "expected"),
    [
        ("a.csv", "name,address\n", "a.csv:1: columns missing: kind, zone"),
        ("a.csv", HEADER, "no store"),
        ("a.csv", HEADER + VALID_ROW + VALID_ROW, "a.csv:3: box-1 stands at line 2 already"),
        ("a.csv", HEADER + "a,10.0.0.1:80,edge\n", "a.csv:2: as many values"),
        ("a.csv", HEADER + VALID_ROW.replace("edge", "moon"), "a.csv:2: zone 'moon' is none of hub, edge"),
        ("a.csv", HEADER + VALID_ROW.replace(":80", ""), "a.csv:2: not an address"),
        ("a.csv", HEADER + VALID_ROW.replace(",4,", ",nan,"), "a.csv:2: size"),
        ("a.csv", HEADER + VALID_ROW.replace("ready", "asleep"), "a.csv:2: state 'asleep'"),
        ("a.csv", HEADER + VALID_ROW.replace("box-1", "box 1,"), "a.csv:2"),
        ("a.yaml", YAML.replace("box-2", "box-1"), "a.yaml:2: box-1 stands at line 1 already"),
        ("a.yaml", YAML.replace("kind: petit\n  state", "colour: red\n  state"), "a.yaml:2: unknown: colour"),
        ("a.yaml", YAML + " - x", "a.yaml:"),
        ("a.yaml", "a: b", "a.yaml:1: a list"),
        ("a.yaml", "- a", "a.yaml:1: a store"),
    ],
)
def test_errors_contain_the_file_and_the_line(tmp_path, name, text, expected):
    with pytest.raises(InvalidInventory) as error:
        read(tmp_path, name, text)
    assert expected in str(error.value)


def test_missing_file_is_reported(tmp_path):
    with pytest.raises(InvalidInventory, match="No such file"):
        read_inventory(str(tmp_path / "none.csv"), [], [])
