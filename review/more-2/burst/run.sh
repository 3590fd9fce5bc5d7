#!/bin/bash
cd "$(dirname "$0")" || exit 2
exec timeout -k 2 118 python3 case.py
