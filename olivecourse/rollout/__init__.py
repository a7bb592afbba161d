"""Drains and releases agreed across the fleet: never too many out at once, with a halt and a way back.

Off unless the operator's file has a `rollout:` section. `docs/design/rollout.md` tells the whole.
"""
