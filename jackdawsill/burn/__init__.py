"""Service-level objectives: error budgets, and reports of their burn rates.

The burn rate is the fraction of bad events divided by the fraction that the objective
allows.
"""

from jackdawsill.burn._budgets import ErrorBudgets
from jackdawsill.burn._errors import BurnReportInvalid
from jackdawsill.burn._handlers import burn_report
from jackdawsill.burn._render import render_html, render_json, render_text
from jackdawsill.burn._report import Budget, BurnReport, Latency, Measure, merge_reports

__all__ = [
    "Budget",
    "BurnReport",
    "BurnReportInvalid",
    "ErrorBudgets",
    "Latency",
    "Measure",
    "burn_report",
    "merge_reports",
    "render_html",
    "render_json",
    "render_text",
]
