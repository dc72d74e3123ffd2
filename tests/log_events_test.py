"""Holds the table of log events in docs/OPERATIONS.md against the code.

    log_events_test.py REPOSITORY
"""

import os
import re
import sys

CALL = re.compile(r'log_event\([^";]*"([^"]+)"')
ROW = re.compile(r"^\| (`[^|]+) \| \w", re.MULTILINE)
NAME = re.compile(r"`([^`]+)`")


def events_in_code(root):
    found = set()
    for part in ("libs", "platform", "daemons", "tools"):
        for folder, _, files in os.walk(os.path.join(root, part)):
            for name in files:
                if name.endswith((".cpp", ".hpp")):
                    with open(os.path.join(folder, name),
                              encoding="utf-8") as file:
                        found.update(CALL.findall(file.read()))
    return found


def events_in_table(root):
    with open(os.path.join(root, "docs", "OPERATIONS.md"),
              encoding="utf-8") as file:
        text = file.read()
    table = text.split("## What the lines say")[1].split("Outcomes of")[0]
    return {name for row in ROW.findall(table) for name in NAME.findall(row)}


def main():
    code, table = events_in_code(sys.argv[1]), events_in_table(sys.argv[1])
    for name in sorted(code - table):
        print(f"not in the table: {name}")
    for name in sorted(table - code):
        print(f"not in the code: {name}")
    badly_named = {name for name in code
                   if not re.fullmatch(r"[a-z_]+\.[a-z_]+", name)}
    for name in sorted(badly_named):
        print(f"not of the form subject.what: {name}")
    print(f"{len(code)} events")
    return 0 if code and code == table and not badly_named else 1


if __name__ == "__main__":
    sys.exit(main())
