"""Agreement of the whole fleet on drains and releases, within disruption budgets, with halt and rollback.

The package is unused unless the operator's file has a `rollout:` section. `docs/design/rollout.md` describes
the design.
"""
