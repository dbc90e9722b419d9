"""Service-level objectives: error budgets and burn reports."""

from jackdawsill.burn._budgets import ErrorBudgets, QueryRecord
from jackdawsill.burn._errors import BurnReportInvalid
from jackdawsill.burn._render import render_html, render_json, render_text
from jackdawsill.burn._report import Budget, BurnReport, Measure, merge_reports

__all__ = [
    "Budget",
    "BurnReport",
    "BurnReportInvalid",
    "ErrorBudgets",
    "Measure",
    "QueryRecord",
    "merge_reports",
    "render_html",
    "render_json",
    "render_text",
]
