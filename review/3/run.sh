#!/bin/sh
# Plays this case; see claim.txt. Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
exec "$(dirname "$0")/../run-case.sh" review/3 blind-leader
