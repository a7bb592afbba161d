"""Benchmarks, run by `python -m benchmarks NAME [--short] [--seed N]`; the last line printed is JSON."""
