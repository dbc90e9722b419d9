"""Membership: known hosts, links between them and evidence of failures."""

from jackdawsill.membership._table import Member, MemberTable

__all__ = ["Member", "MemberTable"]
