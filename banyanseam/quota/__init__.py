"""Token rate and burst limits of organisations, enforced over the whole fleet.

Each limit is divided over a few home seats in each region. A home charges requests
against its part and lends what it does not need to other homes.
"""
