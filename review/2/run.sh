#!/usr/bin/env bash
# The rule BUDGET on requests that crash instances, while machines are stopped and started in turn.
# TROUBLE=0: no machine is stopped.
exec bash "$(dirname "$0")/../run_case.sh" "$(dirname "$0")" poison
