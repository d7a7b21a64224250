"""A simple reference planner without indexes, which examines every executor for each waiting step.

The tests compare the planner's decisions with it; it is not part of the product.
"""
