"""Translate between the users' platform and the data path.

Only this folder knows the platform's names.
"""
