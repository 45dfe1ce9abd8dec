#!/bin/sh
# Streams whose engine crashes are resumed at another engine, which begins late. TROUBLE=0 leaves the disruption out. Exit 1: the rule was broken; 0: it held; 2: not run.
set -eu
cd "$(dirname "$0")/../.."
exec target/review/resume_race review/1/record.txt
