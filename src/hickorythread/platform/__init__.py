"""Adapter between the users' platform and the data path.

The names of the platform's protocols are used only in this package.
"""
