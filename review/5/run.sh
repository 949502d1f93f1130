#!/usr/bin/env bash
# The rule DRAIN while an old liveness report is executed late. TROUBLE=0: no late report.
exec bash "$(dirname "$0")/../run_case.sh" "$(dirname "$0")" old_report
