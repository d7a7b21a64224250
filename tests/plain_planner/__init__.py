"""The planner as it was before its indexes: it looks at everything for each waiting step.

What the indexed planner decides is compared with it; it is in no program.
"""
