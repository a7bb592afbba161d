"""Measurements: `python -m benchmarks NAME [--short] [--seed N]`. The last line printed is JSON."""
