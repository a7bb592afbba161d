"""Runs the command line interface: `python -m olivecourse`."""

from olivecourse.cli import main

main(prog_name="olivecourse")
